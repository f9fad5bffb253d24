"""Seeded traces of requests against prepaid budgets."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["HOUR_S", "Trace", "TraceRequest", "TraceSettings", "make_trace"]

HOUR_S = 3600.0
LARGE_BUDGETS = 3
LARGE_SHARE = 0.75
REVERSAL_AT_S = 1.25 * HOUR_S
MAX_BOUND_FACTOR = 2


class TraceRequest(NamedTuple):
    """One request.

    Attributes
    ----------
    at, duration_s : float
        Arrival and duration, in seconds.
    host : int
        Index, within its zone, of the entry host at which the request arrives.
    cost, bound : int
        Actual cost and largest possible cost, in tokens.
    """

    at: float
    duration_s: float
    zone: int
    host: int
    budget: str
    cost: int
    bound: int


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Settings of a generated trace.

    Attributes
    ----------
    requests : int
        Number of requests.
    budgets : int
        Number of budgets.
    cost_median, cost_sigma : float
        Median of the cost, in tokens, and standard deviation of its logarithm.
    zone_shares : tuple of float
        Share of the demand that arrives in each zone.
    is_reversed : bool
        Whether the order of the zones' shares is reversed at :data:`REVERSAL_AT_S`.
    host_shares : tuple of float
        Share of a zone's demand that arrives at each of its hosts.
    length_s : float
        Length of the trace, in seconds.
    """

    requests: int = 5000
    budgets: int = 10
    cost_median: float = 600.0
    cost_sigma: float = 0.8
    zone_shares: tuple[float, ...] = (0.6, 0.3, 0.1)
    is_reversed: bool = True
    host_shares: tuple[float, ...] = (0.5, 0.3, 0.2)
    length_s: float = 2.5 * HOUR_S


class Trace(NamedTuple):
    """Requests in order of arrival, and the sum of their costs by budget, in tokens."""

    requests: tuple[TraceRequest, ...]
    demand: dict[str, int]


def make_trace(settings: TraceSettings, seed: int) -> Trace:
    """Return the trace with these settings for a seed."""
    rng = random.Random(seed)
    weights = _budget_weights(settings.budgets)
    names = [f"budget-{number}" for number in range(settings.budgets)]
    times = sorted(rng.uniform(0.0, settings.length_s) for _ in range(settings.requests))
    requests = tuple(_make_request(settings, rng, at, names, weights) for at in times)
    demand = dict.fromkeys(names, 0)
    for request in requests:
        demand[request.budget] += request.cost
    return Trace(requests, demand)


def _budget_weights(count: int) -> list[float]:
    """Return the share of requests by budget; the large budgets get ``LARGE_SHARE`` together."""
    large_weights = [LARGE_SHARE / LARGE_BUDGETS] * LARGE_BUDGETS
    small_count = count - LARGE_BUDGETS
    return large_weights + [(1.0 - LARGE_SHARE) / small_count] * small_count


def _make_request(
    settings: TraceSettings,
    rng: random.Random,
    at: float,
    names: list[str],
    weights: list[float],
) -> TraceRequest:
    reverse = settings.is_reversed and at >= REVERSAL_AT_S
    parts = settings.zone_shares[::-1] if reverse else settings.zone_shares
    zone = rng.choices(range(len(parts)), parts)[0]
    host = rng.choices(range(len(settings.host_shares)), settings.host_shares)[0]
    cost = 1 + int(rng.lognormvariate(0.0, settings.cost_sigma) * settings.cost_median)
    bound = int(cost * rng.uniform(1.0, MAX_BOUND_FACTOR)) + 1
    duration_s = min(60.0, rng.lognormvariate(0.0, 0.7) * 4.0)
    return TraceRequest(at, duration_s, zone, host, rng.choices(names, weights)[0], cost, bound)
