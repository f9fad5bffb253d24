"""Seeded traces of requests against prepaid budgets."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["HOUR_S", "Trace", "TraceRequest", "TraceSettings", "make_trace"]

HOUR_S = 3600.0
LARGE_BUDGETS = 3
LARGE_PART = 0.75
TURN_AT_S = 1.25 * HOUR_S
RESERVATION_FACTOR = 2


class TraceRequest(NamedTuple):
    """One request.

    Attributes
    ----------
    at, takes : float
        Arrival and duration, in seconds.
    host : int
        Index of the entry host at which it arrives.
    cost, bound : int
        What it costs and the most that it could, in tokens.
    """

    at: float
    takes: float
    zone: int
    host: int
    budget: str
    cost: int
    bound: int


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Shape of a trace.

    Attributes
    ----------
    requests : int
        Number of requests.
    cost_mean, cost_sigma : float
        Median cost in tokens, and sigma of the logarithm.
    zone_parts : tuple of float
        Part of the demand that arrives in each zone.
    turns : bool
        Whether the zones' parts turn round at :data:`TURN_AT_S`.
    host_parts : tuple of float
        Part of a zone's demand that each of its hosts gets.
    """

    requests: int = 5000
    budgets: int = 10
    cost_mean: float = 600.0
    cost_sigma: float = 0.8
    zone_parts: tuple[float, ...] = (0.6, 0.3, 0.1)
    turns: bool = True
    host_parts: tuple[float, ...] = (0.5, 0.3, 0.2)
    length_s: float = 2.5 * HOUR_S


class Trace(NamedTuple):
    """Requests in order of arrival, and the demand of each budget in tokens."""

    requests: tuple[TraceRequest, ...]
    demand: dict[str, int]


def make_trace(settings: TraceSettings, seed: int) -> Trace:
    """Return the trace of a seed."""
    rng = random.Random(seed)
    weights = _budget_weights(settings.budgets)
    names = [f"budget-{number}" for number in range(settings.budgets)]
    times = sorted(rng.uniform(0.0, settings.length_s) for _ in range(settings.requests))
    requests = tuple(_request(settings, rng, at, names, weights) for at in times)
    demand = dict.fromkeys(names, 0)
    for request in requests:
        demand[request.budget] += request.cost
    return Trace(requests, demand)


def _budget_weights(count: int) -> list[float]:
    large = [LARGE_PART / LARGE_BUDGETS] * LARGE_BUDGETS
    small = count - LARGE_BUDGETS
    return large + [(1.0 - LARGE_PART) / small] * small


def _request(
    settings: TraceSettings,
    rng: random.Random,
    at: float,
    names: list[str],
    weights: list[float],
) -> TraceRequest:
    turned = settings.turns and at >= TURN_AT_S
    parts = settings.zone_parts[::-1] if turned else settings.zone_parts
    zone = rng.choices(range(len(parts)), parts)[0]
    host = rng.choices(range(len(settings.host_parts)), settings.host_parts)[0]
    cost = 1 + int(rng.lognormvariate(0.0, settings.cost_sigma) * settings.cost_mean)
    bound = int(cost * rng.uniform(1.0, RESERVATION_FACTOR)) + 1
    takes = min(60.0, rng.lognormvariate(0.0, 0.7) * 4.0)
    return TraceRequest(at, takes, zone, host, rng.choices(names, weights)[0], cost, bound)
