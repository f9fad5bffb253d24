"""Parser of callers' requests that bounds header fields, and joins small chunks of bodies."""

from __future__ import annotations

from collections.abc import Callable

import h11

__all__ = ["BoundedParser"]

# Shortest header field with its end of line: a name, a colon and a line feed.
MIN_FIELD_BYTES = 3
# Most chunks of a body that are parsed before other tasks run; they take about a millisecond.
MAX_JOINED_CHUNKS = 64
# A chunk of at least this size is passed on by itself, in bytes: joining saves a task switch only.
MIN_ALONE_BYTES = 1024
# Versions of HTTP that are served, and the status for others; HTTP/2 begins like a request.
VERSIONS = (b"1.0", b"1.1")
VERSION_NOT_SUPPORTED = 505


class BoundedParser(h11.Connection):
    """Server side of HTTP/1.1 that refuses a head with too many fields before it is parsed.

    Other versions than 1.0 and 1.1 are refused.

    A parsed field takes about 270 bytes, however short it is, so that a head of 16 KB with the
    shortest fields takes a megabyte. Chunks of a few bytes are joined: each of them by itself
    would cost a switch to the task of the application and back.

    Parameters
    ----------
    max_head_bytes : int
        Most bytes of a head that is not complete.
    max_fields : int or None
        Most header fields of a request; None for any number.
    on_refusal : callable
        Called when a head is refused.
    """

    def __init__(
        self, max_head_bytes: int, max_fields: int | None, on_refusal: Callable[[], None]
    ) -> None:
        super().__init__(h11.SERVER, max_incomplete_event_size=max_head_bytes)
        self._max_fields = max_fields
        self._on_refusal = on_refusal
        self._next: h11.Event | type[h11.PAUSED] | None = None
        self._fields = 0

    @property
    def fields(self) -> int:
        """Number of header fields of the latest request."""
        return self._fields

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event; the data of small chunks that have arrived are one event."""
        if self._next is not None:
            event, self._next = self._next, None
            return event
        if self.their_state is h11.IDLE:
            self._check_fields()
        event = super().next_event()
        if type(event) is h11.Request:
            if event.http_version not in VERSIONS:
                reason = f"HTTP version {event.http_version.decode()}"
                raise h11.RemoteProtocolError(reason, error_status_hint=VERSION_NOT_SUPPORTED)
            self._fields = len(event.headers)
        elif type(event) is h11.Data and len(event.data) < MIN_ALONE_BYTES:
            return self._join(event)
        return event

    def start_next_cycle(self) -> None:
        """Get ready for the next request; what is left of the last one is dropped."""
        self._next = None
        super().start_next_cycle()

    def _check_fields(self) -> None:
        if self._max_fields is None:
            return
        data = self.trailing_data[0]
        if len(data) <= self._max_fields * MIN_FIELD_BYTES:
            return
        ends = [end for end in (data.find(b"\n\r\n"), data.find(b"\n\n")) if end >= 0]
        if data.count(b"\n", 0, min(ends, default=len(data))) > self._max_fields:
            self._on_refusal()
            reason = f"more than {self._max_fields} header fields"
            raise h11.RemoteProtocolError(reason, error_status_hint=431)

    def _join(self, first: h11.Data) -> h11.Data:
        joined = bytearray(first.data)
        for _ in range(MAX_JOINED_CHUNKS - 1):
            try:
                event = super().next_event()
            except h11.RemoteProtocolError:
                # The next call raises it again, once what precedes the error is passed on.
                break
            if type(event) is not h11.Data:
                self._next = None if event is h11.NEED_DATA else event
                break
            joined += event.data
        return h11.Data(data=bytes(joined))
