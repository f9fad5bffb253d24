"""How many tokens a second are asked for."""

from __future__ import annotations

import math

__all__ = ["TokenRate"]

# Memory of the mean, in seconds; a few times the spacing of requests of a usual account.
RATE_KEPT_S = 5.0
# Part of the largest request that is remembered from one request to the next.
LARGEST_KEPT = 0.9
# A mean over less than this time is not trusted to be higher, in seconds.
LEAST_KNOWN_S = 1.5


class TokenRate:
    """Exponentially fading mean of tokens a second, right from the first request on.

    Examples
    --------
    >>> rate = TokenRate()
    >>> for number in range(100):
    ...     rate.note(50, number * 0.1)
    >>> round(rate.at(10.0), -1)
    500.0
    """

    __slots__ = ("_largest", "_mean", "_noted_at", "_since")

    def __init__(self) -> None:
        self._mean = 0.0
        self._noted_at = float("-inf")
        self._since = 0.0
        self._largest = 0

    @property
    def largest(self) -> int:
        """Size of the largest request lately, in tokens."""
        return self._largest

    def note(self, tokens: int, now: float) -> None:
        """Count a request."""
        if self._noted_at == float("-inf"):
            self._since = self._noted_at = now
        kept = math.exp(-max(0.0, now - self._noted_at) / RATE_KEPT_S)
        self._mean = self._mean * kept + tokens / RATE_KEPT_S
        self._largest = max(tokens, int(self._largest * LARGEST_KEPT))
        self._noted_at = now

    def at(self, now: float) -> float:
        """Return the tokens a second, also before the mean could settle."""
        if self._noted_at == float("-inf"):
            return 0.0
        age_s = max(0.0, now - self._noted_at)
        known_s = max(LEAST_KNOWN_S, now - self._since)
        seen = 1 - math.exp(-known_s / RATE_KEPT_S)
        return self._mean * math.exp(-age_s / RATE_KEPT_S) / seen
