"""Section of the exchange between hosts: admitted shares of overloaded pools."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from mulberrycleat.endpoint.fair_shares import Flow, PoolShares, fair_shares
from mulberrycleat.endpoint.overload import PoolLoad, SharedView, capacity_of, sum_loads
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.filters.room import OverloadedPools
from mulberrycleat.entry.zone_exchange import Collected

__all__ = ["ShareSection"]

# Largest report, and largest digest or summary, in bytes: parts of a datagram, which holds 1,200
# bytes in all. Flows with the least demand are left out, since they are admitted in full anyway.
MAX_REPORT_BYTES, MAX_COLLECTED_BYTES = 400, 600


class _FlowRate(msgspec.Struct, array_like=True, frozen=True):
    """Demand of a flow in work per second."""

    priority: int
    account: str
    rate: float


class _Load(msgspec.Struct, array_like=True, frozen=True):
    """Counts of one pool, see :class:`PoolLoad`."""

    flows: tuple[_FlowRate, ...]
    completed: float
    busy: float
    seen: bool
    hosts: int


class _Shares(msgspec.Struct, array_like=True, frozen=True):
    """Shares of one pool, see :class:`PoolShares` and :class:`SharedView`."""

    cut: int | None
    limited: dict[str, float]
    capacity: float
    hosts: int


class ShareSection:
    """Reports the load of overloaded pools, and applies the shares that follow from all reports.

    Messages hold rates and counts, and no time of any clock.

    Parameters
    ----------
    pools : OverloadedPools
        The pools as this host sees them.
    places : callable
        Returns the number of places at the endpoints of a pool.
    decisions : DecisionLog
        Log of unreadable messages.
    """

    name = "shares"

    def __init__(
        self, pools: OverloadedPools, places: Callable[[str], int], decisions: DecisionLog
    ) -> None:
        self._pools = pools
        self._places = places
        self._decisions = decisions

    def report(self, now: float) -> bytes | None:
        """Return this host's counts, None if no pool is overloaded."""
        loads = {name: pool.load(now) for name, pool in self._pools.pools.items()}
        found = {name: load for name, load in loads.items() if load is not None}
        return _encode_loads(found, MAX_REPORT_BYTES) if found else None

    def collect(
        self, reports: Mapping[str, bytes], zones: Mapping[str, bytes], now: float
    ) -> Collected:
        """Return the shares for the zone's hosts, and the sum of their counts for other zones.

        A pool is left out if no host of any zone has seen a sign of overload itself.
        """
        own = self._sums(reports)
        elsewhere = self._sums(zones)
        digest: dict[str, _Shares] = {}
        for name in {*own, *elsewhere}:
            load = sum_loads(sums[name] for sums in (own, elsewhere) if name in sums)
            if not load.seen:
                continue
            capacity = capacity_of(load, self._places(name))
            shares = fair_shares(load.demand, capacity)
            digest[name] = _Shares(shares.cut, dict(shares.limited), capacity, load.hosts)
        return Collected(
            _encode_shares(digest) if digest else None,
            _encode_loads(own, MAX_COLLECTED_BYTES) if own else None,
        )

    def apply(self, digest: bytes, age_s: float, now: float) -> None:
        """Take over the shares of a digest; a pool that it lacks is not overloaded elsewhere."""
        try:
            found = msgspec.msgpack.decode(digest, type=dict[str, _Shares])
        except msgspec.DecodeError as error:
            self._log_unreadable("apply", "collector", error)
            return
        for name in {*found, *self._pools.pools}:
            shares = found.get(name)
            view = None
            if shares is not None:
                limits = PoolShares(shares.cut, shares.limited)
                view = SharedView(limits, shares.capacity, shares.hosts)
            self._pools.pool(name).apply_shared(view, age_s, now)

    def _sums(self, messages: Mapping[str, bytes]) -> dict[str, PoolLoad]:
        """Return the load of each pool, summed over messages of hosts or of other zones."""
        by_pool: dict[str, list[PoolLoad]] = {}
        for sender, message in messages.items():
            try:
                found = msgspec.msgpack.decode(message, type=dict[str, _Load])
            except msgspec.DecodeError as error:
                self._log_unreadable("collect", sender, error)
                continue
            for name, load in found.items():
                demand = {Flow(flow.priority, flow.account): flow.rate for flow in load.flows}
                by_pool.setdefault(name, []).append(
                    PoolLoad(demand, load.completed, load.busy, load.seen, load.hosts)
                )
        return {name: sum_loads(loads) for name, loads in by_pool.items()}

    def _log_unreadable(self, step: str, peer: str, error: Exception) -> None:
        self._decisions.warning("shares unreadable", step=step, peer=peer, why=str(error))


def _encode_loads(loads: Mapping[str, PoolLoad], max_bytes: int) -> bytes:
    """Encode loads with as many flows of each pool as fit, those with the most demand first."""
    count = max(len(load.demand) for load in loads.values())
    while True:
        message = {
            name: _Load(
                _largest_flows(load, count),
                round(load.completed, 2),
                round(load.busy, 2),
                load.seen,
                load.hosts,
            )
            for name, load in loads.items()
        }
        encoded = msgspec.msgpack.encode(message)
        if len(encoded) <= max_bytes or not count:
            return encoded
        count -= 1


def _largest_flows(load: PoolLoad, count: int) -> tuple[_FlowRate, ...]:
    flows = sorted(load.demand.items(), key=lambda item: -item[1])[:count]
    return tuple(_FlowRate(f.priority, f.account, round(rate, 2)) for f, rate in flows)


def _encode_shares(digest: Mapping[str, _Shares]) -> bytes:
    """Encode shares with as many limited accounts as fit, those with the smallest shares first."""
    count = max(len(shares.limited) for shares in digest.values())
    while True:
        message = {}
        for name, shares in digest.items():
            smallest = sorted(shares.limited.items(), key=lambda item: item[1])[:count]
            limited = {account: round(share, 4) for account, share in smallest}
            message[name] = msgspec.structs.replace(shares, limited=limited)
        encoded = msgspec.msgpack.encode(message)
        if len(encoded) <= MAX_COLLECTED_BYTES or not count:
            return encoded
        count -= 1
