"""Shares of the demand that are admitted while a pool is overloaded. Free of I/O.

Capacity goes to the most urgent priority first; what is left goes to the next. Within the priority
at which it runs out, the accounts share it max-min fairly, as in weighted fair queueing: an account
that asks for less than its part gets all of it, and the others share the rest equally. Demand and
capacity are work, and the requests of one account are admitted alike whatever their size.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["Flow", "PoolShares", "fair_shares", "max_min_level"]


class Flow(NamedTuple):
    """Requests of one priority, 0 is the most urgent, and one account; "" on anonymous routes."""

    priority: int
    account: str


class PoolShares(NamedTuple):
    """Admitted share of each flow.

    Attributes
    ----------
    cut : int or None
        Priority at which the capacity runs out: more urgent requests are all admitted, less urgent
        ones are not. None if the capacity covers the demand.
    limited : dict of str to float
        Shares of the accounts at the priority `cut` that ask for more than their part.
    """

    cut: int | None = None
    limited: Mapping[str, float] = {}

    def share(self, flow: Flow) -> float:
        """Return the share of a flow's requests that is admitted, from 0 to 1."""
        if self.cut is None or flow.priority < self.cut:
            return 1.0
        if flow.priority > self.cut:
            return 0.0
        return self.limited.get(flow.account, 1.0)


def fair_shares(demand: Mapping[Flow, float], capacity: float) -> PoolShares:
    """Return the shares that are admitted.

    Parameters
    ----------
    demand : mapping of Flow to float
        Work that callers ask for at all hosts, per second.
    capacity : float
        Work that the pool completes per second.

    Examples
    --------
    >>> shares = fair_shares({Flow(0, "a"): 60.0, Flow(0, "b"): 3.0, Flow(0, "c"): 3.0}, 30.0)
    >>> [shares.share(Flow(0, account)) for account in "abc"]
    [0.4, 1.0, 1.0]
    >>> shares = fair_shares({Flow(0, "a"): 15.0, Flow(2, "a"): 45.0}, 30.0)
    >>> [round(shares.share(Flow(priority, "a")), 2) for priority in (0, 2, 3)]
    [1.0, 0.33, 0.0]
    """
    left = max(0.0, capacity)
    for priority in sorted({flow.priority for flow in demand}):
        asked = {f.account: rate for f, rate in demand.items() if f.priority == priority}
        total = sum(asked.values())
        if total <= left:
            left -= total
            continue
        level = max_min_level(asked.values(), left)
        limited = {name: level / rate for name, rate in asked.items() if rate > level}
        return PoolShares(priority, limited)
    return PoolShares()


def max_min_level(asked: Iterable[float], capacity: float) -> float:
    """Return the most that any of those who ask gets, so that together they get `capacity`.

    >>> max_min_level([60.0, 3.0, 3.0], 30.0)
    24.0
    """
    remaining = sorted(asked)
    left = capacity
    while remaining:
        level = left / len(remaining)
        if remaining[0] > level:
            return level
        left -= remaining.pop(0)
    return float("inf")
