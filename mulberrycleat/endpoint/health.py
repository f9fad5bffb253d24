"""Ejection of a failing endpoint, and its gradual return to use."""

from __future__ import annotations

from enum import Enum

__all__ = ["Health", "Standing"]

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
SUCCESSES_TO_RETURN = 3


class Standing(Enum):
    """Whether an endpoint may be sent requests."""

    GOOD = "good"
    EJECTED = "ejected"
    TRIAL = "trial"


class Health:
    """Outcomes of the requests of one router at one endpoint.

    After ``FAILURES_TO_EJECT`` failures in a row the endpoint is ejected for a time that doubles
    with each ejection. Then it is on trial: it gets one request at a time until
    ``SUCCESSES_TO_RETURN`` of them have succeeded. A failure on trial ejects it again.

    Examples
    --------
    >>> health = Health()
    >>> for _ in range(3):
    ...     health.record_failure(now=10.0)
    >>> health.standing(10.5), health.standing(11.5)
    (<Standing.EJECTED: 'ejected'>, <Standing.TRIAL: 'trial'>)
    """

    def __init__(self) -> None:
        self._failures = 0
        self._successes = 0
        self._ejections = 0
        self._ejected_until = 0.0

    @property
    def failures(self) -> int:
        """Failures since the last success."""
        return self._failures

    def standing(self, now: float) -> Standing:
        """Return whether the endpoint may be sent requests at time `now`, in seconds."""
        if not self._ejections:
            return Standing.GOOD
        return Standing.EJECTED if now < self._ejected_until else Standing.TRIAL

    def record_failure(self, now: float) -> None:
        """Record a failed request, or a stream that stalled."""
        self._failures += 1
        self._successes = 0
        on_trial = self._ejections > 0 and now >= self._ejected_until
        if on_trial or (not self._ejections and self._failures >= FAILURES_TO_EJECT):
            length_s = min(FIRST_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
            self._ejections += 1
            self._ejected_until = now + length_s

    def record_success(self, now: float) -> None:
        """Record a full response; one that arrives during an ejection doesn't shorten it."""
        self._failures = 0
        if not self._ejections or now < self._ejected_until:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_TO_RETURN:
            self._ejections = 0
