"""Adding up of intervals, of all hosts, over a span of time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from mulberrycleat.burn.histogram import count_within, decode, new_histogram
from mulberrycleat.burn.model import FALSE_REFUSALS, OWN_FAULTS, Interval, Series

__all__ = ["Group", "Total", "merge", "newest"]


class Group(NamedTuple):
    """Which answers to add up; an empty field stands for all."""

    account: str = ""
    pool: str = ""
    zone: str = ""


@dataclass(slots=True)
class Total:
    """Answers of one group.

    Attributes
    ----------
    served : int
        Answers in full.
    refused, in_doubt : Counter
        Refusals as not run and as may have run, by code.
    histograms : dict
        By measure.
    """

    served: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    in_doubt: Counter[str] = field(default_factory=Counter)
    histograms: dict[str, HdrHistogram] = field(default_factory=dict)

    @property
    def requests(self) -> int:
        """All requests that ended."""
        return self.served + self.refused.total() + self.in_doubt.total()

    @property
    def false_refusals(self) -> int:
        """Refusals of requests that could safely have run."""
        return sum(count for code, count in self.refused.items() if code in FALSE_REFUSALS)

    @property
    def failed(self) -> int:
        """Requests without an answer, the caller's own faults left out."""
        refused = sum(count for code, count in self.refused.items() if code not in OWN_FAULTS)
        return refused + self.in_doubt.total()

    def add(self, series: Series) -> None:
        """Add one series."""
        self.served += series.served
        self.refused.update(series.refused)
        self.in_doubt.update(series.in_doubt)
        for measure, text in series.histograms.items():
            histogram = self.histograms.setdefault(measure, new_histogram())
            histogram.add(decode(text))

    def events(self, measure: str, bound_s: float) -> tuple[int, int]:
        """Return good and all events of a measure.

        A request that failed is a bad event of the measures that count answers; between tokens
        only tokens count.
        """
        histogram = self.histograms.get(measure)
        recorded = histogram.get_total_count() if histogram else 0
        good = count_within(histogram, bound_s) if histogram else 0
        failed = 0 if measure == "between_tokens" else self.failed
        return good, recorded + failed


def newest(intervals: Iterable[Interval]) -> list[Interval]:
    """Return each interval once, in its latest form, in the order of time."""
    found: dict[tuple[str, int], Interval] = {}
    for interval in intervals:
        key = (interval.router, interval.number)
        if key not in found or interval.end > found[key].end:
            found[key] = interval
    return sorted(found.values(), key=lambda interval: (interval.start, interval.router))


def merge(
    intervals: Iterable[Interval], after: float = 0.0, until: float = float("inf")
) -> dict[Group, Total]:
    """Add up the intervals whose middle lies in (`after`, `until`], by account, pool and zone.

    Each series counts in its own group and in those of its account and pool over all zones, and of
    its pool over all accounts.
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
