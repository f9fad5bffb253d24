"""One request and its answer on a simulated :class:`~mulberrycleat.testing.network.Network`."""

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
    """Base of HTTP requests and RPCs: delivers the request and lets the client disconnect early."""

    def __init__(self, network: Network, source: Process, listener: Listener) -> None:
        self._network = network
        self._source = source
        self._target = listener.process
        self._served = listener.served
        self._updated = trio.Event()
        self._client_gone = trio.Event()
        self._answer_lost = False

    def disconnect(self) -> None:
        """Record that the client no longer waits for the answer."""
        self._client_gone.set()

    async def _deliver(self) -> None:
        """Wait until the link is up, for the link's delay, and until the target is not frozen."""
        await self._network.wait_until_link_up(self._source, self._target)
        await trio.sleep(self._network.delay_s(self._source, self._target))
        await self._target.wait_until_running()
        self._answer_lost = self._network.consume_lost_answer(self._source, self._target)

    async def _wait_until_client_gone(self) -> None:
        """Wait until the server learns that the client has disconnected."""
        await self._client_gone.wait()
        await self._network.wait_until_link_up(self._source, self._target)

    def _notify(self) -> None:
        event, self._updated = self._updated, trio.Event()
        event.set()

    def _start(self, serve: Any) -> None:
        if self._target.dead.is_set():
            return
        self._target.request_began()
        self._target.nursery.start_soon(self._run_request, serve)

    async def _run_request(self, serve: Any) -> None:
        try:
            await self._deliver()
            await serve()
        finally:
            self._target.request_finished()


class HttpExchange(_Exchange):
    """One HTTP request to an ASGI application."""

    def __init__(self, network: Network, source: Process, listener: Listener) -> None:
        super().__init__(network, source, listener)
        self._events: deque[tuple[float, dict[str, Any]]] = deque()
        self._request: dict[str, Any] = {}
        self._body = b""
        self._request_read = False
        self._started = False
        self._response_sent = False
        self._complete = False
        self._aborted = False

    @property
    def complete(self) -> bool:
        """Whether the full response has been read, so that the connection can be reused."""
        return self._complete

    def send(self, method: str, target: str, body: bytes, headers: dict[str, str]) -> None:
        """Send the request; returns at once."""
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
        """Wait up to `timeout_s` for status and headers; raises httpcore's exceptions."""
        event = await self._next_event(timeout_s)
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in event["headers"]
        }
        return event["status"], headers

    async def chunks(self, timeout_s: float) -> AsyncIterator[bytes]:
        """Yield the body's chunks, each within `timeout_s`; raises httpcore's exceptions."""
        while True:
            event = await self._next_event(timeout_s)
            self._complete = not event.get("more_body", False)
            if event.get("body"):
                yield event["body"]
            if self._complete:
                return

    async def _next_event(self, timeout_s: float) -> dict[str, Any]:
        with trio.move_on_after(timeout_s):
            while not self._events:
                if self._target.dead.is_set() or self._aborted:
                    await self._network.wait_until_link_up(self._target, self._source)
                    raise httpcore.RemoteProtocolError("the peer closed the connection")
                await self._wait_for_update()
            at, event = self._events.popleft()
            await trio.sleep_until(at)
            await self._network.wait_until_link_up(self._target, self._source)
            await self._source.wait_until_running()
            return event
        raise httpcore.ReadTimeout(f"no data for {timeout_s:g} s")

    async def _wait_for_update(self) -> None:
        async with trio.open_nursery() as nursery:
            for event in (self._updated, self._target.dead):
                nursery.start_soon(_cancel_when_set, event, nursery.cancel_scope)

    async def _serve(self) -> None:
        try:
            await self._served(self._request, self._receive, self._send)
        except KilledError:
            raise
        except Exception as error:
            log.info("HTTP handler failed: %r", error)
            if not self._started:
                await self._send({"type": "http.response.start", "status": 500, "headers": []})
                await self._send({"type": "http.response.body", "body": b""})
        if not self._response_sent:
            self._aborted = True
            self._notify()

    async def _receive(self) -> dict[str, Any]:
        if not self._request_read:
            self._request_read = True
            return {"type": "http.request", "body": self._body, "more_body": False}
        await self._wait_until_client_gone()
        return {"type": "http.disconnect"}

    async def _send(self, message: dict[str, Any]) -> None:
        await self._target.wait_until_running()
        self._started = True
        self._response_sent = message["type"] == "http.response.body" and not message.get(
            "more_body"
        )
        if self._answer_lost:
            return
        delay_s = self._network.delay_s(self._target, self._source)
        self._events.append((trio.current_time() + delay_s, message))
        self._notify()


class CallExchange(_Exchange):
    """One RPC between the fleet's processes."""

    def __init__(self, network: Network, source: Process, listener: Listener) -> None:
        super().__init__(network, source, listener)
        self._answer: Result[Any, str] | None = None
        self._call: tuple[str, Method, bytes] | None = None

    def send(self, key: str, method: Method, data: bytes) -> None:
        """Send the call; returns at once."""
        self._call = (key, method, data)
        self._start(self._serve)

    async def answer(self) -> Result[Any, str]:
        """Wait for the answer; returns an error if the server process ends before it."""
        async with trio.open_nursery() as nursery:
            for event in (self._updated, self._target.dead):
                nursery.start_soon(_cancel_when_set, event, nursery.cancel_scope)
        await self._network.wait_until_link_up(self._target, self._source)
        await trio.sleep(self._network.delay_s(self._target, self._source))
        await self._source.wait_until_running()
        return self._answer or Err("StreamTerminatedError: connection lost")

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_client_gone, nursery.cancel_scope)
            answer = await self._run()
            await self._target.wait_until_running()
            if not self._answer_lost:
                self._answer = answer
                self._notify()
            nursery.cancel_scope.cancel()

    async def _run(self) -> Result[Any, str]:
        try:
            return await self._served.answer(*self._call)
        except Exception as error:
            log.exception("RPC call failed")
            return Err(f"UNKNOWN: {error!r}")

    async def _cancel_when_client_gone(self, scope: trio.CancelScope) -> None:
        await self._wait_until_client_gone()
        scope.cancel()


def _header(name: str, value: str | bytes) -> tuple[bytes, bytes]:
    """Encode a header as httpcore does, which encodes text as ASCII."""
    return name.lower().encode("ascii"), (
        value if isinstance(value, bytes) else value.encode("ascii")
    )


async def _cancel_when_set(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
