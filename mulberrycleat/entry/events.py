"""Splitting of an event stream (server-sent events) into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

from mulberrycleat.core.numbers import parse_count

__all__ = ["MAX_EVENT_BYTES", "CompleteEvents", "EventSplitter", "EventTooLargeError"]

# Maximum number of bytes from the end of one event to the end of the next. It bounds the memory
# that an endpoint can occupy by an event without an end.
MAX_EVENT_BYTES = 262_144

# The end of a line and an empty line; lines end with a line feed, or with carriage return and line
# feed.
_BLOCK_END = re.compile(rb"\n\r?\n")


class EventTooLargeError(Exception):
    """No event is completed within ``MAX_EVENT_BYTES``."""


class CompleteEvents(NamedTuple):
    """Bytes of complete blocks, and the events among them.

    Attributes
    ----------
    data : bytes
        All complete blocks, including comments and empty lines.
    count : int
        Number of events. A block of comments and empty lines only is not an event.
    last_id : int or None
        Id of the last event that has an id.
    """

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
    >>> splitter.feed(b"ta: b\\n\\n: comment\\n\\n")
    CompleteEvents(data=b'id: 2\\ndata: b\\n\\n: comment\\n\\n', count=1, last_id=2)
    """

    def __init__(self) -> None:
        self._rest = b""
        self._bytes_since_event = 0

    @property
    def rest(self) -> bytes:
        """Bytes of a block that is not complete yet."""
        return self._rest

    def feed(self, data: bytes) -> CompleteEvents:
        """Add bytes and return the blocks that they complete.

        Raises
        ------
        EventTooLargeError
            If the bytes since the last event exceed ``MAX_EVENT_BYTES``.
        """
        # The first bytes of a block end may have been received before.
        search_from = max(0, len(self._rest) - 2)
        joined = self._rest + data
        start, count, last_id = 0, 0, None
        for end in _BLOCK_END.finditer(joined, search_from):
            block = joined[start : end.end()]
            start = end.end()
            if _is_event(block):
                count += 1
                found = _id_of(block)
                last_id = found if found is not None else last_id
                self._bytes_since_event = 0
            else:
                self._bytes_since_event += len(block)
        self._rest = joined[start:]
        if self._bytes_since_event + len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"no event ends within {MAX_EVENT_BYTES} bytes")
        return CompleteEvents(joined[:start], count, last_id)


def _is_event(block: bytes) -> bool:
    return any(line and not line.startswith(b":") for line in _lines(block))


def _id_of(event: bytes) -> int | None:
    for line in _lines(event):
        if line.startswith(b"id:"):
            return parse_count(line[3:].decode("latin-1"))
    return None


def _lines(block: bytes) -> list[bytes]:
    return [line.rstrip(b"\r") for line in block.split(b"\n")]
