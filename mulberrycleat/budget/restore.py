"""Building of the fold from a stream whose oldest records may have expired."""

from __future__ import annotations

import logging

import msgspec

from mulberrycleat.budget.ledger import Ledger
from mulberrycleat.budget.records import Checkpoint, LedgerRecord
from mulberrycleat.eventlog import Entry, Page

__all__ = ["LedgerReader"]

log = logging.getLogger(__name__)


class LedgerReader:
    """Folds the pages of the ledger stream, from the newest checkpoint where need be.

    Notes
    -----
    A stream that is read from its first record needs no checkpoint. When records expired unread,
    entries are kept until a checkpoint among them tells the state at one of their offsets; until
    then :attr:`complete` is False and :attr:`ledger` stays as it was.
    """

    def __init__(self) -> None:
        self._ledger = Ledger()
        self._next = 0
        self._complete = True
        self._kept: list[Entry] = []
        self._kept_from = 0
        self._checkpoints = 0

    @property
    def ledger(self) -> Ledger:
        """The newest fold without gaps."""
        return self._ledger

    @property
    def complete(self) -> bool:
        """Whether the fold lacks no record up to what was read."""
        return self._complete

    @property
    def next(self) -> int:
        """Offset of the first record that the fold does not hold."""
        return self._next

    @property
    def checkpoints(self) -> int:
        """Number of checkpoints read."""
        return self._checkpoints

    def take(self, page: Page) -> None:
        """Take in the next page."""
        if page.earliest > self._next:
            log.warning("records expired unread", extra={"offset": self._next})
            self._complete = False
            self._kept.clear()
            self._kept_from = page.earliest
        for entry in page.entries:
            self._take_entry(entry)
        self._next = page.next

    def _take_entry(self, entry: Entry) -> None:
        record = _decode(entry)
        if isinstance(record, Checkpoint):
            self._checkpoints += 1
            self._restore(record)
        if self._complete:
            self._apply(entry, record)
        else:
            self._kept.append(entry)

    def _restore(self, checkpoint: Checkpoint) -> None:
        if self._complete or checkpoint.as_of < self._kept_from:
            return
        self._ledger = Ledger.from_checkpoint(checkpoint)
        self._complete = True
        for entry in self._kept:
            if entry.offset >= checkpoint.as_of:
                self._apply(entry, _decode(entry))
        self._kept.clear()

    def _apply(self, entry: Entry, record: LedgerRecord | None) -> None:
        if record is not None:
            self._ledger.apply(record, entry.at)


def _decode(entry: Entry) -> LedgerRecord | None:
    try:
        return msgspec.convert(entry.data, LedgerRecord)
    except msgspec.ValidationError as error:
        log.warning("record passed over", extra={"offset": entry.offset, "why": str(error)})
        return None
