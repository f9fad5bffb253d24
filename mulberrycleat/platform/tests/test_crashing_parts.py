"""Requests with a prompt part that crashes every endpoint that begins to answer them."""

from __future__ import annotations

import logging

from mulberrycleat.entry.tests.test_decisions import RecordCollector
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.testing import fixture

CRASHING_PART = "dead"


def engine(number: int) -> ServerStandin:
    address = f"10.1.0.{number}:80"
    return ServerStandin(f"e{number}", address, "engines", events=4, crash_part=CRASHING_PART)


def prompt(*parts: str) -> dict[str, str]:
    """Return the headers of a prompt of these parts, of 100 tokens each."""
    prefix = ",".join(f"{part}:100" for part in parts)
    return {"model": "m", "token_counts": f"{100 * len(parts)},20", "prompt_prefix": prefix}


@fixture
def records():
    handler, log = RecordCollector(), logging.getLogger("mulberrycleat.decisions")
    log.addHandler(handler)
    before, log.level = log.level, logging.INFO
    yield handler.records
    log.removeHandler(handler)
    log.setLevel(before)


async def test_the_line_of_a_broken_attempt_names_the_shared_prompt_parts(records):
    async with entry_host(engine(1)) as harness:
        await harness.send_request("/ask/x", **prompt("aa", CRASHING_PART, "cc"))
    failed = [record for record in records if record.msg == "send failed"]
    assert failed[0].parts == ["aa", CRASHING_PART]
