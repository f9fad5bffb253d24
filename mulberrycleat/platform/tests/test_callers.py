"""Callers over real sockets, as a host meets them after it stood still."""

from __future__ import annotations

import socket
from typing import Any

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.web import serve_app
from mulberrycleat.web.tests.test_bad_callers import free_address

CALLERS = 40


async def serve_front(front: Any, address: str, nursery: trio.Nursery) -> trio.Event:
    """Serve an application over sockets; the event that is returned ends that."""
    stop = trio.Event()
    await nursery.start(serve_app, front, address, stop, 1.0)
    return stop


def ask_and_leave(address: str, request_id: str) -> None:
    """Send a whole request and close, with no turn of the event loop in between."""
    host, _, port = address.rpartition(":")
    lines = (
        "GET /find/x HTTP/1.1",
        "host: a.example",
        f"attempt-id: {request_id}",
        "timeout-remaining: 3000",
        "authorization: Bearer key-1",
        "",
        "",
    )
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall("\r\n".join(lines).encode())


def test_requests_whose_callers_left_before_they_were_read_reach_no_endpoint():
    hut = ServerStandin("h1", "10.2.0.1:80", "huts")

    async def main() -> None:
        address = free_address()
        async with entry_host(hut) as world:
            await world.ask("/find/x", "first", "GET")
            stop = await serve_front(world.host.front, address, world.nursery)
            for number in range(CALLERS):
                ask_and_leave(address, f"left-{number}")
            await trio.sleep(0.5)
            stop.set()

    trio.run(main)
    assert [seen for seen in hut.seen if "left" in str(seen)] == []
    assert len(hut.seen) == 1
