"""Interface of the platform's log: streams of records with offsets."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from result import Result

from mulberrycleat.core import PeerError

__all__ = ["Entry", "EventLog", "Page"]


class Entry(NamedTuple):
    """One record of a stream: its offset, its append time (Unix seconds) and its JSON value."""

    offset: int
    at: float
    data: Any


class Page(NamedTuple):
    """Records read from a stream.

    Attributes
    ----------
    earliest : int
        Smallest offset that has not expired.
    next : int
        Offset at which the next read starts.
    end : int
        Offset of the next append. ``next == end`` means that the whole stream has been read.
    entries : tuple of Entry
        Records in order of offset; empty if there are none from the requested offset on.
    """

    earliest: int
    next: int
    end: int
    entries: tuple[Entry, ...]


class EventLog(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, records: tuple[Any, ...]) -> Result[int, PeerError]:
        """Append `records` as one write; return the first offset.

        After an error with ``sent`` True, it is unknown whether the write took effect.
        """
        ...

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Result[Page, PeerError]:
        """Return records from `offset` on, waiting up to `wait_s` seconds for the first."""
        ...
