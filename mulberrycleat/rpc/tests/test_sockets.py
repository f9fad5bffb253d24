"""Calls over real sockets: the key is checked before a message is read; bad input is rejected."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import msgspec
import trio
import trio_asyncio
from grpclib import GRPCError, Status
from grpclib.client import Channel, UnaryUnaryMethod
from result import Err, Ok
from trio_asyncio import aio_as_trio

from mulberrycleat.core import PeerError
from mulberrycleat.rpc import Method, RpcClient, serve_rpc
from mulberrycleat.rpc.codec import MsgpackCodec
from mulberrycleat.rpc.server import method_path

KEY = "the-fleet-key"


class Ping(msgspec.Struct, frozen=True):
    """Request and reply of the call ``Ping``."""

    number: int


PING = Method("Ping", Ping, Ping)


def run_with_server(client: Callable[[str, list[int]], Awaitable[None]]) -> list[int]:
    """Serve ``Ping`` over sockets while `client` runs; return the received numbers."""
    received: list[int] = []

    async def ping(message: Ping) -> Ping:
        received.append(message.number)
        return message

    async def main() -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_rpc, {PING: ping}, address, KEY)
            await client(address, received)
            nursery.cancel_scope.cancel()

    trio_asyncio.run(main)
    return received


def test_only_calls_with_the_fleet_key_are_answered():
    async def client(address: str, received: list[int]) -> None:
        for key in ("guess", KEY + "x"):
            unauthorized = RpcClient(address, key)
            match await unauthorized.call(PING, Ping(1), 5.0):
                case Err(PeerError(reason=reason)):
                    assert "UNAUTHENTICATED" in reason
                case Ok(_):
                    raise AssertionError(f"answered to {key!r}")
            unauthorized.close()
        authorized = RpcClient(address, KEY)
        assert await authorized.call(PING, Ping(2), 5.0) == Ok(Ping(2))
        authorized.close()

    assert run_with_server(client) == [2]


def test_call_without_a_key_is_refused():
    async def client(address: str, received: list[int]) -> None:
        host, _, port = address.rpartition(":")
        channel = Channel(host, int(port), codec=MsgpackCodec())
        stub = UnaryUnaryMethod(channel, method_path(PING), Ping, Ping)
        try:
            await aio_as_trio(stub)(Ping(1))
        except GRPCError as error:
            assert error.status is Status.UNAUTHENTICATED
        channel.close()

    assert run_with_server(client) == []


def test_invalid_bytes_and_messages_do_not_stop_the_server():
    async def client(address: str, received: list[int]) -> None:
        host, _, port = address.rpartition(":")
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x00" * 100, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(data)
            await stream.aclose()
        authorized = RpcClient(address, KEY)
        untyped_ping = Method("Ping", dict, Ping)
        match await authorized.call(untyped_ping, {"number": "x"}, 5.0):
            case Err(PeerError(reason=reason)):
                assert "INVALID_ARGUMENT" in reason
            case Ok(_):
                raise AssertionError("a malformed message was answered")
        assert await authorized.call(PING, Ping(3), 5.0) == Ok(Ping(3))
        authorized.close()

    assert run_with_server(client) == [3]
