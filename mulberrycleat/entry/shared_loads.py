"""Section of the zone exchange with the load of endpoints and the demand of zones. Free of I/O.

Each host states its requests in flight at each endpoint, the newest load report of each, and the
demand of its callers. Endpoints are named by a short hash of their incarnation, so that one that
has started again does not get its predecessor's load.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Collection, Mapping
from hashlib import blake2b
from typing import Annotated, NamedTuple

import msgspec

from mulberrycleat.endpoint.directory import Entry, EntryState
from mulberrycleat.endpoint.placer import Placer
from mulberrycleat.endpoint.shared_load import EndpointShare, SharedLoads
from mulberrycleat.endpoint.zones import ZoneLoad
from mulberrycleat.entry.zone_exchange import MAX_SECTION_BYTES, Collected

__all__ = ["LoadSection"]

# A load report is passed on up to this age, in seconds; counts of requests in flight are better
# than older ones.
MAX_LOAD_AGE_S = 0.5
# Time constant of the demand that a host states, in seconds: a host has few requests at a time.
DEMAND_SMOOTHING_S = 1.0
# A host without requests in flight has nothing to say after its demand has fallen below this.
MIN_DEMAND, MIN_RATE_PER_S = 0.05, 0.1
# Most pools in a message, and the endpoints that are left out together while it does not fit into a
# datagram; the busiest are kept.
MAX_POOLS, LEFT_OUT = 4, 8
# Number that stands for no load report; ages are stated in hundredths of a second.
NO_LOAD = 255
MAX_COUNT = 2**16 - 1
# Endpoint, requests in flight, and the newest load report: all its requests, those that wait (at
# most 255), and its age.
_REPORTED = struct.Struct(">IHHBB")
# Endpoint, all its requests, and those that wait.
_LISTED = struct.Struct(">IHB")

Tenths = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
Name = Annotated[str, msgspec.Meta(max_length=64)]


class _Demand(NamedTuple):
    """Requests that callers of a host or a zone have in flight, and send per second, in tenths."""

    in_flight: Tenths
    per_s: Tenths


class _Reported(NamedTuple):
    """An endpoint as a host or a zone knows it."""

    in_flight: int
    busy: int
    waiting: int
    age: int


class _Report(msgspec.Struct, array_like=True):
    """Message of a host or a zone: demand by pool, and packed endpoints.

    `number` differs from that of the same sender's message before.
    """

    pools: dict[Name, _Demand]
    endpoints: bytes
    number: Tenths = 0


class _Digest(msgspec.Struct, array_like=True):
    """Message to hosts: demand by pool and zone, packed endpoints, and ages of other zones."""

    pools: dict[Name, dict[Name, _Demand]]
    endpoints: bytes
    ages: dict[Name, Tenths]


class _Summary(NamedTuple):
    """Number of another zone's newest summary, and when it came, on trio's clock."""

    number: int
    at: float


class _Tracked:
    """Smoothed demand of one pool at this host."""

    def __init__(self) -> None:
        self.in_flight = 0.0
        self.per_s = 0.0
        self._sends = 0
        self._running_sum = 0.0
        self._at: float | None = None

    def update(self, placer: Placer, now: float) -> _Demand:
        """Return the demand; what has happened since the last call is averaged."""
        sends, running_sum = placer.sends, placer.running_sum(now)
        if self._at is not None and now > self._at:
            since = now - self._at
            gain = 1 - math.exp(-since / DEMAND_SMOOTHING_S)
            running = (running_sum - self._running_sum) / since + placer.unserved(now)
            self.in_flight += gain * (running - self.in_flight)
            self.per_s += gain * ((sends - self._sends) / since - self.per_s)
        self._sends, self._running_sum, self._at = sends, running_sum, now
        if self.in_flight < MIN_DEMAND and self.per_s < MIN_RATE_PER_S:
            return _Demand(0, 0)
        return _Demand(round(10 * self.in_flight), round(10 * self.per_s))


class LoadSection:
    """Shares the load of endpoints and applies it to the placers; a section of the exchange.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    placers : callable
        Returns the placers by pool.
    entries : callable
        Returns the entries of all endpoints.
    on_balance : callable, optional
        Called with a pool and the shares of its requests that may go to each other zone, when these
        zones have changed.
    on_unreadable : callable, optional
        Called with a host or a zone whose message can't be read, and why; once for each.
    """

    name = "loads"

    def __init__(
        self,
        zone: str,
        placers: Callable[[], Mapping[str, Placer]],
        entries: Callable[[], Collection[Entry]],
        on_balance: Callable[[str, Mapping[str, float]], None] = lambda pool, shares: None,
        on_unreadable: Callable[[str, str], None] = lambda sender, why: None,
    ) -> None:
        self._on_balance = on_balance
        self._on_unreadable = on_unreadable
        # Hosts and zones whose last message could not be read.
        self._unreadable: set[str] = set()
        self._zone = zone
        self._placers = placers
        self._entries = entries
        self._tracked: dict[str, _Tracked] = {}
        # This host's requests in flight at each endpoint as it has last stated them.
        self._stated: dict[int, int] = {}
        self._number = 0
        # Zones to which requests of each pool may go, as they were told last.
        self._lending: dict[str, set[str]] = {}
        self._summaries: dict[str, _Summary] = {}

    def report(self, now: float) -> bytes | None:
        """Return this host's requests, load reports and demand; None without any."""
        pools: dict[str, _Demand] = {}
        found: dict[int, _Reported] = {}
        for pool, placer in self._placers().items():
            demand = self._tracked.setdefault(pool, _Tracked()).update(placer, now)
            if any(demand):
                pools[pool] = demand
            for use in placer.uses():
                age_s = now - use.load.at if use.load is not None else math.inf
                if use.in_flight or age_s <= MAX_LOAD_AGE_S:
                    load = use.load if age_s <= MAX_LOAD_AGE_S else None
                    found[_hash(use.incarnation)] = _Reported(
                        min(use.in_flight, MAX_COUNT),
                        min(load.busy, MAX_COUNT) if load else 0,
                        min(load.waiting, NO_LOAD) if load else 0,
                        int(100 * age_s) if load else NO_LOAD,
                    )
        self._stated = {key: reported.in_flight for key, reported in found.items()}
        if not pools and not found:
            return None
        return _encode(pools, found, 0)

    def collect(
        self, reports: Mapping[str, bytes], zones: Mapping[str, bytes], now: float
    ) -> Collected:
        """Return the sum of all hosts' requests and the newest load reports.

        Messages that can't be read, as from a host with another format, are left out. Raises
        ValueError if that leaves none of this zone.
        """
        hosts = self._decode_all(reports)
        if not hosts:
            raise ValueError(f"none of {len(reports)} reports can be read")
        own = _sum(list(hosts.values()))
        self._number += 1
        summary = _encode(own.pools, own.endpoints, self._number)
        others = self._decode_all({z: data for z, data in zones.items() if z != self._zone})
        heard = {self._zone: own, **others}
        pools = sorted({pool for known in heard.values() for pool in known.pools})[:MAX_POOLS]
        demands = {
            pool: {zone: known.pools.get(pool, _Demand(0, 0)) for zone, known in heard.items()}
            for pool in pools
        }
        ages = {zone: self._age_tenths(zone, known.number, now) for zone, known in others.items()}
        self._summaries = {zone: self._summaries[zone] for zone in others}
        listed = {
            key: (r.in_flight, 0) if r.age == NO_LOAD else (r.busy, r.waiting)
            for key, r in _sum(list(heard.values())).endpoints.items()
        }
        digest = _fit(
            sorted(listed, key=lambda key: -listed[key][0]),
            lambda keys: msgspec.msgpack.encode(
                _Digest(demands, b"".join(_LISTED.pack(key, *listed[key]) for key in keys), ages)
            ),
        )
        return Collected(digest, summary)

    def _decode_all(self, messages: Mapping[str, bytes]) -> dict[str, _Known]:
        """Return the messages that can be read, by sender."""
        found = {}
        for sender, data in messages.items():
            try:
                found[sender] = _decode(data)
            except (ValueError, msgspec.MsgspecError) as error:
                if sender not in self._unreadable:
                    self._unreadable.add(sender)
                    self._on_unreadable(sender, str(error))
            else:
                self._unreadable.discard(sender)
        return found

    def _age_tenths(self, zone: str, number: int, now: float) -> int:
        """Return the time since another zone's newest summary came, in tenths of a second."""
        known = self._summaries.get(zone)
        if known is None or known.number != number:
            known = self._summaries[zone] = _Summary(number, now)
        return round(10 * (now - known.at))

    def apply(self, digest: bytes, age_s: float, now: float) -> None:
        """Apply the load of all hosts to the placers."""
        message = msgspec.msgpack.decode(digest, type=_Digest)
        listed = {
            key: (busy, waiting) for key, busy, waiting in _unpack(_LISTED, message.endpoints)
        }
        at = now - age_s
        entries = [entry for entry in self._entries() if entry.state is EntryState.READY]
        for pool, placer in self._placers().items():
            demands = message.pools.get(pool, {})
            endpoints: dict[str, EndpointShare] = {}
            room: dict[str, float] = {}
            for entry in (entry for entry in entries if entry.pool == pool):
                key = _hash(entry.incarnation)
                busy, waiting = listed.get(key, (0, 0))
                others = float(max(0, busy - self._stated.get(key, 0)))
                endpoints[entry.incarnation] = EndpointShare(entry.zone, entry.slots, others, busy)
                # An endpoint where requests wait with slots left has no room for them, as when its
                # memory is taken.
                runs = min(entry.slots, max(1, busy - waiting)) if waiting else entry.slots
                room[entry.zone] = room.get(entry.zone, 0.0) + runs
            rates = {zone: demand.per_s / 10 for zone, demand in demands.items()}
            zones = {
                zone: ZoneLoad(
                    demand.in_flight / 10,
                    room.get(zone, 0.0),
                    at - message.ages.get(zone, 0) / 10,
                )
                for zone, demand in demands.items()
            }
            placer.apply_shared(SharedLoads(endpoints, rates, at), zones, now)
            shares = placer.balance.shares
            if set(shares) != self._lending.get(pool, set()):
                self._lending[pool] = set(shares)
                self._on_balance(pool, shares)


