"""Burn rates and reports of known data; every expected number was computed by hand."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.burn.chart import as_svg
from mulberrycleat.burn.collect import add_to_file, collect, read_file
from mulberrycleat.burn.histogram import seconds_at
from mulberrycleat.burn.merge import Group, latest_intervals, merge
from mulberrycleat.burn.model import Interval
from mulberrycleat.burn.objective import assess
from mulberrycleat.burn.recorder import LiveSeries
from mulberrycleat.burn.report import as_data, as_text, make_report
from mulberrycleat.core import NotRun, Served, Step
from mulberrycleat.manifest import Account, Budget, Manifest, Objective
from mulberrycleat.testing import fixture
from mulberrycleat.testing.inprocess import FLEET_KEY, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

NOW = 1_000_000.0
OBJECTIVE = Objective("huts", "whole_answer", 1.0, 0.9)


def interval(zone: str, ended_ago_s: float, durations_s: list[float], **refused: int) -> Interval:
    series = LiveSeries("dolerite", "huts")
    for duration_s in durations_s:
        series.record("whole_answer", duration_s)
        series.count_outcome(Ok(Served(1, "engine")))
    for code, count in refused.items():
        for _ in range(count):
            series.count_outcome(Err(NotRun(Step.BUDGET, "", "", code=code)))
    end = NOW - ended_ago_s
    return Interval(zone, zone, f"{zone}/{end}", 0, end - 60, end, (series.snapshot(),))


@fixture
def intervals() -> list[Interval]:
    """Return two intervals of the same pool.

    One that ended a minute ago has 2 late answers of 10. One that ended two hours ago has 30
    answers in time, 10 false refusals, and 5 refusals for an exhausted budget.
    """
    late = interval("zone-a", 60, [0.5] * 8 + [2.0] * 2)
    refused = interval("zone-b", 7200, [0.5] * 30, budget_held_elsewhere=10, budget_exhausted=5)
    return [late, refused]


def test_a_refused_part_is_the_callers_fault_and_a_limited_endpoint_is_not():
    refused = interval("zone-a", 60, [0.5] * 8, crashing_part=5, limited=2)
    total = merge([refused])[Group("dolerite", "huts")]
    assert (total.failed, total.false_refusals) == (2, 0)


def test_histograms_of_two_hosts_add_up(intervals):
    total = merge(intervals)[Group("dolerite", "huts")]
    assert (total.served, total.requests) == (40, 55)
    assert (total.false_refusals, total.failed) == (10, 10)
    assert total.events("whole_answer", 1.0) == (38, 50)
    assert round(seconds_at(total.histograms["whole_answer"], 50), 2) == 0.5
    assert round(seconds_at(total.histograms["whole_answer"], 99), 1) == 2.0


def test_error_budget_left_and_burn_rate_of_each_window(intervals):
    (burn,) = [
        b for b in assess(intervals, (OBJECTIVE,), NOW) if b.group == Group("dolerite", "huts")
    ]
    # 12 of 50 are bad and a tenth is allowed: 0.24 / 0.1 = 2.4. The budget is overdrawn 1.4 times.
    assert (burn.good, burn.all, round(burn.left, 6)) == (38, 50, -1.4)
    rates = {window.length_s: round(window.rate, 6) for window in burn.windows}
    # 2 of 10 are bad in the windows below 6 hours; the longer ones include the refusals.
    assert rates == {300: 2.0, 1800: 2.0, 3600: 2.0, 21600: 2.4, 259200: 2.4}
    assert burn.alerts == ("ticket: 1 over 259200 s and 21600 s",)


def test_each_zone_has_its_own_burn(intervals):
    burns = {burn.group.zone: burn for burn in assess(intervals, (OBJECTIVE,), NOW)}
    assert (burns["zone-a"].good, burns["zone-a"].all) == (8, 10)
    assert (burns["zone-b"].good, burns["zone-b"].all) == (30, 40)


def test_page_for_fast_burn_ends_soon_after_the_burn():
    strict_objective = Objective("huts", "whole_answer", 1.0, 0.99)
    bad = [0.5] * 80 + [2.0] * 20
    burning = assess([interval("zone-a", 60, bad)], (strict_objective,), NOW)[0]
    # 20 of 100 are bad and a hundredth is allowed: the burn rate is 20, above 14.4 and above 6.
    assert [alert[:10] for alert in burning.alerts] == ["page: 14.4", "page: 6 ov", "ticket: 1 "]
    ended = assess([interval("zone-a", 600, bad)], (strict_objective,), NOW)[0]
    assert [alert[:10] for alert in ended.alerts] == ["page: 6 ov", "ticket: 1 "]


def test_failed_requests_do_not_count_as_between_tokens_events():
    objective = Objective("huts", "between_tokens", 0.036)
    series = LiveSeries("dolerite", "huts")
    for gap_s in [0.01] * 9 + [0.05]:
        series.record("between_tokens", gap_s)
    series.count_outcome(Err(NotRun(Step.BUDGET, "", "", code="unavailable")))
    one = Interval("a", "zone-a", "a/1", 0, NOW - 60, NOW, (series.snapshot(),))
    assert merge([one])[Group("", "huts")].events(objective.measure, objective.bound_s) == (9, 10)


def test_interval_reported_twice_counts_once_in_its_latest_version(intervals):
    late = intervals[0]
    early = msgspec.structs.replace(late, end=late.end - 10, series=())
    assert latest_intervals([early, late, late, early]) == [late]


def test_file_stores_each_interval_once(intervals):
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "burn.jsonl"
        assert add_to_file(path, intervals) == 2
        assert add_to_file(path, intervals) == 2
        assert latest_intervals(read_file(path)) == latest_intervals(intervals)


def test_report_shows_overspending_in_every_format(intervals):
    manifest = Manifest(
        (Account("dolerite"),), (Budget("notes", "dolerite"),), objectives=(OBJECTIVE,)
    )
    report = make_report(intervals, manifest, {"notes": (100, 130)}, NOW)
    data = json.loads(json.dumps(as_data(report)))
    assert data["overspent_tokens"] == 30
    assert data["budgets"][0]["account"] == "dolerite"
    assert -1.4 in {round(objective["budget_left"], 6) for objective in data["objectives"]}
    text = as_text(report)
    assert "30 beyond" in text and "-140% of the error budget left" in text
    assert "ALERT ticket" in text
    assert as_svg(report).rstrip().endswith("</svg>")


def test_report_without_answers_has_no_objectives():
    report = make_report([], Manifest(objectives=(OBJECTIVE,)), {}, NOW)
    assert as_data(report)["objectives"] == []
    assert "</svg>" in as_svg(report)


async def test_router_records_the_answers_to_its_callers():
    plan = FleetPlan(router={"burn_interval_s": 1000.0})
    async with in_process_fleet(plan) as fleet:
        await fleet.chat("zone-a-1", "dolerite", "survey-large", "Open?", max_tokens=21)
        await fleet.chat("zone-a-1", "dolerite", "survey-large", "Open?", stream=False)
        await fleet.book("zone-a-1", "swan-coastal", "bookings", "k1")
        await fleet.chat("zone-b-1", "dolerite", "survey-large", "x" * 250_000)
        settings = fleet.layout.operator()
        found = await collect(fleet.caller_ports.http, settings["routers"], FLEET_KEY)
    totals = merge(found.intervals)
    model = totals[Group("dolerite", "pool-survey-large", "zone-a")]
    counts = {name: histogram.get_total_count() for name, histogram in model.histograms.items()}
    assert counts == {"first_token": 1, "between_tokens": 20, "whole_answer": 2}
    assert 0.009 < seconds_at(model.histograms["between_tokens"], 50) < 0.013
    assert totals[Group("swan-coastal", "bookings", "zone-a")].served == 1
    assert totals[Group("dolerite", "pool-survey-large", "zone-b")].refused.total() == 1


async def test_router_retains_the_configured_number_of_closed_intervals():
    plan = FleetPlan(zones=("zone-a",), router={"burn_interval_s": 10.0, "burn_intervals": 2})
    async with in_process_fleet(plan) as fleet:
        for _ in range(4):
            await fleet.chat("zone-a-1", "dolerite", "survey-large", "Open?", max_tokens=2)
            await trio.sleep(10.0)
        found = await collect(
            fleet.caller_ports.http, fleet.layout.operator()["routers"], FLEET_KEY
        )
    numbers = [interval.number for interval in found.intervals]
    assert len(numbers) == 3 and numbers == sorted(set(numbers))
    assert merge(found.intervals)[Group("", "pool-survey-large")].served == 2


async def test_intervals_require_the_fleet_key():
    async with in_process_fleet() as fleet:
        found = await collect(fleet.caller_ports.http, fleet.layout.operator()["routers"], "guess")
    assert found.intervals == []
    assert all("401" in error.reason for error in found.errors) and len(found.errors) == 3
