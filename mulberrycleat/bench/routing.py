"""``bin/bench routing``: endpoint choice under load, compared with simpler rules."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import NamedTuple

import click

from mulberrycleat.bench.routing_load import DEPLOYMENTS, Deployment, estimate_capacity
from mulberrycleat.bench.routing_rules import RULES, RuleSpec
from mulberrycleat.bench.routing_sim import Outcome, Run, RunPlan

__all__ = ["command"]

LOADS = (0.5, 0.8, 0.95, 1.2)
WARM_UP_SHARE = 0.2
CALIBRATION_LOAD = 0.6
TARGETS = {
    "first_token_p95_ratio": 0.8,
    "short_wait_p95_ratio": 0.5,
    "goodput_ratio_overload": 1.2,
    "wrong_outcomes": 0,
}


class Cell(NamedTuple):
    """Measured results of one run.

    Attributes
    ----------
    first_p95_s, short_p95_s, long_p95_s : float
        95th percentile of the time to the first token over all, short and long requests, in
        seconds; a request without a first token counts with its full deadline.
    goodput : float
        Prompt and answer tokens per second of the requests served within their deadline.
    in_time, long_in_time : float
        Share of all requests, and of the long ones, that were served within their deadline.
    hits : float
        Share of the prompt tokens that were cached, over the full run, warm-up included.
    refused : float
        Share of the requests that were refused as not run.
    wrong : int
        Number of requests with a wrong outcome; see :func:`_is_wrong`.
    """

    first_p95_s: float
    short_p95_s: float
    long_p95_s: float
    goodput: float
    in_time: float
    long_in_time: float
    hits: float
    refused: float
    wrong: int


def measure(plan: RunPlan) -> Cell:
    """Run a plan and return its results over the requests that arrive after the warm-up."""
    run = Run(plan)
    warm_up_end = plan.duration_s * WARM_UP_SHARE
    outcomes = [outcome for outcome in run.run() if outcome.at >= warm_up_end]
    long = [outcome for outcome in outcomes if outcome.request.is_long]
    short = [outcome for outcome in outcomes if not outcome.request.is_long]
    served = [outcome for outcome in outcomes if outcome.end == "served"]
    tokens = sum(o.request.demand.prompt_tokens + o.request.answer_tokens for o in served)
    prompt = sum(engine.prompt_tokens for engine in run.engines.values())
    hits = sum(engine.hit_tokens for engine in run.engines.values())
    return Cell(
        _p95(outcomes),
        _p95(short),
        _p95(long),
        tokens / (plan.duration_s - warm_up_end),
        len(served) / len(outcomes),
        sum(o.end == "served" for o in long) / len(long),
        hits / prompt,
        sum(o.end == "not_run" for o in outcomes) / len(outcomes),
        sum(_is_wrong(outcome) for outcome in outcomes),
    )


def _is_wrong(outcome: Outcome) -> bool:
    """Return whether an outcome is wrong.

    A request must end exactly once, and must not end as ``not_run`` if an engine generated tokens
    for it.
    """
    if outcome.end_count != 1:
        return True
    return outcome.end == "not_run" and outcome.generated > 0


def _p95(outcomes: list[Outcome]) -> float:
    """Return the 95th percentile of the time to the first token, in seconds."""
    waits = sorted(o.first_s if o.first_s is not None else o.request.deadline_s for o in outcomes)
    return waits[int(len(waits) * 0.95)]


def measure_capacity(deployment: Deployment, seed: int, duration_s: float) -> float:
    """Return the requests per second that the engines sustain: the load 1.0 of a deployment.

    The share of cached prompt tokens is that of a run with round robin.
    """
    requests_per_s = estimate_capacity(deployment) * CALIBRATION_LOAD
    cell = measure(RunPlan(deployment, RULES[0], requests_per_s, duration_s, seed, False))
    return estimate_capacity(deployment, cell.hits)


def summarise(cells: dict[tuple[str, float, bool, str], Cell]) -> dict[str, float]:
    """Return the worst ratio, over deployments and loads, of the chosen rule to the best baseline.

    Names without a suffix are for runs in which no endpoint fails. The suffix ``_death`` is for
    runs in which one of the fastest endpoints fails, so that the load on the other endpoints is far
    above the nominal load.
    """
    result = {}
    for suffix, with_failure in (("", False), ("_death", True)):
        of = _Ratios({key: cell for key, cell in cells.items() if key[2] is with_failure})
        result[f"first_token_p95_ratio{suffix}"] = max(of("first_p95_s", (0.8, 0.95), min))
        result[f"short_wait_p95_ratio{suffix}"] = max(of("short_p95_s", (0.95,), min))
        result[f"goodput_ratio_overload{suffix}"] = min(of("goodput", (1.2,), max))
        result[f"prefix_hit_ratio{suffix}"] = min(of("hits", (0.8, 0.95), max))
    rounded = {name: round(value, 3) for name, value in result.items()}
    wrong = sum(cell.wrong for key, cell in cells.items() if key[3] == "chosen")
    return {**rounded, "wrong_outcomes": wrong}


class _Ratios:
    """Computes ratios of a result of the chosen rule to that of the best baseline."""

    def __init__(self, cells: dict[tuple[str, float, bool, str], Cell]) -> None:
        self._cells = cells
        self._baselines = [rule.name for rule in RULES if rule.baseline]

    def __call__(
        self, field: str, loads: tuple[float, ...], best: Callable[[list[float]], float]
    ) -> list[float]:
        """Return one ratio of a :class:`Cell` field for each deployment and each of `loads`.

        `best` returns the best of the values of the baselines: ``min`` or ``max``.
        """
        found = []
        for (*run_key, name), cell in self._cells.items():
            if name == "chosen" and run_key[1] in loads:
                baselines = [getattr(self._cells[*run_key, n], field) for n in self._baselines]
                found.append(getattr(cell, field) / best(baselines))
        return found


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--duration", default=150.0, show_default=True, help="Length of a run, in virtual seconds."
)
@click.option("--load", "loads", multiple=True, type=float, help="Only these loads.")
@click.option("--deployment", "only", help="Only this deployment.")
def command(seed: int, duration: float, loads: tuple[float, ...], only: str | None) -> None:
    """Compare endpoint choice with simpler rules under a virtual clock."""
    cells = {}
    for deployment in DEPLOYMENTS:
        if only and deployment.name != only:
            continue
        capacity = measure_capacity(deployment, seed, duration)
        click.echo(f"{deployment.name}: load 1.0 is {capacity:.1f} requests per second")
        for load in loads or LOADS:
            for with_failure in (False, True):
                _compare_rules(cells, deployment, load, capacity, duration, seed, with_failure)
    if loads or only:
        return
    result = summarise(cells)
    click.echo(f"targets {json.dumps(TARGETS)}")
    click.echo(json.dumps(result))


def _compare_rules(
    cells: dict,
    deployment: Deployment,
    load: float,
    capacity: float,
    duration: float,
    seed: int,
    with_failure: bool,
) -> None:
    click.echo(f"{deployment.name} at {load:.0%}{', one endpoint fails' if with_failure else ''}")
    for rule in RULES:
        cell = measure(RunPlan(deployment, rule, capacity * load, duration, seed, with_failure))
        cells[deployment.name, load, with_failure, rule.name] = cell
        click.echo(_format_row(rule, cell))


def _format_row(rule: RuleSpec, cell: Cell) -> str:
    return (
        f"  {rule.name:30} first token p95 {cell.first_p95_s:6.2f} s"
        f" (short {cell.short_p95_s:5.2f}, long {cell.long_p95_s:5.2f})"
        f" goodput {cell.goodput:7.0f}/s in time {cell.in_time:6.1%}"
        f" (long {cell.long_in_time:6.1%}) hits {cell.hits:5.1%}"
        f" refused {cell.refused:5.1%} wrong {cell.wrong}"
    )
