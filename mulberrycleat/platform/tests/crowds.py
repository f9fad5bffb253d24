"""Runs the entry host's own process on loopback beside a crowd of callers, and measures it."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any, NamedTuple

import httpcore
import trio

from mulberrycleat.platform.settings import BOOT_VARIABLE
from mulberrycleat.platform.standin import MemoryPipe, Servers, ServerStandin
from mulberrycleat.platform.store_standin import StoreClient, StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG
from mulberrycleat.platform.tests.test_stop_sockets import free_addresses, head
from mulberrycleat.web import serve_app
from mulberrycleat.web.asgi import Responder, answer_lifespan, read_body
from mulberrycleat.web.server import listen
from mulberrycleat.web.upstream import ConnectionSettings, SocketPipe

__all__ = [
    "STORE_CALLER",
    "Addresses",
    "Crowd",
    "Host",
    "Measured",
    "run_beside",
    "settings_text",
    "start_process",
    "store_app",
]

MB = 1_000_000
MAX_BODY_BYTES = 4_194_304
# The host as which all processes call the store stand-in.
STORE_CALLER = "a1"
ROUTE_TIMEOUT_MS = 10_000
STARTED_WITHIN_S = 20.0
# Longest wait for the host to have worked through what a crowd has sent, in seconds; it has when it
# uses hardly any processor time for the interval.
SETTLED_WITHIN_S = 12.0
SETTLED_INTERVAL_S = 0.4
SETTLED_TICKS = 4
# An ordinary request is repeated this often, with this patience in seconds, before it counts as
# not answered: a refusal of a single one is allowed. The time of a request body to arrive is longer
# than all attempts together, so that the crowd doesn't end before them.
ATTEMPTS = 3
PATIENCE_S = 2.5
PAUSE_S = 0.5
STOPPED_WITHIN_S = 5.0

Crowd = Callable[["Host", trio.Nursery], Awaitable[None]]


class Addresses(NamedTuple):
    """Where a host listens."""

    ip: str
    front: str
    readiness: str
    control: str


class Measured(NamedTuple):
    """What a host has shown beside a crowd."""

    exit_code: int | None
    peak_bytes: int
    most_descriptors: int
    statuses: list[int]


@dataclass
class Host:
    """A running process of the product, with its addresses."""

    process: subprocess.Popen
    front: str
    readiness: str
    most_descriptors: int = 0

    def peak_bytes(self) -> int:
        """Return the most memory that the process has had resident."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0

    def ticks(self) -> int:
        """Return the processor time that the process has used, in clock ticks."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    async def watch_descriptors(self) -> None:
        """Note the most open descriptors, until cancelled."""
        while True:
            with suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, count)
            await trio.sleep(0.05)

    async def settle(self) -> None:
        """Wait until the process uses hardly any processor time."""
        with trio.move_on_after(SETTLED_WITHIN_S):
            before = self.ticks()
            while self.process.poll() is None:
                await trio.sleep(SETTLED_INTERVAL_S)
                now = self.ticks()
                if now - before <= SETTLED_TICKS:
                    return
                before = now


async def run_beside_crowd(
    crowd: Crowd, memory_mb: int, max_fds: int, body_bytes: int, settles: bool
) -> Measured:
    """Run a host beside a crowd, and send ordinary requests while the crowd stays.

    Parameters
    ----------
    memory_mb, max_fds : int
        Settings of the host.
    body_bytes : int
        Size of the endpoint's answers.
    settles : bool
        Whether the crowd falls silent, so that the host works through what it has sent first.
    """
    endpoint_address, store_address = free_addresses(2)
    endpoint = ServerStandin(
        "h1", endpoint_address, "bookings", work_s=0.01, slots=256, body_bytes=body_bytes
    )
    store = StoreStandin()
    limits = {**CONFIG["limits"], "max_body_bytes": MAX_BODY_BYTES}
    # The stand-in shares a processor with the crowd, and takes longer for its answers.
    routes = [{**route, "timeout_ms": ROUTE_TIMEOUT_MS} for route in CONFIG["routes"]]
    store.put("keyed.op", "config", {**CONFIG, "limits": limits, "routes": routes})
    store.put("keyed.servers", endpoint.id, endpoint.entry())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_serve_endpoint, endpoint)
        await nursery.start(serve_app, store_app(store), store_address, trio.Event())
        async with _host(store_address, memory_mb, max_fds) as host:
            nursery.start_soon(host.watch_descriptors)
            with trio.fail_after(STARTED_WITHIN_S):
                while await ask(host) != 200:
                    await trio.sleep(0.1)
            async with trio.open_nursery() as callers:
                await crowd(host, callers)
                if settles:
                    await host.settle()
                statuses: list[int] = []
                while len(statuses) < ATTEMPTS and 200 not in statuses:
                    statuses.append(await ask(host, f"after-{len(statuses)}"))
                    if statuses[-1] != 200:
                        await trio.sleep(PAUSE_S)
                exit_code = host.process.poll()
                peak = host.peak_bytes() if exit_code is None else 0
                callers.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return Measured(exit_code, peak, host.most_descriptors, statuses)


def run_beside(
    crowd: Crowd, memory_mb: int, max_fds: int, body_bytes: int = 0, settles: bool = True
) -> Measured:
    """Run a host beside a crowd in real time; see :func:`run_beside_crowd`."""
    return trio.run(run_beside_crowd, crowd, memory_mb, max_fds, body_bytes, settles)


async def ask(host: Host, request_id: str = "before") -> int:
    """Send an ordinary request and return the status of its answer, 0 if there is none."""
    name, _, port = host.front.rpartition(":")
    data = b""
    with trio.move_on_after(PATIENCE_S), suppress(OSError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream(name, int(port)) as stream:
            request = head(
                "POST",
                "/book/x",
                "content-length: 4",
                "timeout-remaining: 3500",
                request_id=request_id,
            )
            await stream.send_all(request + b"body")
            while b"\r\n" not in data and (more := await stream.receive_some(4096)):
                data += more
    return int(data.split()[1]) if data else 0


def settings_text(
    name: str,
    addresses: Addresses,
    store_address: str,
    memory_mb: int,
    max_fds: int,
    more: str = "",
) -> str:
    """Return the settings file of a host; `more` has further lines of its first table."""
    return f"""
