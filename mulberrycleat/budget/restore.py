"""Building of the ledger state from a stream whose oldest records may have expired."""

from __future__ import annotations

import logging

import msgspec

from mulberrycleat.budget.ledger import Ledger
from mulberrycleat.budget.records import Checkpoint, LedgerRecord
from mulberrycleat.eventlog import Entry, Page

__all__ = ["LedgerReader"]

log = logging.getLogger(__name__)


class LedgerReader:
    """Builds the ledger state from pages of the ledger stream, from a checkpoint if necessary.

    Notes
    -----
    A stream that is read from its first record needs no checkpoint. When records expire before they
    are read, the following entries are buffered until one of them is a checkpoint of the state at
    an offset in the buffer. Until then :attr:`complete` is False and :attr:`ledger` does not
    change.
    """

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._next = 0
        self._complete = True
        self._buffered: list[Entry] = []
        self._buffered_from = 0
        self._checkpoints = 0

    @property
    def ledger(self) -> Ledger:
        """The latest ledger state built without gaps."""
        return self._ledger

    @property
    def complete(self) -> bool:
        """Whether the ledger state includes all records read so far, without gaps."""
        return self._complete

    @property
    def next(self) -> int:
        """Offset of the next record to read; a complete ledger state includes all before it."""
        return self._next

    @property
    def checkpoints(self) -> int:
        """Number of checkpoints read."""
        return self._checkpoints

    def apply_page(self, page: Page) -> None:
        """Process the next page of the stream."""
        if page.earliest > self._next:
            log.warning(
                "ledger records expired before they were read", extra={"offset": self._next}
            )
            self._complete = False
            self._buffered.clear()
            self._buffered_from = page.earliest
        for entry in page.entries:
            self._process_entry(entry)
        self._next = page.next

    def _process_entry(self, entry: Entry) -> None:
        record = _decode(entry)
        if isinstance(record, Checkpoint):
            self._checkpoints += 1
            self._restore(record)
        if self._complete:
            self._apply(entry, record)
        else:
            self._buffered.append(entry)

    def _restore(self, checkpoint: Checkpoint) -> None:
        if self._complete or checkpoint.as_of < self._buffered_from:
            return
        self._ledger = Ledger.from_checkpoint(checkpoint)
        self._complete = True
        for entry in self._buffered:
            if entry.offset >= checkpoint.as_of:
                self._apply(entry, _decode(entry))
        self._buffered.clear()

    def _apply(self, entry: Entry, record: LedgerRecord | None) -> None:
        if record is not None:
            self._ledger.apply(record, entry.at)


def _decode(entry: Entry) -> LedgerRecord | None:
    try:
        return msgspec.convert(entry.data, LedgerRecord)
    except msgspec.ValidationError as error:
        log.warning(
            "invalid ledger record skipped", extra={"offset": entry.offset, "why": str(error)}
        )
        return None
