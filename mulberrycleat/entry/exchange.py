"""One attempt of a request at one endpoint, until its answer has ended."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import trio

from mulberrycleat.endpoint.placer import Placement
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.events import CompleteEvents, EventSplitter, EventTooLargeError
from mulberrycleat.entry.protocol import AnswerFacts, ForwardingFacts, HeaderCodec
from mulberrycleat.entry.silence import ReplacedError, Silence, SilenceLimits
from mulberrycleat.routes import RouteKind
from mulberrycleat.web.upstream import (
    MAX_JOINED_BYTES,
    AnswerHead,
    ConnectError,
    Connection,
    ConnectionPool,
    ExchangeError,
)

__all__ = [
    "Carrier",
    "ConnectionFailed",
    "Declined",
    "Exchange",
    "ExchangeFailed",
    "ExchangeHooks",
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
    whether it was given up because it sent nothing for too long.
    """

    reason: str
    broken: bool = False
    silent: bool = False


Outcome = ConnectionFailed | Declined | FullResponse | ForwardedResponse | ExchangeFailed


class Carrier(NamedTuple):
    """Connection of an exchange, and the number of the exchange on it, for log lines."""

    address: str
    connection: int
    exchange: int


class ExchangeHooks(NamedTuple):
    """What an exchange calls as it proceeds.

    Attributes
    ----------
    on_sending : callable
        Called when the request begins to be sent.
    on_data : callable
        Called when data of the answer arrives.
    on_facts : callable
        Called with the facts read from the answer's headers.
    on_accepted : callable
        Called when something of the answer is about to be forwarded: the next events of a stream,
        or an answer that is complete or too large to be held, and no server error.
    on_answer : callable
        Called when the first event of a stream, or a complete answer, has arrived with success.
    before_stream : callable
        Awaited before the first event of a stream is forwarded.
    replace : callable
        Awaited with a reason when the endpoint is silent for too long. Sends the request on, and
        returns how it ended there, or None if no other endpoint has taken over.
    next_read_at : callable
        Called with the time at which events were forwarded; returns the time from which those that
        follow are read, so that a busy host forwards several at once.
    """

    on_sending: Callable[[], None]
    on_data: Callable[[], None]
    on_facts: Callable[[AnswerFacts], None]
    on_accepted: Callable[[], None]
    on_answer: Callable[[], None]
    before_stream: Callable[[], Awaitable[None]]
    replace: Callable[[str], Awaitable[Outcome | None]]
    next_read_at: Callable[[float], float] = lambda now: now


