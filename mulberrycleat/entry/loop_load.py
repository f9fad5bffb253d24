"""How busy the event loop is, and how long events of streams are gathered because of it.

Each wake-up of the process costs processor time, whatever it is for. A host that is short of it
forwards the events of its streams together, at common times, as network cards moderate interrupts
under load (Mogul and Ramakrishnan, 1997). With time to spare it forwards each at once.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

__all__ = ["EventPacing", "LoopLoad"]

# Time over which the load is measured, in seconds: some tens of wake-ups of a host with few
# requests.
WINDOW_S = 0.2
# Weight of a new measurement; bursts of the length of one window change the pacing by half.
GAIN = 0.5
# Events are gathered from the first load on, for longer up to the second one: above three quarters
# the time until a task runs rises steeply.
LOAD_FROM, LOAD_TO = 0.6, 0.9
# Longest time for which events are gathered, as a share of the time that a host may take to pass an
# event on; the rest is for the delay of a busy event loop.
GATHER_SHARE = 0.3


class LoopLoad(trio.abc.Instrument):
    """Measures the share of time in which the event loop does not wait for anything.

    A process that does not get the processor does not wait either, so that the load of a host that
    has used up its share of a processor is near 1.

    Parameters
    ----------
    clock : callable, optional
        Returns the time in seconds, by default on trio's clock.
    """

    def __init__(self, clock: Callable[[], float] = trio.current_time) -> None:
        self._clock = clock
        self._load = 0.0
        self._began_at = math.nan
        self._wait_began_at = math.nan
        self._waited_s = 0.0

    @property
    def load(self) -> float:
        """The load, from 0 to 1, of the last few tenths of a second."""
        return self._load

    def before_io_wait(self, timeout: float) -> None:
        """Note that the loop begins to wait; called by trio."""
        self._wait_began_at = self._clock()

    def after_io_wait(self, timeout: float) -> None:
        """Note that the loop goes on; called by trio."""
        now = self._clock()
        if math.isnan(self._began_at):
            self._began_at = now
            return
        self._waited_s += now - self._wait_began_at
        elapsed_s = now - self._began_at
        if elapsed_s >= WINDOW_S:
            self._load += GAIN * (1.0 - self._waited_s / elapsed_s - self._load)
            self._began_at, self._waited_s = now, 0.0


class EventPacing:
    """Decides when the events of a stream that follow are read.

    Parameters
    ----------
    load : LoopLoad
        The load of the event loop.
    pass_s : callable
        Returns the time that a host may take to pass an event on, in seconds; 0 if none is stated,
        in which case events are never gathered.

    Examples
    --------
    >>> EventPacing(LoopLoad(), lambda: 0.2).next_read_at(3.0)
    3.0
    """

    def __init__(self, load: LoopLoad, pass_s: Callable[[], float]) -> None:
        self._load = load
        self._pass_s = pass_s

    @property
    def interval_s(self) -> float:
        """Time for which events are gathered now, in seconds; 0 if each is forwarded at once."""
        excess = (self._load.load - LOAD_FROM) / (LOAD_TO - LOAD_FROM)
        return GATHER_SHARE * self._pass_s() * min(max(excess, 0.0), 1.0)

    def next_read_at(self, now: float) -> float:
        """Return the time from which the next events are read, in seconds on trio's clock.

        Streams wait for common times, so that one wake-up serves many of them.
        """
        interval_s = self.interval_s
        if interval_s <= 0.0:
            return now
        # The interval differs from one event to the next; fractions of the longest one coincide.
        longest_s = GATHER_SHARE * self._pass_s()
        grid_s = longest_s / math.floor(longest_s / interval_s)
        return (math.floor(now / grid_s) + 1) * grid_s
