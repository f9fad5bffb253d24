"""Reading of the log by one host of a zone for all of them.

The reader of a stream follows the log and keeps its newest records; the other hosts wait at the
reader instead of the log. Whoever gets no good answer from the reader asks the log itself.
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

__all__ = ["RelayAnswer", "RelayState", "RelayedLog", "StreamBuffer"]

log = logging.getLogger(__name__)

ENTRIES_KEPT = 2000
ENTRIES_PER_ANSWER = 500
READER_WAIT_S = 2.0
STALE_S = 5.0
AVOID_S = 10.0


class RelayState(Enum):
    """What a host says when it is asked for records.

    ``PAGE``: here they are. ``NOT_READER``: this host does not read the stream. ``EXPIRED``: the
    offset is older than what it keeps. ``STALE``: it has not heard from the log for long.
    """

    PAGE = "page"
    NOT_READER = "not_reader"
    EXPIRED = "expired"
    STALE = "stale"


class RelayAnswer(NamedTuple):
    """The answer of a reader."""

    state: RelayState
    page: Page | None = None


class StreamBuffer:
    """The newest records of one stream, as this host read them.

    >>> buffer = StreamBuffer()
    >>> buffer.add(0, Page(0, 1, 1, (Entry(0, 0.0, "x"),)), now=1.0)
    >>> buffer.page(0).entries[0].data, buffer.page(1).entries
    ('x', ())
    """

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque(maxlen=ENTRIES_KEPT)
        self._start = 0
        self._next = -1
        self._end = 0
        self._earliest = 0
        self._fresh_at = float("-inf")
        self._failing = False
        self._grown = trio.Event()

    @property
    def next(self) -> int:
        """Offset after the last record kept; -1 before the first read."""
        return self._next

    @property
    def caught_up(self) -> bool:
        """Whether all that the stream held at the last read is here or was."""
        return self._next >= self._end

    def is_stale(self, now: float) -> bool:
        """Return whether the log failed to answer, or answered last too long ago."""
        return self._failing or (self._next >= 0 and now - self._fresh_at > STALE_S)

    def add(self, offset: int, page: Page, now: float) -> None:
        """Take in a page that was read from `offset` on."""
        first = self._next < 0
        self._fresh_at, self._failing = now, False
        self._earliest = max(self._earliest, page.earliest)
        self._end = max(self._end, page.end)
        if self._next < 0 or offset > self._next or page.earliest > self._next:
            self._entries.clear()
            self._start = self._next = max(offset, page.earliest)
        fresh = [entry for entry in page.entries if entry.offset >= self._next]
        self._entries.extend(fresh)
        self._next = max(self._next, page.next)
        if len(self._entries) == ENTRIES_KEPT:
            self._start = self._entries[0].offset
        if fresh or first:
            self._wake()

    def fail(self) -> None:
        """Wake those who wait, because the log does not answer."""
        self._failing = True
        self._wake()

    def page(self, offset: int) -> Page | None:
        """Return records from `offset` on, or None when they are not kept."""
        if offset < self._start or offset > self._next:
            return None
        found = [entry for entry in self._entries if entry.offset >= offset][:ENTRIES_PER_ANSWER]
        after = found[-1].offset + 1 if len(found) == ENTRIES_PER_ANSWER else self._next
        return Page(self._earliest, after, max(self._end, after), tuple(found))

    async def wait(self) -> None:
        """Wait for the next record or failure."""
        await self._grown.wait()

    def _wake(self) -> None:
        event, self._grown = self._grown, trio.Event()
        event.set()


ChooseReader = Callable[[str, frozenset[str]], str | None]
AskReader = Callable[[str, str, int, float], Awaitable[Result[RelayAnswer, PeerError]]]


class RelayedLog:
    """:class:`~mulberrycleat.eventlog.EventLog` whose reads go through the zone's reader.

    Parameters
    ----------
    inner : EventLog
        The platform's log.
    choose : callable
        Returns the address of the reader of a stream, leaving out the addresses to be avoided;
        None when this host is to read.
    ask : callable
        Asks the host at an address for records of a stream from an offset on, waiting for the
        first.
    """

    def __init__(self, inner: EventLog, choose: ChooseReader, ask: AskReader) -> None:
        self._inner = inner
        self._choose = choose
        self._ask = ask
        self._buffers: dict[str, StreamBuffer] = {}
        self._avoided: dict[tuple[str, str], float] = {}
        self._log_reads = 0

    @property
    def log_reads(self) -> int:
        """Reads that this host sent to the log itself."""
        return self._log_reads

    async def append(self, stream: str, records: tuple[Any, ...]) -> Result[int, PeerError]:
        """Append to the log itself."""
        return await self._inner.append(stream, records)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Result[Page, PeerError]:
        """Read from the zone's reader, or from the log where that does not do."""
        reader = self._reader(stream) if wait_s else None
        if reader is not None:
            page = await self._read_from_peer(reader, stream, offset, wait_s)
            if page is not None:
                return Ok(page)
            wait_s = 0.0
        return await self._read_log(stream, offset, min(wait_s, READER_WAIT_S))

    async def read_directly(self, stream: str, offset: int) -> Result[Page, PeerError]:
        """Read from the log itself without waiting."""
        return await self._read_log(stream, offset, 0.0)

    async def serve(self, stream: str, offset: int, wait_s: float) -> RelayAnswer:
        """Answer another host that asks for records of `stream` from `offset` on."""
        if self._reader(stream) is not None:
            return RelayAnswer(RelayState.NOT_READER)
        buffer = self._buffer(stream)
        with trio.move_on_after(wait_s):
            while buffer.next <= offset and not buffer.is_stale(trio.current_time()):
                await buffer.wait()
        if buffer.next < 0 or buffer.is_stale(trio.current_time()):
            return RelayAnswer(RelayState.STALE)
        page = buffer.page(offset)
        state = RelayState.EXPIRED if page is None else RelayState.PAGE
        return RelayAnswer(state, page)

    async def _read_from_peer(
        self, reader: str, stream: str, offset: int, wait_s: float
    ) -> Page | None:
        match await self._ask(reader, stream, offset, wait_s):
            case Ok(RelayAnswer(RelayState.PAGE, page)):
                return page
            case Ok(RelayAnswer(RelayState.EXPIRED)):
                return None
            case Ok(answer):
                self._avoid(stream, reader, answer.state.value)
            case Err(error):
                self._avoid(stream, reader, error.reason)
        return None

    async def _read_log(self, stream: str, offset: int, wait_s: float) -> Result[Page, PeerError]:
        self._log_reads += 1
        buffer = self._buffer(stream)
        outcome = await self._inner.read(stream, offset, wait_s)
        match outcome:
            case Ok(page):
                buffer.add(offset, page, trio.current_time())
            case Err(_):
                buffer.fail()
        return outcome

    def _reader(self, stream: str) -> str | None:
        now = trio.current_time()
        self._avoided = {key: until for key, until in self._avoided.items() if until > now}
        avoided = frozenset(reader for name, reader in self._avoided if name == stream)
        return self._choose(stream, avoided)

    def _avoid(self, stream: str, reader: str, why: str) -> None:
        log.info("reader avoided", extra={"stream": stream, "peer": reader, "why": why})
        self._avoided[stream, reader] = trio.current_time() + AVOID_S

    def _buffer(self, stream: str) -> StreamBuffer:
        return self._buffers.setdefault(stream, StreamBuffer())
