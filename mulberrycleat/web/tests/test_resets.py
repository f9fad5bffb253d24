"""Resets that a sender meets first: they stay resets for the reader of the answer."""

from __future__ import annotations

import socket
import struct

import trio

from mulberrycleat.web.tests.test_tunnel import SETTINGS, read_all, tunnel_to
from mulberrycleat.web.upstream import (
    Connection,
    ConnectionSettings,
    ExchangeError,
    Pipe,
    open_pipe,
)

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
# More than the buffers of both ends hold, so that the reset comes while it is being sent.
BODY_BYTES = 32 * 2**20
ROUNDS = 10


async def answer_whole_and_reset(stream: trio.SocketStream) -> None:
    """Send an answer with a length before the request is read, and reset."""
    await stream.receive_some(10_000)
    await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
    await trio.sleep(0.05)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def answer_and_reset(stream: trio.SocketStream) -> None:
    """Send the begin of an answer without a length before the request is read, and reset."""
    await stream.receive_some(10_000)
    await stream.send_all(HEAD + b"part")
    await trio.sleep(0.05)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


async def read_answer(pipe: Pipe) -> tuple[bytes, ExchangeError | None]:
    """Send a long request and return the body of the answer, and how it failed."""
    connection = Connection(pipe, "e")
    body = b""
    try:
        headers = [(b"host", b"x"), (b"content-length", b"%d" % BODY_BYTES)]
        await connection.send(b"POST", b"/x", headers, bytes(BODY_BYTES))
        await connection.read_head()
        while chunk := await connection.read_chunk():
            body += chunk
    except ExchangeError as error:
        return body, error
    return body, None


def test_a_reset_while_the_request_is_sent_does_not_complete_an_answer_without_length():
    async def main() -> None:
        for _ in range(ROUNDS):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, answer_and_reset, 0)
                port = listeners[0].socket.getsockname()[1]
                pipe = await open_pipe(f"127.0.0.1:{port}", ConnectionSettings())
                _, error = await read_answer(pipe)
                pipe.close()
                nursery.cancel_scope.cancel()
            assert error is not None and error.broken, error

    trio.run(main)


def test_a_reset_that_a_helping_host_meets_while_it_sends_is_not_told_as_an_end():
    async def main() -> None:
        for _ in range(ROUNDS):
            async with tunnel_to(answer_and_reset) as (pipe, _):
                _, error = await read_answer(pipe)
            assert error is not None, "the answer seems complete"

    trio.run(main)


def test_an_end_after_a_failed_send_is_a_reset():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, answer_and_reset, 0)
            port = listeners[0].socket.getsockname()[1]
            pipe = await open_pipe(f"127.0.0.1:{port}", SETTINGS)
            try:
                await pipe.send_all(bytes(BODY_BYTES))
            except trio.BrokenResourceError:
                pass
            else:
                raise AssertionError("the request was sent")
            try:
                await read_all(pipe)
            except trio.BrokenResourceError:
                pass
            else:
                raise AssertionError("the stream seems complete")
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_whole_answer_before_a_reset_is_read_directly_and_through_another_host():
    async def main() -> None:
        for _ in range(ROUNDS):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(trio.serve_tcp, answer_whole_and_reset, 0)
                port = listeners[0].socket.getsockname()[1]
                pipe = await open_pipe(f"127.0.0.1:{port}", SETTINGS)
                assert await read_answer(pipe) == (b"whole", None)
                pipe.close()
                nursery.cancel_scope.cancel()
            async with tunnel_to(answer_whole_and_reset) as (pipe, _):
                assert await read_answer(pipe) == (b"whole", None)

    trio.run(main)


def test_a_send_ends_with_an_error_when_the_connection_is_closed_on_this_side():
    """It raised another exception than callers expect, and the request ended with a 500."""

    async def read_nothing(stream: trio.SocketStream) -> None:
        await trio.sleep_forever()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, read_nothing, 0)
            port = listeners[0].socket.getsockname()[1]
            connection = Connection(await open_pipe(f"127.0.0.1:{port}", SETTINGS), "e")
            headers = [(b"host", b"x"), (b"content-length", b"%d" % BODY_BYTES)]

            async def close() -> None:
                await trio.sleep(0.05)
                connection.close()

            nursery.start_soon(close)
            error: Exception | None = None
            try:
                await connection.send(b"POST", b"/x", headers, bytes(BODY_BYTES))
            except ExchangeError as raised:
                error = raised
            assert error is not None, "the request seems to be sent"
            assert not connection.has_data()
            nursery.cancel_scope.cancel()

    trio.run(main)
