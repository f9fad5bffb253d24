"""The state of the stream when its oldest records have expired: checkpoint and replay."""

from __future__ import annotations

from mulberrycleat.eventlog import Entry, Page
from mulberrycleat.once.fold import KEY_WINDOW_S, OnceState
from mulberrycleat.once.model import Checkpoint, OnceRecord, Outcome

__all__ = ["OnceHistory", "checkpoint_parts"]

ENTRIES_PER_PART = 500


class OnceHistory:
    """Fold the stream from wherever it begins.

    A stream read from its first record gives the state by itself. One whose beginning has expired
    gives it once a whole checkpoint has been read that tells the state as of an offset from which
    all records were read: the checkpoint, and those records folded after it. Until then nothing is
    known of any key, and none may be claimed.

    Parameters
    ----------
    window_s : float
        How long keys are remembered, in seconds.
    """

    def __init__(self, window_s: float = KEY_WINDOW_S) -> None:
        self._window_s = window_s
        self._state = OnceState(window_s)
        self._next = 0
        self._complete = True
        self._first = 0
        self._unplaced: list[tuple[Entry, OnceRecord]] = []
        self._parts: dict[str, dict[int, Checkpoint]] = {}
        self._last_at = 0.0

    @property
    def state(self) -> OnceState:
        """The keys; when not complete, as if there had been nothing before the first record."""
        return self._state

    @property
    def complete(self) -> bool:
        """Whether the state holds every key that is to be remembered."""
        return self._complete

    @property
    def offset(self) -> int:
        """Offset of the next record."""
        return self._next

    @property
    def last_at(self) -> float:
        """When the newest record was written, in Unix seconds."""
        return self._last_at

    @property
    def window_s(self) -> float:
        """How long keys are remembered, in seconds."""
        return self._window_s

    def begin_page(self, page: Page) -> None:
        """Note where a page begins; records that expired unread make the state incomplete."""
        if page.earliest > self._next:
            self._restart(page.earliest)

    def take(self, entry: Entry, record: OnceRecord) -> None:
        """Take in the next record."""
        self._next = entry.offset + 1
        self._last_at = entry.at
        self._state.apply(record, entry.at)
        if self._complete:
            return
        self._unplaced.append((entry, record))
        if isinstance(record, Checkpoint):
            self._take_part(record)

    def _restart(self, earliest: int) -> None:
        self._state = OnceState(self._window_s)
        self._complete = False
        self._first = self._next = earliest
        self._unplaced.clear()
        self._parts.clear()

    def _take_part(self, part: Checkpoint) -> None:
        if part.offset < self._first:
            return
        parts = self._parts.setdefault(part.id, {})
        parts[part.part] = part
        if len(parts) == part.parts:
            self._rebuild(tuple(parts.values()))

    def _rebuild(self, parts: tuple[Checkpoint, ...]) -> None:
        """Make the state from a checkpoint and the records after it."""
        self._state = OnceState(self._window_s)
        entries = [entry for part in parts for entry in part.entries]
        for entry in sorted(entries, key=lambda one: one.at):
            self._state.restore(entry)
        for entry, record in self._unplaced:
            if entry.offset >= parts[0].offset:
                self._state.apply(record, entry.at)
            elif isinstance(record, Outcome):
                self._state.give_back_answer(record)
        self._complete = True
        self._unplaced.clear()
        self._parts.clear()


def checkpoint_parts(history: OnceHistory, checkpoint_id: str) -> tuple[Checkpoint, ...]:
    """Return a checkpoint of what a history knows."""
    entries = history.state.entries()
    slices = [entries[i : i + ENTRIES_PER_PART] for i in range(0, len(entries), ENTRIES_PER_PART)]
    parts = slices or [()]
    return tuple(
        Checkpoint(checkpoint_id, number, len(parts), history.offset, part)
        for number, part in enumerate(parts)
    )
