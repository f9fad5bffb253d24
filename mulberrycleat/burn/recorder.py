"""Recording of a router's answers in intervals."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

import trio
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result

from mulberrycleat.burn.histogram import encode, new_histogram, record
from mulberrycleat.burn.model import Interval, Series
from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, new_id
from mulberrycleat.settings import RouterSettings

__all__ = ["LiveSeries", "Recorder"]


class LiveSeries:
    """Counts and histograms of the answers to one client account at one pool in one interval."""

    def __init__(self, account: str, pool: str) -> None:
        self._account = account
        self._pool = pool
        self._served = 0
        self._refused: Counter[str] = Counter()
        self._in_doubt: Counter[str] = Counter()
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, measure: str, duration_s: float) -> None:
        """Record a duration in seconds for a measure, one of ``MEASURES``."""
        histogram = self._histograms.get(measure)
        if histogram is None:
            histogram = self._histograms[measure] = new_histogram()
        record(histogram, duration_s)

    def count_outcome(self, outcome: Result[Served, Refusal]) -> None:
        """Count a request by its outcome."""
        match outcome:
            case Ok(_):
                self._served += 1
            case Err(NotRun(code=code)):
                self._refused[code] += 1
            case Err(MayHaveRun(code=code)):
                self._in_doubt[code] += 1

    def snapshot(self) -> Series:
        """Return the counts and histograms so far, encoded."""
        return Series(
            self._account,
            self._pool,
            self._served,
            dict(self._refused),
            dict(self._in_doubt),
            {measure: encode(histogram) for measure, histogram in self._histograms.items()},
        )


class Recorder:
    """Records answers in the current interval and keeps the latest closed intervals, encoded.

    Parameters
    ----------
    settings : RouterSettings
        Name and zone of the host, length of intervals, and number of closed intervals to keep.
    now : callable
        Function that returns Unix time in seconds.
    """

    def __init__(self, settings: RouterSettings, now: Callable[[], float]) -> None:
        self._settings = settings
        self._now = now
        self._router = new_id()
        self._number = 0
        self._start = now()
        self._live: dict[tuple[str, str], LiveSeries] = {}
        self._closed: deque[Interval] = deque(maxlen=settings.burn_intervals)

    async def run(self) -> None:
        """Close the current interval every `burn_interval_s` seconds."""
        while True:
            await trio.sleep(self._settings.burn_interval_s)
            self.close()

    def series(self, account: str, pool: str) -> LiveSeries:
        """Return the series of an account and pool in the current interval; add it if missing."""
        key = (account, pool)
        found = self._live.get(key)
        if found is None:
            found = self._live[key] = LiveSeries(account, pool)
        return found

    def close(self) -> None:
        """Close the current interval and begin the next; an interval without series is dropped."""
        interval = self._current()
        if interval.series:
            self._closed.append(interval)
        self._live = {}
        self._number += 1
        self._start = interval.end

    def intervals(self) -> tuple[Interval, ...]:
        """Return the retained intervals and the current one as recorded so far."""
        return (*self._closed, self._current())

    def _current(self) -> Interval:
        host = self._settings.host
        series = tuple(live.snapshot() for live in self._live.values())
        return Interval(
            host.name, host.zone, self._router, self._number, self._start, self._now(), series
        )
