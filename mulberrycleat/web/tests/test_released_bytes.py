"""Bytes are freed when a connection or a call has ended, without the cyclic collector.

Each test guards against memory that no budget counts: what reference cycles keep until a
collection, which comes after a number of objects, not of bytes.
"""

from __future__ import annotations

import socket
import struct
from contextlib import suppress

import httpcore
import trio

from mulberrycleat.testing.held_memory import count_large_objects, held_bytes, no_collections
from mulberrycleat.web import App, HttpClient, Reply, Request, Responder, Route, serve_app
from mulberrycleat.web.tests.test_bad_callers import free_address
from mulberrycleat.web.tests.test_tunnel import SETTINGS, Behaviour, tunnel_to
from mulberrycleat.web.upstream import Connection, ExchangeError, Pipe, open_pipe

BODY_BYTES = 8 * 2**20
PEER_BODY_BYTES = 400_000
ROUNDS = 3
# Less than a tenth of one body of another host's call, which is the smaller one.
MOST_HELD_BYTES = 40_000
# Time after which a caller leaves, in seconds.
PATIENCE_S = 0.2


async def reset_after_a_part(stream: trio.SocketStream) -> None:
    await stream.receive_some(10_000)
    await trio.sleep(0.02)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def answer_the_whole(stream: trio.SocketStream) -> None:
    received = 0
    while received < BODY_BYTES and (data := await stream.receive_some(262_144)):
        received += len(data)
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def send_body(pipe: Pipe) -> None:
    """Send a long request, and read its answer if there is one."""
    connection = Connection(pipe, "e")
    headers = [(b"host", b"x"), (b"content-length", b"%d" % BODY_BYTES)]
    with suppress(ExchangeError):
        await connection.send(b"POST", b"/x", headers, bytes(BODY_BYTES))
        await connection.read_head()
        while await connection.read_chunk():
            pass
    connection.close()


def test_a_request_that_is_reset_while_it_is_sent():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, reset_after_a_part, 0)
            port = listeners[0].socket.getsockname()[1]
            with no_collections():
                for _ in range(ROUNDS):
                    await send_body(await open_pipe(f"127.0.0.1:{port}", SETTINGS))
                # The body is the test's own, and only what the host keeps refers to it.
                assert count_large_objects(BODY_BYTES) == 0
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_call_of_another_host_that_is_reset_while_it_is_sent():
    async def main() -> None:
        client = HttpClient()
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, reset_after_a_part, 0)
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}/x"
            with no_collections():
                for _ in range(ROUNDS):
                    with suppress(httpcore.NetworkError, httpcore.RemoteProtocolError):
                        await client.request("POST", url, bytes(BODY_BYTES))
                assert count_large_objects(BODY_BYTES) == 0
            nursery.cancel_scope.cancel()

    trio.run(main)


async def send_through_another_host(behaviour: Behaviour) -> None:
    async with tunnel_to(behaviour) as (pipe, _):
        await send_body(pipe)
    with no_collections():
        before = held_bytes()
        for _ in range(ROUNDS):
            async with tunnel_to(behaviour) as (pipe, _):
                await send_body(pipe)
        held = held_bytes() - before
        assert held <= MOST_HELD_BYTES, held
        assert count_large_objects(BODY_BYTES) == 0


def test_a_request_through_another_host():
    trio.run(send_through_another_host, answer_the_whole)


def test_a_request_through_another_host_that_is_reset_while_it_is_sent():
    trio.run(send_through_another_host, reset_after_a_part)


def test_calls_of_other_hosts():
    async def serve(request: Request, responder: Responder) -> Reply:
        return Reply(200, b"x" * len(request.body))

    async def fail(request: Request, responder: Responder) -> Reply:
        raise LookupError("not found")

    async def answer_late(request: Request, responder: Responder) -> Reply:
        await trio.sleep(2 * PATIENCE_S)
        return Reply(200, b"x" * len(request.body))

    routes = (
        Route("POST", "/serve", serve),
        Route("POST", "/fail", fail),
        Route("POST", "/late", answer_late),
    )

    async def main() -> None:
        app, stop, address = App(routes), trio.Event(), free_address()
        client = HttpClient()

        async def call(path: str) -> None:
            with suppress(httpcore.TimeoutException, httpcore.NetworkError):
                await client.request(
                    "POST", f"http://{address}{path}", bytes(PEER_BODY_BYTES), timeout_s=PATIENCE_S
                )

        async with trio.open_nursery() as nursery:
            await nursery.start(serve_app, app, address, stop, 1.0, 1.0)
            for path in ("/serve", "/fail", "/late"):
                await call(path)
                await trio.sleep(2 * PATIENCE_S)
                with no_collections():
                    before = held_bytes()
                    for _ in range(ROUNDS):
                        await call(path)
                    await trio.sleep(2 * PATIENCE_S)
                    held = held_bytes() - before
                    assert held <= MOST_HELD_BYTES, (path, held)
                    assert count_large_objects(PEER_BODY_BYTES) == 0, path
            stop.set()

    trio.run(main)
