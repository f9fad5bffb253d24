"""A host of the entry program on stand-ins of the platform."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlsplit

import httpcore
import trio

from mulberrycleat.entry.app import EntryHost, EntryPorts
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntrySettings, FleetBounds
from mulberrycleat.platform.headers import PlatformHeaderCodec
from mulberrycleat.platform.standin import Servers, ServerStandin, StoreClient, StoreStandin
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.web import BaseHttpClient, StreamedAnswer

ENGINE = {"slots": 8, "kv_capacity": 400_000, "stride": 5}
CONFIG: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "ask",
            "host": "a.example",
            "path_prefix": "/ask/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": "engines",
            "max_attempts": 2,
            "anonymous": False,
            "stream_resume": True,
            "gap_target_ms": 500,
        },
        {
            "name": "book",
            "host": "a.example",
            "path_prefix": "/book/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 300,
            "service": "huts",
            "max_attempts": 1,
        },
        {
            "name": "find",
            "host": "a.example",
            "path_prefix": "/find/",
            "kind": "idempotent",
            "timeout_ms": 800,
            "target_latency_ms": 300,
            "service": "huts",
            "max_attempts": 2,
        },
    ],
    "services": [
        {"name": "engines", "health_path": "/health", "max_connections": 370, "engine": ENGINE},
        {"name": "huts", "health_path": "/health", "max_connections": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 100_000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "rangers", "api_keys": ["key-1"], "priority": 1, "prepaid": 100_000}],
}


@dataclass
class Answer:
    """What a caller got."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Apps(dict[str, Any]):
    """The hosts' applications by address; while `lose_answers`, calls are done and not answered."""

    lose_answers = False


class Peers(BaseHttpClient):
    """The way of one host to the others."""

    def __init__(self, apps: Apps) -> None:
        self._apps = apps

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> AsyncIterator[StreamedAnswer]:
        """Call another host's application; raises httpcore's exceptions."""
        parts = urlsplit(url)
        if parts.netloc not in self._apps:
            raise httpcore.ConnectError("refused")
        await trio.sleep(0.001)
        sent: list[dict[str, Any]] = []
        asked = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> dict[str, Any]:
            if not asked:
                await trio.sleep_forever()
            return asked.pop()

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": parts.path,
            "query_string": b"",
            "headers": [],
        }
        await self._apps[parts.netloc](scope, receive, send)
        if self._apps.lose_answers:
            await trio.sleep(timeout_s)
            raise httpcore.ReadTimeout("the answer is lost")
        data = b"".join(message.get("body", b"") for message in sent)
        yield StreamedAnswer(sent[0]["status"], {}, _chunks(data))


async def _chunks(data: bytes) -> AsyncIterator[bytes]:
    yield data


@dataclass
class World:
    """One host with its surroundings."""

    host: EntryHost
    store: StoreStandin
    servers: Servers
    nursery: trio.Nursery
    apps: Apps
    scope: trio.CancelScope
    stop: trio.Event

    def restart(self, name: str) -> World:
        """Kill the host and start its next incarnation."""
        self.scope.cancel()
        return start_host(name, self.store, self.servers, self.nursery, self.apps)

    async def ask(
        self,
        path: str,
        request_id: str = "r1",
        method: str = "POST",
        body: bytes = b"",
        leave_after_s: float = float("inf"),
        **headers: str,
    ) -> Answer:
        """Send a caller's request and return what came back."""
        answer = Answer()
        given = {
            "host": "a.example",
            "attempt-id": request_id,
            "timeout-remaining": "3000",
            "authorization": "Bearer key-1",
        }
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        gone = trio.Event()
        sent = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> dict[str, Any]:
            if sent:
                return sent.pop()
            await gone.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            await trio.lowlevel.checkpoint()
            if message["type"] == "http.response.start":
                answer.status = message["status"]
                answer.headers = {k.decode(): v.decode() for k, v in message["headers"]}
            else:
                answer.body += message["body"]
                answer.whole = not message["more_body"]

        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": [(k.encode(), v.encode()) for k, v in given.items() if v],
        }
        async with trio.open_nursery() as nursery:
            if leave_after_s < float("inf"):
                nursery.start_soon(_leave, gone, leave_after_s)
            await self.host.front(scope, receive, send)
            nursery.cancel_scope.cancel()
        return answer


async def _leave(gone: trio.Event, after_s: float) -> None:
    await trio.sleep(after_s)
    gone.set()


@asynccontextmanager
async def entry_host(
    *standins: ServerStandin,
    config: dict[str, Any] = CONFIG,
    store: StoreStandin | None = None,
    wait_s: float = 1.0,
) -> AsyncIterator[World]:
    """Run one entry host for the time of the block."""
    async with entry_hosts(1, *standins, config=config, store=store, wait_s=wait_s) as worlds:
        yield worlds[0]


@asynccontextmanager
async def entry_hosts(
    count: int,
    *standins: ServerStandin,
    config: dict[str, Any] = CONFIG,
    store: StoreStandin | None = None,
    wait_s: float = 1.0,
) -> AsyncIterator[list[World]]:
    """Run some entry hosts of one zone, named a1, a2 and so on, for the time of the block."""
    store = store or StoreStandin()
    if config:
        store.put("keyed.op", "config", config)
    for server in standins:
        store.put("keyed.servers", server.id, server.entry())
    apps = Apps()
    async with trio.open_nursery() as nursery:
        servers = Servers(nursery, standins)
        worlds = [
            start_host(f"a{number}", store, servers, nursery, apps)
            for number in range(1, count + 1)
        ]
        await trio.sleep(wait_s)
        yield worlds
        nursery.cancel_scope.cancel()


def start_host(
    name: str,
    store: StoreStandin,
    servers: Servers,
    nursery: trio.Nursery,
    apps: Apps,
) -> World:
    """Start an entry host; a second one of the same name is another incarnation."""
    address = f"{name}:3"
    settings = EntrySettings(
        host=name,
        zone="z-a",
        ip="10.0.0.1",
        front="10.0.0.1:1",
        readiness="10.0.0.1:2",
        peers_listen=address,
        store="10.9.0.1:4",
        seeds=("a1:3",),
        bounds=FleetBounds(repeat_share=0.2, repeat_slack=20.0),
    )

    async def serve(app: Any, address: str, *rest: Any, **options: Any) -> None:
        await trio.sleep_forever()

    ports = EntryPorts(Peers(apps), servers.connect, serve, trio.current_time)
    platform = PlatformStore(settings.store, StoreClient(store, name), 0.4)
    host = EntryHost(
        settings, PlatformHeaderCodec(), platform, DecisionLog(trio.current_time), ports
    )
    apps[address] = host.peers_app
    scope, stop = trio.CancelScope(), trio.Event()
    nursery.start_soon(_run, host, scope, stop)
    return World(host, store, servers, nursery, apps, scope, stop)


async def _run(host: EntryHost, scope: trio.CancelScope, stop: trio.Event) -> None:
    with scope:
        await host.run(stop)
