"""The parser and the name check report every fault with its line number."""

from __future__ import annotations

from mulberrycleat.scenario import check_scenario, parse_scenario, plan_of
from mulberrycleat.scenario import model as m
from mulberrycleat.scenario.cases import scenario_cases
from mulberrycleat.scenario.check import check_for_processes


def faulty_lines(text: str) -> list[int]:
    return [fault.line for fault in parse_scenario(text).and_then(check_scenario).err_value]


def test_every_faulty_line_is_reported():
    text = "\n".join(
        [
            "wait 2 s",
            "wiat 2 s",
            "# wait for nothing",
            "wait 2",
            "send question q from dolerite",
            "expect budget dolerite gained at most 3",
            "end",
            "concurrently",
            "$",
        ]
    )
    assert faulty_lines(text) == [2, 4, 5, 6, 7, 8, 9]


def test_unknown_names_are_reported_by_line():
    text = "\n".join(
        [
            "publish first draining nothing-here",
            "send question q from nobody to zone-a-1",
            "send question r from dolerite to zone-q-1",
            "expect s served",
            "expect exactly 1 of first t accepted",
            "cut zone-q from platform",
            "concurrently",
            "kill router-zone-a-9",
            "end",
        ]
    )
    assert faulty_lines(text) == [1, 2, 3, 4, 5, 6, 8]


def test_fleet_statement_sets_counts_of_the_plan():
    scenario = parse_scenario("fleet hosts_per_zone 3 engines_per_zone 2").ok_value
    plan = plan_of(scenario)
    assert (plan.hosts_per_zone, plan.engines_per_zone) == (3, 2)
    assert faulty_lines("fleet hosts_per_zoen 3") == [1]


def test_send_accepts_options_in_any_order():
    text = 'send 3 bookings b from dolerite to zone-a-1 every 0.5 s key "k" pool bookings'
    send = parse_scenario(text).ok_value.statements[0].statement
    expected = m.Send("booking", "b", "dolerite", "zone-a-1", 3, "k", "bookings", every_s=0.5)
    assert send == expected


def test_names_may_start_with_a_keyword():
    scenario = parse_scenario("publish killer by freeze-team").ok_value
    assert scenario.statements[0].statement == m.Publish("killer", operator="freeze-team")


def test_every_scenario_file_becomes_a_test_case():
    names = [case.id() for case in scenario_cases()]
    assert "scenario.whole-path" in names


def test_links_that_real_processes_can_not_cut_are_faults_with_their_line():
    text = "\n".join(
        [
            "cut zone-a from platform",
            "cut zone-a from zone-b",
            "heal platform from zone-b",
            "cut zone-a-1",
            "concurrently",
            "cut zone-a-1 from platform",
            "end",
        ]
    )
    scenario = parse_scenario(text).and_then(check_scenario).unwrap()
    assert [fault.line for fault in check_for_processes(scenario).err_value] == [2, 4, 6]
