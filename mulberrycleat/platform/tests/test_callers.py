"""Requests over real sockets whose callers disconnect while the event loop is blocked."""

from __future__ import annotations

import socket
from typing import Any

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.web import serve_app
from mulberrycleat.web.tests.test_bad_callers import free_address

CALLERS = 40


async def serve_over_sockets(front: Any, address: str, nursery: trio.Nursery) -> trio.Event:
    """Serve an application over sockets until the returned event is set."""
    stop = trio.Event()
    await nursery.start(serve_app, front, address, stop, 1.0)
    return stop


def send_and_disconnect(address: str, request_id: str) -> None:
    """Send a complete request and close the socket without yielding to the event loop."""
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


def test_requests_of_callers_that_disconnected_before_being_read_reach_no_endpoint():
    booking_server = ServerStandin("h1", "10.2.0.1:80", "bookings")

    async def main() -> None:
        address = free_address()
        async with entry_host(booking_server) as harness:
            await harness.send_request("/find/x", "first", "GET")
            stop = await serve_over_sockets(harness.host.front, address, harness.nursery)
            for number in range(CALLERS):
                send_and_disconnect(address, f"left-{number}")
            await trio.sleep(0.5)
            stop.set()

    trio.run(main)
    assert [seen for seen in booking_server.seen if "left" in str(seen)] == []
    assert len(booking_server.seen) == 1
