"""HTTP front end: runs callers' requests through the filter chain."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from result import Err, Ok, Result

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.core.logs import exception_origin
from mulberrycleat.core.numbers import parse_count
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.kept_bytes import BodyRoom, KeptBytes, NoRoomError
from mulberrycleat.entry.protocol import HeaderCodec, RequestFacts
from mulberrycleat.entry.shutdown import GracefulShutdown, stopping_refusal
from mulberrycleat.routes import ClientLimits
from mulberrycleat.web.asgi import (
    BodyTooLargeError,
    Responder,
    answer_lifespan,
    discard_body,
    read_body,
    watch_disconnect,
)

__all__ = ["HttpFrontend"]

# Time limit for a request body to arrive, in seconds: after the latest part of it, and in all
# besides the time that its bytes take at the lowest rate, in bytes per second, which is an eighth
# of that of the slowest link of a host. Callers of the platform send bodies at once.
BODY_TIMEOUT_S = 10.0
MIN_BODY_RATE = 65_536
# From this stated length on, a body that is refused anyway is not received, in bytes: the rest of a
# smaller one has mostly arrived, and the connection stays usable.
MIN_REFUSED_BYTES = 16_384
# Retry-after when there is no room for a body, in seconds: other hosts may have room, and the
# answers that are under way end within a second or so.
NO_ROOM_RETRY_AFTER_S = 0.5
# Retry-after of a host that is short of CPU time, in seconds: callers return on a new connection,
# which reaches another host. Callers of plain requests wait that long at the start of their time.
BEHIND_RETRY_AFTER_S = 0.3
# Checkpoints before a request is run, so that a disconnect that arrived right after it is noticed:
# one to read it, one to pass it to the application, and one to cancel the request. This matters
# after a freeze of the host.
DISCONNECT_CHECKPOINTS = 4

Run = Callable[[EntryCall], Awaitable[Result[Served, Refusal]]]


class HttpFrontend:
    """ASGI application that runs each request through the chain.

    Parameters
    ----------
    codec : HeaderCodec
        Reads and writes the headers of the platform.
    run : callable
        Runs the filter chain.
    limits : callable
        Returns the active limits.
    stopping : GracefulShutdown
        Stages of a graceful shutdown.
    decisions : DecisionLog
        Log of the end of each request.
    kept : KeptBytes
        Budget of the bodies that the host keeps.
    find_account : callable
        Returns the name of the client account that owns an API key, empty if there is none.
    has_route : callable
        Whether a route matches a host and a path; True while there is no route map.
    is_full : callable
        Whether the connections of callers hold all the memory that they may.
    on_end : callable
        Called with each request and its outcome, None if the caller disconnected while the request
        was run. It is not called for a caller that disconnects before its body has arrived.
    is_behind : callable, optional
        Whether the next request is refused, because this host is short of CPU time.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        run: Run,
        limits: Callable[[], ClientLimits],
        stopping: GracefulShutdown,
        decisions: DecisionLog,
        kept: KeptBytes,
        find_account: Callable[[str], str],
        has_route: Callable[[str, str], bool],
        is_full: Callable[[], bool],
        on_end: Callable[[EntryCall, Result[Served, Refusal] | None], None],
        is_behind: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_behind = is_behind
        self._codec = codec
        self._run = run
        self._limits = limits
        self._shutdown = stopping
        self._decisions = decisions
        self._kept = kept
        self._find_account = find_account
        self._has_route = has_route
        self._is_full = is_full
        self._on_end = on_end

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope: a request, or the start and the end of the server."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            responder = Responder(self._shutdown.closing(send))
            with self._shutdown.request():
                await self._serve(scope, receive, responder)

    async def _serve(self, scope: Any, receive: Any, responder: Responder) -> None:
        arrived = trio.current_time()
        headers = [(name.lower(), value) for name, value in scope["headers"]]
        facts = self._codec.read_request(headers)
        call = _make_call(scope, headers, b"", arrived, facts, responder)
        room = BodyRoom(self._kept, self._find_account(facts.api_key or ""))
        try:
            if self._is_behind():
                reason = "this host is short of CPU time"
                refusal = NotRun(Step.RECEIVE, "", reason, 503, BEHIND_RETRY_AFTER_S, "host_behind")
                await self._end_unread(call, receive, refusal)
                return
            body = await self._read_body(call, receive, room)
            if body is not None:
                call = _make_call(scope, headers, body, arrived, facts, responder)
                await self._run_chain(call, receive)
        finally:
            room.close()

    async def _read_body(self, call: EntryCall, receive: Any, room: BodyRoom) -> bytes | None:
        """Return the body of a request, or None if the request has ended instead."""
        body: bytes | None = None
        fault: type[Exception] | None = None
        max_bytes = self._limits().max_body_bytes
        stated = _stated_length(call.headers)
        early = self._early_refusal(call, stated, max_bytes)
        if early is not None:
            await self._end(call, Err(early), closes=True)
            return None

        def cover(size: int) -> None:
            room.cover(size)
            latest = call.arrived + size / MIN_BODY_RATE
            receiving.deadline = BODY_TIMEOUT_S + min(latest, trio.current_time())

        try:
            room.cover(min(stated or 0, max_bytes))
            with self._shutdown.abortable() as abortable:
                with trio.fail_after(BODY_TIMEOUT_S) as receiving:
                    body = await read_body(receive, max_bytes, cover)
        except (NoRoomError, BodyTooLargeError, trio.TooSlowError) as error:
            fault = type(error)
        # Outside the `except` clause: the exception would keep what has been received of the body.
        if fault is NoRoomError:
            room.close()
            reason = "the bodies of other requests take the memory of this host"
            refusal = NotRun(Step.RECEIVE, "", reason, 503, NO_ROOM_RETRY_AFTER_S, "no_room")
            await self._end_unread(call, receive, refusal)
            return None
        if fault is BodyTooLargeError:
            await self._end(call, Err(_bad_request(413, "the body is larger than the limit")))
            return None
        if fault is trio.TooSlowError:
            await self._end(call, Err(_bad_request(408, "the body took too long to arrive")))
            return None
        is_aborted = abortable.cancelled_caught
        if is_aborted or (body is not None and self._shutdown.refuses_requests):
            refusal = stopping_refusal(call.progress, "this host is about to end")
            await self._end(call, Err(refusal))
            return None
        return body

    def _early_refusal(self, call: EntryCall, stated: int | None, max_bytes: int) -> NotRun | None:
        """Return the refusal of a request whose body need not be received, or None."""
        if self._is_full():
            reason = "the connections of other callers take the memory of this host"
            return NotRun(Step.RECEIVE, "", reason, 503, NO_ROOM_RETRY_AFTER_S, "no_room")
        if stated is not None and stated < MIN_REFUSED_BYTES:
            return None
        if stated is not None and stated > max_bytes:
            return _bad_request(413, "the body is larger than the limit")
        if not self._has_route(call.host, call.path):
            return NotRun(Step.ADMIT, "", "no such route", 404, None, "unknown_route")
        return None

    async def _end_unread(self, call: EntryCall, receive: Any, refusal: NotRun) -> None:
        """Refuse a request whose body is not kept.

        The rest of the body is received and dropped: a caller that still sends would not read the
        refusal from a connection that is reset.
        """
        self._log_end(call, Err(refusal))
        self._on_end(call, Err(refusal))
        await call.responder.write(await self._start_refusal(call, refusal))
        with self._shutdown.abortable(), trio.move_on_after(BODY_TIMEOUT_S):
            await discard_body(receive)
        await call.responder.finish()

    async def _run_chain(self, call: EntryCall, receive: Any) -> None:
        outcome: Result[Served, Refusal] | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, receive, call.responder, nursery)
                for _ in range(DISCONNECT_CHECKPOINTS):
                    await trio.lowlevel.checkpoint()
                with self._shutdown.abortable() as abortable:
                    outcome = await self._run_caught(call)
                if abortable.cancelled_caught:
                    reason = "this host ends before the answer is whole"
                    outcome = Err(stopping_refusal(call.progress, reason))
                nursery.cancel_scope.cancel()
        except Exception as error:
            outcome = self._internal_error(call, error)
        await self._end(call, outcome)

    async def _run_caught(self, call: EntryCall) -> Result[Served, Refusal]:
        """Run the chain.

        An exception that passed through a nursery with another task would leave a reference cycle,
        in which the frames of its traceback keep the request.
        """
        try:
            return await self._run(call)
        except Exception as error:
            return self._internal_error(call, error)

    def _internal_error(self, call: EntryCall, error: Exception) -> Err[Refusal]:
        self._decisions.warning(
            "internal error", request=call.facts.request_id, why=exception_origin(error)
        )
        return Err(_internal_error(call))

    async def _end(
        self, call: EntryCall, outcome: Result[Served, Refusal] | None, closes: bool = False
    ) -> None:
        self._log_end(call, outcome)
        self._on_end(call, outcome)
        if isinstance(outcome, Err) and not call.responder.started:
            await self._refuse(call, outcome.err_value, closes)

    async def _refuse(self, call: EntryCall, refusal: Refusal, closes: bool) -> None:
        body = await self._start_refusal(call, refusal, closes)
        await call.responder.finish(body)

    async def _start_refusal(
        self, call: EntryCall, refusal: Refusal, closes: bool = False
    ) -> bytes:
        """Send the head of a refusal, and return its body.

        A refusal that `closes` is the last answer on its connection.
        """
        retry_s = refusal.retry_after_s if isinstance(refusal, NotRun) else None
        headers = self._codec.refusal_headers(call.facts.request_id, retry_s)
        body = f"{refusal.code}: {refusal.reason}\n".encode()
        pairs = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers]
        pairs.append(("content-type", "text/plain; charset=utf-8"))
        pairs.append(("content-length", str(len(body))))
        if closes or refusal.status in (408, 413):
            pairs.append(("connection", "close"))
        await call.responder.start(refusal.status, tuple(pairs))
        return body

    def _log_end(self, call: EntryCall, outcome: Result[Served, Refusal] | None) -> None:
        progress, now = call.progress, trio.current_time()
        fields: dict[str, Any] = {
            "request": call.facts.request_id,
            "route": progress.route,
            "account": progress.account,
            "map_version": progress.map_version,
            "endpoint": progress.endpoint,
            "sends": progress.sends,
            "tokens_used": progress.tokens_used,
            "took_s": round(now - call.arrived, 4),
        }
        if math.isfinite(progress.map_age_s):
            fields["map_age_s"] = round(progress.map_age_s, 3)
        if math.isfinite(progress.deadline):
            fields["left_s"] = round(progress.deadline - now, 3)
        match outcome:
            case Ok(_):
                first_at = progress.first_at
                first_s = None if first_at is None else round(first_at - call.arrived, 4)
                self._decisions.info("served", first_s=first_s, **fields)
            case Err(refusal):
                retry_s = refusal.retry_after_s if isinstance(refusal, NotRun) else None
                self._decisions.warning(
                    "refused",
                    step=refusal.step.value,
                    code=refusal.code,
                    status=refusal.status,
                    ran=refusal.outcome,
                    why=refusal.reason,
                    retry_after_s=retry_s,
                    broken_off=call.responder.started,
                    **fields,
                )
            case None:
                self._decisions.info("caller gone", **fields)


