"""Error budgets and burn rates of service-level objectives."""

from __future__ import annotations

from typing import NamedTuple

from mulberrycleat.burn.merge import Group, Total, merge
from mulberrycleat.burn.model import Interval
from mulberrycleat.manifest import Objective

__all__ = ["ALERTS", "Alert", "Burn", "Window", "assess", "burn_rate"]

MINUTE_S = 60.0
HOUR_S = 3600.0
DAY_S = 86400.0


class Alert(NamedTuple):
    """An alert rule over two windows; it fires if the burn rate of both is at least `rate`.

    Attributes
    ----------
    rate : float
        Multiple of the burn rate that would use up the error budget in exactly 30 days.
    long_s, short_s : float
        Window lengths in seconds. The short window ends the alert soon after the burn has ended.
    """

    name: str
    rate: float
    long_s: float
    short_s: float


ALERTS = (
    Alert("page", 14.4, HOUR_S, 5 * MINUTE_S),
    Alert("page", 6.0, 6 * HOUR_S, 30 * MINUTE_S),
    Alert("ticket", 1.0, 3 * DAY_S, 6 * HOUR_S),
)


class Window(NamedTuple):
    """Burn rate over the last `length_s` seconds.

    Attributes
    ----------
    good, all : int
        Number of good events and of all events.
    rate : float
        Fraction of bad events divided by the fraction that the target allows.
    """

    length_s: float
    good: int
    all: int
    rate: float


class Burn(NamedTuple):
    """Burn of one objective for one group.

    Attributes
    ----------
    good, all : int
        Number of good events and of all events in all known intervals.
    left : float
        Fraction of the error budget that is left over all known intervals; negative if overdrawn.
    windows : tuple of Window
        Windows from the shortest to the longest.
    alerts : tuple of str
        Firing alerts, such as ``page: 14.4 over 3600 s and 300 s``.
    """

    group: Group
    objective: Objective
    good: int
    all: int
    left: float
    windows: tuple[Window, ...]
    alerts: tuple[str, ...]


def burn_rate(good: int, all_events: int, target: float) -> float:
    """Return the fraction of bad events divided by the fraction that `target` allows.

    Without events, return 0.

    >>> round(burn_rate(good=90, all_events=100, target=0.95), 9)
    2.0
    """
    if not all_events:
        return 0.0
    return (all_events - good) / all_events / (1 - target)


def assess(intervals: list[Interval], objectives: tuple[Objective, ...], now: float) -> list[Burn]:
    """Return the burn of each objective for each group of its pool that has events.

    The windows end at `now`, in Unix seconds.
    """
    all_totals = merge(intervals)
    lengths = sorted({length for alert in ALERTS for length in (alert.long_s, alert.short_s)})
    window_totals = {length: merge(intervals, now - length, now) for length in lengths}
    found: list[Burn] = []
    for objective in objectives:
        for group in sorted(all_totals):
            if group.pool == objective.pool:
                found.append(_assess_group(group, objective, all_totals[group], window_totals))
    return [burn for burn in found if burn.all]


def _assess_group(
    group: Group,
    objective: Objective,
    total: Total,
    window_totals: dict[float, dict[Group, Total]],
) -> Burn:
    good, all_events = total.events(objective.measure, objective.bound_s)
    windows = tuple(
        _window(length, found.get(group, Total()), objective)
        for length, found in window_totals.items()
    )
    left = 1.0 - burn_rate(good, all_events, objective.target)
    return Burn(group, objective, good, all_events, left, windows, _firing_alerts(windows))


def _window(length_s: float, total: Total, objective: Objective) -> Window:
    good, all_events = total.events(objective.measure, objective.bound_s)
    return Window(length_s, good, all_events, burn_rate(good, all_events, objective.target))


def _firing_alerts(windows: tuple[Window, ...]) -> tuple[str, ...]:
    rates = {window.length_s: window.rate for window in windows}
    return tuple(
        f"{alert.name}: {alert.rate:g} over {alert.long_s:g} s and {alert.short_s:g} s"
        for alert in ALERTS
        if min(rates[alert.long_s], rates[alert.short_s]) >= alert.rate
    )
