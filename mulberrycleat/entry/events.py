"""Splitting of an event stream (server-sent events) into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

from mulberrycleat.core.numbers import parse_count

__all__ = ["MAX_EVENT_BYTES", "CompleteEvents", "EventOrder", "EventSplitter", "EventTooLargeError"]

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
    ids : tuple of int or None
        Id of each event, None for an event without one. A block of comments, empty lines and
        ``retry`` fields only is not an event.
    """

    data: bytes
    ids: tuple[int | None, ...]

    @property
    def count(self) -> int:
        """Number of events."""
        return len(self.ids)


class EventSplitter:
    """Split a stream of bytes into complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    CompleteEvents(data=b'id: 1\\ndata: a\\n\\n', ids=(1,))
    >>> splitter.rest
    b'id: 2\\nda'
    >>> splitter.feed(b"ta: b\\n\\n: comment\\n\\n")
    CompleteEvents(data=b'id: 2\\ndata: b\\n\\n: comment\\n\\n', ids=(2,))
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
        start = 0
        ids: list[int | None] = []
        for end in _BLOCK_END.finditer(joined, search_from):
            block = joined[start : end.end()]
            start = end.end()
            if _is_event(block):
                ids.append(_id_of(block))
                self._bytes_since_event = 0
            else:
                self._bytes_since_event += len(block)
        self._rest = joined[start:]
        if self._bytes_since_event + len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"no event ends within {MAX_EVENT_BYTES} bytes")
        return CompleteEvents(joined[:start], tuple(ids))


class EventOrder:
    """Order of the events of one stream that a caller receives, from one endpoint after another.

    Events have increasing ids. Where those of the endpoint that began the stream are consecutive,
    those of the endpoints that go on with it have to be, too.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller has from an earlier request, None if there is none.

    Examples
    --------
    >>> order = EventOrder()
    >>> order.add((1, 2))
    >>> order.fault((3, 4), goes_on=True), order.fault((3, 5), goes_on=True)
    ('', 'event 5 after event 3')
    >>> order.fault((3, 5), goes_on=False)
    ''
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._known = 0 if last_id is None else 1
        self._is_consecutive = False
        self._ends_with_id = False

    @property
    def last_id(self) -> int | None:
        """Id of the last event that the caller has, None if no event had an id."""
        return self._last_id

    @property
    def can_go_on(self) -> bool:
        """Whether another endpoint can be asked for the events that follow."""
        return self._ends_with_id

    def fault(self, ids: tuple[int | None, ...], goes_on: bool) -> str:
        """Return why events must not be forwarded, empty if they follow those before.

        Parameters
        ----------
        ids : tuple of int or None
            Ids of the events.
        goes_on : bool
            Whether the endpoint goes on with a stream that another one began.
        """
        last = self._last_id
        for found in ids:
            if found is None:
                if goes_on:
                    return "an event without an id"
                continue
            is_gap = goes_on and self._is_consecutive and found != last + 1
            if is_gap or (last is not None and found <= last):
                return f"event {found} after event {last}"
            last = found
        return ""

    def add(self, ids: tuple[int | None, ...]) -> None:
        """Add events that have been forwarded, which have no fault."""
        for found in ids:
            self._ends_with_id = found is not None
            if found is None:
                continue
            match self._known:
                case 0:
                    self._is_consecutive = found <= 1
                case 1:
                    self._is_consecutive = found == self._last_id + 1
                case _:
                    self._is_consecutive &= found == self._last_id + 1
            self._known += 1
            self._last_id = found


def _is_event(block: bytes) -> bool:
    return any(line and not line.startswith((b":", b"retry:")) for line in _lines(block))


def _id_of(event: bytes) -> int | None:
    for line in _lines(event):
        if line.startswith(b"id:"):
            return parse_count(line[3:].decode("latin-1"))
    return None


def _lines(block: bytes) -> list[bytes]:
    return [line.rstrip(b"\r") for line in block.split(b"\n")]