class Exchange:
    """Send one request to one endpoint.

    An endpoint that is silent for too long may be sound and only slow. Its answer is therefore
    awaited until another endpoint has taken over.

    Parameters
    ----------
    codec : HeaderCodec
        Reads and writes the headers of the platform.
    connections : ConnectionPool
        Connections to endpoints.
    hooks : ExchangeHooks
        What is called as the exchange proceeds.
    """

    def __init__(
        self, codec: HeaderCodec, connections: ConnectionPool, hooks: ExchangeHooks
    ) -> None:
        self._codec = codec
        self._connections = connections
        self._hooks = hooks
        self._connection: Connection | None = None
        self._carrier: Carrier | None = None
        self._silence: Silence[Outcome] | None = None
        self._has_run_before = False
        self._has_forwarded = False

    @property
    def carrier(self) -> Carrier | None:
        """The connection on which the request was sent; None if it was not sent."""
        return self._carrier

    @property
    def failure(self) -> ExchangeError | None:
        """How the endpoint has failed while another one was tried; None if it was only silent."""
        return self._silence.failure if self._silence is not None else None

    @property
    def went_on(self) -> bool:
        """Whether the endpoint has gone on while another one was tried, which then ends."""
        return self._silence is not None and self._silence.went_on

    @property
    def has_forwarded(self) -> bool:
        """Whether events of this endpoint have been forwarded."""
        return self._has_forwarded

    @property
    def tried_in_vain(self) -> bool:
        """Whether another endpoint was tried in this silence, and was given up."""
        return self._silence is not None and self._silence.tried_in_vain

    def note_vain_try(self) -> None:
        """Note that another endpoint was tried in this silence, and was given up."""
        self._silence.note_vain_try()

    @property
    def silent_s(self) -> float:
        """Time since the last event, or since the attempt began, in seconds."""
        return self._silence.silent_s if self._silence is not None else 0.0

    def give_up(self) -> None:
        """Close the connection, as another endpoint has taken over."""
        if self._silence is not None:
            self._silence.note_replaced()
        self.close()

    def close(self) -> None:
        """Close the connection at once, whereupon the endpoint ends its work on the request."""
        if self._connection is not None:
            self._connection.close()

    async def run(self, call: EntryCall, placement: Placement, limits: SilenceLimits) -> Outcome:
        """Send the request, and read or forward its answer."""
        max_idle_s = float("inf") if call.route.retryable else NON_RETRYABLE_MAX_IDLE_S
        address = placement.entry.address
        kept = False
        silence = Silence(limits.first_s, self._hooks.replace)
        try:
            with trio.move_on_after(limits.connect_s):
                self._connection = await self._connections.acquire(address, max_idle_s)
            if self._connection is None:
                return ConnectionFailed("no connection in time", timed_out=True)
            self._silence = silence
            await self._send(call, placement, self._connection, silence)
            outcome = await self._read(call, placement, self._connection, silence, limits.pause_s)
            kept = isinstance(outcome, Declined | FullResponse | ForwardedResponse)
            return outcome
        except ReplacedError as replaced:
            return replaced.outcome
        except ConnectError as error:
            return ConnectionFailed(str(error), error.timed_out)
        except ExchangeError as error:
            return ExchangeFailed(str(error), error.broken)
        finally:
            if kept:
                self._connections.put_back(self._connection)
            else:
                self.close()

    async def _send(
        self,
        call: EntryCall,
        placement: Placement,
        connection: Connection,
        silence: Silence[Outcome],
    ) -> None:
        call.progress.sends += 1
        self._has_run_before = placement.entry.id in call.progress.run_at
        call.progress.run_at.add(placement.entry.id)
        call.progress.helper = connection.helper
        headers = self._codec.request_headers(call.headers, self._forwarding_facts(call, placement))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % len(call.body)))
        send = partial(connection.send, call.method.encode(), call.target, headers, call.body)
        self._carrier = Carrier(connection.address, connection.number, connection.exchanges + 1)
        self._hooks.on_sending()
        if len(call.body) <= MAX_JOINED_BYTES:
            await send()
        else:
            await _send_within(silence, connection, send)

    async def _read(
        self,
        call: EntryCall,
        placement: Placement,
        connection: Connection,
        silence: Silence[Outcome],
        pause_s: float,
    ) -> Outcome:
        head = await silence.limit(connection, connection.read_head)
        facts = self._codec.read_answer(head)
        succeeded = 200 <= head.status < 300
        # On a connection that was used before, any answer may be an earlier one once more.
        has_to_name_request = facts.request_id or succeeded or connection.reused
        if has_to_name_request and facts.request_id != call.facts.request_id:
            return ExchangeFailed("the answer belongs to another request")
        self._hooks.on_data()
        self._hooks.on_facts(facts)
        if facts.not_run:
            if not self._has_run_before:
                call.progress.run_at.remove(placement.entry.id)
            connection.note_refused(call.facts.request_id)
            await _discard_body(connection)
            return Declined(head.status, facts.retry_after_s, facts.misdirected)
        if head.status in PROMISES_NOT_RUN:
            reason = f"status {head.status} without the statement that the request was not run"
            return ExchangeFailed(reason)
        if head.get(b"content-encoding") is not None:
            return ExchangeFailed("the answer is encoded, though no encoding was asked for")
        if succeeded and not facts.signed:
            return ExchangeFailed("a success without the endpoint's signature")
        if call.responder.started and not (
            succeeded and head.media_type == call.progress.media_type
        ):
            return ExchangeFailed(f"status {head.status} in place of the rest of the answer")
        if succeeded and call.route.kind is RouteKind.STREAM:
            return await self._forward_events(call, connection, head, silence, pause_s)
        return await self._read_answer(call, placement, connection, head, silence)

    async def _read_answer(
        self,
        call: EntryCall,
        placement: Placement,
        connection: Connection,
        head: AnswerHead,
        silence: Silence[Outcome],
    ) -> Outcome:
        """Read a complete answer; one that is too large to buffer is forwarded or dropped."""
        chunks: list[bytes] = []
        size = 0
        while chunk := await silence.limit(connection, connection.read_chunk):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                if head.status >= SERVER_ERROR and call.route.retryable:
                    reason = f"status {head.status} with more than {MAX_BUFFERED_BYTES} bytes"
                    return ExchangeFailed(f"receive {placement.entry.address}: {reason}")
                return await self._forward_rest(call, connection, head, chunks)
        self._hooks.on_data()
        if head.status < SERVER_ERROR:
            self._hooks.on_accepted()
        if 200 <= head.status < 300:
            self._hooks.on_answer()
        return FullResponse(head, b"".join(chunks))

    async def _forward_rest(
        self, call: EntryCall, connection: Connection, head: AnswerHead, chunks: list[bytes]
    ) -> Outcome:
        self._hooks.on_accepted()
        length = head.get(b"content-length")
        extra = [] if length is None else [(b"content-length", length.encode())]
        await start_answer(call, head.status, [*self._codec.answer_headers(head), *extra])
        # A chunk is kept only until the caller has taken it, and without a copy of all of them.
        chunks.reverse()
        while chunks:
            await call.responder.write(chunks.pop())
        while chunk := await connection.read_chunk():
            await call.responder.write(chunk)
        await call.responder.finish()
        return ForwardedResponse(head.status)

    async def _forward_events(
        self,
        call: EntryCall,
        connection: Connection,
        head: AnswerHead,
        silence: Silence[Outcome],
        pause_s: float,
    ) -> Outcome:
        """Forward complete events as they arrive; an incomplete event is never forwarded."""
        splitter = EventSplitter()
        progress = call.progress
        goes_on = call.responder.started
        # Comments before the first event, which are sent together with it.
        held = b""
        answered = False
        read = partial(self._read_blocks, connection, splitter)
        while (events := await silence.limit(connection, read)) is not None:
            if not events.count:
                if answered:
                    await call.responder.write(events.data)
                else:
                    held += events.data
                continue
            fault = progress.order.fault(events.ids, goes_on)
            if fault:
                return ExchangeFailed(fault)
            if not answered:
                answered = True
                self._hooks.on_accepted()
                self._hooks.on_answer()
            if not call.responder.started:
                await self._hooks.before_stream()
                progress.media_type = head.media_type
                await start_answer(call, head.status, self._codec.answer_headers(head))
                progress.first_at = trio.current_time()
            # An event counts only once it is written: the write is cancelled if the request's
            # deadline has passed meanwhile.
            await call.responder.write(held + events.data)
            held = b""
            progress.delivered_events += events.count
            progress.order.add(events.ids)
            self._has_forwarded = True
            silence.restart(pause_s)
            forwarded_at = trio.current_time()
            next_read_at = self._hooks.next_read_at(forwarded_at)
            if next_read_at > forwarded_at:
                await trio.sleep_until(next_read_at)
        if splitter.rest.strip():
            return ExchangeFailed("the stream ends within an event", broken=True)
        if not answered and goes_on:
            return ExchangeFailed("no event in place of the rest of the stream")
        if not answered and not head.framed:
            return ExchangeFailed("the stream ends without an event", broken=True)
        self._hooks.on_accepted()
        if not call.responder.started:
            await start_answer(call, head.status, self._codec.answer_headers(head))
        await call.responder.finish(held)
        return ForwardedResponse(head.status)

    async def _read_blocks(
        self, connection: Connection, splitter: EventSplitter
    ) -> CompleteEvents | None:
        """Return the next complete blocks of a stream; None at its end.

        Bytes of a block that is not complete don't end a silence: an endpoint may send them without
        ever completing an event. They are kept in `splitter` if this is cancelled.
        """
        while chunk := await connection.read_chunk():
            self._hooks.on_data()
            try:
                events = splitter.feed(chunk)
            except EventTooLargeError as error:
                raise ExchangeError(f"receive {connection.address}: {error}") from error
            if events.data:
                return events
        return None

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


async def _send_within(
    silence: Silence[Outcome], connection: Connection, send: Callable[[], Awaitable[None]]
) -> None:
    """Send a large request; an endpoint that does not read it is silent.

    A send that is cancelled can't be continued, so it is awaited from another task.
    """
    ended = trio.Event()
    errors: list[ExchangeError | ReplacedError] = []

    async def run() -> None:
        try:
            await send()
        except ExchangeError as error:
            errors.append(error)
        ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        try:
            await silence.limit(connection, ended.wait)
        except (ExchangeError, ReplacedError) as error:
            # When another endpoint takes over, the connection is closed, and the send fails.
            errors[:] = [error]
        nursery.cancel_scope.cancel()
    if errors:
        # Taken out, as the list is in a frame of the error's traceback.
        raise errors.pop()


async def _discard_body(connection: Connection) -> None:
    """Read the rest of an answer; a connection whose answer was not read whole is not reused."""
    size = 0
    with trio.move_on_after(DISCARD_TIMEOUT_S), suppress(ExchangeError):
        while size <= MAX_DISCARDED_BYTES and (chunk := await connection.read_chunk()):
            size += len(chunk)
