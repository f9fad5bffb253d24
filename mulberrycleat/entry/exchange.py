"""One send of a request to one endpoint, up to the end of its answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from mulberrycleat.endpoint.placer import Placement
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.events import EventSplitter
from mulberrycleat.entry.protocol import AnswerFacts, Forwarded, HeaderCodec
from mulberrycleat.routes import RouteKind
from mulberrycleat.web.upstream import (
    AnswerHead,
    ConnectError,
    Connection,
    ConnectionPool,
    ExchangeError,
)

__all__ = ["Broken", "Delivered", "Exchange", "Outcome", "Turned", "Unreached", "Whole"]

# A larger answer is passed on while it is read.
MAX_HELD_BYTES = 262_144
# A request that must not run twice uses a kept connection only when the endpoint was heard from
# this lately, so that a close of its side can't be on its way.
FRESH_IDLE_S = 0.3
LARGEST_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Unreached:
    """No connection could be opened: the request has not arrived."""

    reason: str
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Turned:
    """The endpoint states that it has not run the request."""

    status: int
    retry_after_s: float | None
    other_endpoint: bool


@dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer that has not been passed on yet."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Delivered:
    """The answer has been passed on to its end."""

    status: int


@dataclass(frozen=True, slots=True)
class Broken:
    """No whole answer that can be trusted; the endpoint may have run the request."""

    reason: str


Outcome = Unreached | Turned | Whole | Delivered | Broken


class Exchange:
    """Send one request to one endpoint.

    Parameters
    ----------
    dialect : HeaderCodec
        Headers of the platform.
    connections : ConnectionPool
        Connections to endpoints.
    on_heard : callable
        Called whenever bytes of the answer have come.
    on_facts : callable
        Gets what the head of the answer says.
    """

    def __init__(
        self,
        dialect: HeaderCodec,
        connections: ConnectionPool,
        on_heard: Callable[[], None],
        on_facts: Callable[[AnswerFacts], None],
    ) -> None:
        self._dialect = dialect
        self._connections = connections
        self._on_heard = on_heard
        self._on_facts = on_facts

    async def run(
        self, call: EntryCall, placement: Placement, first_s: float, pause_s: float
    ) -> Outcome:
        """Send the request and read, or pass on, its answer.

        Parameters
        ----------
        first_s : float
            Longest wait for the answer, or for the first event of a stream, in seconds.
        pause_s : float
            Longest wait between two events, in seconds.
        """
        max_idle_s = float("inf") if call.route.repeatable else FRESH_IDLE_S
        sends_before = call.progress.sends
        first = trio.CancelScope(deadline=trio.current_time() + first_s)
        with first:
            try:
                connection = await self._connections.take(placement.entry.address, max_idle_s)
            except ConnectError as error:
                return Unreached(str(error), error.silent)
            kept = False
            try:
                outcome = await self._exchange(call, placement, connection, first, pause_s)
                kept = isinstance(outcome, Turned | Whole | Delivered)
                return outcome
            except ExchangeError as error:
                return Broken(str(error))
            finally:
                if kept:
                    self._connections.give_back(connection)
                else:
                    connection.close()
        if call.progress.sends == sends_before:
            return Unreached("no connection in time", silent=True)
        return Broken("silent")

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
        headers = self._dialect.request_headers(call.headers, self._forwarded(call, placement))
        if call.body or call.method not in ("GET", "HEAD"):
            headers.append((b"content-length", b"%d" % len(call.body)))
        await connection.send(call.method.encode(), call.target, headers, call.body)
        head = await connection.head()
        facts = self._dialect.read_answer(head)
        if facts.request_id and facts.request_id != call.facts.request_id:
            return Broken("the answer belongs to another request")
        self._on_heard()
        self._on_facts(facts)
        if facts.not_run:
            call.progress.runs -= 1
            await _read_whole(connection)
            return Turned(head.status, facts.retry_after_s, facts.other_endpoint)
        if head.get(b"content-encoding") is not None:
            return Broken("the answer is encoded, though no encoding was asked for")
        succeeded = 200 <= head.status < 300
        if succeeded and not facts.sealed:
            return Broken("a success without the endpoint's signature")
        if succeeded and call.route.kind is RouteKind.STREAM:
            return await self._pass_events(call, connection, head, first, pause_s)
        return await self._read_answer(call, connection, head, first)

    async def _read_answer(
        self, call: EntryCall, connection: Connection, head: AnswerHead, first: trio.CancelScope
    ) -> Outcome:
        chunks: list[bytes] = []
        size = 0
        while chunk := await connection.chunk():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_HELD_BYTES and 200 <= head.status < 300:
                first.deadline = float("inf")
                return await self._pass_rest(call, connection, head, b"".join(chunks))
        self._on_heard()
        return Whole(head, b"".join(chunks))

    async def _pass_rest(
        self, call: EntryCall, connection: Connection, head: AnswerHead, data: bytes
    ) -> Outcome:
        length = head.get(b"content-length")
        extra = [] if length is None else [(b"content-length", length.encode())]
        await start_answer(call, head.status, [*self._dialect.answer_headers(head), *extra])
        await call.responder.write(data)
        while chunk := await connection.chunk():
            await call.responder.write(chunk)
        await call.responder.finish()
        return Delivered(head.status)

    async def _pass_events(
        self,
        call: EntryCall,
        connection: Connection,
        head: AnswerHead,
        first: trio.CancelScope,
        pause_s: float,
    ) -> Outcome:
        """Pass whole events on as they come; a broken event is never passed on."""
        splitter = EventSplitter()
        progress = call.progress
        pause = trio.CancelScope(deadline=first.deadline)
        first.deadline = float("inf")
        with pause:
            while chunk := await connection.chunk():
                self._on_heard()
                events = splitter.feed(chunk)
                if not events.count:
                    continue
                if not _follows(progress.last_event_id, events.last_id):
                    return Broken("events that were passed on before")
                pause.deadline = float("inf")
                if not call.responder.started:
                    await start_answer(call, head.status, self._dialect.answer_headers(head))
                    progress.first_at = trio.current_time()
                # Written first: after a freeze the pause may be over though the event is there.
                await call.responder.write(events.data)
                progress.delivered_events += events.count
                progress.last_event_id = _latest(progress.last_event_id, events.last_id)
                pause.deadline = trio.current_time() + pause_s
            pause.deadline = float("inf")
            if splitter.rest.strip():
                return Broken("the stream ends within an event")
            if not call.responder.started:
                await start_answer(call, head.status, self._dialect.answer_headers(head))
            await call.responder.finish()
            return Delivered(head.status)
        return Broken("no event in time")

    def _forwarded(self, call: EntryCall, placement: Placement) -> Forwarded:
        return Forwarded(
            endpoint=placement.entry.id,
            account=call.account.name if call.account else "",
            time_left_s=max(0.0, call.deadline - trio.current_time()),
            priority=min(max(call.priority, 0), LARGEST_PRIORITY),
            last_event_id=call.progress.last_event_id,
        )


async def start_answer(call: EntryCall, status: int, headers: list[tuple[bytes, bytes]]) -> None:
    """Send the head of an answer to the caller."""
    pairs = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
    await call.responder.start(status, pairs)


async def _read_whole(connection: Connection) -> bytes:
    chunks = []
    while chunk := await connection.chunk():
        chunks.append(chunk)
    return b"".join(chunks)


def _follows(before: int | None, now: int | None) -> bool:
    return before is None or now is None or now > before


def _latest(before: int | None, now: int | None) -> int | None:
    return before if now is None else now
