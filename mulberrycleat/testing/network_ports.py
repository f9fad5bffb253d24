"""Ports of a process on a simulated :class:`~mulberrycleat.testing.network.Network`."""

from __future__ import annotations

import hmac
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.core.ports import Ports
from mulberrycleat.rpc import Method, RpcHandler
from mulberrycleat.testing.exchange import CallExchange, HttpExchange
from mulberrycleat.testing.network import Listener, Network, Process
from mulberrycleat.web import BaseHttpClient, StreamedAnswer

__all__ = ["make_ports"]

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 15.0


def make_ports(network: Network, process: Process) -> Ports:
    """Return ports through which `process` sends and serves."""
    return Ports(
        http=NetworkHttpClient(network, process),
        connect_rpc=partial(NetworkRpcClient, network, process),
        serve_http=partial(serve_http, network, process),
        serve_rpc=partial(serve_rpc, network, process),
        now=network.now,
    )


class NetworkHttpClient(BaseHttpClient):
    """HTTP client of one process, with connections kept open between requests.

    A request on a connection that is still open counts as sent even if the link is cut, since the
    client can't detect the cut. Only a failure to open a connection proves that nothing was sent.
    """

    def __init__(self, network: Network, process: Process) -> None:
        self._network = network
        self._process = process
        self._idle_connections: dict[str, tuple[Listener, float]] = {}

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> AsyncIterator[StreamedAnswer]:
        """Send a request and yield its streamed answer; raises httpcore's exceptions.

        `timeout_s` limits the wait for the headers and for each chunk of the body.
        """
        address, _, rest = url.removeprefix("http://").partition("/")
        await self._process.wait_until_running()
        listener = await self._connect(address)
        exchange = HttpExchange(self._network, self._process, listener)
        exchange.send(method, f"/{rest}", body, headers or {})
        try:
            status, found = await exchange.head(timeout_s)
            yield StreamedAnswer(status, found, exchange.chunks(timeout_s))
        finally:
            exchange.disconnect()
        if exchange.complete:
            self._idle_connections[address] = (listener, trio.current_time())

    async def _connect(self, address: str) -> Listener:
        listener = self._network.listener(address)
        kept = self._idle_connections.pop(address, None)
        if kept and kept[0] is listener and trio.current_time() - kept[1] < KEEP_ALIVE_S:
            return listener
        if listener is None:
            raise httpcore.ConnectError(f"connection to {address} refused")
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            await self._network.wait_until_link_up(self._process, listener.process)
            return listener
        raise httpcore.ConnectTimeout(f"connection to {address} timed out")


class NetworkRpcClient:
    """RPC client of one process for the controller at an address."""

    def __init__(self, network: Network, process: Process, address: str, fleet_key: str) -> None:
        self._network = network
        self._process = process
        self._address = address
        self._fleet_key = fleet_key

    @property
    def address(self) -> str:
        """``ip:port`` of the controller."""
        return self._address

    def close(self) -> None:
        """Do nothing: there is no connection to close."""

    async def call(
        self, method: Method, message: Any, timeout_s: float = 1.0
    ) -> Result[Any, PeerError]:
        """Call `method` and return its reply, or an error if none arrives within `timeout_s`."""
        await self._process.wait_until_running()
        listener = self._network.listener(self._address)
        if listener is None:
            return Err(self._error(method, "connection refused", sent=False))
        exchange = CallExchange(self._network, self._process, listener)
        try:
            with trio.move_on_after(timeout_s):
                exchange.send(self._fleet_key, method, msgspec.msgpack.encode(message))
                return (await exchange.answer()).map_err(partial(self._error, method))
        finally:
            exchange.disconnect()
        return Err(self._error(method, f"no reply in {timeout_s:g} s"))

    def _error(self, method: Method, reason: str, sent: bool = True) -> PeerError:
        return PeerError(Step.CALL, self._address, f"{method.name}: {reason}", sent=sent)


async def serve_http(
    network: Network,
    process: Process,
    app: Any,
    address: str,
    stop: trio.Event,
    drain_timeout_s: float = 5.0,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` until `stop` is set, then wait up to `drain_timeout_s` for requests in flight."""
    network.listen(address, process, app)
    task_status.started()
    await stop.wait()
    network.unlisten(process)
    with trio.move_on_after(drain_timeout_s):
        await process.wait_until_idle()


async def serve_rpc(
    network: Network,
    process: Process,
    handlers: Mapping[Method, RpcHandler],
    address: str,
    fleet_key: str,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the RPC `handlers` until cancelled."""
    network.listen(address, process, _RpcHandlers(handlers, fleet_key))
    task_status.started()
    await trio.sleep_forever()


class _RpcHandlers:
    def __init__(self, handlers: Mapping[Method, RpcHandler], fleet_key: str) -> None:
        self._handlers = {method.name: (method, run) for method, run in handlers.items()}
        self._fleet_key = fleet_key

    async def answer(self, key: str, method: Method, data: bytes) -> Result[Any, str]:
        """Run the handler of a call; its message has the server's type, its reply the client's."""
        if not hmac.compare_digest(key.encode(), self._fleet_key.encode()):
            return Err("UNAUTHENTICATED: the fleet key is missing or wrong")
        if method.name not in self._handlers:
            return Err("UNIMPLEMENTED: no such method")
        served_method, run = self._handlers[method.name]
        try:
            request = msgspec.msgpack.decode(data, type=served_method.request)
        except msgspec.DecodeError as error:
            return Err(f"INVALID_ARGUMENT: {error}")
        reply = msgspec.msgpack.encode(await run(request))
        return Ok(msgspec.msgpack.decode(reply, type=method.reply))
