"""Placement of requests by expected completion time, shared prompt parts and past outcomes.

The code in this module does no I/O.

Every entry host computes the same preferred endpoint for a session by rendezvous hashing over the
ready endpoints, so that shared prompt parts are prefilled only once although the hosts do not
communicate. A request goes to another endpoint when that one is expected to start early enough to
outweigh prefilling the shared parts again, or when the preferred endpoint fails.

Where hosts share what they know of the load, a request leaves its zone as the balance between zones
says, and the preferred endpoint is one of the zone.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterator, Mapping, Sequence
from functools import lru_cache
from random import Random
from typing import NamedTuple

from mulberrycleat.endpoint.cached_prefixes import CachedPrefixes
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.placement import (
    EndpointState,
    InFlightRequest,
    Part,
    Placement,
    PlacerSettings,
    Work,
    ZonePartition,
)
from mulberrycleat.endpoint.shared_load import LoadSeen, SharedLoads
from mulberrycleat.endpoint.zones import ZoneBalance, ZoneLoad
from mulberrycleat.membership.rendezvous import first_by_rank

__all__ = ["Candidate", "EndpointUse", "Part", "Placement", "Placer", "PlacerSettings", "Work"]

# Most endpoints compared for one request.
MAX_COMPARED = 16
# Share of the host's own zone in a random sample of endpoints.
NEAR_SHARE = 0.7
# Preferred endpoints that are remembered, by session and endpoints. One takes about the memory of
# the names of the endpoints, which sessions share.
PREFERENCE_CACHE_SIZE = 512
SLOWNESS_GAIN = 0.15
MIN_SLOWNESS, MAX_SLOWNESS = 0.3, 20.0
# Successful outcomes added to the samples when the failure rate is computed.
PRIOR_SAMPLES = 3.0
# Factor on the slowness of an endpoint that has just started.
COLD_SLOWNESS = 1.5
# Weight of a new duration in the average, and the half-life of the count of declined requests, in
# seconds: about the interval at which hosts tell each other.
DURATION_GAIN = 0.1
DECLINE_HALF_LIFE_S = 0.5

# Time for which the levels of queues are used again, in seconds. A zone sends at most some ten
# requests in it, and computing them takes as long as half of a choice.
LEVELS_TTL_S = 0.02


class EndpointUse(NamedTuple):
    """What a host knows of an endpoint's load: its own requests there, and its newest report."""

    incarnation: str
    in_flight: int
    load: LoadSeen | None


class Score(NamedTuple):
    """What a request costs at an endpoint, in seconds.

    Attributes
    ----------
    expected_s : float
        Expected time until the answer, or the first event.
    reprefill_s : float
        Cost of reading the shared prompt parts that are not cached there.
    zone_s : float
        Cost of leaving the zone.
    failure_s : float
        Cost of the failures that are to be expected.
    """

    expected_s: float
    reprefill_s: float
    zone_s: float
    failure_s: float

    @property
    def total_s(self) -> float:
        """Sum of all parts; the endpoint with the lowest is chosen."""
        return self.expected_s + self.reprefill_s + self.zone_s + self.failure_s


class Candidate(NamedTuple):
    """An endpoint as it was compared for a request, or why it was left out.

    Attributes
    ----------
    left_out : str
        Why it gets no request now; empty if it was compared.
    in_flight, other_requests : float
        Requests of this host and of the others there.
    slowness : float
        Expected response time relative to that of an endpoint of normal speed.
    """

    entry: Entry
    left_out: str
    score: Score
    cached_tokens: int
    in_flight: int
    other_requests: float
    slowness: float


class _Undrawn(Random):
    """Draws no request to leave its zone."""

    def random(self) -> float:
        return 1.0


