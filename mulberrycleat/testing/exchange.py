"""One request and its answer on a :class:`~mulberrycleat.testing.network.Network`."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import unquote

import httpcore
import trio
from result import Err, Result

from mulberrycleat.rpc import Method
from mulberrycleat.testing.network import KilledError, Listener, Network, Process

__all__ = ["CallExchange", "HttpExchange"]

log = logging.getLogger(__name__)


class _Exchange:
    """What both kinds of exchange share: the way there, and leaving early."""

    def __init__(self, network: Network, source: Process, listener: Listener) -> None:
        self._network = network
        self._source = source
        self._target = listener.process
        self._served = listener.served
        self._news = trio.Event()
        self._left = trio.Event()
        self._lost = False

    def leave(self) -> None:
        """Note that the asking side waits no longer."""
        self._left.set()

    async def _arrive(self) -> None:
        """Carry the request over."""
        await self._network.until_passable(self._source, self._target)
        await trio.sleep(self._network.delay_s(self._source, self._target))
        await self._target.until_running()
        self._lost = self._network.loses_answer(self._source, self._target)

    async def _until_left(self) -> None:
        """Wait until the serving side learns that the asking side waits no longer."""
        await self._left.wait()
        await self._network.until_passable(self._source, self._target)

    def _notify(self) -> None:
        event, self._news = self._news, trio.Event()
        event.set()

    def _start(self, serve: Any) -> None:
        if self._target.dead.is_set():
            return
        self._target.began()
        self._target.nursery.start_soon(self._guarded, serve)

    async def _guarded(self, serve: Any) -> None:
        try:
            await self._arrive()
            await serve()
        finally:
            self._target.finished()


class HttpExchange(_Exchange):
    """One HTTP request to an ASGI application."""

    def __init__(self, network: Network, source: Process, listener: Listener) -> None:
        super().__init__(network, source, listener)
        self._events: deque[tuple[float, dict[str, Any]]] = deque()
        self._request: dict[str, Any] = {}
        self._body = b""
        self._read = False
        self._started = False
        self._sent_all = False
        self._complete = False
        self._broken = False

    @property
    def complete(self) -> bool:
        """Whether the whole answer has been read, so that the connection may be used again."""
        return self._complete

    def send(self, method: str, target: str, body: bytes, headers: dict[str, str]) -> None:
        """Send the request."""
        path, _, query = target.partition("?")
        pairs = [_header(name, value) for name, value in headers.items()]
        self._request = {
            "type": "http",
            "method": method,
            "path": unquote(path),
            "query_string": query.encode(),
            "headers": pairs,
        }
        self._body = body
        self._start(self._serve)

    async def head(self, timeout_s: float) -> tuple[int, dict[str, str]]:
        """Return status and headers; raises httpcore's exceptions."""
        event = await self._next(timeout_s)
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in event["headers"]
        }
        return event["status"], headers

    async def chunks(self, timeout_s: float) -> AsyncIterator[bytes]:
        """Yield the body; raises httpcore's exceptions."""
        while True:
            event = await self._next(timeout_s)
            self._complete = not event.get("more_body", False)
            if event.get("body"):
                yield event["body"]
            if self._complete:
                return

    async def _next(self, timeout_s: float) -> dict[str, Any]:
        with trio.move_on_after(timeout_s):
            while not self._events:
                if self._target.dead.is_set() or self._broken:
                    await self._network.until_passable(self._target, self._source)
                    raise httpcore.RemoteProtocolError("the peer closed the connection")
                await self._wait_for_news()
            at, event = self._events.popleft()
            await trio.sleep_until(at)
            await self._network.until_passable(self._target, self._source)
            await self._source.until_running()
            return event
        raise httpcore.ReadTimeout(f"nothing in {timeout_s:g} s")

    async def _wait_for_news(self) -> None:
        async with trio.open_nursery() as nursery:
            for event in (self._news, self._target.dead):
                nursery.start_soon(_cancel_after, event, nursery.cancel_scope)

    async def _serve(self) -> None:
        try:
            await self._served(self._request, self._receive, self._send)
        except KilledError:
            raise
        except Exception as error:
            log.info("handler failed: %r", error)
            if not self._started:
                await self._send({"type": "http.response.start", "status": 500, "headers": []})
                await self._send({"type": "http.response.body", "body": b""})
        if not self._sent_all:
            self._broken = True
            self._notify()

    async def _receive(self) -> dict[str, Any]:
        if not self._read:
            self._read = True
            return {"type": "http.request", "body": self._body, "more_body": False}
        await self._until_left()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        await self._target.until_running()
        self._started = True
        self._sent_all = message["type"] == "http.response.body" and not message.get("more_body")
        if self._lost:
            return
        delay_s = self._network.delay_s(self._target, self._source)
        self._events.append((trio.current_time() + delay_s, message))
        self._notify()


class CallExchange(_Exchange):
    """One call between the fleet's processes."""

    def __init__(self, network: Network, source: Process, listener: Listener) -> None:
        super().__init__(network, source, listener)
        self._answer: Result[Any, str] | None = None
        self._call: tuple[str, Method, bytes] | None = None

    def send(self, key: str, method: Method, data: bytes) -> None:
        """Send the call."""
        self._call = (key, method, data)
        self._start(self._serve)

    async def answer(self) -> Result[Any, str]:
        """Wait for the answer."""
        async with trio.open_nursery() as nursery:
            for event in (self._news, self._target.dead):
                nursery.start_soon(_cancel_after, event, nursery.cancel_scope)
        await self._network.until_passable(self._target, self._source)
        await trio.sleep(self._network.delay_s(self._target, self._source))
        await self._source.until_running()
        return self._answer or Err("StreamTerminatedError: connection lost")

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_when_left, nursery.cancel_scope)
            answer = await self._run()
            await self._target.until_running()
            if not self._lost:
                self._answer = answer
                self._notify()
            nursery.cancel_scope.cancel()

    async def _run(self) -> Result[Any, str]:
        try:
            return await self._served.answer(*self._call)
        except Exception as error:
            log.exception("call failed")
            return Err(f"UNKNOWN: {error!r}")

    async def _end_when_left(self, scope: trio.CancelScope) -> None:
        await self._until_left()
        scope.cancel()


def _header(name: str, value: str | bytes) -> tuple[bytes, bytes]:
    """Encode as httpcore does, which takes text for ASCII."""
    return name.lower().encode("ascii"), (
        value if isinstance(value, bytes) else value.encode("ascii")
    )


async def _cancel_after(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
