"""Decoding of the operators' configuration and of the servers' entries into the project's types."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from mulberrycleat.endpoint.directory import Entry, EntryState
from mulberrycleat.routes import (
    ClientLimits,
    EngineFacts,
    Pool,
    PoolShare,
    PrepaidAccount,
    Route,
    RouteKind,
    RouteMap,
)

__all__ = ["decode_config", "decode_entry"]


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int = 1
    service: str | None = None
    traffic_split: list[_Split] = []
    priority: int = 0
    anonymous: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 500


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    """A server's entry.

    `service` names a pool, and `cold_remaining_ms` is the time that the server remains slow.
    """

    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_remaining_ms: float = 0.0
    born: float = 0.0


_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_STATES = {"ready": EntryState.READY, "draining": EntryState.LEAVING}


def decode_config(data: bytes) -> Result[RouteMap, str]:
    """Return the route map that the operators' record holds, or the reason why it can't be read."""
    try:
        config = msgspec.json.decode(data, type=_Config)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(f"config: {error}")
    routes = []
    for route in config.routes:
        if route.kind not in _KINDS:
            return Err(f"config: routes: {route.name}: kind: unknown value {route.kind!r}")
        routes.append(_route(route))
    return Ok(
        RouteMap(
            version=config.version,
            routes=tuple(routes),
            pools=tuple(
                Pool(service.name, service.max_connections, _engine(service.engine))
                for service in config.services
            ),
            limits=ClientLimits(
                config.limits.max_header_bytes,
                config.limits.max_body_bytes,
                config.limits.header_timeout_ms / 1000,
                config.limits.idle_timeout_ms / 1000,
            ),
            accounts=tuple(
                PrepaidAccount(t.name, tuple(t.api_keys), t.priority, t.prepaid)
                for t in config.tenants
            ),
        )
    )


def decode_entry(name: str, data: bytes) -> Result[Entry, str]:
    """Return a server's entry, or the reason why it names no server to use."""
    try:
        server = msgspec.json.decode(data, type=_Server)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(f"entry {name}: {error}")
    if server.state not in _STATES:
        return Err(f"entry {name}: state: unknown value {server.state!r}")
    host, _, port = server.address.rpartition(":")
    if not host or not port.isdigit():
        return Err(f"entry {name}: address: {server.address!r} is not ip:port")
    return Ok(
        Entry(
            id=name,
            pool=server.service,
            address=server.address,
            zone=server.zone,
            state=_STATES[server.state],
            slots=max(1, server.slots),
            cold_s=server.cold_remaining_ms / 1000,
            born=server.born,
        )
    )


def _route(route: _Route) -> Route:
    if route.traffic_split:
        shares = tuple(PoolShare(s.service, s.weight) for s in route.traffic_split if s.weight > 0)
    else:
        shares = (PoolShare(route.service, 1.0),) if route.service else ()
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_KINDS[route.kind],
        pools=shares,
        timeout_s=route.timeout_ms / 1000,
        target_s=route.target_latency_ms / 1000,
        pause_s=route.gap_target_ms / 1000,
        max_attempts=max(1, route.max_attempts),
        anonymous=route.anonymous,
        resumable=route.stream_resume,
        priority=route.priority,
    )


def _engine(engine: _Engine | None) -> EngineFacts | None:
    if engine is None:
        return None
    return EngineFacts(engine.slots, engine.kv_capacity, max(1, engine.stride))