def _make_call(
    scope: Any,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    arrived: float,
    facts: RequestFacts,
    responder: Responder,
) -> EntryCall:
    query = scope["query_string"]
    raw_path = scope["raw_path"]
    host = next((value.decode("latin-1") for name, value in headers if name == b"host"), "")
    return EntryCall(
        method=scope["method"],
        target=raw_path + (b"?" + query if query else b""),
        path=raw_path.decode("latin-1"),
        host=host,
        headers=headers,
        body=body,
        arrived=arrived,
        facts=facts,
        responder=responder,
    )


def _stated_length(headers: list[tuple[bytes, bytes]]) -> int | None:
    """Return the length that a request states for its body, None if it comes in chunks."""
    for name, value in headers:
        if name == b"content-length":
            return parse_count(value.decode("latin-1")) or 0
        if name == b"transfer-encoding":
            return None
    return 0


def _bad_request(status: int, reason: str) -> NotRun:
    return NotRun(Step.RECEIVE, "", reason, status, None, "bad_request")


def _internal_error(call: EntryCall) -> Refusal:
    """Return the refusal of a request whose handling has raised an exception."""
    reason = "an internal error of the entry host"
    if call.progress.runs:
        return MayHaveRun(Step.RECEIVE, "", reason, 500, "internal")
    return NotRun(Step.RECEIVE, "", reason, 500, None, "internal")


async def _cancel_on_disconnect(receive: Any, responder: Responder, nursery: trio.Nursery) -> None:
    await watch_disconnect(receive, responder)
    if responder.gone.is_set():
        nursery.cancel_scope.cancel()
