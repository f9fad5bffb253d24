"""Relay of the log within a zone: one host reads each stream on behalf of the others.

The reader of a stream follows the log and keeps its newest records; the other hosts wait for
records at the reader instead of the log. A host that gets no usable answer from the reader reads
from the log itself.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any, NamedTuple

import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError
from mulberrycleat.eventlog.model import Entry, EventLog, Page

__all__ = ["RelayReply", "RelayState", "RelayedLog", "StreamBuffer"]

log = logging.getLogger(__name__)

MAX_BUFFERED_ENTRIES = 2000  # per stream
ENTRIES_PER_ANSWER = 500
READER_WAIT_S = 2.0
STALE_S = 5.0
READER_BACKOFF_S = 10.0


class RelayState(Enum):
    """State of a host's answer to a request for records.

    ``PAGE``: the answer contains the records. ``NOT_READER``: the host is not the reader of the
    stream. ``EXPIRED``: the requested offset is outside the host's buffer. ``STALE``: the host has
    not read the stream yet, or its last read failed or was more than ``STALE_S`` seconds ago.
    """

    PAGE = "page"
    NOT_READER = "not_reader"
    EXPIRED = "expired"
    STALE = "stale"


class RelayReply(NamedTuple):
    """Reply of a host that was asked for records; `page` is None unless the state is PAGE."""

    state: RelayState
    page: Page | None = None


class StreamBuffer:
    """Buffer of the newest records of one stream that this host read from the log.

    >>> buffer = StreamBuffer()
    >>> buffer.add(0, Page(0, 1, 1, (Entry(0, 0.0, "x"),)), now=1.0)
    >>> buffer.page(0).entries[0].data, buffer.page(1).entries
    ('x', ())
    """

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque(maxlen=MAX_BUFFERED_ENTRIES)
        self._start = 0
        self._next = -1
        self._end = 0
        self._earliest = 0
        self._last_read_at = float("-inf")
        self._last_read_failed = False
        self._changed = trio.Event()

    @property
    def next(self) -> int:
        """Offset after the last record read; -1 before the first read."""
        return self._next

    @property
    def caught_up(self) -> bool:
        """Whether all records up to the last known end of the stream have been read."""
        return self._next >= self._end

    def is_stale(self, now: float) -> bool:
        """Return whether the last read failed or was more than ``STALE_S`` seconds before `now`.

        `now` is in seconds on trio's clock, here and in :meth:`add`. A buffer without any read so
        far is not stale.
        """
        return self._last_read_failed or (self._next >= 0 and now - self._last_read_at > STALE_S)

    def add(self, offset: int, page: Page, now: float) -> None:
        """Add a page that was read from `offset` on at time `now`.

        If records between the buffer's end and the page are missing, the buffer is cleared first.
        """
        first = self._next < 0
        self._last_read_at, self._last_read_failed = now, False
        self._earliest = max(self._earliest, page.earliest)
        self._end = max(self._end, page.end)
        if self._next < 0 or offset > self._next or page.earliest > self._next:
            self._entries.clear()
            self._start = self._next = max(offset, page.earliest)
        new_entries = [entry for entry in page.entries if entry.offset >= self._next]
        self._entries.extend(new_entries)
        self._next = max(self._next, page.next)
        if len(self._entries) == MAX_BUFFERED_ENTRIES:
            self._start = self._entries[0].offset
        if new_entries or first:
            self._notify()

    def record_failure(self) -> None:
        """Record a failed read and wake the waiting tasks."""
        self._last_read_failed = True
        self._notify()

    def page(self, offset: int) -> Page | None:
        """Return up to ``ENTRIES_PER_ANSWER`` records from `offset` on.

        Return None when `offset` is outside the buffer.
        """
        if offset < self._start or offset > self._next:
            return None
        found = [entry for entry in self._entries if entry.offset >= offset][:ENTRIES_PER_ANSWER]
        after = found[-1].offset + 1 if len(found) == ENTRIES_PER_ANSWER else self._next
        return Page(self._earliest, after, max(self._end, after), tuple(found))

    async def wait(self) -> None:
        """Wait until a record is added or a read fails."""
        await self._changed.wait()

    def _notify(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()


ChooseReader = Callable[[str, frozenset[str]], str | None]
AskReader = Callable[[str, str, int, float], Awaitable[Result[RelayReply, PeerError]]]


class RelayedLog:
    """:class:`~mulberrycleat.eventlog.EventLog` whose reads go through the zone's reader.

    Parameters
    ----------
    inner : EventLog
        The platform's log.
    choose : callable
        Takes a stream and the addresses in backoff. Returns the address of the stream's reader,
        chosen from the other addresses, or None when this host is the reader.
    ask : callable
        Takes an address, a stream, an offset and a wait in seconds. Asks the host at the address
        for records of the stream from the offset on, waiting up to that time for the first.
    """

    def __init__(self, inner: EventLog, choose: ChooseReader, ask: AskReader) -> None:
        self._inner = inner
        self._choose = choose
        self._ask = ask
        self._buffers: dict[str, StreamBuffer] = {}
        self._backoff_until: dict[tuple[str, str], float] = {}
        self._log_reads = 0

    @property
    def log_reads(self) -> int:
        """Number of reads that this host sent directly to the log."""
        return self._log_reads

    async def append(self, stream: str, records: tuple[Any, ...]) -> Result[int, PeerError]:
        """Append `records` directly to the log; return the first offset."""
        return await self._inner.append(stream, records)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Result[Page, PeerError]:
        """Return records from the zone's reader, or from the log if the reader can't serve them.

        Reads without a wait (`wait_s` of 0) go to the log.
        """
        reader = self._reader(stream) if wait_s else None
        if reader is not None:
            page = await self._read_from_peer(reader, stream, offset, wait_s)
            if page is not None:
                return Ok(page)
            wait_s = 0.0
        return await self._read_log(stream, offset, min(wait_s, READER_WAIT_S))

    async def read_directly(self, stream: str, offset: int) -> Result[Page, PeerError]:
        """Return records directly from the log, without waiting."""
        return await self._read_log(stream, offset, 0.0)

    async def serve(self, stream: str, offset: int, wait_s: float) -> RelayReply:
        """Answer another host's request for records of `stream` from `offset` on.

        Wait up to `wait_s` seconds for the first of these records.
        """
        if self._reader(stream) is not None:
            return RelayReply(RelayState.NOT_READER)
        buffer = self._buffer(stream)
        with trio.move_on_after(wait_s):
            while buffer.next <= offset and not buffer.is_stale(trio.current_time()):
                await buffer.wait()
        if buffer.next < 0 or buffer.is_stale(trio.current_time()):
            return RelayReply(RelayState.STALE)
        page = buffer.page(offset)
        state = RelayState.EXPIRED if page is None else RelayState.PAGE
        return RelayReply(state, page)

    async def _read_from_peer(
        self, reader: str, stream: str, offset: int, wait_s: float
    ) -> Page | None:
        match await self._ask(reader, stream, offset, wait_s):
            case Ok(RelayReply(RelayState.PAGE, page)):
                return page
            case Ok(RelayReply(RelayState.EXPIRED)):
                return None
            case Ok(answer):
                self._back_off(stream, reader, answer.state.value)
            case Err(error):
                self._back_off(stream, reader, error.reason)
        return None

    async def _read_log(self, stream: str, offset: int, wait_s: float) -> Result[Page, PeerError]:
        self._log_reads += 1
        buffer = self._buffer(stream)
        outcome = await self._inner.read(stream, offset, wait_s)
        match outcome:
            case Ok(page):
                buffer.add(offset, page, trio.current_time())
            case Err(_):
                buffer.record_failure()
        return outcome

    def _reader(self, stream: str) -> str | None:
        now = trio.current_time()
        self._backoff_until = {
            key: until for key, until in self._backoff_until.items() if until > now
        }
        in_backoff = frozenset(reader for name, reader in self._backoff_until if name == stream)
        return self._choose(stream, in_backoff)

    def _back_off(self, stream: str, reader: str, why: str) -> None:
        log.info(
            "backing off from stream reader", extra={"stream": stream, "peer": reader, "why": why}
        )
        self._backoff_until[stream, reader] = trio.current_time() + READER_BACKOFF_S

    def _buffer(self, stream: str) -> StreamBuffer:
        return self._buffers.setdefault(stream, StreamBuffer())