class Placer:
    """Choice among the endpoints of one pool, made by one entry host.

    Times `now` are in seconds on trio's clock.

    Parameters
    ----------
    settings : PlacerSettings
        Parameters for comparing endpoints.
    zone : str
        Availability zone of the host.
    random : Random
        Source of the random choice among endpoints with nearly the best score.
    on_slowness : callable, optional
        Called whenever an endpoint states its slowness.
    prefixes : CachedPrefixes, optional
        Prompt prefixes that endpoints have read, which the placers of all pools share; by default,
        this one's alone.
    """

    def __init__(
        self,
        settings: PlacerSettings,
        zone: str,
        random: Random,
        on_slowness: Callable[[], None] = lambda: None,
        prefixes: CachedPrefixes | None = None,
    ) -> None:
        self._prefixes = CachedPrefixes() if prefixes is None else prefixes
        self._on_slowness = on_slowness
        self._settings = settings
        self._zone = zone
        self._random = random
        self._states: dict[str, EndpointState] = {}
        self._partitions: dict[str, ZonePartition] = {}
        self._balance = ZoneBalance(zone, settings.other_zone_penalty_s)
        self._shared: SharedLoads | None = None
        self._levels: Mapping[str, float] = {}
        self._levels_for: SharedLoads | None = None
        self._levels_at = 0.0
        self._sends = 0
        self._running = 0
        self._running_sum = 0.0
        self._running_sum_at = 0.0
        self._duration_s = settings.base_s
        self._declined = 0.0
        self._declined_at = 0.0

    @property
    def balance(self) -> ZoneBalance:
        """Balance between the zones, which is in force while hosts share the load."""
        return self._balance

    @property
    def sends(self) -> int:
        """Requests sent so far."""
        return self._sends

    def choose(
        self, entries: Sequence[Entry], work: Work, now: float, tried: Collection[str] = ()
    ) -> Placement | None:
        """Return the endpoint to send a request to, or None if there is none.

        Parameters
        ----------
        tried : collection of str
            Ids of the endpoints to leave out, since the request was sent there before.
        """
        states = [self._state(entry, now) for entry in entries if entry.id not in tried]
        states = self._usable(states, now)
        if not states:
            return None
        home = self._preferred(work, states, now)
        states = self._sample(states, work, home)
        lowest_slowness = min(state.slowness for state in states)
        shared = self._fresh_shared(now)
        levels = self._levels_of(shared, now)
        compared = []
        for state in states:
            cached = self._cached_tokens(state, work, now, state.entry.id == home)
            slowness = self._slowness(state, now, lowest_slowness)
            others = self._other_requests(state, now, shared, levels)
            score = self._score(state, work, cached, now, slowness, others)
            placement = Placement(state.entry, score.expected_s, cached, len(states), slowness)
            compared.append((score, placement))
        penalties = self._zone_penalties([s for s, _ in compared], states, now, self._random)
        scored = [
            (score._replace(zone_s=penalties[placement.entry.zone]).total_s, placement)
            for score, placement in compared
        ]
        best = min(score for score, _ in scored)
        near_best = [found for score, found in scored if score <= best + self._settings.near_s]
        chosen = self._random.choice(near_best)
        if chosen.entry.zone in self._partitions:
            self._partitions[chosen.entry.zone].record_trial(now)
        return chosen

    def explain(self, entries: Sequence[Entry], work: Work, now: float) -> list[Candidate]:
        """Return all endpoints as they compare for a request that is not sent, the best first.

        The request is taken to be none of those drawn to leave the zone; no endpoint is left out to
        save time.
        """
        states = [self._state(entry, now) for entry in entries]
        if not states:
            return []
        usable = self._usable(states, now)
        kept = {state.entry.id for state in usable}
        home = self._preferred(work, usable, now)
        lowest_slowness = min(state.slowness for state in usable)
        shared = self._fresh_shared(now)
        levels = self._levels_of(shared, now)
        found = []
        for state in states:
            cached = self._cached_tokens(state, work, now, state.entry.id == home)
            slowness = self._slowness(state, now, lowest_slowness)
            others = self._other_requests(state, now, shared, levels)
            score = self._score(state, work, cached, now, slowness, others)
            left_out = "" if state.entry.id in kept else self._unusable_reason(state, now)
            running = len(state.in_flight)
            found.append(Candidate(state.entry, left_out, score, cached, running, others, slowness))
        near = [candidate.score for candidate in found if not candidate.left_out]
        penalties = self._zone_penalties(near, usable, now, _Undrawn())
        other_s = max(penalties.values())
        found = [
            c._replace(score=c.score._replace(zone_s=penalties.get(c.entry.zone, other_s)))
            for c in found
        ]
        return sorted(found, key=lambda c: (bool(c.left_out), c.score.total_s, c.entry.id))

    def _unusable_reason(self, state: EndpointState, now: float) -> str:
        partition = self._partitions.get(state.entry.zone)
        if partition is not None and now < partition.pause_until:
            return "its zone is partitioned from this host"
        if now < state.ejected_until:
            return f"unreachable or full for another {state.ejected_until - now:.2f} s"
        return "silent with requests in flight"

    def sent(self, placement: Placement, request_id: str, work: Work, now: float) -> None:
        """Record that a request was sent to the endpoint of `placement`."""
        state = self._state(placement.entry, now)
        self._sends += 1
        self._count_running(1, now)
        if not state.in_flight:
            state.last_activity_at = now
        uncached = max(0, work.prompt_tokens - placement.cached_tokens)
        state.in_flight[request_id] = InFlightRequest(
            now, placement.expected_s, uncached, placement.slowness
        )
        self._prefixes.note(placement.entry.incarnation, work.prefixes, now)

    def heard(self, entry_id: str, request_id: str, now: float) -> None:
        """Record that bytes of an answer arrived; the first ones update the slowness."""
        state = self._states.get(entry_id)
        if state is None:
            return
        state.last_activity_at = now
        self._partitions.pop(state.entry.zone, None)
        request = state.in_flight.get(request_id)
        if request is not None and request.first_byte_at is None:
            request.first_byte_at = now
            state.newest_answered_sent_at = max(state.newest_answered_sent_at, request.sent_at)
            ratio = (now - request.sent_at) / max(0.005, request.expected_s)
            seen = min(request.slowness * ratio, MAX_SLOWNESS)
            slowness = request.slowness + SLOWNESS_GAIN * (seen - request.slowness)
            state.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)

    def apply_load_report(
        self, entry_id: str, running: int, waiting: int, now: float, slowness: float | None = None
    ) -> None:
        """Record a load report of an endpoint, which comes with an answer.

        Its counts are assumed to include this host's requests in flight there, also the one that
        is being answered. `slowness` is None if the endpoint does not state it.
        """
        state = self._states.get(entry_id)
        if state is None:
            return
        state.other_requests = max(0.0, float(running + waiting - len(state.in_flight)))
        state.load_reported_at = now
        state.load_seen = LoadSeen(running + waiting, waiting, now)
        if slowness is not None:
            state.stated_slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
            state.slowness_stated_at = now
            self._on_slowness()

    def apply_shared(self, loads: SharedLoads, zones: Mapping[str, ZoneLoad], now: float) -> None:
        """Apply what all hosts together know of the endpoints and of the zones."""
        if self._shared is None or loads.at >= self._shared.at:
            self._shared = loads
        self._balance.update(zones, now)

    def uses(self) -> Iterator[EndpointUse]:
        """Yield what this host knows of the load of each endpoint."""
        for state in self._states.values():
            yield EndpointUse(state.entry.incarnation, len(state.in_flight), state.load_seen)

    def running_sum(self, now: float) -> float:
        """Return the sum of the times for which requests have been in flight so far, in seconds."""
        self._count_running(0, now)
        return self._running_sum

    def unserved(self, now: float) -> float:
        """Return how many more requests would be in flight if none were declined."""
        self._decay_declined(now)
        per_s = self._declined * math.log(2) / DECLINE_HALF_LIFE_S
        return per_s * self._duration_s

    def ended(self, entry_id: str, request_id: str, now: float, failed: bool | None) -> None:
        """Record the end of a request.

        `failed` is None if the end says nothing about the endpoint.
        """
        state = self._states.get(entry_id)
        request = state.in_flight.pop(request_id, None) if state is not None else None
        if state is None or request is None:
            return
        self._count_running(-1, now)
        if failed is None:
            return
        if not failed:
            self._duration_s += DURATION_GAIN * (now - request.sent_at - self._duration_s)
        self._decay(state, now)
        state.samples += 1
        if failed:
            state.failures += 1
        else:
            state.ejections = 0
            state.last_activity_at = now

    def note_unreachable(self, entry_id: str, now: float, silent: bool = False) -> None:
        """Eject an endpoint to which no connection could be opened.

        `silent` means that there was no answer at all. Two silent endpoints of another availability
        zone, within ``PARTITION_WINDOW_S`` seconds, are taken as a partition of the zone.
        """
        state = self._states.get(entry_id)
        if state is None:
            return
        if silent and state.entry.zone != self._zone:
            self._partitions.setdefault(state.entry.zone, ZonePartition()).record_silence(
                entry_id, now, self._settings
            )
        if now < state.ejected_until:
            return
        pause_s = self._settings.ejection_s * 2**state.ejections
        state.ejected_until = now + min(pause_s, self._settings.max_ejection_s)
        state.ejections += 1

    def note_declined(self, entry_id: str, now: float, pause_s: float) -> None:
        """Eject an endpoint that declined a request because it is full, for `pause_s` seconds."""
        self._decay_declined(now)
        self._declined += 1
        state = self._states.get(entry_id)
        if state is not None:
            state.ejected_until = max(state.ejected_until, now + pause_s)

    def retain(self, ids: Collection[str]) -> None:
        """Remove endpoints that are not in `ids` and have no requests in flight."""
        for entry_id in [i for i, s in self._states.items() if i not in ids and not s.in_flight]:
            del self._states[entry_id]

    def in_flight(self, entry_id: str) -> int:
        """Return the number of this host's requests in flight at an endpoint."""
        state = self._states.get(entry_id)
        return len(state.in_flight) if state else 0

    def _state(self, entry: Entry, now: float) -> EndpointState:
        state = self._states.get(entry.id)
        if state is None or (state.entry.address, state.entry.born) != (entry.address, entry.born):
            if state is not None:
                self._count_running(-len(state.in_flight), now)
            state = self._states[entry.id] = EndpointState(
                entry, last_activity_at=now, decayed_at=now
            )
            state.cold_until = now + entry.cold_s
        state.entry = entry
        return state

    def _sample(
        self, states: list[EndpointState], work: Work, home: str | None
    ) -> list[EndpointState]:
        """Return the endpoints to compare, so that a choice takes as long among many as among few.

        These are the preferred one, those that have cached the last shared part, and random others,
        most of them in this host's zone.
        """
        if len(states) <= MAX_COMPARED:
            return states
        kept, near, far = [], [], []
        for state in states:
            if state.entry.id == home:
                kept.insert(0, state)
            elif work.prefixes and self._prefixes.has(state.entry.incarnation, work.prefixes[-1]):
                kept.append(state)
            else:
                (near if state.entry.zone == self._zone else far).append(state)
        kept = kept[:MAX_COMPARED]
        free = MAX_COMPARED - len(kept)
        kept += self._random.sample(near, min(len(near), round(NEAR_SHARE * free)))
        return kept + self._random.sample(far, min(len(far), MAX_COMPARED - len(kept)))

    def _usable(self, states: list[EndpointState], now: float) -> list[EndpointState]:
        """Return the endpoints that are not partitioned, ejected or silent.

        Each of these conditions is dropped when no endpoint would remain.
        """
        cut = {zone for zone, found in self._partitions.items() if now < found.pause_until}
        connected = [s for s in states if s.entry.zone not in cut]
        states = connected or states
        good = [s for s in states if now >= s.ejected_until and not self._is_silent(s, now)]
        reachable = [s for s in states if now >= s.ejected_until]
        return good or reachable or states

    def _is_silent(self, state: EndpointState, now: float) -> bool:
        """Whether an endpoint with requests in flight has sent no byte for `silence_s` seconds."""
        if not state.in_flight or now - state.last_activity_at <= self._settings.silence_s:
            return False
        oldest = min(f.sent_at for f in state.in_flight.values())
        return now - oldest > self._settings.silence_s

    def _cached_tokens(
        self, state: EndpointState, work: Work, now: float, is_preferred: bool
    ) -> int:
        """Return the tokens of the shared parts that the endpoint is assumed to have cached.

        The preferred endpoint is assumed to have all of them, since all hosts prefer it.
        """
        if is_preferred:
            return work.shared_tokens
        since = now - self._settings.cache_ttl_s
        return self._prefixes.tokens(state.entry.incarnation, work.prefixes, since)

    def _slowness(self, state: EndpointState, now: float, lowest_slowness: float) -> float:
        """Return the expected slowness.

        While an endpoint gets no work, its slowness decays toward the lowest of the endpoints
        compared, so that it is tried again.
        """
        confidence = 0.5 ** (
            max(0.0, now - state.last_activity_at) / self._settings.slowness_half_life_s
        )
        slowness = lowest_slowness + confidence * (state.slowness - lowest_slowness)
        return slowness * (COLD_SLOWNESS if now < state.cold_until else 1.0)

    def _score(
        self,
        state: EndpointState,
        work: Work,
        cached: int,
        now: float,
        slowness: float,
        other_requests: float,
    ) -> Score:
        """Return what the request costs at the endpoint, but for leaving the zone."""
        settings = self._settings
        waiting = sum(
            f.uncached_tokens for f in state.in_flight.values() if f.first_byte_at is None
        )
        busy = len(state.in_flight) + other_requests
        excess = max(0.0, busy + 1 - state.entry.slots) / state.entry.slots
        uncached = max(0, work.prompt_tokens - cached)
        prefill_s = uncached / settings.prefill_tokens_per_s
        queue_s = waiting / settings.prefill_tokens_per_s + excess * settings.base_s
        share = busy / state.entry.slots
        if now - state.slowness_stated_at < settings.stated_slowness_ttl_s:
            slowness *= state.stated_slowness
        expected_s = slowness * (settings.base_s * (1 + share) + queue_s + prefill_s)
        expected_s = max(expected_s, state.longest_wait_s(now))
        self._decay(state, now)
        failing = state.failures / (state.samples + PRIOR_SAMPLES)
        shared_uncached = max(0, work.shared_tokens - cached)
        reprefill_s = settings.affinity * shared_uncached / settings.prefill_tokens_per_s
        return Score(expected_s, reprefill_s, 0.0, failing * settings.failure_cost_s)

    def _other_requests(
        self,
        state: EndpointState,
        now: float,
        shared: SharedLoads | None,
        levels: Mapping[str, float],
    ) -> float:
        """Return the requests of other hosts at an endpoint, as the newest information says."""
        settings = self._settings
        if shared is not None and shared.at > state.load_reported_at:
            share = shared.endpoints.get(state.entry.incarnation)
            if share is not None:
                filled = levels.get(share.zone, 0.0) * share.slots
                return share.others + max(0.0, filled - share.busy)
        if now - state.load_reported_at < settings.load_report_ttl_s:
            return state.other_requests
        return 0.0

    def _fresh_shared(self, now: float) -> SharedLoads | None:
        if self._shared is None or now - self._shared.at > self._settings.shared_load_ttl_s:
            return None
        return self._shared

    def _levels_of(self, shared: SharedLoads | None, now: float) -> Mapping[str, float]:
        """Return the levels to which requests have filled the endpoints, by zone."""
        if shared is None:
            return {}
        if self._levels_for is not shared or not 0 <= now - self._levels_at < LEVELS_TTL_S:
            self._levels, self._levels_for, self._levels_at = shared.levels(now), shared, now
        return self._levels

    def _zone_penalties(
        self, scores: list[Score], states: list[EndpointState], now: float, random: Random
    ) -> dict[str, float]:
        """Return what it costs to send a request to the zone of each endpoint, in seconds.

        `scores` are those of `states`, in the same order.
        """
        zones = {state.entry.zone for state in states}
        if self._balance.in_force(now):
            pairs = zip(scores, states, strict=True)
            near = [score.expected_s for score, state in pairs if state.entry.zone == self._zone]
            expected_s = min(near, default=0.0)
            found = self._balance.penalties(random, now, expected_s)
            other_s = self._balance.unknown_s(expected_s)
        else:
            found, other_s = {}, self._settings.other_zone_penalty_s
        return {zone: 0.0 if zone == self._zone else found.get(zone, other_s) for zone in zones}

    def _preferred(self, work: Work, states: list[EndpointState], now: float) -> str | None:
        """Return the preferred endpoint: one of this zone if requests are kept in their zones."""
        ids = tuple(state.entry.id for state in states)
        if self._balance.in_force(now):
            near = tuple(state.entry.id for state in states if state.entry.zone == self._zone)
            ids = near or ids
        return _preferred_endpoint(work, ids)

    def _count_running(self, change: int, now: float) -> None:
        self._running_sum += self._running * max(0.0, now - self._running_sum_at)
        self._running_sum_at = max(now, self._running_sum_at)
        self._running += change

    def _decay_declined(self, now: float) -> None:
        self._declined *= 0.5 ** (max(0.0, now - self._declined_at) / DECLINE_HALF_LIFE_S)
        self._declined_at = max(now, self._declined_at)

    def _decay(self, state: EndpointState, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - state.decayed_at) / self._settings.outcome_half_life_s)
        state.failures *= kept
        state.samples *= kept
        state.decayed_at = now


def _preferred_endpoint(work: Work, ids: tuple[str, ...]) -> str | None:
    """Return the preferred endpoint of a request's session, the same at all hosts.

    The session is identified by the last shared part of the prompt; None if there is no such part.
    """
    if not work.parts:
        return None
    return _first_by_rank(work.parts[-1].id, ids)


@lru_cache(PREFERENCE_CACHE_SIZE)
def _first_by_rank(session: str, ids: tuple[str, ...]) -> str | None:
    return first_by_rank(session, ids)
