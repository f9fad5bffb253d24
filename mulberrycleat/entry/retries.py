"""This host's part of the fleet's budget for sending a request once more. Free of I/O."""

from __future__ import annotations

from collections import deque

from mulberrycleat.entry.settings import FleetBounds

__all__ = ["FleetRetryBudget"]

# Part of the allowed repeats that is used, because arrivals and requests are not seen at the same
# time by this host and by the endpoints.
USED_SHARE = 0.85


class FleetRetryBudget:
    """Sends beyond the first one, bounded by pool over a sliding window.

    The share of requests that may be repeated can be counted on each host by itself. The slack is
    for all hosts together, and each takes its equal part of it.

    Parameters
    ----------
    bounds : FleetBounds
        The budget of the whole fleet.

    Examples
    --------
    >>> budget = FleetRetryBudget(FleetBounds(repeat_share=0.2, repeat_slack=9.0))
    >>> budget.set_hosts(9)
    >>> [budget.take("huts", now=0.0) for _ in range(2)]
    [False, False]
    >>> for _ in range(10):
    ...     budget.note_request("huts", now=1.0)
    >>> [budget.take("huts", now=1.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, bounds: FleetBounds) -> None:
        self._bounds = bounds
        self._hosts = 1
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    @property
    def pools(self) -> tuple[str, ...]:
        """Pools that got requests."""
        return tuple(self._requests)

    def set_hosts(self, hosts: int) -> None:
        """Take the number of hosts that share the slack."""
        self._hosts = max(1, hosts)

    def note_request(self, pool: str, now: float) -> None:
        """Count a caller's request."""
        self._requests.setdefault(pool, deque()).append(now)

    def left(self, pool: str, now: float) -> float:
        """Return how many repeats may be sent now."""
        requests = self._recent(self._requests, pool, now)
        repeats = self._recent(self._repeats, pool, now)
        bounds = self._bounds
        allowed = bounds.repeat_share * requests + bounds.repeat_slack / self._hosts
        return allowed * USED_SHARE - repeats

    def take(self, pool: str, now: float) -> bool:
        """Count a repeat; return False, and count none, when the budget has none left."""
        if self.left(pool, now) < 1:
            return False
        self._repeats.setdefault(pool, deque()).append(now)
        return True

    def _recent(self, times: dict[str, deque[float]], pool: str, now: float) -> int:
        found = times.get(pool)
        if found is None:
            return 0
        while found and found[0] <= now - self._bounds.repeat_window_s:
            found.popleft()
        return len(found)
