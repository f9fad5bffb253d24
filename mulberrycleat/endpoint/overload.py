"""What one host knows of an overloaded pool, and what it decides from that. Free of I/O.

A pool is overloaded for a second after an endpoint declined a request for lack of room, or reported
requests that wait. Only meanwhile are demand and completions counted. The hosts' counts together
give the admitted shares; a host without the shares of all hosts computes them from its own counts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from mulberrycleat.endpoint.fair_shares import Flow, PoolShares, fair_shares
from mulberrycleat.endpoint.request_queue import QueueRequest, RequestQueue, is_unservable
from mulberrycleat.endpoint.return_times import ReturnTimes

__all__ = ["PoolLoad", "PoolOverload", "SharedView", "capacity_of", "sum_loads"]

# A pool is overloaded for this time after a sign of it, in seconds (see the requirements page).
SIGN_TTL_S = 1.0
# Shares of all hosts that are older are not used, in seconds (see the requirements page).
SHARED_TTL_S = 1.5
# Time constant of the decaying counts, in seconds: three reports of a host, which gets 2 to 5
# requests per second, so that several hosts together count tens of requests.
RATE_TIME_S = 1.5
# Counts of a shorter time, in seconds, limit nobody: a rate over less says more about chance.
MIN_COUNTED_S = 0.75
# The host's own counts limit nobody below this number of requests that endpoints have taken.
MIN_OWN_TAKEN = 8.0
# Factor on the completion rate, so that a capacity that was estimated too low rises again.
PROBE_FACTOR = 1.1
# Largest factor on the capacity for places that stay free. With three endpoints of one place each,
# 0.65 of the capacity is used with 3, and 0.55 without such a factor; small accounts wait longer
# for a place with a larger one.
MAX_UNEVEN_FACTOR = 3.0
# Weight of a new sample in the usual time to an answer, and that time before the first sample, in
# seconds.
ANSWER_GAIN, FIRST_ANSWER_S = 0.1, 0.05
# Interval between sends of waiting requests without a sign of a free place: this share of the usual
# time to an answer, within bounds in seconds. Each such send may be a retry, and those are limited.
POLL_SHARE, MIN_POLL_S, MAX_POLL_S = 0.5, 0.02, 0.25


class PoolLoad(NamedTuple):
    """Demand and completions at one or more hosts, per second.

    Attributes
    ----------
    demand : mapping of Flow to float
        Work that callers asked for.
    completed : float
        Work of the requests that were answered.
    busy : float
        Mean number of places that these requests took.
    seen : bool
        Whether a host has seen a sign of overload itself within the last second.
    hosts : int
        Number of hosts.
    """

    demand: Mapping[Flow, float]
    completed: float
    busy: float
    seen: bool = True
    hosts: int = 1


class SharedView(NamedTuple):
    """Shares and capacity computed from all hosts' counts, and the number of these hosts."""

    shares: PoolShares
    capacity: float
    hosts: int


def sum_loads(loads: Iterable[PoolLoad]) -> PoolLoad:
    """Return the load at several hosts together."""
    demand: dict[Flow, float] = {}
    completed, busy, seen, hosts = 0.0, 0.0, False, 0
    for load in loads:
        for flow, rate in load.demand.items():
            demand[flow] = demand.get(flow, 0.0) + rate
        completed += load.completed
        busy += load.busy
        seen = seen or load.seen
        hosts += load.hosts
    return PoolLoad(demand, completed, busy, seen, hosts)


def capacity_of(load: PoolLoad, places: int) -> float:
    """Return the work per second to admit to a pool, infinite if that is not known.

    Completions with free places left are extrapolated to all places, so that an increase of demand
    is not taken for an overload. More is admitted while places stay free all the same, since
    requests come at random and find all places taken at one moment and some free at another.

    >>> capacity_of(PoolLoad({}, completed=10.0, busy=1.0), places=3)
    90.0
    >>> capacity_of(PoolLoad({}, completed=30.0, busy=9.0), places=3)
    33.0
    """
    if load.completed <= 0 or load.busy <= 0:
        return math.inf
    free_factor = max(1.0, places / load.busy)
    uneven_factor = min(free_factor, MAX_UNEVEN_FACTOR)
    return max(PROBE_FACTOR * load.completed, load.completed * free_factor * uneven_factor)


class _Rate:
    """Decaying count, as a rate per second."""

    def __init__(self, now: float) -> None:
        self._began = self._updated = now
        self._sum = 0.0

    def add(self, amount: float, now: float) -> None:
        self._decay(now)
        self._sum += amount

    def per_s(self, now: float) -> float:
        self._decay(now)
        seen = -math.expm1(-max(now - self._began, MIN_COUNTED_S) / RATE_TIME_S)
        return self._sum / (RATE_TIME_S * seen)

    def _decay(self, now: float) -> None:
        self._sum *= math.exp(-max(0.0, now - self._updated) / RATE_TIME_S)
        self._updated = now


