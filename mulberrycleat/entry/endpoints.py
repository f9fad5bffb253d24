"""Registry of the endpoints that this host knows, and the choice of one for each request."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from random import Random

import trio

from mulberrycleat.endpoint.brittleness import BrittleEndpoints
from mulberrycleat.endpoint.cached_prefixes import CachedPrefixes
from mulberrycleat.endpoint.directory import Directory, Entry, EntryState
from mulberrycleat.endpoint.placer import Candidate, Placement, Placer, PlacerSettings
from mulberrycleat.endpoint.rate_limits import EndpointLimits
from mulberrycleat.endpoint.statements import DRAIN_MARGIN_S, EndpointStatements
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.protocol import RequestFacts

__all__ = ["EndpointRegistry"]


class EndpointRegistry:
    """Directory of endpoints, and placement of requests for each pool.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    random : Random
        Random source for the choice among equally good endpoints.
    limits : EndpointLimits
        The limits that endpoints state.
    brittle : BrittleEndpoints
        Which endpoints are brittle, and this host's part of their places.
    drain_s : callable
        Returns the time for which an endpoint that leaves may still get requests, in seconds.
    settings : PlacerSettings, optional
        Settings for the comparison of endpoints.
    on_slowness : callable, optional
        Called with the pool whenever an endpoint states its slowness.
    may_lack_orders : callable, optional
        Whether this host may lack an order to evacuate a zone, and sends nothing until it knows.
    """

    def __init__(
        self,
        zone: str,
        random: Random,
        limits: EndpointLimits,
        brittle: BrittleEndpoints,
        drain_s: Callable[[], float],
        settings: PlacerSettings | None = None,
        on_slowness: Callable[[str], None] = lambda pool: None,
        may_lack_orders: Callable[[], bool] = lambda: False,
    ) -> None:
        self._on_slowness = on_slowness
        self._may_lack_orders = may_lack_orders
        self._evacuated: frozenset[str] = frozenset()
        self._zone = zone
        self._prefixes = CachedPrefixes()
        self._random = random
        self._limits = limits
        self._brittle = brittle
        self._drain_s = drain_s
        self._statements = EndpointStatements()
        self._settings = settings or PlacerSettings()
        self._directory = Directory()
        self._placers: dict[str, Placer] = {}
        self._restarted: set[str] = set()

    @property
    def directory(self) -> Directory:
        """Endpoints by id."""
        return self._directory

    @property
    def statements(self) -> EndpointStatements:
        """What the endpoints state of themselves."""
        return self._statements

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones whose endpoints get no request."""
        return self._evacuated

    @property
    def awaits_orders(self) -> bool:
        """Whether no endpoint gets a request before the operators' orders have been read."""
        return self._may_lack_orders()

    def evacuate(self, zones: frozenset[str]) -> None:
        """Send no more requests to the endpoints of `zones`, and to those of no other zone."""
        self._evacuated = zones

    def is_evacuated(self, call: EntryCall) -> bool:
        """Whether the pool of a request has endpoints, but all of them in evacuated zones."""
        if not self._evacuated:
            return False
        entries = self._directory.ready(call.pool.name, trio.current_time())
        return bool(entries) and all(entry.zone in self._evacuated for entry in entries)

    @property
    def entries_in_use(self) -> list[Entry]:
        """Endpoints outside the evacuated zones."""
        return self._outside_evacuated(list(self._directory.entries.values()))

    def endpoints_of(self, zone: str) -> list[Entry]:
        """Return the endpoints of a zone."""
        return [entry for entry in self._directory.entries.values() if entry.zone == zone]

    def choose(
        self, call: EntryCall, tried: Collection[str], only: Collection[str] | None = None
    ) -> Placement | None:
        """Return the endpoint for a request, or None if there is none besides those in `tried`.

        Endpoints that take no request of this host now, because of what they state, are left out,
        and all but those in `only` if that is given.
        """
        if self._may_lack_orders():
            return None
        now = trio.current_time()
        entries = self._limits.sendable(self._entries(call, now), now)
        if only is not None:
            entries = [entry for entry in entries if entry.id in only]
        entries = self._statements.sendable(entries, now, self._drain_s())
        entries = self._with_room(call.pool.name, entries, now)
        return self.placer(call.pool.name).choose(entries, call.work, now, tried)

    def explain(self, pool: str, facts: RequestFacts) -> list[Candidate]:
        """Return the endpoints of a pool as they compare for a request that is not sent."""
        now = trio.current_time()
        entries = self._directory.ready(pool, now)
        limited = self._limits.sendable(entries, now)
        stated = self._statements.sendable(entries, now, self._drain_s())
        roomy = self._with_room(pool, entries, now)
        found = self.placer(pool).explain(entries, facts.work, now)
        cold = {e.id for e in entries if e not in limited and self._limits.is_cold(e, now)}
        not_cold = [entry for entry in entries if entry.id not in cold]
        reasons = (
            (self._outside_evacuated(entries), "its zone is evacuated"),
            (not_cold, "it is cold, and this host's part of what it takes is used up"),
            (limited, "the limit that it states is used up at this host"),
            (stated, "it states that it leaves or wants a pause"),
            (roomy, "this host's places there are taken"),
        )
        explained = []
        for candidate in found:
            why = next((text for kept, text in reasons if candidate.entry not in kept), "")
            explained.append(candidate._replace(left_out=why or candidate.left_out))
        return sorted(explained, key=lambda candidate: bool(candidate.left_out))

    def limited_wait_s(self, call: EntryCall) -> float | None:
        """Return the time until an endpoint's limit lets this host send a request, in seconds.

        None if the limits leave an endpoint at once, or if there is no endpoint at all.
        """
        now = trio.current_time()
        entries = self._entries(call, now)
        wait_s = min((self._limits.wait_s(entry, now) for entry in entries), default=0.0)
        return wait_s if wait_s > 0 else None

    def cold_wait_s(self, call: EntryCall) -> float | None:
        """Return the time until a cold endpoint takes a request of this host, in seconds.

        None unless all endpoints that take none now, and there are no others, include a cold one.
        """
        now = trio.current_time()
        entries = self._entries(call, now)
        if not self._limits.bounds_cold(entries):
            return None
        wait_s = self.limited_wait_s(call)
        if wait_s is None:
            return None
        is_cold = any(self._limits.is_cold(entry, now) for entry in entries)
        return wait_s if is_cold else None

    def paused_wait_s(self, call: EntryCall) -> float | None:
        """Return the time until the pause of an endpoint ends, in seconds; None without a pause."""
        now = trio.current_time()
        return self._statements.wait_s(self._entries(call, now), now)

    def has_endpoint(self, call: EntryCall) -> bool:
        """Whether any endpoint may serve a request, even if none takes it now."""
        return bool(self._entries(call, trio.current_time()))

    def is_full(self, call: EntryCall) -> bool:
        """Whether this host's part of the places of brittle endpoints is taken."""
        now = trio.current_time()
        entries = self._entries(call, now)
        return bool(entries) and not self._with_room(call.pool.name, entries, now)

    def places(self, pool: str) -> int:
        """Return the number of requests that the endpoints of a pool process at the same time."""
        return sum(entry.slots for entry in self._directory.ready(pool, trio.current_time()))

    def record_restart(self, entry: Entry) -> bool:
        """Record that an endpoint has started again since its entry; return whether that is news.

        Until its next entry, its version is not known.
        """
        is_new = entry.incarnation not in self._restarted
        self._restarted.add(entry.incarnation)
        return is_new

    def record_send(self, entry: Entry, now: float) -> None:
        """Record that a request is sent to an endpoint, before the placer knows of it."""
        self._statements.record_send(entry.incarnation, now)
        self._brittle.record_send(entry, self.placer(entry.pool).in_flight(entry.id), now)

    def _with_room(self, pool: str, entries: list[Entry], now: float) -> list[Entry]:
        """Return the endpoints that are not brittle, or have room for a request of this host."""
        if pool not in self._brittle.pools:
            return entries
        placer = self.placer(pool)
        return [e for e in entries if self._brittle.takes(e, placer.in_flight(e.id), now)]

    def _entries(self, call: EntryCall, now: float) -> list[Entry]:
        """Return the endpoints that may serve a request: those of its version, if it needs one.

        A stream goes on at endpoints that leave, within their time, if its version has no others.
        """
        entries = self._outside_evacuated(self._directory.ready(call.pool.name, now))
        version = call.required_version
        if version is None:
            return entries
        found = self._of_version(entries, version)
        if not found:
            limit_s = self._drain_s() - DRAIN_MARGIN_S
            leaving = self._directory.leaving(call.pool.name, now, limit_s)
            found = self._of_version(self._outside_evacuated(leaving), version)
        return found

    def _outside_evacuated(self, entries: list[Entry]) -> list[Entry]:
        if not self._evacuated:
            return entries
        return [entry for entry in entries if entry.zone not in self._evacuated]

    def _of_version(self, entries: list[Entry], version: str) -> list[Entry]:
        return [e for e in entries if e.version == version and e.incarnation not in self._restarted]

    def accepts(self, address: str) -> bool:
        """Whether the endpoint at an address takes a request that is sent by this host now."""
        if self._may_lack_orders():
            return False
        now = trio.current_time()
        for entry in self._directory.entries.values():
            if entry.address == address and entry.state is EntryState.READY:
                if entry.zone in self._evacuated:
                    return False
                return bool(self._statements.sendable([entry], now, self._drain_s()))
        return False

    @property
    def placers(self) -> Mapping[str, Placer]:
        """The placers that were used, by pool."""
        return self._placers

    def placer(self, pool: str) -> Placer:
        """Return the placer of one pool, which is created on first use."""
        if pool not in self._placers:
            self._placers[pool] = Placer(
                self._settings,
                self._zone,
                self._random,
                lambda: self._on_slowness(pool),
                self._prefixes,
            )
        return self._placers[pool]

    def forget_absent(self) -> None:
        """Forget endpoints that have left the directory and have no request in flight."""
        for placer in self._placers.values():
            placer.retain(self._directory.entries)
        incarnations = {entry.incarnation for entry in self._directory.entries.values()}
        self._limits.retain(incarnations, trio.current_time())
        self._brittle.retain(incarnations)
        self._restarted &= incarnations

    def addresses(self) -> set[str]:
        """Return the addresses of all endpoints but those that state that they leave."""
        leaving = self._statements.leaving(trio.current_time())
        entries = self._directory.entries.values()
        return {entry.address for entry in entries if entry.incarnation not in leaving}
