"""Answers whose status is none of HTTP are no answers."""

from __future__ import annotations

from contextlib import suppress
from functools import partial

import trio

from mulberrycleat.web.client import HttpClient
from mulberrycleat.web.upstream import (
    Connection,
    ConnectionSettings,
    ExchangeError,
    open_pipe,
)

STATUSES = (b"000", b"001", b"099")


async def answer(status: bytes, stream: trio.SocketStream) -> None:
    """Answer the request with a status, and a body of five bytes."""
    await stream.receive_some(10_000)
    await stream.send_all(b"HTTP/1.1 %s Odd\r\nContent-Length: 5\r\n\r\nwhole" % status)
    with suppress(trio.BrokenResourceError):
        await stream.receive_some(10_000)


async def read_status(port: int) -> int | None:
    """Return the status of an endpoint's answer, None if there is none."""
    pipe = await open_pipe(f"127.0.0.1:{port}", ConnectionSettings())
    connection = Connection(pipe, "e")
    try:
        await connection.send(b"GET", b"/x", [(b"host", b"x")], b"")
        return (await connection.read_head()).status
    except ExchangeError:
        return None
    finally:
        pipe.close()


def test_an_answer_with_a_status_below_100_is_neither_an_endpoints_nor_the_stores():
    async def main() -> None:
        for status in STATUSES:
            async with trio.open_nursery() as nursery:
                serve = partial(trio.serve_tcp, partial(answer, status), 0, host="127.0.0.1")
                port = (await nursery.start(serve))[0].socket.getsockname()[1]
                assert await read_status(port) is None, status
                client = HttpClient()
                outcome = await client.request("GET", f"http://127.0.0.1:{port}/x")
                assert outcome.is_err(), status
                await client.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)
