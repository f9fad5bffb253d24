"""The choice of an endpoint by expected completion."""

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

FIRST_GENERATED_SHARE = 0.5
GENERATED_GAIN = 0.02
SHARE_KEPT = 0.98
SHARE_PRIOR_TOKENS = 500.0


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """How endpoints are compared.

    Attributes
    ----------
    other_zone_s : float
        What an endpoint of another availability zone must save, in seconds.
    work_weight : float
        Weight of the time that a request costs others, beside its own time.
    near_share, near_s : float
        Endpoints within this share and time (seconds) of the best are chosen among at random, so
        that routers with the same old report don't all choose the same one. When the best is in the
        router's own zone, only those of that zone are.
    reserve_share : float
        Part of an endpoint's places that longer requests leave to short ones.
    sample : int
        Largest number of endpoints that are compared. Of a larger pool those that may have the
        prompt cached are, and others by chance.
    max_ejected_share : float
        Largest share of a pool that may be ejected at once.
    """

    other_zone_s: float = 0.05
    work_weight: float = 1.0
    near_share: float = 0.2
    near_s: float = 0.02
    reserve_share: float = 0.4
    sample: int = 24
    max_ejected_share: float = 0.34


class Choice(NamedTuple):
    """A chosen endpoint with what is expected of it."""

    endpoint: Endpoint
    estimate: Estimate
    cached_tokens: int


class Chooser:
    """What a router knows of its endpoints, and the choice among them. Free of I/O.

    Times are seconds of any one clock.

    Parameters
    ----------
    settings : ChoiceSettings
        How endpoints are compared.
    zone : str
        Availability zone of the router.
    random : Random
        Source of the choice among near-best endpoints.
    """

    def __init__(self, settings: ChoiceSettings, zone: str, random: Random) -> None:
        self._settings = settings
        self._zone = zone
        self._random = random
        self._states: dict[str, EndpointState] = {}
        self._index = PrefixIndex()
        self._generated_share = FIRST_GENERATED_SHARE
        self._sent_tokens = [SHARE_PRIOR_TOKENS] + [0.0] * LOWEST_PRIORITY

    def state(self, endpoint: Endpoint) -> EndpointState:
        """Return what is known of an endpoint; a new address makes it a new one."""
        found = self._states.get(endpoint.name)
        if found is None or found.endpoint.address != endpoint.address:
            found = self._states[endpoint.name] = EndpointState(endpoint)
            self._index.forget(endpoint.name)
        return found

    def choose(
        self, endpoints: Iterable[Endpoint], demand: Demand, now: float, tried: Collection[str] = ()
    ) -> Choice | None:
        """Return the endpoint to send a request to, or None when there is none.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Those that may get new work.
        tried : collection of str
            Names to leave out.
        """
        cached = self._index.cached_tokens(demand.keys)
        states = self._usable([self.state(endpoint) for endpoint in endpoints], now)
        states = self._sampled([s for s in states if s.endpoint.name not in tried], cached)
        generated = demand.max_tokens * self._generated_share
        share = self._share_before(demand)
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
        """Note that a request was sent."""
        name = endpoint.name
        cached = self._index.cached_tokens(demand.keys).get(name, 0)
        share = self._share_before(demand)
        self.state(endpoint).sent(request_id, demand, cached, share, now)
        self._index.add(name, demand.keys)
        self._note_share(demand)

    def first_token(self, name: str, request_id: str, cached_tokens: int, now: float) -> None:
        """Note that the first event came, with the prompt tokens that were cached."""
        if name in self._states:
            self._states[name].first_token(request_id, now, cached_tokens)

    def ended(
        self, name: str, request_id: str, generated: int, now: float, failed: bool | None
    ) -> None:
        """Note that a request ended; `failed` is None when that says nothing of the endpoint."""
        state = self._states.get(name)
        if state is None:
            return
        flight = state.flights.get(request_id)
        if flight is not None and failed is False and flight.demand.max_tokens:
            share = generated / flight.demand.max_tokens
            self._generated_share += GENERATED_GAIN * (share - self._generated_share)
        state.ended(request_id, generated, now, failed)

    def take_report(self, name: str, report: LoadReport) -> None:
        """Take a load report."""
        if name in self._states:
            self._states[name].take_report(report)

    def take_cache_event(self, name: str, kind: str, keys: tuple[int, ...]) -> None:
        """Take a cache event of kind ``stored`` or ``evicted``."""
        if kind == "stored":
            self._index.add(name, keys)
        elif kind == "evicted":
            self._index.remove(name, keys)

    def retain(self, names: Collection[str]) -> None:
        """Forget idle endpoints that are not among `names`."""
        gone = [n for n, s in self._states.items() if n not in names and not s.requests]
        for name in gone:
            del self._states[name]
            self._index.forget(name)

    def _usable(self, states: list[EndpointState], now: float) -> list[EndpointState]:
        """Leave out ejected endpoints, up to the bound, and busy ones on trial."""
        ejected = []
        usable = []
        for state in states:
            standing = state.health.standing(now)
            if standing is Standing.EJECTED:
                ejected.append(state)
            elif standing is Standing.GOOD or not state.requests:
                usable.append(state)
        bound = int(len(states) * self._settings.max_ejected_share)
        ejected.sort(key=lambda state: state.health.failures)
        return usable + ejected[: max(0, len(ejected) - bound)]

    def _sampled(
        self, states: list[EndpointState], cached: Mapping[str, int]
    ) -> list[EndpointState]:
        size = self._settings.sample
        if len(states) <= size:
            return states
        names = set(heapq.nlargest(size // 2, cached, key=cached.__getitem__))
        holders = [state for state in states if state.endpoint.name in names]
        others = [state for state in states if state.endpoint.name not in names]
        return holders + self._random.sample(others, size - len(holders))

    def _score(self, state: EndpointState, estimate: Estimate, fullness: float) -> float:
        """Return what a request costs: its own time, and that of others.

        In a full pool the time of an endpoint counts, which a full batch uses best; in an empty one
        only the delay of those that run there, so that idle endpoints are used.
        """
        away = 0.0 if state.endpoint.zone == self._zone else self._settings.other_zone_s
        others_s = fullness * estimate.work_s + (1 - fullness) * estimate.delay_s
        return estimate.whole_s + self._settings.work_weight * others_s + away

    def _pick(self, scored: list[tuple[float, Choice]]) -> Choice | None:
        if not scored:
            return None
        best, first = min(scored, key=lambda pair: pair[0])
        if not self._settings.near_share and not self._settings.near_s:
            return first
        bound = best * (1 + self._settings.near_share) + self._settings.near_s
        near = [choice for score, choice in scored if score <= bound]
        if first.endpoint.zone == self._zone:
            near = [choice for choice in near if choice.endpoint.zone == self._zone]
        return self._random.choice(near)

    def _note_share(self, demand: Demand) -> None:
        self._sent_tokens = [tokens * SHARE_KEPT for tokens in self._sent_tokens]
        self._sent_tokens[priority_of(demand)] += demand.prompt_tokens

    def _share_before(self, demand: Demand) -> float:
        """Return the part of the prompt tokens lately sent that goes before a request."""
        return sum(self._sent_tokens[: priority_of(demand) + 1]) / sum(self._sent_tokens)
