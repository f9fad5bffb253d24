"""Server for calls between the fleet's processes.

grpclib runs on asyncio and the rest of the code on trio: the server runs in a trio-asyncio loop
and each handler is an ordinary trio coroutine.
"""

from __future__ import annotations

import hmac
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import msgspec
import trio
from grpclib import GRPCError, Status
from grpclib.const import Cardinality
from grpclib.const import Handler as GrpcHandler
from grpclib.server import Server
from trio_asyncio import aio_as_trio, trio_as_aio

from mulberrycleat.rpc.codec import MsgpackCodec

__all__ = ["KEY_HEADER", "Method", "RpcHandler", "is_fleet_key", "method_path", "serve_rpc"]

log = logging.getLogger(__name__)

KEY_HEADER = "fleet-key"
_SERVICE = "mulberrycleat.Controller"


class Method(NamedTuple):
    """A unary method: its name and the struct types of request and reply."""

    name: str
    request: type
    reply: type


RpcHandler = Callable[[Any], Awaitable[Any]]


def method_path(method: Method) -> str:
    """Return the HTTP/2 path of a method.

    >>> method_path(Method("Reserve", dict, dict))
    '/mulberrycleat.Controller/Reserve'
    """
    return f"/{_SERVICE}/{method.name}"


def is_fleet_key(given: str, fleet_key: str) -> bool:
    """Return whether a caller's key is the fleet key, comparing in constant time.

    >>> is_fleet_key("", "k")
    False
    """
    return hmac.compare_digest(given.encode(), fleet_key.encode())


class _Service:
    def __init__(self, handlers: Mapping[Method, RpcHandler], fleet_key: str) -> None:
        self._handlers = handlers
        self._fleet_key = fleet_key

    def __mapping__(self) -> dict[str, GrpcHandler]:
        """Return the handlers by path; called by grpclib."""
        return {
            method_path(method): GrpcHandler(
                self._make_handler(method, handler),
                Cardinality.UNARY_UNARY,
                method.request,
                method.reply,
            )
            for method, handler in self._handlers.items()
        }

    def _make_handler(self, method: Method, handler: RpcHandler) -> Any:
        async def answer(stream: Any) -> None:
            self._check_key(stream.metadata)
            try:
                request = await stream.recv_message()
            except msgspec.DecodeError as error:
                raise GRPCError(Status.INVALID_ARGUMENT, f"{method.name}: {error}") from error
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, f"{method.name}: no message")
            await stream.send_message(await trio_as_aio(handler)(request))

        return answer

    def _check_key(self, metadata: Any) -> None:
        given = metadata.get(KEY_HEADER, "") if metadata else ""
        if not is_fleet_key(given, self._fleet_key):
            raise GRPCError(Status.UNAUTHENTICATED, "the fleet key is missing or wrong")


async def serve_rpc(
    handlers: Mapping[Method, RpcHandler],
    address: str,
    fleet_key: str,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `handlers` at ``ip:port`` until cancelled; requires an open trio-asyncio loop.

    Calls without the fleet key are refused before their message is read.
    """
    host, _, port = address.rpartition(":")
    server = Server([_Service(handlers, fleet_key)], codec=MsgpackCodec())
    await aio_as_trio(server.start)(host, int(port))
    task_status.started()
    try:
        await trio.sleep_forever()
    finally:
        server.close()
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
            await aio_as_trio(server.wait_closed)()
