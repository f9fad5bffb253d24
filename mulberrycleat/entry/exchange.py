"""One attempt of a request at one endpoint, until its answer has ended."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import trio

from mulberrycleat.endpoint.placer import Placement
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.events import EventSplitter, EventTooLargeError
from mulberrycleat.entry.protocol import AnswerFacts, ForwardingFacts, HeaderCodec
from mulberrycleat.routes import RouteKind
from mulberrycleat.web.upstream import (
    AnswerHead,
    ConnectError,
    Connection,
    ConnectionPool,
    ExchangeError,
)

__all__ = [
    "ConnectionFailed",
    "Declined",
    "Exchange",
    "ExchangeFailed",
    "ForwardedResponse",
    "FullResponse",
    "Outcome",
    "SERVER_ERROR",
]

# A larger answer is forwarded while it is being read, or is dropped if the request may be retried.
MAX_BUFFERED_BYTES = 262_144
# The body of an endpoint that did not run the request is read so that the connection can be reused,
# but only up to this number of bytes and for this time, in seconds.
MAX_DISCARDED_BYTES, DISCARD_TIMEOUT_S = 16_384, 0.1
# A request that must not run twice reuses a connection only if that has been idle for at most this
# time, in seconds. After a longer idle time, the endpoint's close could already be in transit.
NON_RETRYABLE_MAX_IDLE_S = 0.3
MAX_PRIORITY = 9
SERVER_ERROR = 500
# Callers take these statuses as a promise that the request has not run and will not.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """No connection could be opened, so the request has not reached the endpoint."""

    reason: str
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Declined:
    """The endpoint states that it did not run the request."""

    status: int
    retry_after_s: float | None
    misdirected: bool


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A complete answer, held in memory and not forwarded yet."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class ForwardedResponse:
    """The complete answer has been forwarded to the caller."""

    status: int


@dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """No complete and valid answer came; the endpoint may have run the request.

    `broken` says whether the endpoint ended the connection before the answer was complete, `silent`
    whether it sent nothing for too long.
    """

    reason: str
    broken: bool = False
    silent: bool = False


Outcome = ConnectionFailed | Declined | FullResponse | ForwardedResponse | ExchangeFailed


class Exchange:
    """Send one request to one endpoint.

    Parameters
    ----------
    codec : HeaderCodec
        Reads and writes the headers of the platform.
    connections : ConnectionPool
        Connections to endpoints.
    on_data : callable
        Called when data of the answer arrives.
    on_facts : callable
        Called with the facts read from the answer's headers.
    on_answer : callable
        Called when the first event of a stream, or a complete answer, has arrived with success.
    before_stream : callable
        Awaited before the first event of a stream is forwarded.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        connections: ConnectionPool,
        on_data: Callable[[], None],
        on_facts: Callable[[AnswerFacts], None],
        on_answer: Callable[[], None],
        before_stream: Callable[[], Awaitable[None]],
    ) -> None:
        self._codec = codec
        self._connections = connections
        self._on_data = on_data
        self._on_facts = on_facts
        self._on_answer = on_answer
        self._before_stream = before_stream

    async def run(
        self, call: EntryCall, placement: Placement, first_s: float, pause_s: float
    ) -> Outcome:
        """Send the request, and read or forward its answer.

        Parameters
        ----------
        call, placement : EntryCall, Placement
            The request, and the endpoint that was chosen for it.
        first_s : float
            Time limit for the complete answer, or for the first event of a stream, in seconds.
        pause_s : float
            Time limit between two events, in seconds.
        """
        max_idle_s = float("inf") if call.route.retryable else NON_RETRYABLE_MAX_IDLE_S
        sends_before = call.progress.sends
        first = trio.CancelScope(deadline=trio.current_time() + first_s)
        with first:
            try:
                connection = await self._connections.acquire(placement.entry.address, max_idle_s)
            except ConnectError as error:
                return ConnectionFailed(str(error), error.timed_out)
            kept = False
            try:
                outcome = await self._exchange(call, placement, connection, first, pause_s)
                kept = isinstance(outcome, Declined | FullResponse | ForwardedResponse)
                return outcome
            except ExchangeError as error:
                return ExchangeFailed(str(error), error.broken)
            except EventTooLargeError as error:
                return ExchangeFailed(f"receive {placement.entry.address}: {error}")
            finally:
                if kept:
                    self._connections.put_back(connection)
                else:
                    connection.close()
        if call.progress.sends == sends_before:
            return ConnectionFailed("no connection in time", timed_out=True)
        return ExchangeFailed("silent", silent=True)

    async def _exchange(
        self,
        call: EntryCall,
        placement: Placement,
        connection: Connection,
        first: trio.CancelScope,
        pause_s: float,
    ) -> Outcome:
        call.progress.sends += 1
        call.progress.runs += 1
        call.progress.helper = connection.helper
        headers = self._codec.request_headers(call.headers, self._forwarding_facts(call, placement))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % len(call.body)))
        await connection.send(call.method.encode(), call.target, headers, call.body)
        head = await connection.read_head()
        facts = self._codec.read_answer(head)
        succeeded = 200 <= head.status < 300
        # On a connection that was used before, any answer may be an earlier one once more.
        has_to_name_request = facts.request_id or succeeded or connection.reused
        if has_to_name_request and facts.request_id != call.facts.request_id:
            return ExchangeFailed("the answer belongs to another request")
        self._on_data()
        self._on_facts(facts)
        if facts.not_run:
            call.progress.runs -= 1
            await _discard_body(connection)
            return Declined(head.status, facts.retry_after_s, facts.misdirected)
        if head.status in PROMISES_NOT_RUN:
            reason = f"status {head.status} without the statement that the request was not run"
            return ExchangeFailed(reason)
        if head.get(b"content-encoding") is not None:
            return ExchangeFailed("the answer is encoded, though no encoding was asked for")
        if succeeded and not facts.signed:
            return ExchangeFailed("a success without the endpoint's signature")
        if succeeded and call.route.kind is RouteKind.STREAM:
            return await self._forward_events(call, connection, head, first, pause_s)
        return await self._read_answer(call, placement, connection, head, first)

    async def _read_answer(
        self,
        call: EntryCall,
        placement: Placement,
        connection: Connection,
        head: AnswerHead,
        first: trio.CancelScope,
    ) -> Outcome:
        """Read a complete answer; one that is too large to buffer is forwarded or dropped."""
        chunks: list[bytes] = []
        size = 0
        while chunk := await connection.read_chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                if head.status >= SERVER_ERROR and call.route.retryable:
                    reason = f"status {head.status} with more than {MAX_BUFFERED_BYTES} bytes"
                    return ExchangeFailed(f"receive {placement.entry.address}: {reason}")
                first.deadline = float("inf")
                return await self._forward_rest(call, connection, head, b"".join(chunks))
        self._on_data()
        if 200 <= head.status < 300:
            self._on_answer()
        return FullResponse(head, b"".join(chunks))

    async def _forward_rest(
        self, call: EntryCall, connection: Connection, head: AnswerHead, data: bytes
    ) -> Outcome:
        length = head.get(b"content-length")
        extra = [] if length is None else [(b"content-length", length.encode())]
        await start_answer(call, head.status, [*self._codec.answer_headers(head), *extra])
        await call.responder.write(data)
        while chunk := await connection.read_chunk():
            await call.responder.write(chunk)
        await call.responder.finish()
        return ForwardedResponse(head.status)

    async def _forward_events(
        self,
        call: EntryCall,
        connection: Connection,
        head: AnswerHead,
        first: trio.CancelScope,
        pause_s: float,
    ) -> Outcome:
        """Forward complete events as they arrive; an incomplete event is never forwarded."""
        splitter = EventSplitter()
        progress = call.progress
        # Comments before the first event, which are sent together with it.
        held = b""
        pause = trio.CancelScope(deadline=first.deadline)
        first.deadline = float("inf")
        answered = False
        with pause:
            while chunk := await connection.read_chunk():
                self._on_data()
                events = splitter.feed(chunk)
                if events.count and not answered:
                    answered = True
                    self._on_answer()
                if not events.count:
                    if call.responder.started:
                        await call.responder.write(events.data)
                    else:
                        held += events.data
                    continue
                if not _follows(progress.last_event_id, events.last_id):
                    return ExchangeFailed("events that were passed on before")
                pause.deadline = float("inf")
                if not call.responder.started:
                    await self._before_stream()
                    await start_answer(call, head.status, self._codec.answer_headers(head))
                    progress.first_at = trio.current_time()
                # An event counts only once it is written: after a freeze of the host, the time
                # limit may have expired although the event has arrived; the write is then
                # cancelled.
                await call.responder.write(held + events.data)
                held = b""
                progress.delivered_events += events.count
                progress.last_event_id = _latest(progress.last_event_id, events.last_id)
                pause.deadline = trio.current_time() + pause_s
            pause.deadline = float("inf")
            if splitter.rest.strip():
                return ExchangeFailed("the stream ends within an event", broken=True)
            if not answered and not head.framed:
                return ExchangeFailed("the stream ends without an event", broken=True)
            if not call.responder.started:
                await start_answer(call, head.status, self._codec.answer_headers(head))
            await call.responder.finish(held)
            return ForwardedResponse(head.status)
        return ExchangeFailed("no event in time", silent=True)

    def _forwarding_facts(self, call: EntryCall, placement: Placement) -> ForwardingFacts:
        return ForwardingFacts(
            endpoint=placement.entry.id,
            account=call.account.name if call.account else "",
            remaining_s=max(0.0, call.deadline - trio.current_time()),
            priority=min(max(call.priority, 0), MAX_PRIORITY),
            last_event_id=call.progress.last_event_id,
        )


async def start_answer(call: EntryCall, status: int, headers: list[tuple[bytes, bytes]]) -> None:
    """Send the head of an answer to the caller."""
    pairs = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
    await call.responder.start(status, pairs)


async def _discard_body(connection: Connection) -> None:
    """Read the rest of an answer; a connection whose answer was not read whole is not reused."""
    size = 0
    with trio.move_on_after(DISCARD_TIMEOUT_S), suppress(ExchangeError):
        while size <= MAX_DISCARDED_BYTES and (chunk := await connection.read_chunk()):
            size += len(chunk)


def _follows(before: int | None, now: int | None) -> bool:
    return before is None or now is None or now > before


def _latest(before: int | None, now: int | None) -> int | None:
    return before if now is None else now
