"""Tests that a new host builds the ledger from a checkpoint when older records have expired."""

from __future__ import annotations

import msgspec

from mulberrycleat.budget import STREAM, Join, Ledger, Settle, TopUp
from mulberrycleat.budget.restore import LedgerReader
from mulberrycleat.eventlog import MemoryStreams
from mulberrycleat.testing import fixture

RETENTION_S = 100.0


class Stream:
    """The ledger stream in memory, with a manually set clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.streams = MemoryStreams(lambda: self.now, RETENTION_S)

    def append(self, *records: object) -> None:
        """Append records."""
        self.streams.append(STREAM, tuple(map(msgspec.to_builtins, records)))

    def read(self, reader: LedgerReader) -> None:
        """Let a reader process all unread records."""
        reader.apply_page(self.streams.read(STREAM, reader.next))


@fixture
def stream() -> Stream:
    """Return a stream with a top-up and a holder's claim."""
    found = Stream()
    found.append(TopUp("t1", "huts", 100), Join("h/1", "east"))
    found.append(Settle("h/1", 1, claims={"huts": 40}))
    return found


def checkpoint_of(reader: LedgerReader) -> object:
    """Return a checkpoint of a reader's ledger state."""
    return reader.ledger.checkpoint(reader.next)


def test_checkpoint_preserves_the_state_of_expired_records(stream):
    first = LedgerReader()
    stream.read(first)
    stream.now = 90.0
    checkpoint = checkpoint_of(first)
    stream.append(Settle("h/1", 2, returned={"huts": 10}))
    stream.append(checkpoint)
    stream.now = 150.0
    stream.append(TopUp("t1", "huts", 100), TopUp("t2", "huts", 5))
    late = LedgerReader()
    for reader in (first, late):
        stream.read(reader)
    assert late.complete
    assert late.ledger.budgets == first.ledger.budgets
    assert late.ledger.budgets["huts"].prepaid == 105
    assert late.ledger.share("h/1", "huts").held == 30


def test_reader_is_incomplete_without_a_checkpoint(stream):
    stream.now = 150.0
    stream.append(TopUp("t2", "huts", 5))
    late = LedgerReader()
    stream.read(late)
    assert not late.complete
    assert late.ledger.budgets == {}


def test_checkpoint_older_than_the_retained_records_is_not_used(stream):
    first = LedgerReader()
    stream.read(first)
    checkpoint = checkpoint_of(first)
    stream.append(Settle("h/1", 2, returned={"huts": 10}))
    stream.now = 150.0
    stream.append(checkpoint)
    late = LedgerReader()
    stream.read(late)
    assert not late.complete


def test_reader_that_fell_behind_resumes_from_a_checkpoint(stream):
    slow, first = LedgerReader(), LedgerReader()
    for reader in (slow, first):
        stream.read(reader)
    stream.append(Settle("h/1", 2, returned={"huts": 10}))
    stream.read(first)
    stream.now = 150.0
    stream.append(TopUp("t3", "huts", 1))
    stream.read(slow)
    assert not slow.complete
    stream.read(first)
    stream.append(checkpoint_of(first))
    stream.read(slow)
    assert slow.complete
    assert slow.ledger.budgets == first.ledger.budgets


def test_checkpoint_is_a_plain_json_value():
    record = Ledger().checkpoint(3)
    assert msgspec.json.decode(msgspec.json.encode(msgspec.to_builtins(record)))["as_of"] == 3
