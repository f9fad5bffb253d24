"""The decision log is bounded in volume and never blocks."""

from __future__ import annotations

import json
import logging
import os

from mulberrycleat.entry.decisions import DecisionLog, LineWriter
from mulberrycleat.testing import fixture


class RecordCollector(logging.Handler):
    """Collects log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Append a record."""
        self.records.append(record)


@fixture
def records():
    handler, log = RecordCollector(), logging.getLogger("mulberrycleat.decisions")
    log.addHandler(handler)
    before = log.level
    # Unlike an assignment of the level, this clears what the logger remembers about levels.
    log.setLevel(logging.INFO)
    yield handler.records
    log.removeHandler(handler)
    log.setLevel(before)


def test_lines_of_a_kind_beyond_the_limit_per_second_are_counted_and_left_out(records):
    now = [0.0]
    decisions = DecisionLog(lambda: now[0], lines_per_s=5, urgent_lines_per_s=8)
    for _ in range(20):
        decisions.info("sent", request="r1")
        decisions.warning("refused", request="r1")
    assert decisions.left_out == {"sent": 15, "refused": 12}
    now[0] = 1.0
    decisions.info("sent", request="r2")
    assert records[-1].left_out == 15


def test_a_full_pipe_drops_lines_and_never_blocks():
    reader, writer_end = os.pipe()
    try:
        writer = LineWriter(writer_end)
        for number in range(20_000):
            writer.write(json.dumps({"number": number, "text": "x" * 40}) + "\n")
        assert writer.dropped > 0
        os.set_blocking(reader, False)
        data = b""
        while True:
            try:
                data += os.read(reader, 65_536)
            except BlockingIOError:
                if not writer.pending:
                    break
                writer.write("")
        lines = [json.loads(line) for line in data.decode().splitlines()]
        numbers = [line["number"] for line in lines]
        assert numbers == sorted(numbers)
        assert len(numbers) + writer.dropped == 20_000
    finally:
        os.close(reader)
        os.close(writer_end)


def test_a_pipe_without_a_reader_raises_no_error():
    reader, writer_end = os.pipe()
    writer = LineWriter(writer_end)
    os.close(reader)
    writer.write("line\n")
    os.close(writer_end)
    assert writer.dropped == 1
