"""A small ASGI application with routes, a size limit on request bodies, and typed replies."""

from __future__ import annotations

import logging
import re
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qsl

import msgspec
import trio

__all__ = [
    "App",
    "BodyTooLargeError",
    "NoRoomError",
    "Reply",
    "Request",
    "Responder",
    "Room",
    "Route",
    "answer_lifespan",
    "discard_body",
    "json_reply",
    "read_body",
    "watch_disconnect",
]

log = logging.getLogger(__name__)

DEFAULT_MAX_BODY_BYTES = 1_048_576
DEFAULT_RECEIVE_TIMEOUT_S = 10.0


class BodyTooLargeError(Exception):
    """The request body exceeds the size limit."""


class NoRoomError(Exception):
    """There is no room for further bytes of a body."""


class Room(Protocol):
    """Room for the body of one request."""

    def cover(self, size: int) -> None:
        """Take room for a body of `size` bytes in all; raises :class:`NoRoomError`."""

    def close(self) -> None:
        """Give the room back."""


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request with its complete body.

    Attributes
    ----------
    method : str
        HTTP method in upper case.
    path : str
        Path without the query.
    headers : mapping
        Values by lower-case header name; the last value of a repeated header.
    query : mapping
        Query parameters.
    body : bytes
        Complete body.
    params : mapping
        Path segments matched by the names in the route's pattern.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes
    params: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response: status, body and headers."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Responder:
    """Sends the response to the caller of one request.

    A handler either returns a :class:`Reply` or calls :meth:`start`, :meth:`write` and
    :meth:`finish` itself and returns None. A cancellation never interrupts a message to the ASGI
    server: otherwise the server would treat the response as not started, or keep a connection on
    which the end of a response is missing. The send timeout of the connection (see
    :func:`~mulberrycleat.web.serve_app`) limits the time that a message takes.
    """

    def __init__(self, send: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
        self._asgi_send = send
        self._started = False
        self._finished = False
        self._gone = trio.Event()

    @property
    def started(self) -> bool:
        """Whether the status line was passed to the server, or is being passed."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the last part of the response was passed to the server, or is being passed."""
        return self._finished

    @property
    def gone(self) -> trio.Event:
        """Event that is set when the caller closes the connection before the response ends."""
        return self._gone

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the status line and the headers; raises RuntimeError if they were sent before."""
        await trio.lowlevel.checkpoint_if_cancelled()
        if self._started:
            raise RuntimeError(f"a response with status {status} after another one has started")
        self._started = True
        pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        await self._send_shielded(
            {"type": "http.response.start", "status": status, "headers": pairs}
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send_shielded({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await trio.lowlevel.checkpoint_if_cancelled()
        self._finished = True
        await self._send_shielded({"type": "http.response.body", "body": data, "more_body": False})

    async def _send_shielded(self, message: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        with trio.CancelScope(shield=True):
            await self._asgi_send(message)

    async def reply(self, reply: Reply) -> None:
        """Send a complete response."""
        length = ("content-length", str(len(reply.body)))
        await self.start(reply.status, (length, *reply.headers))
        await self.finish(reply.body)


Handler = Callable[[Request, Responder], Awaitable[Reply | None]]


class Route(NamedTuple):
    """An HTTP method, a path pattern such as ``/v1/streams/{stream}/records``, and its handler."""

    method: str
    pattern: str
    handler: Handler


class App:
    """ASGI application that serves routes.

    Parameters
    ----------
    routes : tuple of Route
        Tried in order. ``{name}`` matches one path segment, ``{name:path}`` the rest of the path.
    max_body_bytes : int
        Size limit of a request body; a larger one is answered with 413.
    receive_timeout_s : float
        Time limit for receiving a body, in seconds; a slower one is answered with 408.
    problem : callable
        Builds the reply to a refused request from a status and a reason; JSON by default.
    open_room : callable or None
        Returns the room for the body of a request, which is refused with 503 if there is none left;
        None for no bound on all bodies together.
    """

    def __init__(
        self,
        routes: tuple[Route, ...],
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        receive_timeout_s: float = DEFAULT_RECEIVE_TIMEOUT_S,
        problem: Callable[[int, str], Reply] | None = None,
        open_room: Callable[[], Room] | None = None,
    ) -> None:
        self._routes = [(route, _compile_pattern(route.pattern)) for route in routes]
        self._max_body_bytes = max_body_bytes
        self._receive_timeout_s = receive_timeout_s
        self._open_room = open_room
        self._problem = problem or (lambda status, reason: json_reply({"error": reason}, status))

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, Responder(send))

    async def _serve(self, scope: Any, receive: Any, responder: Responder) -> None:
        found, allowed = self._match_route(scope["method"], scope["path"])
        if found is None:
            status = 405 if allowed else 404
            reason = "method not allowed" if allowed else f"no such path: {scope['path']}"
            await responder.reply(self._problem(status, reason))
            return
        route, params = found
        room = self._open_room() if self._open_room is not None else None
        try:
            await self._answer(scope, receive, responder, route, params, room)
        finally:
            if room is not None:
                room.close()

    async def _answer(
        self,
        scope: Any,
        receive: Any,
        responder: Responder,
        route: Route,
        params: Mapping[str, str],
        room: Room | None,
    ) -> None:
        body: bytes | None = None
        refusal: Reply | None = None
        cover = (lambda size: None) if room is None else room.cover
        try:
            with trio.fail_after(self._receive_timeout_s):
                body = await read_body(receive, self._max_body_bytes, cover)
        except BodyTooLargeError:
            refusal = self._problem(413, f"the body is larger than {self._max_body_bytes} bytes")
        except NoRoomError:
            refusal = self._problem(503, "the bodies of other requests take the memory")
        except trio.TooSlowError:
            refusal = self._problem(408, "the body took too long to arrive")
        if refusal is not None:
            # Outside the `except` clauses: the exception would keep what has been received.
            await responder.reply(refusal)
            return
        if body is None:
            return
        request = _build_request(scope, body, params)
        # An exception that passed through the nursery would leave a reference cycle, in which the
        # frames of its traceback keep the request.
        faults: list[Exception] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_disconnect, receive, responder)
            try:
                reply = await route.handler(request, responder)
                if reply is not None:
                    await responder.reply(reply)
            except Exception as error:
                faults.append(error)
            nursery.cancel_scope.cancel()
        if faults:
            raise faults.pop()

    def _match_route(
        self, method: str, path: str
    ) -> tuple[tuple[Route, Mapping[str, str]] | None, bool]:
        allowed = False
        for route, pattern in self._routes:
            if match := pattern.fullmatch(path):
                if route.method == method:
                    return (route, match.groupdict()), True
                allowed = True
        return None, allowed


def json_reply(value: Any, status: int = 200) -> Reply:
    """Return a reply with `value` encoded as JSON."""
    body = msgspec.json.encode(value)
    return Reply(status, body, (("content-type", "application/json"),))


def _compile_pattern(pattern: str) -> re.Pattern[str]:
    text = re.sub(r"\{(\w+):path\}", r"(?P<\1>.*)", pattern)
    return re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", text))


def _build_request(scope: Any, body: bytes, params: Mapping[str, str]) -> Request:
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
    return Request(scope["method"], scope["path"], headers, query, body, params)


async def read_body(
    receive: Any, bound: int, cover: Callable[[int], None] = lambda size: None
) -> bytes | None:
    """Return the complete body, or None if the caller disconnected.

    Raises :class:`BodyTooLargeError` for a body of more than `bound` bytes, and what `cover`
    raises, which is called with the size received so far before the bytes are kept.
    """
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        chunk = event.get("body", b"")
        if len(body) + len(chunk) > bound:
            raise BodyTooLargeError
        cover(len(body) + len(chunk))
        body += chunk
        if not event.get("more_body"):
            return bytes(body)


async def discard_body(receive: Any) -> None:
    """Receive the rest of a body without keeping it, until its end or a disconnect."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect" or not event.get("more_body"):
            return


async def watch_disconnect(receive: Any, responder: Responder) -> None:
    """Wait until the caller disconnects; set ``responder.gone`` if the response is unfinished."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            if not responder.finished:
                responder.gone.set()
            return


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Acknowledge the lifespan events of the server's startup and shutdown."""
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return