class PoolOverload:
    """One pool as one host sees it. Times `now` are in seconds on a clock that does not go back.

    Parameters
    ----------
    random : Random
        Source of the choice which requests of a limited flow are admitted, and of jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self.queue = RequestQueue()
        self.returns = ReturnTimes(random)
        self._sign_at = -math.inf
        self._shared: SharedView | None = None
        self._shared_at = -math.inf
        self._counted_to = -math.inf
        self._answer_s = FIRST_ANSWER_S
        self._poll_at = -math.inf
        self._reset(0.0)

    @property
    def answer_s(self) -> float:
        """Usual time to an answer or a first event once a request is sent, in seconds."""
        return self._answer_s

    @property
    def poll_at(self) -> float:
        """When a waiting request may be sent without a sign of a free place."""
        return self._poll_at

    def note_sign(self, now: float) -> None:
        """Record that an endpoint declined a request for lack of room, or that requests wait."""
        self._sign_at = now

    def is_seen(self, now: float) -> bool:
        """Whether this host has seen a sign of overload within the last second."""
        return now - self._sign_at <= SIGN_TTL_S

    def is_overloaded(self, now: float) -> bool:
        """Whether this host or, as the shares of all hosts say, another one has seen a sign."""
        return self.is_seen(now) or self.shared(now) is not None

    def apply_shared(self, view: SharedView | None, age_s: float, now: float) -> None:
        """Take over the shares of all hosts, as of `age_s` ago; None if no host sees overload.

        Shares older than the known ones are ignored.
        """
        computed_at = now - age_s
        if computed_at >= self._shared_at:
            self._shared, self._shared_at = view, computed_at

    def shared(self, now: float) -> SharedView | None:
        """Return the shares of all hosts, None if there are none or they are too old."""
        return self._shared if now - self._shared_at <= SHARED_TTL_S else None

    def record_demand(self, request: QueueRequest, now: float) -> None:
        """Count a caller's request."""
        if now - self._counted_to > SIGN_TTL_S:
            self._reset(now)
        self._counted_to = now
        if request.flow not in self._demand:
            self._demand[request.flow] = _Rate(self._counted_from)
        self._demand[request.flow].add(request.work, now)

    def record_sent(self, work: float, now: float) -> None:
        """Count a request that is sent, as taken by an endpoint unless it is turned away."""
        self._taken.add(work, now)
        self._taken_count.add(1.0, now)

    def record_turned_away(self, work: float, now: float) -> None:
        """Count out a request that was sent and that no endpoint has taken."""
        self._taken.add(-work, now)
        self._taken_count.add(-1.0, now)

    def record_answer(self, work: float, answer_s: float, took_s: float, now: float) -> None:
        """Count an answered request.

        Parameters
        ----------
        answer_s, took_s : float
            Time from its sending to the answer or the first event, and to its end, in seconds.
        """
        self._completed.add(work, now)
        self._busy.add(took_s, now)
        self._answer_s += ANSWER_GAIN * (answer_s - self._answer_s)

    def load(self, now: float) -> PoolLoad | None:
        """Return this host's counts, None if the pool is not overloaded."""
        if not self.is_overloaded(now) or now - self._counted_to > SIGN_TTL_S:
            return None
        demand = {flow: rate.per_s(now) for flow, rate in self._demand.items()}
        completed, busy = self._completed.per_s(now), self._busy.per_s(now)
        return PoolLoad(demand, completed, busy, self.is_seen(now))

    def admits(self, request: QueueRequest, now: float) -> bool:
        """Whether a request belongs to the admitted share of its flow; all sizes are alike."""
        share = self.shares(now).share(request.flow)
        return share >= 1.0 or self._random.random() < share

    def is_unservable(self, request: QueueRequest, now: float) -> bool:
        """Whether a request can't be answered before its deadline, even if it is sent now."""
        return is_unservable(request, self._answer_s, now)

    def shares(self, now: float) -> PoolShares:
        """Return the admitted shares, from all hosts' counts or else from this host's own.

        The host's own capacity is what endpoints take from it. They may complete it much later.
        """
        shared = self.shared(now)
        if shared is not None:
            return shared.shares
        if now - self._counted_from < MIN_COUNTED_S:
            return PoolShares()
        if self._taken_count.per_s(now) * RATE_TIME_S < MIN_OWN_TAKEN:
            return PoolShares()
        demand = {flow: rate.per_s(now) for flow, rate in self._demand.items()}
        return fair_shares(demand, PROBE_FACTOR * self._taken.per_s(now))

    def drain_rate(self, now: float) -> float:
        """Return the work per second that this host's waiting requests can expect; 0 if unknown."""
        own = self._completed.per_s(now)
        busy = self._busy.per_s(now)
        # A host with a single place would complete this much.
        one_place = own / busy if busy > 0 else 0.0
        shared = self.shared(now)
        part = shared.capacity / max(1, shared.hosts) if shared is not None else 0.0
        return max(own, one_place, part if math.isfinite(part) else 0.0)

    def return_s(self, request: QueueRequest, now: float) -> float:
        """Return the value of Retry-After for a request that is refused now, in seconds."""
        left_s = request.deadline - now
        if self.shares(now).share(request.flow) >= 1.0:
            # It goes before those of limited flows, and needs only the next place that is free.
            return self.returns.next_s(request.flow, now, 0.0, 1.0 / self._answer_s, left_s)
        rate = self.drain_rate(now)
        queue_s = self.queue.work / rate if rate > 0 else 0.0
        return self.returns.next_s(request.flow, now, queue_s, rate / request.work, left_s)

    def record_poll(self, now: float) -> None:
        """Record that a waiting request is sent."""
        poll_s = min(max(POLL_SHARE * self._answer_s, MIN_POLL_S), MAX_POLL_S)
        self._poll_at = now + poll_s

    def _reset(self, now: float) -> None:
        self._counted_from = now
        self._demand: dict[Flow, _Rate] = {}
        self._completed, self._busy = _Rate(now), _Rate(now)
        self._taken, self._taken_count = _Rate(now), _Rate(now)
