"""Answers of other hosts that break off at any byte, over TCP sockets."""

from __future__ import annotations

import socket
import struct
from random import Random

import h11
import msgspec
import trio
from result import Err, Result

from mulberrycleat.core import START, PeerError, Position, Step
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.relay import RelayedStore
from mulberrycleat.entry.store import MapUpdate
from mulberrycleat.routes import RouteMap
from mulberrycleat.web import HttpClient

UPDATE = MapUpdate(Position(3, 1), RouteMap(version=7))
BODY = msgspec.msgpack.encode(UPDATE)
TYPE = b"Content-Type: application/msgpack\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + TYPE
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </hut>\r\n\r\n"
ANSWERS = (
    HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY),
    INFORMATIONAL + HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY),
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n4;q=1\r\n%s\r\n%x\r\n%s\r\n0\r\nChecked: yes\r\n\r\n"
    % (BODY[:4], len(BODY) - 4, BODY[4:]),
    HEAD + b"\r\n" + BODY,
)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class UnreachableStore:
    """A store that never answers."""

    async def read_map(self, position, wait_s, on_answer):
        """Return an error."""
        return Err(PeerError(Step.READ, "store", "no answer", sent=False))


async def read_map(answer: bytes, resets: bool) -> Result[MapUpdate, PeerError]:
    """Read the route map through a host that sends `answer` and ends the connection."""

    async def serve(stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65_536))
        await stream.send_all(answer)
        if resets:
            # What has been sent is received before the reset.
            await trio.sleep(0.002)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()

    client = HttpClient()
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp,
            serve,
            0,
        )
        peer = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        decisions = DecisionLog(trio.current_time)
        store = RelayedStore(UnreachableStore(), client, lambda: (peer,), decisions, Random(1))
        found = await store.read_map(START, 0.0)
        await client.aclose()
        nursery.cancel_scope.cancel()
    return found


def test_a_relayed_answer_that_breaks_off_at_any_byte_is_an_error():
    async def main() -> None:
        for number, answer in enumerate(ANSWERS):
            is_framed = number < len(ANSWERS) - 1
            for cut in range(len(answer)):
                found = await read_map(answer[:cut], resets=cut % 2 == 1)
                assert found.is_err(), answer[:cut]
                assert found.err_value.sent
            assert (await read_map(answer, resets=False)).ok_value == UPDATE
            assert (await read_map(answer, resets=True)).is_ok() == is_framed

    trio.run(main)
