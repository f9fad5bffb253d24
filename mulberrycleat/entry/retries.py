"""This host's part of the fleet's retry budget. Free of I/O."""

from __future__ import annotations

from collections import deque

from mulberrycleat.entry.settings import FleetRequirements

__all__ = ["FleetRetryBudget"]

# Fraction of the allowed retries that is used. The rest is a margin, because this host and the
# endpoints do not see the same request at the same time.
USED_SHARE = 0.85


class FleetRetryBudget:
    """Limits the retries to each pool in a sliding window.

    The fleet keeps to the allowed ratio of retries to requests if each host does so for its own
    requests. The slack is a number for all hosts together, so each host uses an equal part of the
    slack. Until the number of hosts is known, a host uses none of it.

    Parameters
    ----------
    bounds : FleetRequirements
        The budget of the whole fleet.

    Examples
    --------
    >>> budget = FleetRetryBudget(FleetRequirements(retry_share=0.2, retry_slack=9.0))
    >>> budget.set_hosts(9)
    >>> [budget.try_take("huts", now=0.0) for _ in range(2)]
    [False, False]
    >>> for _ in range(10):
    ...     budget.record_request("huts", now=1.0)
    >>> [budget.try_take("huts", now=1.0) for _ in range(3)]
    [True, True, False]
    >>> for _ in range(10):
    ...     budget.record_request("huts", now=1.0)
    >>> budget.try_take("huts", now=1.0, share=0.5), budget.try_take("huts", now=1.0)
    (False, True)
    """

    def __init__(self, bounds: FleetRequirements) -> None:
        self._bounds = bounds
        self._hosts: int | None = None
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    @property
    def pools(self) -> tuple[str, ...]:
        """Names of the pools that have received requests."""
        return tuple(self._requests)

    def apply_bounds(self, bounds: FleetRequirements) -> None:
        """Use another budget of the fleet from now on."""
        self._bounds = bounds

    def set_hosts(self, hosts: int) -> None:
        """Set the number of hosts that share the slack."""
        self._hosts = max(1, hosts)

    def record_request(self, pool: str, now: float) -> None:
        """Count a request of a caller to a pool."""
        self._requests.setdefault(pool, deque()).append(now)

    def left(self, pool: str, now: float, share: float = 1.0) -> float:
        """Return the number of retries still allowed, which may be fractional or negative.

        `share` is the fraction of all allowed retries up to which they may be used.
        """
        requests = self._count_recent(self._requests, pool, now)
        retries = self._count_recent(self._retries, pool, now)
        bounds = self._bounds
        slack = bounds.retry_slack / self._hosts if self._hosts else 0.0
        allowed = bounds.retry_share * requests + slack
        return allowed * USED_SHARE * share - retries

    def try_take(self, pool: str, now: float, share: float = 1.0) -> bool:
        """Count a retry and return True, or return False if the budget or `share` allows none."""
        if self.left(pool, now, share) < 1:
            return False
        self._retries.setdefault(pool, deque()).append(now)
        return True

    def _count_recent(self, times: dict[str, deque[float]], pool: str, now: float) -> int:
        found = times.get(pool)
        if found is None:
            return 0
        while found and found[0] <= now - self._bounds.retry_window_s:
            found.popleft()
        return len(found)
