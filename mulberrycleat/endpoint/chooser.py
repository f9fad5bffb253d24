"""Choice of an endpoint by expected completion time."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from mulberrycleat.endpoint.demand import LOWEST_PRIORITY, Demand, priority_of
from mulberrycleat.endpoint.health import Standing
from mulberrycleat.endpoint.index import PrefixIndex
from mulberrycleat.endpoint.state import EndpointState, Estimate, LoadReport
from mulberrycleat.manifest.model import Endpoint

__all__ = ["Choice", "ChoiceSettings", "Chooser"]

# Mean of the generated tokens as a fraction of a request's upper limit: initial value, and weight
# of a new request.
INITIAL_GENERATED_SHARE = 0.5
GENERATED_GAIN = 0.02
# Factor per request on the recent prompt tokens of each priority, and their initial number at the
# highest priority.
SHARE_DECAY = 0.98
SHARE_PRIOR_TOKENS = 500.0


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Parameters for comparing endpoints.

    Attributes
    ----------
    other_zone_penalty_s : float
        Time that an endpoint of another availability zone must save to be preferred, in seconds.
    work_weight : float
        Weight of the time that a request costs other requests, relative to its own time.
    near_share, near_s : float
        The choice is random among the endpoints whose score is within this fraction plus this
        time (seconds) of the best, so that routers with the same old load report don't all choose
        the same one. If the best is in the router's own zone, only that zone is considered.
    reserve_share : float
        Fraction of an endpoint's batch slots that is reserved for short requests.
    sample : int
        Largest number of endpoints to compare. In a larger pool, endpoints that may have the prompt
        cached are compared with a random sample of the others.
    max_ejected_share : float
        Largest fraction of a pool that may be ejected at once.
    """

    other_zone_penalty_s: float = 0.05
    work_weight: float = 1.0
    near_share: float = 0.2
    near_s: float = 0.02
    reserve_share: float = 0.4
    sample: int = 24
    max_ejected_share: float = 0.34


class Choice(NamedTuple):
    """A chosen endpoint, with the request's expected times and assumed cached tokens there."""

    endpoint: Endpoint
    estimate: Estimate
    cached_tokens: int


