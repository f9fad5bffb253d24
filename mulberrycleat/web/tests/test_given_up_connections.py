"""What becomes of bytes that are on the way when a connection to an endpoint is given up."""

from __future__ import annotations

import trio

from mulberrycleat.web.upstream import Connection, ConnectionSettings, open_pipe


def test_a_request_that_was_given_up_does_not_reach_the_endpoint_later():
    """A close would deliver the bytes once a partition heals; a reset discards them."""
    ends: list[str] = []

    async def serve(stream: trio.SocketStream) -> None:
        await trio.sleep(0.1)
        try:
            while await stream.receive_some(1000):
                pass
            ends.append("closed")
        except trio.BrokenResourceError:
            ends.append("reset")

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                trio.serve_tcp,
                serve,
                0,
            )
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            connection = Connection(await open_pipe(address, ConnectionSettings()), address)
            await connection.send(
                b"POST", b"/book/x", [(b"host", b"a"), (b"content-length", b"1")], b"x"
            )
            connection.close()
            with trio.fail_after(1.0):
                while not ends:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert ends == ["reset"]
