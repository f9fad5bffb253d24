"""A small ASGI application: routes, bounded bodies, typed replies."""

from __future__ import annotations

import logging
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

import msgspec
import trio

__all__ = [
    "App",
    "BodyTooLargeError",
    "Reply",
    "Request",
    "Responder",
    "Route",
    "answer_lifespan",
    "json_reply",
    "read_body",
    "watch_disconnect",
]

log = logging.getLogger(__name__)

DEFAULT_MAX_BODY_BYTES = 1_048_576
DEFAULT_RECEIVE_TIMEOUT_S = 10.0


class BodyTooLargeError(Exception):
    """The body is larger than the bound."""


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request, read whole.

    Attributes
    ----------
    method : str
        In upper case.
    path : str
        Without the query.
    headers : mapping
        By lower-case name; of a repeated header the last value.
    query : mapping
        Query parameters.
    body : bytes
        The body.
    params : mapping
        Named parts of the route's pattern.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes
    params: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer sent in one piece."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Responder:
    """The way back to the caller of one request.

    A handler either returns a :class:`Reply` or calls :meth:`start`, :meth:`write` and
    :meth:`finish` itself and returns None. A message to the server is never cut off by a
    cancellation: the server would take the answer for one that has not begun, or keep a connection
    on which the end of an answer is missing. How long a message may take is bounded by the send
    timeout of the connection.
    """

    def __init__(self, send: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
        self._send_message = send
        self._started = False
        self._finished = False
        self._gone = trio.Event()

    @property
    def started(self) -> bool:
        """Whether a status line has been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer is complete."""
        return self._finished

    @property
    def gone(self) -> trio.Event:
        """Set when the caller has closed the connection."""
        return self._gone

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the status line and the headers."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._started = True
        pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        await self._send({"type": "http.response.start", "status": status, "headers": pairs})

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._finished = True
        await self._send({"type": "http.response.body", "body": data, "more_body": False})

    async def _send(self, message: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        with trio.CancelScope(shield=True):
            await self._send_message(message)

    async def reply(self, reply: Reply) -> None:
        """Send a whole answer."""
        length = ("content-length", str(len(reply.body)))
        await self.start(reply.status, (length, *reply.headers))
        await self.finish(reply.body)


Handler = Callable[[Request, Responder], Awaitable[Reply | None]]


class Route(NamedTuple):
    """A method, a path pattern such as ``/v1/streams/{stream}/records``, and its handler."""

    method: str
    pattern: str
    handler: Handler


class App:
    """Serve routes over ASGI.

    Parameters
    ----------
    routes : tuple of Route
        Tried in order. ``{name}`` matches one path segment and ``{name:path}`` the rest.
    max_body_bytes : int
        A larger body is answered with 413.
    receive_timeout_s : float
        A body that takes longer to arrive is answered with 408, in seconds.
    problem : callable
        Makes the body and content type of an error from a status and a reason.
    """

    def __init__(
        self,
        routes: tuple[Route, ...],
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        receive_timeout_s: float = DEFAULT_RECEIVE_TIMEOUT_S,
        problem: Callable[[int, str], Reply] | None = None,
    ) -> None:
        self._routes = [(route, _compile(route.pattern)) for route in routes]
        self._max_body_bytes = max_body_bytes
        self._receive_timeout_s = receive_timeout_s
        self._problem = problem or (lambda status, reason: json_reply({"error": reason}, status))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, Responder(send))

    async def _serve(self, scope: Any, receive: Any, responder: Responder) -> None:
        found, allowed = self._find(scope["method"], scope["path"])
        if found is None:
            status = 405 if allowed else 404
            reason = "method not allowed" if allowed else f"no such path: {scope['path']}"
            await responder.reply(self._problem(status, reason))
            return
        route, params = found
        try:
            with trio.fail_after(self._receive_timeout_s):
                body = await read_body(receive, self._max_body_bytes)
        except BodyTooLargeError:
            reason = f"the body is larger than {self._max_body_bytes} bytes"
            await responder.reply(self._problem(413, reason))
            return
        except trio.TooSlowError:
            await responder.reply(self._problem(408, "the body took too long to arrive"))
            return
        if body is None:
            return
        request = _request(scope, body, params)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_disconnect, receive, responder)
            reply = await route.handler(request, responder)
            if reply is not None:
                await responder.reply(reply)
            nursery.cancel_scope.cancel()

    def _find(self, method: str, path: str) -> tuple[tuple[Route, Mapping[str, str]] | None, bool]:
        allowed = False
        for route, pattern in self._routes:
            if match := pattern.fullmatch(path):
                if route.method == method:
                    return (route, match.groupdict()), True
                allowed = True
        return None, allowed


def json_reply(value: Any, status: int = 200) -> Reply:
    """Return `value` as a JSON answer."""
    body = msgspec.json.encode(value)
    return Reply(status, body, (("content-type", "application/json"),))


def _compile(pattern: str) -> re.Pattern[str]:
    text = re.sub(r"\{(\w+):path\}", r"(?P<\1>.*)", pattern)
    return re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", text))


def _request(scope: Any, body: bytes, params: Mapping[str, str]) -> Request:
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
    return Request(scope["method"], scope["path"], headers, query, body, params)


async def read_body(receive: Any, bound: int) -> bytes | None:
    """Return the whole body, or None when the caller went away; raises BodyTooLargeError."""
    chunks: list[bytes] = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        chunk = event.get("body", b"")
        size += len(chunk)
        if size > bound:
            raise BodyTooLargeError
        chunks.append(chunk)
        if not event.get("more_body"):
            return b"".join(chunks)


async def watch_disconnect(receive: Any, responder: Responder) -> None:
    """Wait until the caller closes its connection or has its whole answer."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            if not responder.finished:
                responder.gone.set()
            return


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Answer the server's questions at its start and stop."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
