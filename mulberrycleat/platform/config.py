"""Decodes the operators' configuration and the servers' directory entries."""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from mulberrycleat.core.numbers import parse_count
from mulberrycleat.endpoint.directory import Entry, EntryState
from mulberrycleat.routes import (
    ClientAccount,
    ClientLimits,
    EngineProperties,
    Pool,
    PoolShare,
    Route,
    RouteKind,
    RouteMap,
)

__all__ = ["decode_config", "decode_entry"]


# Largest values that an entry may state; other writers leave entries, too.
MAX_SLOTS, MAX_COLD_MS, MAX_UNIX_MS, MAX_SEQUENCE = 2**20, 86_400_000, 10**15, 2**53
MAX_PORT = 65_535
# Names of servers are sent in a header.
_SERVER_NAME = re.compile(r"[!-~]{1,128}")
_Name = Annotated[str, msgspec.Meta(max_length=256)]


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route of the configuration; `service` is used only if `traffic_split` is empty."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int = 1
    service: str | None = None
    traffic_split: list[_TrafficSplit] = []
    priority: int = 0
    anonymous: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 500


class _Engine(msgspec.Struct):
    """Properties of a service's engines.

    `kv_capacity` is in tokens. `stride` is the maximum number of generated tokens in one event of
    a stream.
    """

    slots: int
    kv_capacity: int
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 100
    engine: _Engine | None = None
    cold_start_s: float | None = None
    cold_per_s: float | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct):
    """A client account.

    `priority` overrides the priority of the route. `prepaid` is the total number of tokens that
    the account may consume; None if unlimited.
    """

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
    """A server's directory entry, of which each field has to be there.

    `service` is the name of a pool. `cold_remaining_ms` is how long the server will still be slow
    after its start. `born` is the server's start time; a changed value means a new incarnation.
    `sequence` rises with each entry of an incarnation.
    `version` is that of its software, not of a model's weights.
    """

    service: _Name
    address: Annotated[str, msgspec.Meta(max_length=64)]
    zone: _Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
    version: _Name


_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
_ENTRY_STATES = {"ready": EntryState.READY, "draining": EntryState.LEAVING}


def decode_config(data: bytes) -> Result[RouteMap, str]:
    """Decode a configuration record of the operators, or return why it can't be decoded."""
    try:
        config = msgspec.json.decode(data, type=_Config)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(f"config: {error}")
    routes = []
    for route in config.routes:
        if route.kind not in _ROUTE_KINDS:
            return Err(f"config: routes: {route.name}: kind: unknown value {route.kind!r}")
        routes.append(_decode_route(route))
    return Ok(
        RouteMap(
            version=config.version,
            routes=tuple(routes),
            pools=tuple(
                Pool(
                    service.name,
                    service.max_connections,
                    _decode_engine(service.engine),
                    max(0.0, service.cold_start_s or 0.0),
                    max(0.0, service.cold_per_s or 0.0),
                )
                for service in config.services
            ),
            limits=ClientLimits(
                config.limits.max_header_bytes,
                config.limits.max_body_bytes,
                config.limits.idle_timeout_ms / 1000,
            ),
            accounts=tuple(
                ClientAccount(tenant.name, tuple(tenant.api_keys), tenant.priority, tenant.prepaid)
                for tenant in config.tenants
            ),
        )
    )


def decode_entry(name: str, data: bytes) -> Result[Entry, str]:
    """Decode the entry of the server `name`, or return why the entry can't be used."""
    if not _SERVER_NAME.fullmatch(name):
        return Err(f"entry {name[:40]!r}: not a name of printable ASCII characters")
    try:
        server = msgspec.json.decode(data, type=_Server)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(f"entry {name}: {error}")
    if server.state not in _ENTRY_STATES:
        return Err(f"entry {name}: state: unknown value {server.state!r}")
    if not _is_address(server.address):
        return Err(f"entry {name}: address: {server.address!r} is not ip:port")
    return Ok(
        Entry(
            id=name,
            pool=server.service,
            address=server.address,
            zone=server.zone,
            state=_ENTRY_STATES[server.state],
            slots=max(1, server.slots),
            cold_s=server.cold_remaining_ms / 1000,
            born=server.born,
            version=server.version,
            sequence=server.sequence,
        )
    )


def _is_address(text: str) -> bool:
    """Whether `text` is an IPv4 address, a colon and a port."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < (parse_count(port) or 0) <= MAX_PORT


def _decode_route(route: _Route) -> Route:
    if route.traffic_split:
        shares = tuple(
            PoolShare(split.service, split.weight)
            for split in route.traffic_split
            if split.weight > 0
        )
    else:
        shares = (PoolShare(route.service, 1.0),) if route.service else ()
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS[route.kind],
        pools=shares,
        timeout_s=route.timeout_ms / 1000,
        target_s=route.target_latency_ms / 1000,
        pause_s=route.gap_target_ms / 1000,
        max_attempts=max(1, route.max_attempts),
        anonymous=route.anonymous,
        resumable=route.stream_resume,
        priority=route.priority,
    )


def _decode_engine(engine: _Engine | None) -> EngineProperties | None:
    if engine is None:
        return None
    return EngineProperties(engine.slots, engine.kv_capacity, max(1, engine.stride))
