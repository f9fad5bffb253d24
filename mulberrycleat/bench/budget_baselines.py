"""Baseline rules: an equal split by host, one central allocator, one with full knowledge."""

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
HostId = tuple[int, int]


class _InFlight(NamedTuple):
    ends_at: float
    request_number: int
    request: TraceRequest
    host: HostId
    incarnation: int


class _Baseline:
    """Token balances by budget under a baseline rule: one for each host, or one for the fleet."""

    def __init__(self, rule: str, prepaid: Mapping[str, int], faults: FaultPlan) -> None:
        self._rule = rule
        self._faults = faults
        self._balances = {}
        owners = HOSTS if rule == "equal_split" else (CENTRAL,)
        for name, tokens in prepaid.items():
            for owner in owners:
                self._balances[owner, name] = tokens // len(owners)
        self._incarnations = dict.fromkeys(HOSTS, 0)
        self._running = dict.fromkeys(HOSTS, True)

    def pick_host(self, request: TraceRequest) -> HostId:
        """Return the running host of the request's zone that the platform's balancer picks."""
        for step in range(3):
            host = (request.zone, (request.host + step) % 3)
            if self._running[host]:
                return host
        raise RuntimeError(f"no host runs in zone {request.zone}")

    def apply_event(self, action: str, host: HostId) -> None:
        """Start, stop or kill a host.

        Except under ``all_knowing``, a killed host loses its own balances, and the tokens reserved
        for its requests in flight are not returned.
        """
        self._running[host] = action == "start"
        if action != "kill" or self._rule == "all_knowing":
            return
        self._incarnations[host] += 1
        for owner, name in self._balances:
            if owner == host:
                self._balances[owner, name] = 0

    def incarnation(self, host: HostId) -> int:
        return self._incarnations[host]

    def reserve(self, request: TraceRequest, host: HostId) -> bool:
        """Reserve the bound of a request; return False if it can't be reserved."""
        if self._rule == "central" and self._faults.is_isolated(request.at, request.zone):
            return False
        key = (host if self._rule == "equal_split" else CENTRAL, request.budget)
        if self._balances[key] < request.bound:
            return False
        self._balances[key] -= request.bound
        return True

    def settle(self, done: _InFlight) -> None:
        """Return the unused tokens of a request, unless its host was killed in the meantime."""
        if self._incarnations[done.host] == done.incarnation:
            owner = done.host if self._rule == "equal_split" else CENTRAL
            self._balances[owner, done.request.budget] += done.request.bound - done.request.cost


def replay_baseline(
    rule: str, trace: Trace, prepaid: Mapping[str, int], faults: FaultPlan
) -> Score:
    """Replay a trace with one of :data:`BASELINES` and return its score."""
    score = Score(prepaid)
    baseline = _Baseline(rule, prepaid, faults)
    in_flight: list[_InFlight] = []
    events = list(faults.events)
    for request_number, request in enumerate(trace.requests):
        while events and events[0].at <= request.at:
            event = events.pop(0)
            baseline.apply_event(event.action, (event.zone, event.host))
        while in_flight and in_flight[0].ends_at <= request.at:
            done = heapq.heappop(in_flight)
            baseline.settle(done)
            score.ended(done.request)
        host = baseline.pick_host(request)
        if not baseline.reserve(request, host):
            score.turned_away(request)
            continue
        score.dispatched(request)
        ends_at = request.at + request.duration_s
        heapq.heappush(
            in_flight, _InFlight(ends_at, request_number, request, host, baseline.incarnation(host))
        )
    return score
