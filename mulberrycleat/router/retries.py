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
    """Token bucket: each request adds `share` tokens, each retry takes one.

    Parameters
    ----------
    share : float
        Retries allowed per request on average.
    burst : float
        Largest number of tokens, hence of retries in a row after a time without retries.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> budget.take()
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

    def take(self) -> None:
        """Take the token of one retry."""
        self._tokens -= 1


class RetryPolicy:
    """Retry budgets by client account and by pool, and the backoff before each retry.

    Only accounts and pools of the manifest occur here, which bounds the number of budgets.

    Parameters
    ----------
    source : random.Random
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

    def take(self, account: str, pool: str) -> bool:
        """Take one retry from both budgets; return False if either allows none."""
        budgets = self._budgets(account, pool)
        if not all(budget.available for budget in budgets):
            return False
        for budget in budgets:
            budget.take()
        return True

    def backoff_s(self, retry: int) -> float:
        """Return the backoff before retry number `retry` (counted from 1) in seconds."""
        bound = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (retry - 1))
        return self._random.uniform(0, bound)

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
