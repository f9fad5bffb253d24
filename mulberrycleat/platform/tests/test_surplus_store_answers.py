"""Answers of the store that come twice on a kept connection."""

from __future__ import annotations

import trio

from mulberrycleat.core import Position
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.prepaid import HolderRecord
from mulberrycleat.web import HttpClient

# The first append is done, the second one refused: other hosts have appended in between.
ANSWERS = ((200, b'{"offset":0,"end":1}'), (412, b'{"end":9}'))


async def read_request(stream: trio.SocketStream) -> bytes:
    """Return a request with its body; empty at the end of the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(10_000)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    (length,) = (
        int(line.split(b":")[1])
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    )
    while len(body) < length:
        body += await stream.receive_some(10_000)
    return head + body


def test_a_copied_acknowledgement_does_not_acknowledge_an_append_that_was_refused():
    """The host would spend the tokens of a slice that the store has no record of."""
    answers = iter(ANSWERS)

    async def serve(stream: trio.SocketStream) -> None:
        try:
            while await read_request(stream):
                status, body = next(answers)
                answer = b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body
                await stream.send_all(2 * answer)
        except trio.BrokenResourceError:
            return

    async def main() -> None:
        client = HttpClient()
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            store = PlatformStore(address, client, 1.0)
            outcomes = []
            for offset in (0, 1):
                record = HolderRecord("a", "1", offset + 1, 1)
                outcomes.append(await store.append_slices(0, record, Position(0, offset)))
            await client.aclose()
            nursery.cancel_scope.cancel()
        assert [outcome.ok_value.done for outcome in outcomes] == [True, False], outcomes

    trio.run(main)
