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
    """A rule of several windows: it fires when both burn at least as fast as `rate`.

    Attributes
    ----------
    rate : float
        Multiple of the burn that would use up the error budget just at the end of 30 days.
    long_s, short_s : float
        Windows in seconds; the short one ends the alert soon after the burn has ended.
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
    """Burn over the last `length_s` seconds.

    Attributes
    ----------
    good, all : int
        Events.
    rate : float
        Share of bad events over the share that the target allows.
    """

    length_s: float
    good: int
    all: int
    rate: float


class Burn(NamedTuple):
    """One objective of one group.

    Attributes
    ----------
    left : float
        Part of the error budget that is left over all that is known, below 0 when overdrawn.
    windows : tuple of Window
        From the shortest to the longest.
    alerts : tuple of str
        Those that fire, such as ``page: 14.4 over 3600 s and 300 s``.
    """

    group: Group
    objective: Objective
    good: int
    all: int
    left: float
    windows: tuple[Window, ...]
    alerts: tuple[str, ...]


def burn_rate(good: int, all_events: int, target: float) -> float:
    """Return the share of bad events over the share that `target` allows.

    >>> round(burn_rate(good=90, all_events=100, target=0.95), 9)
    2.0
    """
    if not all_events:
        return 0.0
    return (all_events - good) / all_events / (1 - target)


def assess(intervals: list[Interval], objectives: tuple[Objective, ...], now: float) -> list[Burn]:
    """Return the burn of every objective for every group that has events."""
    whole = merge(intervals)
    lengths = sorted({length for alert in ALERTS for length in (alert.long_s, alert.short_s)})
    windows = {length: merge(intervals, now - length, now) for length in lengths}
    found: list[Burn] = []
    for objective in objectives:
        for group in sorted(whole):
            if group.pool == objective.pool:
                found.append(_assess_one(group, objective, whole[group], windows))
    return [burn for burn in found if burn.all]


def _assess_one(
    group: Group,
    objective: Objective,
    whole: Total,
    totals: dict[float, dict[Group, Total]],
) -> Burn:
    good, all_events = whole.events(objective.measure, objective.bound_s)
    windows = tuple(
        _window(length, found.get(group, Total()), objective) for length, found in totals.items()
    )
    left = 1.0 - burn_rate(good, all_events, objective.target)
    return Burn(group, objective, good, all_events, left, windows, _firing(windows))


def _window(length_s: float, total: Total, objective: Objective) -> Window:
    good, all_events = total.events(objective.measure, objective.bound_s)
    return Window(length_s, good, all_events, burn_rate(good, all_events, objective.target))


def _firing(windows: tuple[Window, ...]) -> tuple[str, ...]:
    rates = {window.length_s: window.rate for window in windows}
    return tuple(
        f"{alert.name}: {alert.rate:g} over {alert.long_s:g} s and {alert.short_s:g} s"
        for alert in ALERTS
        if min(rates[alert.long_s], rates[alert.short_s]) >= alert.rate
    )
