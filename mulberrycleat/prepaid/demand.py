"""Demand for tokens, in tokens per second."""

from __future__ import annotations

import math

__all__ = ["LARGEST_REQUEST_DECAY", "TokenRate"]

# Time constant of the exponential decay of the mean, in seconds; a few times the interval between
# requests of a typical account.
DECAY_TIME_S = 5.0
# Factor by which the remembered size of the largest request decays with each request.
LARGEST_REQUEST_DECAY = 0.9
# A mean over a shorter time is computed as if over this time, in seconds, so that the first
# requests don't lead to too high a rate.
MIN_OBSERVATION_S = 1.5


class TokenRate:
    """Exponentially decaying mean of tokens per second, unbiased from the first request on.

    Examples
    --------
    >>> rate = TokenRate()
    >>> for number in range(100):
    ...     rate.add(50, number * 0.1)
    >>> round(rate.at(10.0), -1)
    500.0
    """

    __slots__ = ("_largest", "_mean", "_updated_at", "_started_at")

    def __init__(self) -> None:
        self._mean = 0.0
        self._updated_at = float("-inf")
        self._started_at = 0.0
        self._largest = 0

    @property
    def largest(self) -> int:
        """Size of the largest recent request, in tokens."""
        return self._largest

    def add(self, tokens: int, now: float) -> None:
        """Add the tokens of a request."""
        if self._updated_at == float("-inf"):
            self._started_at = self._updated_at = now
        kept = math.exp(-max(0.0, now - self._updated_at) / DECAY_TIME_S)
        self._mean = self._mean * kept + tokens / DECAY_TIME_S
        self._largest = max(tokens, int(self._largest * LARGEST_REQUEST_DECAY))
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the tokens per second, corrected for the short time since the first request."""
        if self._updated_at == float("-inf"):
            return 0.0
        age_s = max(0.0, now - self._updated_at)
        observed_s = max(MIN_OBSERVATION_S, now - self._started_at)
        seen = 1 - math.exp(-observed_s / DECAY_TIME_S)
        return self._mean * math.exp(-age_s / DECAY_TIME_S) / seen
