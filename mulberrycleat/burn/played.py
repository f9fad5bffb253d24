"""Intervals and burn reports from the decision logs of entry hosts, of replayed or past days."""

from __future__ import annotations

from collections.abc import Iterable

from result import Err, Ok, Result

from mulberrycleat.burn.merge import merge
from mulberrycleat.burn.model import MEASURES, Interval
from mulberrycleat.burn.objective import assess
from mulberrycleat.burn.recorder import LiveSeries
from mulberrycleat.burn.report import Report
from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.explain import LogRecord
from mulberrycleat.manifest import Objective

__all__ = ["intervals_from_log", "parse_objectives", "report_from_log"]

# Interval length in seconds. It is short because a replayed day lasts about a minute.
INTERVAL_S = 10.0
END_MESSAGES = ("served", "refused")
# Names for requests without an account or route; in a group, an empty name stands for all values.
NO_ACCOUNT, NO_ROUTE = "no account", "no route"


def intervals_from_log(lines: Iterable[LogRecord], length_s: float = INTERVAL_S) -> list[Interval]:
    """Return the intervals of each host, built from the log lines that report a request's end.

    The route in a line is used as the pool of its series. An answer without a first-token time was
    sent in one piece; its total time is recorded as its first-token time. A line that states no
    time, as one cut short, counts for the outcome only.
    """
    found: dict[tuple[str, str, int], dict[tuple[str, str], LiveSeries]] = {}
    for line in lines:
        if line.message not in END_MESSAGES:
            continue
        zone = str(line.fields.get("zone", ""))
        account = str(line.fields.get("account") or NO_ACCOUNT)
        route = str(line.fields.get("route") or NO_ROUTE)
        interval = found.setdefault((line.host, zone, int(line.at // length_s)), {})
        series = interval.setdefault((account, route), LiveSeries(account, route))
        series.count_outcome(_outcome(line))
        if line.message == "served":
            total_s = _seconds(line, "took_s")
            first_s = _seconds(line, "first_s")
            if total_s is not None:
                series.record("first_token", total_s if first_s is None else first_s)
                series.record("whole_answer", total_s)
    return [
        Interval(
            host,
            zone,
            host,
            number,
            number * length_s,
            (number + 1) * length_s,
            tuple(series.snapshot() for series in interval.values()),
        )
        for (host, zone, number), interval in sorted(found.items())
    ]


def parse_objectives(text: str, routes: Iterable[str]) -> list[Objective]:
    """Parse ``[ROUTE:]MEASURE:BOUND_S:TARGET`` into objectives.

    Without ROUTE, return one objective for each of `routes`.

    Raises
    ------
    ValueError
        If the text has another form, an unknown measure, or an invalid number.

    Examples
    --------
    >>> [one.bound_s for one in parse_objectives("first_token:0.6:0.95", ["ask", "find"])]
    [0.6, 0.6]
    """
    parts = text.split(":")
    if len(parts) not in (3, 4):
        raise ValueError(f"objective {text!r}: expected the form [ROUTE:]MEASURE:BOUND_S:TARGET")
    *route, measure, bound, target = parts
    if measure not in MEASURES:
        known = ", ".join(MEASURES)
        raise ValueError(f"objective {text!r}: measure {measure!r} is not one of {known}")
    try:
        bound_s, share = float(bound), float(target)
    except ValueError as error:
        raise ValueError(f"objective {text!r}: {error}") from error
    if bound_s <= 0 or not 0 < share < 1:
        raise ValueError(
            f"objective {text!r}: the bound must be above 0, the target between 0 and 1"
        )
    return [Objective(name, measure, bound_s, share) for name in (route or routes)]


def report_from_log(lines: Iterable[LogRecord], objectives: Iterable[str]) -> Report:
    """Return the burn report of a decision log, without budgets.

    `objectives` are texts in the form that :func:`parse_objectives` reads.

    Raises
    ------
    ValueError
        If an objective cannot be parsed.
    """
    intervals = intervals_from_log(lines)
    totals = merge(intervals)
    routes = sorted({group.pool for group in totals if group.pool})
    parsed = tuple(one for text in objectives for one in parse_objectives(text, routes))
    start = min((interval.start for interval in intervals), default=0.0)
    end = max((interval.end for interval in intervals), default=0.0)
    return Report(start, end, totals, assess(intervals, parsed, end), [])


def _seconds(line: LogRecord, field: str) -> float | None:
    """Return a time of a log line in seconds, or None if the line has none."""
    value = line.fields.get(field)
    return float(value) if isinstance(value, int | float) else None


def _outcome(line: LogRecord) -> Result[Served, Refusal]:
    if line.message == "served":
        return Ok(Served(0, str(line.fields.get("endpoint", ""))))
    code = str(line.fields.get("code", ""))
    kind = NotRun if line.fields.get("ran") == "not_run" else MayHaveRun
    return Err(kind(Step.RECEIVE, "", "", code=code))