def _hash(incarnation: str) -> int:
    return int.from_bytes(blake2b(incarnation.encode(), digest_size=4).digest(), "big")


class _Known(NamedTuple):
    """What a host or a zone says."""

    pools: Mapping[str, _Demand]
    endpoints: Mapping[int, _Reported]
    number: int = 0


def _encode(pools: Mapping[str, _Demand], endpoints: Mapping[int, _Reported], number: int) -> bytes:
    kept = sorted(pools, key=lambda pool: -pools[pool].in_flight)[:MAX_POOLS]
    demands = {pool: pools[pool] for pool in kept}
    return _fit(
        sorted(endpoints, key=lambda key: -endpoints[key].in_flight),
        lambda keys: msgspec.msgpack.encode(
            _Report(demands, b"".join(_REPORTED.pack(key, *endpoints[key]) for key in keys), number)
        ),
    )


def _fit(keys: list[int], encode: Callable[[list[int]], bytes]) -> bytes:
    """Return a message with as many of the endpoints, the first ones, as fit into a datagram."""
    data = encode(keys)
    while keys and len(data) > MAX_SECTION_BYTES:
        keys = keys[:-LEFT_OUT]
        data = encode(keys)
    return data


def _decode(data: bytes) -> _Known:
    report = msgspec.msgpack.decode(data, type=_Report)
    endpoints = {key: _Reported(*rest) for key, *rest in _unpack(_REPORTED, report.endpoints)}
    return _Known(report.pools, endpoints, report.number)


def _unpack(layout: struct.Struct, data: bytes) -> list[tuple[int, ...]]:
    if len(data) % layout.size:
        raise ValueError(f"{len(data)} bytes are no multiple of {layout.size}")
    return list(layout.iter_unpack(data))


def _sum(known: Collection[_Known]) -> _Known:
    """Return the summed demand and requests in flight, with the newest load report of each."""
    pools: dict[str, _Demand] = {}
    endpoints: dict[int, _Reported] = {}
    for demands, reported, _ in known:
        for pool, demand in demands.items():
            old = pools.get(pool, _Demand(0, 0))
            pools[pool] = _Demand(old.in_flight + demand.in_flight, old.per_s + demand.per_s)
        for key, new in reported.items():
            before = endpoints.get(key, _Reported(0, 0, 0, NO_LOAD))
            newest = new if new.age < before.age else before
            count = min(before.in_flight + new.in_flight, MAX_COUNT)
            endpoints[key] = newest._replace(in_flight=count)
    return _Known(pools, endpoints)
