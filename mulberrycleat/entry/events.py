"""Splitting of an event stream (server-sent events) into complete events."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["CompleteEvents", "EventSplitter"]


class CompleteEvents(NamedTuple):
    """Bytes of complete events, their number, and the id of the last one that has an id."""

    data: bytes
    count: int
    last_id: int | None


class EventSplitter:
    """Split a stream of bytes into complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    CompleteEvents(data=b'id: 1\\ndata: a\\n\\n', count=1, last_id=1)
    >>> splitter.rest
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> CompleteEvents:
        """Add bytes and return the events that they complete."""
        joined = self._rest + data
        end = joined.rfind(b"\n\n")
        if end < 0 and b"\r\n\r\n" not in joined:
            self._rest = joined
            return CompleteEvents(b"", 0, None)
        cut = max(end + 2 if end >= 0 else 0, joined.rfind(b"\r\n\r\n") + 4)
        complete, self._rest = joined[:cut], joined[cut:]
        last_id, count = None, 0
        for event in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
            if not event.strip():
                continue
            count += 1
            found = _id_of(event)
            last_id = found if found is not None else last_id
        return CompleteEvents(complete, count, last_id)


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
