"""Aggregation of the intervals of all hosts over a time range."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from mulberrycleat.burn.histogram import count_within, decode, new_histogram
from mulberrycleat.burn.model import CALLER_FAULTS, FALSE_REFUSALS, Interval, Series

__all__ = ["Group", "Total", "latest_intervals", "merge"]


class Group(NamedTuple):
    """Key by which answers are aggregated; an empty field stands for all values."""

    account: str = ""
    pool: str = ""
    zone: str = ""


@dataclass(slots=True)
class Total:
    """Aggregated answers of one group.

    Attributes
    ----------
    served : int
        Requests that got a complete answer.
    refused, in_doubt : Counter
        Number of refusals by code: of requests that did not run, and of those that may have run.
    histograms : dict
        Histogram of durations by measure.
    """

    served: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    in_doubt: Counter[str] = field(default_factory=Counter)
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)

    @property
    def requests(self) -> int:
        """Number of requests that ended: served, refused or in doubt."""
        return self.served + self.refused.total() + self.in_doubt.total()

    @property
    def false_refusals(self) -> int:
        """Number of refusals of requests that could safely have run."""
        return sum(count for code, count in self.refused.items() if code in FALSE_REFUSALS)

    @property
    def failed(self) -> int:
        """Number of requests without a complete answer, except refusals that the caller caused."""
        refused = sum(count for code, count in self.refused.items() if code not in CALLER_FAULTS)
        return refused + self.in_doubt.total()

    def add(self, series: Series) -> None:
        """Add the counts and histograms of a series."""
        self.served += series.served
        self.refused.update(series.refused)
        self.in_doubt.update(series.in_doubt)
        for measure, text in series.histograms.items():
            histogram = self.histograms.setdefault(measure, new_histogram())
            histogram.add(decode(text))

    def events(self, measure: str, bound_s: float) -> tuple[int, int]:
        """Return the number of good events and of all events of a measure.

        A failed request is a bad event of the measures that count answers. ``between_tokens``
        counts gaps between tokens, so failed requests are not counted.
        """
        histogram = self.histograms.get(measure)
        recorded = histogram.get_total_count() if histogram else 0
        good = count_within(histogram, bound_s) if histogram else 0
        failed = 0 if measure == "between_tokens" else self.failed
        return good, recorded + failed


def latest_intervals(intervals: Iterable[Interval]) -> list[Interval]:
    """Return the latest version of each interval, ordered by start time."""
    found: dict[tuple[str, int], Interval] = {}
    for interval in intervals:
        key = (interval.router, interval.number)
        if key not in found or interval.end > found[key].end:
            found[key] = interval
    return sorted(found.values(), key=lambda interval: (interval.start, interval.router))


def merge(
    intervals: Iterable[Interval], after: float = 0.0, until: float = float("inf")
) -> dict[Group, Total]:
    """Aggregate by group the intervals whose midpoint lies in (`after`, `until`] (Unix seconds).

    Each series counts in three groups: that of its account, pool and zone; that of its account and
    pool over all zones; and that of its pool over all accounts and zones.
    """
    totals: dict[Group, Total] = {}
    for interval in intervals:
        if not after < (interval.start + interval.end) / 2 <= until:
            continue
        for series in interval.series:
            for group in _groups(series, interval.zone):
                totals.setdefault(group, Total()).add(series)
    return totals


def _groups(series: Series, zone: str) -> tuple[Group, ...]:
    return (
        Group(series.account, series.pool, zone),
        Group(series.account, series.pool),
        Group("", series.pool),
    )
