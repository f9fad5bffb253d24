"""Connections through another host, over TCP sockets."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress

import trio

from mulberrycleat.web.tests.test_bad_callers import free_address
from mulberrycleat.web.tunnel import (
    TunnelPipe,
    TunnelReply,
    open_tunnel,
    serve_pipes,
    serve_tunnel,
)
from mulberrycleat.web.upstream import (
    ConnectError,
    ConnectionSettings,
    Pipe,
    TunnelBrokenError,
    open_pipe,
)

SETTINGS = ConnectionSettings()
# State of a connection that neither side has ended, as in Linux' TCP_INFO.
TCP_ESTABLISHED = 1
Behaviour = Callable[[trio.SocketStream], Awaitable[None]]


async def open_or_reply(address: str) -> Pipe | TunnelReply:
    try:
        return await open_pipe(address, SETTINGS)
    except ConnectError:
        return TunnelReply.OUT_OF_REACH


@contextmanager
def held_address() -> Iterator[str]:
    """Return a loopback address that no other socket is given by chance until the block ends."""
    with socket.socket() as held:
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{held.getsockname()[1]}"


@asynccontextmanager
async def tunnel_to(behaviour: Behaviour) -> AsyncIterator[tuple[TunnelPipe, trio.CancelScope]]:
    """Open a tunnel to an endpoint with some behaviour; cancelling the scope ends the helper."""
    scope = trio.CancelScope()

    async def handle(pipe: Pipe) -> None:
        await serve_tunnel(pipe, open_or_reply)

    async def run_helper(address: str) -> None:
        with scope:
            await serve_pipes(handle, address)

    with held_address() as helper:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, behaviour, 0)
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(run_helper, helper)
            await trio.sleep(0.05)
            found = await open_tunnel(helper, f"127.0.0.1:{port}", open_pipe, SETTINGS, 1.0)
            assert isinstance(found, TunnelPipe)
            yield found, scope
            found.close()
            nursery.cancel_scope.cancel()


async def read_all(pipe: Pipe) -> bytes:
    data = b""
    while more := await pipe.receive_some(1000):
        data += more
    return data


async def echo_once(stream: trio.SocketStream) -> None:
    await stream.send_all(await stream.receive_some(100_000))


def test_bytes_pass_and_the_endpoints_end_is_told():
    async def main() -> None:
        async with tunnel_to(echo_once) as (pipe, _):
            await pipe.send_all(b"x" * 5000)
            assert await read_all(pipe) == b"x" * 5000

    trio.run(main)


def test_a_reset_by_the_endpoint_is_not_taken_for_its_end():
    async def reset(stream: trio.SocketStream) -> None:
        await stream.send_all(b"part")
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        stream.socket.close()

    async def main() -> None:
        async with tunnel_to(reset) as (pipe, _):
            try:
                await read_all(pipe)
            except trio.BrokenResourceError as error:
                assert not isinstance(error, TunnelBrokenError)
            else:
                raise AssertionError("the stream seems complete")

    trio.run(main)


def test_the_helpers_end_is_not_taken_for_the_endpoints_end():
    async def trickle(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"part")
                await trio.sleep(0.01)

    async def main() -> None:
        async with tunnel_to(trickle) as (pipe, scope):
            assert await pipe.receive_some(4) == b"part"
            scope.cancel()
            try:
                await read_all(pipe)
            except TunnelBrokenError:
                return
            raise AssertionError("the stream seems complete")

    trio.run(main)


def test_the_endpoints_connection_ends_with_the_tunnel():
    ended = trio.Event()

    async def wait_for_end(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some(100):
                pass
        ended.set()

    async def main() -> None:
        async with tunnel_to(wait_for_end) as (pipe, _):
            await pipe.send_all(b"x")
            pipe.close()
            with trio.fail_after(0.5):
                await ended.wait()

    trio.run(main)


def test_the_endpoints_connection_ends_with_the_tunnel_while_it_does_not_read():
    ended = trio.Event()

    async def read_nothing(stream: trio.SocketStream) -> None:
        state = TCP_ESTABLISHED
        while state == TCP_ESTABLISHED:
            await trio.sleep(0.01)
            state = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        ended.set()

    async def main() -> None:
        async with tunnel_to(read_nothing) as (pipe, _):
            # More than the buffers of both connections take.
            with trio.move_on_after(0.2) as sending:
                await pipe.send_all(bytes(50_000_000))
            assert sending.cancelled_caught
            pipe.close()
            with trio.fail_after(0.4):
                await ended.wait()

    trio.run(main)


def test_an_unreachable_endpoint_and_a_missing_host_are_told_apart():
    async def main() -> None:
        helper, nobody = free_address(), free_address()

        async def handle(pipe: Pipe) -> None:
            await serve_tunnel(pipe, open_or_reply)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_pipes, handle, helper)
            await trio.sleep(0.05)
            for address in (helper, nobody):
                found = await open_tunnel(address, nobody, open_pipe, SETTINGS, 1.0)
                expected = (
                    TunnelReply.OUT_OF_REACH if address == helper else TunnelReply.UNAVAILABLE
                )
                assert found is expected
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_host_that_sends_no_address_is_disconnected():
    async def main() -> None:
        helper = free_address()

        async def handle(pipe: Pipe) -> None:
            await serve_tunnel(pipe, open_or_reply)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_pipes, handle, helper)
            await trio.sleep(0.05)
            for data in (b"x" * 200, b"\n", b"no address\n", b"\xff\xfe\n"):
                pipe = await open_pipe(helper, SETTINGS)
                await pipe.send_all(data)
                with trio.fail_after(2.0), suppress(trio.BrokenResourceError):
                    while await pipe.receive_some(100):
                        pass
                pipe.close()
            found = await open_tunnel(helper, helper, open_pipe, SETTINGS, 1.0)
            assert isinstance(found, TunnelPipe)
            found.close()
            nursery.cancel_scope.cancel()

    trio.run(main)
