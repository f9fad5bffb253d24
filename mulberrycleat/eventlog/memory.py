"""In-memory log for the stand-in service and for tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from mulberrycleat.eventlog.model import Entry, Page

__all__ = ["MemoryStreams"]

PAGE_RECORDS = 1000


class MemoryStreams:
    """Streams of records with offsets and a retention period.

    Parameters
    ----------
    now : callable
        Returns the current time in seconds.
    retention_s : float
        Age at which records expire, in seconds.
    """

    def __init__(self, now: Callable[[], float], retention_s: float = float("inf")) -> None:
        self._now = now
        self._retention_s = retention_s
        self._entries: dict[str, list[Entry]] = {}
        self._earliest: dict[str, int] = {}

    def append(self, stream: str, records: tuple[Any, ...]) -> int:
        """Append `records` and return the offset of the first."""
        entries = self._entries.setdefault(stream, [])
        first = self._end(stream)
        at = self._now()
        entries.extend(Entry(first + i, at, data) for i, data in enumerate(records))
        return first

    def read(self, stream: str, offset: int, limit: int = PAGE_RECORDS) -> Page:
        """Return up to `limit` records from `offset` on, skipping expired ones."""
        self._expire(stream)
        entries = self._entries.get(stream, [])
        earliest = self._earliest.get(stream, 0)
        start = max(offset, earliest)
        found = tuple(entries[start - earliest : start - earliest + limit])
        return Page(earliest, start + len(found), self._end(stream), found)

    def _end(self, stream: str) -> int:
        return self._earliest.get(stream, 0) + len(self._entries.get(stream, []))

    def _expire(self, stream: str) -> None:
        entries = self._entries.get(stream, [])
        oldest = self._now() - self._retention_s
        count = 0
        while count < len(entries) and entries[count].at < oldest:
            count += 1
        if count:
            del entries[:count]
            self._earliest[stream] = self._earliest.get(stream, 0) + count