class Chooser:
    """State of a router's endpoints, and the choice among them. Does no I/O.

    Times are in seconds and all of the same clock.

    Parameters
    ----------
    settings : ChoiceSettings
        Parameters for comparing endpoints.
    zone : str
        Availability zone of the router.
    random : Random
        Source of the random choice among near-best endpoints.
    """

    def __init__(self, settings: ChoiceSettings, zone: str, random: Random) -> None:
        self._settings = settings
        self._zone = zone
        self._random = random
        self._states: dict[str, EndpointState] = {}
        self._index = PrefixIndex()
        self._generated_share = INITIAL_GENERATED_SHARE
        self._recent_tokens = [SHARE_PRIOR_TOKENS] + [0.0] * LOWEST_PRIORITY

    def state(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint; a change of its address starts a new state."""
        found = self._states.get(endpoint.name)
        if found is None or found.endpoint.address != endpoint.address:
            found = self._states[endpoint.name] = EndpointState(endpoint)
            self._index.remove_endpoint(endpoint.name)
        return found

    def choose(
        self, endpoints: Iterable[Endpoint], demand: Demand, now: float, tried: Collection[str] = ()
    ) -> Choice | None:
        """Return the endpoint to send a request to, or None if there is none.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Endpoints that may be sent new requests.
        tried : collection of str
            Names of the endpoints to leave out: they are busy, or were sent the request before.
        """
        cached = self._index.cached_tokens(demand.keys)
        states = self._usable([self.state(endpoint) for endpoint in endpoints], now)
        states = self._sampled([s for s in states if s.endpoint.name not in tried], cached)
        generated = demand.max_tokens * self._generated_share
        share = self._urgent_share(demand)
        fullness = sum(state.fullness(now) for state in states) / max(1, len(states))
        scored = []
        for state in states:
            tokens = min(cached.get(state.endpoint.name, 0), demand.prompt_tokens)
            estimate = state.estimate(
                demand, tokens, generated, share, now, self._settings.reserve_share
            )
            scored.append(
                (self._score(state, estimate, fullness), Choice(state.endpoint, estimate, tokens))
            )
        return self._pick(scored)

    def sent(self, endpoint: Endpoint, request_id: str, demand: Demand, now: float) -> None:
        """Record that a request was sent."""
        name = endpoint.name
        cached = self._index.cached_tokens(demand.keys).get(name, 0)
        share = self._urgent_share(demand)
        self.state(endpoint).sent(request_id, demand, cached, share, now)
        self._index.add(name, demand.keys)
        self._record_priority(demand)

    def first_token(self, name: str, request_id: str, cached_tokens: int, now: float) -> None:
        """Record that the first event arrived, and how many prompt tokens were cached."""
        if name in self._states:
            self._states[name].first_token(request_id, now, cached_tokens)

    def ended(
        self, name: str, request_id: str, generated: int, now: float, failed: bool | None
    ) -> None:
        """Record the end of a request that generated `generated` tokens.

        `failed` is None if the end says nothing about the endpoint.
        """
        state = self._states.get(name)
        if state is None:
            return
        request = state.in_flight.get(request_id)
        if request is not None and failed is False and request.demand.max_tokens:
            share = generated / request.demand.max_tokens
            self._generated_share += GENERATED_GAIN * (share - self._generated_share)
        state.ended(request_id, generated, now, failed)

    def record_load_report(self, name: str, report: LoadReport) -> None:
        """Record a load report of an endpoint; unknown endpoints are ignored."""
        if name in self._states:
            self._states[name].record_load_report(report)

    def apply_cache_event(self, name: str, kind: str, keys: tuple[int, ...]) -> None:
        """Apply a cache event of kind ``stored`` or ``evicted``; others are ignored."""
        if kind == "stored":
            self._index.add(name, keys)
        elif kind == "evicted":
            self._index.remove(name, keys)

    def retain(self, names: Collection[str]) -> None:
        """Remove endpoints that are not in `names` and have no requests in flight."""
        gone = [n for n, s in self._states.items() if n not in names and not s.requests]
        for name in gone:
            del self._states[name]
            self._index.remove_endpoint(name)

    def _usable(self, states: list[EndpointState], now: float) -> list[EndpointState]:
        """Leave out endpoints on trial that have a request in flight, and ejected endpoints.

        If more than ``max_ejected_share`` of the endpoints are ejected, only those with the most
        failures since the last success are left out.
        """
        ejected = []
        usable = []
        for state in states:
            standing = state.health.standing(now)
            if standing is Standing.EJECTED:
                ejected.append(state)
            elif standing is Standing.GOOD or not state.requests:
                usable.append(state)
        limit = int(len(states) * self._settings.max_ejected_share)
        ejected.sort(key=lambda state: state.health.failures)
        return usable + ejected[: max(0, len(ejected) - limit)]

    def _sampled(
        self, states: list[EndpointState], cached: Mapping[str, int]
    ) -> list[EndpointState]:
        """Return the endpoints to compare; `cached` has the cached tokens by endpoint name."""
        size = self._settings.sample
        if len(states) <= size:
            return states
        names = set(heapq.nlargest(size // 2, cached, key=cached.__getitem__))
        holders = [state for state in states if state.endpoint.name in names]
        others = [state for state in states if state.endpoint.name not in names]
        return holders + self._random.sample(others, size - len(holders))

    def _score(self, state: EndpointState, estimate: Estimate, fullness: float) -> float:
        """Return the cost of a request in seconds: its own time, and the time it costs others.

        In a full pool, the cost to others is the processing time that the request takes up, which
        is lowest in a full batch. In an empty pool, it is only the delay of the requests that run
        at the endpoint, so that idle endpoints are used. In between, both are weighted by
        `fullness`.
        """
        zone_penalty_s = (
            0.0 if state.endpoint.zone == self._zone else self._settings.other_zone_penalty_s
        )
        others_s = fullness * estimate.work_s + (1 - fullness) * estimate.delay_s
        return estimate.full_response_s + self._settings.work_weight * others_s + zone_penalty_s

    def _pick(self, scored: list[tuple[float, Choice]]) -> Choice | None:
        if not scored:
            return None
        best, first = min(scored, key=lambda pair: pair[0])
        if not self._settings.near_share and not self._settings.near_s:
            return first
        limit = best * (1 + self._settings.near_share) + self._settings.near_s
        near_best = [choice for score, choice in scored if score <= limit]
        if first.endpoint.zone == self._zone:
            near_best = [choice for choice in near_best if choice.endpoint.zone == self._zone]
        return self._random.choice(near_best)

    def _record_priority(self, demand: Demand) -> None:
        self._recent_tokens = [tokens * SHARE_DECAY for tokens in self._recent_tokens]
        self._recent_tokens[priority_of(demand)] += demand.prompt_tokens

    def _urgent_share(self, demand: Demand) -> float:
        """Return the fraction of recently sent prompt tokens of the same or a higher priority."""
        return sum(self._recent_tokens[: priority_of(demand) + 1]) / sum(self._recent_tokens)
