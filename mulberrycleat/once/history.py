"""Rebuilding the state from a checkpoint when the oldest records of the stream have expired."""

from __future__ import annotations

from mulberrycleat.eventlog import Entry, Page
from mulberrycleat.once.fold import KEY_WINDOW_S, OnceState
from mulberrycleat.once.model import Answer, Checkpoint, OnceRecord, Outcome

__all__ = ["OnceHistory", "checkpoint_parts"]

ENTRIES_PER_PART = 500


class OnceHistory:
    """Folds the stream from the earliest record that has not expired.

    When the stream is read from its first record, folding its records gives the complete state.
    When the first records have expired, the state is complete only after all parts of a checkpoint
    and every record from the checkpoint's offset on have been read. It is then the state of the
    checkpoint with those records applied. Until then the state of every key is unknown and no key
    may be claimed.

    Parameters
    ----------
    window_s : float
        How long keys are retained, in seconds.
    """

    def __init__(self, window_s: float = KEY_WINDOW_S) -> None:
        self._window_s = window_s
        self._state = OnceState(window_s)
        self._next = 0
        self._complete = True
        self._first = 0
        self._records_since_restart: list[tuple[Entry, OnceRecord]] = []
        self._parts: dict[str, dict[int, Checkpoint]] = {}
        self._last_at = 0.0

    @property
    def state(self) -> OnceState:
        """State of the keys; while incomplete, it lacks the records that expired unread."""
        return self._state

    @property
    def complete(self) -> bool:
        """Whether the state contains every key written within the window."""
        return self._complete

    @property
    def offset(self) -> int:
        """Offset of the next record to read."""
        return self._next

    @property
    def last_at(self) -> float:
        """When the newest record was written, in Unix seconds."""
        return self._last_at

    @property
    def window_s(self) -> float:
        """How long keys are retained, in seconds."""
        return self._window_s

    def check_page(self, page: Page) -> None:
        """Check a page for a gap: records that expired unread make the state incomplete."""
        if page.earliest > self._next:
            self._restart(page.earliest)

    def apply(self, entry: Entry, record: OnceRecord) -> None:
        """Apply the next record."""
        self._next = entry.offset + 1
        self._last_at = entry.at
        self._state.apply(record, entry.at)
        if self._complete:
            return
        self._records_since_restart.append((entry, record))
        if isinstance(record, Checkpoint):
            self._add_part(record)

    def _restart(self, earliest: int) -> None:
        self._state = OnceState(self._window_s)
        self._complete = False
        self._first = self._next = earliest
        self._records_since_restart.clear()
        self._parts.clear()

    def _add_part(self, part: Checkpoint) -> None:
        if part.offset < self._first:
            return
        parts = self._parts.setdefault(part.id, {})
        parts[part.part] = part
        if len(parts) == part.parts:
            self._rebuild(tuple(parts.values()))

    def _rebuild(self, parts: tuple[Checkpoint, ...]) -> None:
        """Rebuild the state from a checkpoint and the records after it."""
        self._state = OnceState(self._window_s)
        entries = [entry for part in parts for entry in part.entries]
        for entry in sorted(entries, key=lambda entry: entry.at):
            self._state.restore(entry)
        for entry, record in self._records_since_restart:
            if entry.offset >= parts[0].offset:
                self._state.apply(record, entry.at)
            elif isinstance(record, Outcome | Answer):
                self._state.restore_answer(record)
        self._complete = True
        self._records_since_restart.clear()
        self._parts.clear()


def checkpoint_parts(history: OnceHistory, checkpoint_id: str) -> tuple[Checkpoint, ...]:
    """Return the parts of a checkpoint of the history's current state."""
    entries = history.state.entries()
    slices = [entries[i : i + ENTRIES_PER_PART] for i in range(0, len(entries), ENTRIES_PER_PART)]
    parts = slices or [()]
    return tuple(
        Checkpoint(checkpoint_id, number, len(parts), history.offset, part)
        for number, part in enumerate(parts)
    )
