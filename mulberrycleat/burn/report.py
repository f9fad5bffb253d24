"""The burn report, as plain data and as text."""

from __future__ import annotations

from typing import Any, NamedTuple

from mulberrycleat.burn.histogram import seconds_at
from mulberrycleat.burn.merge import Group, Total, merge
from mulberrycleat.burn.model import MEASURES, Interval
from mulberrycleat.burn.objective import Burn, assess
from mulberrycleat.manifest import Manifest

__all__ = ["BudgetLine", "Report", "as_data", "as_text", "make_report"]

PERCENTILES = (50, 95, 99)


class BudgetLine(NamedTuple):
    """State of a budget according to the controllers, in tokens."""

    name: str
    account: str
    prepaid: int
    spent: int

    @property
    def overspent(self) -> int:
        """Tokens spent beyond the prepaid total."""
        return max(0, self.spent - self.prepaid)


class Report(NamedTuple):
    """Content of a burn report.

    Attributes
    ----------
    start, end : float
        Time range of the intervals, in Unix seconds.
    totals : dict
        Aggregated answers of each group.
    burns : list of Burn
        Burn of each objective for each group that has events.
    budgets : list of BudgetLine
        Prepaid and spent tokens of each budget; empty for a report from a decision log.
    """

    start: float
    end: float
    totals: dict[Group, Total]
    burns: list[Burn]
    budgets: list[BudgetLine]


def make_report(
    intervals: list[Interval], manifest: Manifest, spent: dict[str, tuple[int, int]], now: float
) -> Report:
    """Return the burn report of `intervals`.

    Parameters
    ----------
    spent : mapping
        Prepaid and spent tokens by budget name.
    now : float
        End of the windows, in Unix seconds.
    """
    accounts = {budget.name: budget.account for budget in manifest.budgets}
    return Report(
        min((interval.start for interval in intervals), default=now),
        max((interval.end for interval in intervals), default=now),
        merge(intervals),
        assess(intervals, manifest.objectives, now),
        [BudgetLine(name, accounts.get(name, ""), *spent[name]) for name in sorted(spent)],
    )


def as_data(report: Report) -> dict[str, Any]:
    """Return the report as plain data that can be encoded as JSON."""
    return {
        "start": report.start,
        "end": report.end,
        "groups": [_group_data(group, report.totals[group]) for group in sorted(report.totals)],
        "objectives": [_burn_data(burn) for burn in report.burns],
        "budgets": [{**line._asdict(), "overspent": line.overspent} for line in report.budgets],
        "overspent_tokens": sum(line.overspent for line in report.budgets),
    }


def as_text(report: Report) -> str:
    """Return the report as text for a terminal."""
    lines = [f"{report.end - report.start:.0f} s of answers", "", "== answers"]
    lines.append(f"{'account':<16}{'pool':<20}{'zone':<10}{'served':>8}{'refused':>8}{'false':>7}")
    for group in sorted(report.totals):
        lines.extend(_group_lines(group, report.totals[group]))
    lines += ["", "== objectives"]
    for burn in report.burns:
        lines.extend(_burn_lines(burn))
    lines += ["", "== budgets"]
    for line in report.budgets:
        tokens = f"{line.spent} of {line.prepaid} tokens spent, {line.overspent} beyond"
        lines.append(f"{line.name} ({line.account}): {tokens}")
    return "\n".join(lines)


def _group_data(group: Group, total: Total) -> dict[str, Any]:
    return {
        **group._asdict(),
        "served": total.served,
        "refused": dict(total.refused),
        "in_doubt": dict(total.in_doubt),
        "false_refusals": total.false_refusals,
        "seconds": {
            measure: _percentiles(total, measure)
            for measure in MEASURES
            if measure in total.histograms
        },
    }


def _percentiles(total: Total, measure: str) -> dict[str, float]:
    histogram = total.histograms[measure]
    return {f"p{number}": seconds_at(histogram, number) for number in PERCENTILES}


def _burn_data(burn: Burn) -> dict[str, Any]:
    objective = burn.objective
    return {
        **burn.group._asdict(),
        "measure": objective.measure,
        "bound_s": objective.bound_s,
        "target": objective.target,
        "good": burn.good,
        "all": burn.all,
        "budget_left": burn.left,
        "windows": [window._asdict() for window in burn.windows],
        "alerts": list(burn.alerts),
    }


def _group_lines(group: Group, total: Total) -> list[str]:
    names = f"{group.account or 'all':<16}{group.pool:<20}{group.zone or 'all':<10}"
    refused = total.refused.total() + total.in_doubt.total()
    lines = [f"{names}{total.served:>8}{refused:>8}{total.false_refusals:>7}"]
    for measure in MEASURES:
        if measure in total.histograms:
            found = _percentiles(total, measure).items()
            text = "  ".join(f"{name} {value:.3f} s" for name, value in found)
            lines.append(f"    {measure:<16}{text}")
    for kind, codes in (("not run", total.refused), ("may have run", total.in_doubt)):
        if codes:
            text = ", ".join(f"{code} {count}" for code, count in sorted(codes.items()))
            lines.append(f"    {kind}: {text}")
    return lines


def _burn_lines(burn: Burn) -> list[str]:
    objective = burn.objective
    target = f"{objective.measure} within {objective.bound_s:g} s for {objective.target:.1%}"
    group = f"{burn.group.account or 'all'} {burn.group.pool} {burn.group.zone or 'all'}"
    kept = f"{burn.good} of {burn.all} kept, {burn.left:.0%} of the error budget left"
    rates = "  ".join(f"{window.length_s:g} s: {window.rate:.2f}" for window in burn.windows)
    lines = [f"{group}: {target}: {kept}", f"    burn over {rates}"]
    return lines + [f"    ALERT {alert}" for alert in burn.alerts]
