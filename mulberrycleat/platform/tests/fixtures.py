"""A host of the entry program on stand-ins of the platform."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpcore
import trio

from mulberrycleat.entry.app import EntryHost, EntryPorts
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntrySettings, FleetBounds
from mulberrycleat.platform.headers import PlatformDialect
from mulberrycleat.platform.standin import Servers, ServerStandin, StoreClient, StoreStandin
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.web import BaseHttpClient

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


class NoPeers(BaseHttpClient):
    """No other host can be reached."""

    def stream(self, *arguments: Any, **options: Any) -> Any:
        """Fail as a connection that is refused."""
        raise httpcore.ConnectError("refused")


@dataclass
class World:
    """One host with its surroundings."""

    host: EntryHost
    store: StoreStandin
    servers: Servers
    nursery: trio.Nursery

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
    store = store or StoreStandin()
    if config:
        store.put("keyed.op", "config", config)
    for server in standins:
        store.put("keyed.servers", server.id, server.entry())
    bounds = FleetBounds(repeat_share=0.2, repeat_slack=20.0)
    settings = EntrySettings(
        host="a1",
        zone="z-a",
        ip="10.0.0.1",
        front="10.0.0.1:1",
        readiness="10.0.0.1:2",
        peers_listen="10.0.0.1:3",
        store="10.9.0.1:4",
        bounds=bounds,
    )

    async def serve(app: Any, address: str, *rest: Any, **options: Any) -> None:
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        servers = Servers(nursery, standins)
        ports = EntryPorts(NoPeers(), servers.connect, serve, trio.current_time)
        platform = PlatformStore("10.9.0.1:4", StoreClient(store, "a1"), 0.4)
        decisions = DecisionLog(trio.current_time)
        host = EntryHost(settings, PlatformDialect(), platform, decisions, ports)
        nursery.start_soon(host.run, trio.Event())
        await trio.sleep(wait_s)
        yield World(host, store, servers, nursery)
        nursery.cancel_scope.cancel()
