"""Virtual clock that runs callbacks in the order of their times."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["Clock"]


class Clock:
    """Virtual clock, in seconds, that runs scheduled callbacks.

    Callbacks for the same time run in the order in which they were scheduled.

    Examples
    --------
    >>> clock = Clock()
    >>> clock.after(2.0, lambda: print("late"))
    >>> clock.after(1.0, lambda: print("early"))
    >>> clock.run_until(3.0)
    early
    late
    >>> clock.now
    3.0
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._sequence = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Current virtual time, in seconds."""
        return self._now

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule `call` to run `delay_s` seconds after the current virtual time."""
        heapq.heappush(self._events, (self._now + delay_s, next(self._sequence), call))

    def run_until(self, end: float) -> None:
        """Run all callbacks due by `end`, then set the clock to `end`."""
        while self._events and self._events[0][0] <= end:
            self._now, _, call = heapq.heappop(self._events)
            call()
        self._now = end
