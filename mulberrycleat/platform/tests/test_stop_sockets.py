"""What callers on real connections receive from a host that ends."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import Random

import trio

from mulberrycleat.entry.app import EntryHost
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.ports import EntryPorts
from mulberrycleat.entry.settings import EntrySettings, FleetRequirements
from mulberrycleat.platform.headers import PlatformHeaderCodec
from mulberrycleat.platform.main import run_to_end
from mulberrycleat.platform.standin import Servers, ServerStandin
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.platform.store_standin import StoreClient, StoreStandin
from mulberrycleat.platform.tests.fixtures import PeerApps, PeerClient
from mulberrycleat.platform.tests.test_stop_in_flight import LONG_MS, LONG_ROUTES

GRACE_S = 3.0
# Delay of a wake-up on a busy machine, in seconds.
LATENESS_S = 1.0
SMALL_BUFFER_BYTES = 4096
LONG = ("content-length: 0", f"timeout-remaining: {LONG_MS}")
MODEL_HEADERS = (*LONG, "model: m", "token-counts: 900,400")


def head(method: str, path: str, *headers: str, request_id: str = "r1") -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "host: a.example",
        f"attempt-id: {request_id}",
        "authorization: Bearer key-1",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def free_addresses(count: int, ip: str = "127.0.0.1") -> list[str]:
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    addresses = [f"{ip}:{probe.getsockname()[1]}" for probe in probes]
    for probe in probes:
        probe.close()
    return addresses


def run_until_stopped(
    server: ServerStandin, caller: Callable[[str], Awaitable[None]], before_stop_s: float
) -> float:
    """Run a host on real sockets while `caller` uses it; return how long it took to stop."""
    store = StoreStandin()
    store.put("keyed.op", "config", LONG_ROUTES)
    store.put("keyed.servers", server.id, server.entry())
    stop_times: list[float] = []

    async def main() -> None:
        front, readiness = free_addresses(2)
        bounds = FleetRequirements(grace_s=GRACE_S)
        settings = EntrySettings("a1", "z-a", "", front, readiness, "", "", bounds=bounds)
        async with trio.open_nursery() as nursery:
            decisions = DecisionLog(trio.current_time)
            ports = EntryPorts(PeerClient(PeerApps()), Servers(nursery, (server,)).connect)
            host = EntryHost(
                settings,
                PlatformHeaderCodec(),
                PlatformStore("", StoreClient(store, "a1"), 0.4),
                decisions,
                ports,
            )
            stop, callers_ended = trio.Event(), trio.Event()

            def exit_process() -> None:
                stop_times.append(trio.current_time() - stopped_at)
                nursery.cancel_scope.cancel()

            async def run_host() -> None:
                await run_to_end(host, stop, decisions, exit_process)
                stop_times.append(trio.current_time() - stopped_at)
                with trio.move_on_after(LATENESS_S):
                    await callers_ended.wait()
                nursery.cancel_scope.cancel()

            async def run_caller() -> None:
                await caller(front)
                callers_ended.set()

            nursery.start_soon(run_host)
            while not host.ready:
                await trio.sleep(0.02)
            nursery.start_soon(run_caller)
            await trio.sleep(before_stop_s)
            stopped_at = trio.current_time()
            stop.set()

    trio.run(main)
    return stop_times[0]


async def receive_all(address: str, request: bytes, received: list[bytes]) -> None:
    """Send a request and receive until the connection ends."""
    host, _, port = address.rpartition(":")
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(request)
        while data := await stream.receive_some(65536):
            received.append(data)
        received.append(b"<end>")


def test_the_answer_to_an_aborted_request_arrives_before_the_connection_ends():
    server, received = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=30.0), []
    request = head("POST", "/book/x", *LONG)

    async def caller(address: str) -> None:
        await receive_all(address, request, received)

    took_s = run_until_stopped(server, caller, 0.3)
    text = b"".join(received).decode().lower()
    assert text.startswith("http/1.1 502")
    assert "connection: close" in text
    assert "stopping" in text
    assert text.endswith("<end>")
    assert server.ran == ["r1"]
    assert took_s < GRACE_S


def test_a_stream_that_is_broken_off_at_the_end_of_a_host_does_not_look_complete():
    server, received = ServerStandin("e1", "10.1.0.1:80", "engines", events=200, work_s=0.1), []
    request = head("POST", "/ask/x", *MODEL_HEADERS)

    async def caller(address: str) -> None:
        await receive_all(address, request, received)

    took_s = run_until_stopped(server, caller, 0.5)
    data = b"".join(received)
    assert data.startswith(b"HTTP/1.1 200")
    assert data.count(b"data: ") > 10
    assert b"0\r\n\r\n" not in data
    assert data.endswith(b"<end>")
    assert took_s < GRACE_S


def test_a_caller_that_does_not_read_does_not_hold_up_the_end_of_a_host():
    server = ServerStandin(
        "e1", "10.1.0.1:80", "engines", events=400, work_s=0.001, event_data="x" * 65_536
    )
    request = head("POST", "/ask/x", *MODEL_HEADERS)

    async def caller(address: str) -> None:
        host, _, port = address.rpartition(":")
        unread = trio.socket.socket()
        unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await unread.connect((host, int(port)))
        await unread.send(request)
        try:
            await trio.sleep_forever()
        finally:
            unread.close()

    took_s = run_until_stopped(server, caller, 0.5)
    assert server.ran == ["r1"]
    assert took_s < GRACE_S + LATENESS_S


async def read_status(stream: trio.SocketStream) -> str:
    """Return the status of an answer, or an empty text if the connection ends before it does."""
    data = b""
    while True:
        answer_head, separator, body = data.partition(b"\r\n\r\n")
        if separator:
            length = answer_head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
            if len(body) >= int(length):
                return data[9:12].decode()
        try:
            more = await stream.receive_some(65536)
        except trio.BrokenResourceError:
            return ""
        if not more:
            return ""
        data += more


def test_no_request_that_was_run_ends_without_an_answer_around_the_end_of_a_host():
    random = Random(7)
    server = ServerStandin("h1", "10.2.0.1:80", "bookings")
    statuses: dict[str, str] = {}

    async def send(address: str, request_id: str) -> None:
        host, _, port = address.rpartition(":")
        method, path = random.choice((("POST", "/book/x"), ("GET", "/find/x")))
        limit_ms = random.choice((400, 1000, 2000, LONG_MS))
        headers = ("content-length: 0", f"timeout-remaining: {limit_ms}")
        request = head(method, path, *headers, request_id=request_id)
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await trio.sleep(random.uniform(0.0, GRACE_S))
            server.work_s = random.choice((0.02, 0.2, 0.8, 4.0))
            with suppress(trio.BrokenResourceError):
                await stream.send_all(request)
            statuses[request_id] = await read_status(stream)

    async def caller(address: str) -> None:
        async with trio.open_nursery() as nursery:
            for number in range(300):
                nursery.start_soon(send, address, f"r{number}")

    run_until_stopped(server, caller, 0.3)
    ran = set(server.ran)
    assert len(ran) > 20
    assert [name for name in ran if not statuses.get(name, "")] == []
    assert [name for name in ran if statuses[name] == "503"] == []
