"""Stand-ins for the platform's host list and weight store."""

from __future__ import annotations

import msgspec
import trio

from mulberrycleat.standin.faults import Faults
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["HostListStandin", "WeightStandin"]


class _Host(msgspec.Struct):
    name: str
    state: str = "live"


class _HostList(msgspec.Struct):
    hosts: list[_Host]


class HostListStandin:
    """List of live and leaving hosts; a change becomes visible after ``list_lag_s``."""

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._changes: list[tuple[float, list[_Host]]] = [(0.0, [])]

    def routes(self) -> tuple[Route, ...]:
        """Return the service's routes; ``PUT /v1/hosts`` replaces the list."""
        return (
            Route("GET", "/v1/hosts", self._get),
            Route("PUT", "/v1/hosts", self._put),
            *self._faults.routes(),
        )

    async def _get(self, request: Request, responder: Responder) -> Reply:
        if held := await self._faults.hold():
            return held
        visible_until = trio.current_time() - self._settings.list_lag_s
        visible = [hosts for at, hosts in self._changes if at <= visible_until]
        return json_reply({"hosts": visible[-1] if visible else []})

    async def _put(self, request: Request, responder: Responder) -> Reply:
        try:
            hosts = msgspec.json.decode(request.body, type=_HostList).hosts
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        self._changes.append((trio.current_time(), hosts))
        return json_reply({"ok": True})


class WeightStandin:
    """Store of model weights; it serves at most ``weights_per_s`` loads per second."""

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._next_load_at = 0.0
        self._served = 0

    def routes(self) -> tuple[Route, ...]:
        """Return the service's routes."""
        return (
            Route("GET", "/v1/weights/{model}", self._load),
            Route("GET", "/stats", self._stats),
            *self._faults.routes(),
        )

    async def _load(self, request: Request, responder: Responder) -> Reply:
        if held := await self._faults.hold():
            return held
        now = trio.current_time()
        if now < self._next_load_at:
            wait_s = ("retry-after", f"{self._next_load_at - now:.1f}")
            return Reply(429, b'{"error": "rate limit"}', (wait_s,))
        self._next_load_at = now + 1.0 / self._settings.weights_per_s
        self._served += 1
        return json_reply({"model": request.params["model"], "bytes": 0})

    async def _stats(self, request: Request, responder: Responder) -> Reply:
        return json_reply({"served": self._served})
