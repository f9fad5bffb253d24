"""Simple rules to compare with: equal split by host, one central dealer, one that sees all."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from typing import NamedTuple

from mulberrycleat.bench.budget_faults import FaultPlan
from mulberrycleat.bench.budget_score import Score
from mulberrycleat.bench.budget_traces import Trace, TraceRequest

__all__ = ["BASELINES", "replay_baseline"]

BASELINES = ("equal_split", "central", "all_knowing")
HOSTS = tuple((zone, host) for zone in range(3) for host in range(3))
CENTRAL = (-1, -1)
Place = tuple[int, int]


class _InFlight(NamedTuple):
    ends: float
    order: int
    request: TraceRequest
    host: Place
    life: int


class _Baseline:
    def __init__(self, rule: str, prepaid: Mapping[str, int], faults: FaultPlan) -> None:
        self._rule = rule
        self._faults = faults
        self._pots = {}
        places = HOSTS if rule == "equal_split" else (CENTRAL,)
        for name, tokens in prepaid.items():
            for place in places:
                self._pots[place, name] = tokens // len(places)
        self._life = dict.fromkeys(HOSTS, 0)
        self._up = dict.fromkeys(HOSTS, True)

    def host_of(self, request: TraceRequest) -> Place:
        """Return the running host of the zone that the platform's balancer picks."""
        for step in range(3):
            host = (request.zone, (request.host + step) % 3)
            if self._up[host]:
                return host
        raise RuntimeError("a zone has no host")

    def happen(self, action: str, host: Place) -> None:
        self._up[host] = action == "start"
        if action != "kill" or self._rule == "all_knowing":
            return
        self._life[host] += 1
        for place, name in self._pots:
            if place == host:
                self._pots[place, name] = 0

    def life(self, host: Place) -> int:
        return self._life[host]

    def reserve(self, request: TraceRequest, host: Place) -> bool:
        if self._rule == "central" and self._faults.is_apart(request.at, request.zone):
            return False
        key = (host if self._rule == "equal_split" else CENTRAL, request.budget)
        if self._pots[key] < request.bound:
            return False
        self._pots[key] -= request.bound
        return True

    def settle(self, done: _InFlight) -> None:
        if self._life[done.host] == done.life:
            place = done.host if self._rule == "equal_split" else CENTRAL
            self._pots[place, done.request.budget] += done.request.bound - done.request.cost


def replay_baseline(
    rule: str, trace: Trace, prepaid: Mapping[str, int], faults: FaultPlan
) -> Score:
    """Replay a trace with one of :data:`BASELINES` and return its score."""
    score = Score(prepaid)
    dealer = _Baseline(rule, prepaid, faults)
    flying: list[_InFlight] = []
    events = list(faults.events)
    for order, request in enumerate(trace.requests):
        while events and events[0].at <= request.at:
            event = events.pop(0)
            dealer.happen(event.action, (event.zone, event.host))
        while flying and flying[0].ends <= request.at:
            done = heapq.heappop(flying)
            dealer.settle(done)
            score.ended(done.request)
        host = dealer.host_of(request)
        if not dealer.reserve(request, host):
            score.turned_away(request)
            continue
        score.dispatched(request)
        ends = request.at + request.takes
        heapq.heappush(flying, _InFlight(ends, order, request, host, dealer.life(host)))
    return score
