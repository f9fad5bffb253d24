"""When refused callers are asked to return. Free of I/O.

Each refused caller gets the next place in a schedule that advances at the rate at which the pool
serves requests, so that callers return one after the other, and those refused earlier come first.
"""

from __future__ import annotations

from random import Random

from mulberrycleat.endpoint.fair_shares import Flow

__all__ = ["ReturnTimes"]

# Shortest time until a return, in seconds: about the duration of one plain request.
MIN_RETURN_S = 0.05
# Callers wait for Retry-After up to this share of their remaining time (see the platform's page on
# requests). A later return would bring all of them back at that moment.
HONORED_SHARE = 1 / 3
# Share of a return time by which it varies at random, so that callers of several hosts, whose
# schedules don't know of each other, return apart.
JITTER = 0.25
# Part of the longest honored time over which the returns are spread that would come later.
SPREAD_SHARE = 0.5


class ReturnTimes:
    """Return times of the callers that one host refuses for one pool.

    Parameters
    ----------
    random : Random
        Source of the jitter.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._last_at: dict[Flow, float] = {}

    def next_s(self, flow: Flow, now: float, queue_s: float, rate: float, left_s: float) -> float:
        """Return the value of Retry-After for a caller that is refused now, in seconds.

        Parameters
        ----------
        flow : Flow
            Flow of the request. Each has a schedule of its own.
        queue_s : float
            Time until the requests that wait now have been served, in seconds.
        rate : float
            Requests that are served per second; 0 if not known.
        left_s : float
            Time until the caller's deadline, in seconds.
        """
        honored_s = HONORED_SHARE * max(0.0, left_s)
        spacing_s = 1.0 / rate if rate > 0 else MIN_RETURN_S
        return_at = max(now + queue_s + MIN_RETURN_S, self._last_at.get(flow, now) + spacing_s)
        return_s = (return_at - now) * (1 + JITTER * self._random.random())
        if return_s > honored_s:
            # The schedule is not moved on: a place that its caller can't use stays free.
            return honored_s * (1 - SPREAD_SHARE * self._random.random())
        self._last_at[flow] = return_at
        return return_s
