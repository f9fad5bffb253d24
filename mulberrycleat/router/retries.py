"""Retry budgets and backoff: when a request may be retried."""

from __future__ import annotations

import random

import trio

__all__ = ["RetryBudget", "RetryPolicy"]

RETRY_SHARE = 0.2
ACCOUNT_BURST = 20.0
POOL_BURST = 60.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Token bucket: each request adds `share` tokens, each retry removes one.

    Parameters
    ----------
    share : float
        Retries allowed per request on average.
    burst : float
        Capacity in tokens, which limits the number of retries in a row; the bucket starts full.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> budget.consume()
    >>> budget.available
    False
    """

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def available(self) -> bool:
        """Whether the budget allows a retry."""
        return self._tokens >= 1

    def record_request(self) -> None:
        """Count the first attempt of a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def consume(self) -> None:
        """Remove the token of one retry, without a check of :attr:`available`."""
        self._tokens -= 1


class RetryPolicy:
    """Retry budgets by client account and by pool, and the backoff before each retry.

    Budgets are created at first use and never removed. Their number is bounded, since requests name
    only accounts and pools of a manifest.

    Parameters
    ----------
    source : random.Random, optional
        Random number generator for the jitter of the backoff.
    """

    def __init__(self, source: random.Random | None = None) -> None:
        self._random = source or random.Random()
        self._accounts: dict[str, RetryBudget] = {}
        self._pools: dict[str, RetryBudget] = {}

    def record_request(self, account: str, pool: str) -> None:
        """Count the first attempt of a request."""
        for budget in self._budgets(account, pool):
            budget.record_request()

    def try_consume(self, account: str, pool: str) -> bool:
        """Use one retry of both budgets; if either allows none, change neither and return False."""
        budgets = self._budgets(account, pool)
        if not all(budget.available for budget in budgets):
            return False
        for budget in budgets:
            budget.consume()
        return True

    def backoff_s(self, retry: int) -> float:
        """Return the backoff before retry number `retry` (counted from 1) in seconds.

        The backoff is random, up to a limit that doubles with each retry until ``MAX_BACKOFF_S``.
        """
        limit_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (retry - 1))
        return self._random.uniform(0, limit_s)

    async def wait(self, retry: int, deadline: float) -> bool:
        """Wait before a retry; return False at once if the wait would end after `deadline`.

        `deadline` is in seconds on trio's clock.
        """
        wait_s = self.backoff_s(retry)
        if trio.current_time() + wait_s >= deadline:
            return False
        await trio.sleep(wait_s)
        return True

    def _budgets(self, account: str, pool: str) -> tuple[RetryBudget, RetryBudget]:
        return (
            _budget(self._accounts, account, ACCOUNT_BURST),
            _budget(self._pools, pool, POOL_BURST),
        )


def _budget(budgets: dict[str, RetryBudget], name: str, burst: float) -> RetryBudget:
    if name not in budgets:
        budgets[name] = RetryBudget(RETRY_SHARE, burst)
    return budgets[name]