node_name = "{name}"
ip = "{addresses.ip}"
zone = "z-a"
{more}
[listen]
front = "{addresses.front}"
readiness = "{addresses.readiness}"
control = "{addresses.control}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
address = "{store_address}"
"""


def start_process(settings: Path, output: IO[bytes], tree: Path | None = None) -> subprocess.Popen:
    """Start a host's own process; `tree` is another check-out whose code it runs."""
    env = {**os.environ, BOOT_VARIABLE: str(settings)}
    if tree is not None:
        env["PYTHONPATH"] = str(tree)
    return subprocess.Popen(
        [sys.executable, "-m", "mulberrycleat.platform.main"],
        env=env,
        cwd=tree,
        stdout=output,
        stderr=subprocess.STDOUT,
    )


@asynccontextmanager
async def _host(store_address: str, memory_mb: int, max_fds: int) -> AsyncIterator[Host]:
    addresses = Addresses("127.0.0.1", *free_addresses(3))
    text = settings_text("a1", addresses, store_address, memory_mb, max_fds)
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "node.toml")
        path.write_text(text, encoding="utf-8")
        with Path(directory, "log").open("wb") as output:
            process = start_process(path, output)
            try:
                yield Host(process, addresses.front, addresses.readiness)
            finally:
                process.kill()
                process.wait(STOPPED_WITHIN_S)


def store_app(store: StoreStandin) -> Any:
    client = StoreClient(store, STORE_CALLER)

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        body = await read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return
        url = f"http://store{scope['raw_path'].decode()}?{scope['query_string'].decode()}"
        try:
            async with client.stream(scope["method"], url, body) as answer:
                data = b"".join([chunk async for chunk in answer.chunks])
        except httpcore.ReadTimeout:
            return
        responder = Responder(send)
        headers = (*answer.headers.items(), ("content-length", str(len(data))))
        await responder.start(answer.status, headers)
        await responder.finish(data)

    return app


async def _serve_endpoint(endpoint: ServerStandin) -> None:
    async with trio.open_nursery() as nursery:
        servers = Servers(nursery, (endpoint,))

        async def handle(stream: trio.SocketStream) -> None:
            near = SocketPipe(stream)
            far = await servers.connect(endpoint.address, ConnectionSettings())
            async with trio.open_nursery() as copying:
                copying.start_soon(_copy, near, far, copying.cancel_scope)
                await _copy(far, near, copying.cancel_scope)

        listener = listen(endpoint.address, 5.0)
        tcp = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        await trio.serve_listeners(handle, [tcp])


async def _copy(
    source: SocketPipe | MemoryPipe, sink: SocketPipe | MemoryPipe, scope: trio.CancelScope
) -> None:
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while data := await source.receive_some(65_536):
            await sink.send_all(data)
    scope.cancel()
