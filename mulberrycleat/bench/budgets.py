"""``bin/bench budgets``: false refusals of several allocation rules on the same traces."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import click

from mulberrycleat.bench.budget_baselines import BASELINES, replay_baseline
from mulberrycleat.bench.budget_faults import SCENARIOS, make_faults
from mulberrycleat.bench.budget_replay import FleetReplay
from mulberrycleat.bench.budget_score import Score
from mulberrycleat.bench.budget_traces import Trace, TraceSettings, make_trace
from mulberrycleat.budget import AllocationSettings

__all__ = ["command"]

TIGHTNESSES = (0.7, 0.9, 1.0, 1.2)
FLEET_RULES = {
    "demand": AllocationSettings(even_fraction=0.0),
    "chosen": AllocationSettings(),
}
OTHER_RULES = {
    "demand_no_recall": AllocationSettings(even_fraction=0.0, recall=False),
    "even": AllocationSettings(even_fraction=1.0),
    "quarter_even": AllocationSettings(even_fraction=0.25),
    "half_even": AllocationSettings(even_fraction=0.5),
    "no_recall": AllocationSettings(recall=False),
    "slack_10": AllocationSettings(slack_fraction=0.1),
}


class Cell(NamedTuple):
    """One replay: its fault scenario, prepaid tokens as a share of the demand, rule, and score."""

    scenario: str
    tightness: float
    rule: str
    score: Score


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--requests", default=2000, show_default=True, help="Requests in a trace.")
@click.option("--scenario", "scenarios", multiple=True, type=click.Choice(SCENARIOS))
@click.option(
    "--turn/--no-turn",
    default=True,
    help="Whether the zones' shares of the demand are reversed during the partition.",
)
@click.option("--all-rules", is_flag=True, help="Also replay variants of the default settings.")
def command(
    seed: int, requests: int, scenarios: tuple[str, ...], turn: bool, all_rules: bool
) -> None:
    """Replay one seeded trace with each allocation rule, in each selected fault scenario."""
    rules = {**FLEET_RULES, **(OTHER_RULES if all_rules else {})}
    trace = make_trace(TraceSettings(requests=requests, is_reversed=turn), seed)
    cells = []
    for scenario in scenarios or SCENARIOS:
        found = list(_replay_cells(scenario, trace, rules, seed))
        cells.extend(found)
        _print_table(scenario, found)
    _print_table("all", cells)
    click.echo(json.dumps(_summary(cells)))


def _replay_cells(
    scenario: str, trace: Trace, rules: dict[str, AllocationSettings], seed: int
) -> Iterable[Cell]:
    faults = make_faults(scenario, seed)
    for tightness in TIGHTNESSES:
        prepaid = {name: int(tokens * tightness) for name, tokens in trace.demand.items()}
        for rule in BASELINES:
            yield Cell(scenario, tightness, rule, replay_baseline(rule, trace, prepaid, faults))
        for rule, settings in rules.items():
            score = FleetReplay(trace, prepaid, faults, settings, seed).run()
            yield Cell(scenario, tightness, rule, score)


def _rates(cells: Iterable[Cell]) -> dict[str, dict[float, float]]:
    """Return the share of false refusals among requests, by rule and tightness."""
    counts: dict[tuple[str, float], list[int]] = defaultdict(lambda: [0, 0])
    for cell in cells:
        totals = counts[cell.rule, cell.tightness]
        totals[0] += cell.score.false_refusals
        totals[1] += cell.score.requests
    rates: dict[str, dict[float, float]] = defaultdict(dict)
    for (rule, tightness), (false, requests) in counts.items():
        rates[rule][tightness] = false / max(1, requests)
    return rates


def _print_table(title: str, cells: list[Cell]) -> None:
    click.echo(f"\n{title}: false refusals, % of requests, by prepaid share of the demand")
    click.echo(f"{'rule':<20}" + "".join(f"{tightness:>9}" for tightness in TIGHTNESSES))
    for rule, by_tightness in _rates(cells).items():
        percentages = "".join(f"{100 * by_tightness[key]:>9.3f}" for key in TIGHTNESSES)
        click.echo(f"{rule:<20}{percentages}")


def _excess_refusals(cells: list[Cell]) -> dict[str, dict[str, float]]:
    """Return refusals beyond those of the all-knowing baseline, as a share of requests.

    Results are by rule and tightness, the prepaid tokens as a share of the demand.
    """
    totals: dict[tuple[str, float], list[int]] = defaultdict(lambda: [0, 0])
    for cell in cells:
        found = totals[cell.rule, cell.tightness]
        found[0] += cell.score.refused
        found[1] += cell.score.requests
    rates = {key: refused / max(1, requests) for key, (refused, requests) in totals.items()}
    excess: dict[str, dict[str, float]] = defaultdict(dict)
    for (rule, tightness), rate in rates.items():
        lowest_rate = rates["all_knowing", tightness]
        excess[rule][str(tightness)] = round(rate - lowest_rate, 6)
    return excess


def _summary(cells: list[Cell]) -> dict[str, object]:
    fleet = [cell for cell in cells if cell.rule in FLEET_RULES or cell.rule in OTHER_RULES]
    chosen_scores = [cell.score for cell in cells if cell.rule == "chosen"]
    length_s = TraceSettings().length_s
    rates = _rates(cells)
    return {
        "overspend_tokens": sum(cell.score.overspend for cell in cells),
        "billing_errors": sum(cell.score.billing_errors for cell in fleet),
        "false_refusal_rate": {
            rule: round(sum(found.values()) / len(found), 6) for rule, found in rates.items()
        },
        "by_tightness": {
            rule: {str(key): round(rate, 6) for key, rate in found.items()}
            for rule, found in rates.items()
        },
        "excess_refusal_rate": _excess_refusals(cells),
        "appends_per_s": round(max(score.appends for score in chosen_scores) / length_s, 2),
    }
