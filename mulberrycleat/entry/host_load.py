"""Refusals of a host that is short of CPU time, by the delays of its event loop. Free of I/O."""

from __future__ import annotations

from random import Random

__all__ = ["HostLoad"]

# Delay from which requests are refused, in seconds. A request takes about four passes of the event
# loop, which together take a plain request's shortest time limit, 1.1 s, at this delay.
MAX_DELAY_S = 0.25
# Measured delays of which the shortest counts. One long delay is a freeze that has ended.
COUNTED_DELAYS = 2


class HostLoad:
    """Whether a host refuses new requests, because it could not handle them in time.

    Parameters
    ----------
    random : Random
        Source of the choice which requests are refused.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._delays_s = [0.0] * COUNTED_DELAYS
        self._refused = 0

    @property
    def refused(self) -> int:
        """Number of requests refused so far."""
        return self._refused

    @property
    def delay_s(self) -> float:
        """Delay of the event loop that has lasted, in seconds."""
        return min(self._delays_s)

    def record_delay(self, delay_s: float) -> None:
        """Record a measured delay of the event loop."""
        self._delays_s = [*self._delays_s[1:], delay_s]

    def refuses(self) -> bool:
        """Whether the next request is refused: as many as bring the delay down to the bound."""
        delay_s = self.delay_s
        if delay_s <= MAX_DELAY_S:
            return False
        is_refused = self._random.random() >= MAX_DELAY_S / delay_s
        self._refused += is_refused
        return is_refused
