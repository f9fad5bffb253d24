"""Burn report of a replayed day, from the decision logs of its hosts."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner

from mulberrycleat.burn.main import exit_code, main
from mulberrycleat.burn.merge import Group
from mulberrycleat.burn.played import parse_objectives, report_from_log
from mulberrycleat.explain import read_lines
from mulberrycleat.testing import fixture


def line(second: int, message: str, **fields: object) -> str:
    stamp = f"2026-02-19T17:29:{second:02d}+00:00"
    content = {"message": message, "host": "a-1", "zone": "a", "timestamp": stamp, **fields}
    return f"{second:9.4f} edge-a-1 {json.dumps(content)}\n"


def served(second: int, first_s: float | None, took_s: float, account: str = "huts") -> str:
    return line(second, "served", route="ask", account=account, first_s=first_s, took_s=took_s)


def refused(second: int, code: str, ran: str = "not_run") -> str:
    return line(second, "refused", route="ask", account="huts", code=code, ran=ran)


@fixture
def log() -> list[str]:
    """Return a log of 8 answers in time, a late one, a false refusal and an exhausted budget.

    The last two lines don't report the end of a request.
    """
    good = [served(number, 0.3, 2.0) for number in range(8)]
    bad = [served(12, 0.9, 2.5), refused(13, "budget_held"), refused(14, "budget_exhausted")]
    other_lines = ["built in 11 s\n", line(15, "sent", route="ask", endpoint="e1")]
    return [*good, *bad, *other_lines]


def test_log_gives_the_burn_of_each_account_and_route(log):
    report = report_from_log(read_lines(log), ["first_token:0.6:0.9"])
    total = report.totals[Group("huts", "ask", "a")]
    assert (total.served, total.requests, total.false_refusals) == (9, 11, 1)
    burn = next(burn for burn in report.burns if burn.group == Group("huts", "ask", "a"))
    assert (burn.good, burn.all) == (8, 10)
    assert round(burn.left, 9) == -1.0


def test_answer_in_one_piece_counts_its_total_time_as_first_token_time(log):
    report = report_from_log(read_lines([served(1, None, 0.7)]), ["ask:first_token:0.6:0.9"])
    assert [(burn.good, burn.all) for burn in report.burns][:1] == [(0, 1)]


def test_requests_without_an_account_are_counted_once(log):
    report = report_from_log(read_lines([served(1, 0.1, 0.2, account="")]), [])
    assert report.totals[Group("", "ask", "")].served == 1
    assert report.totals[Group("no account", "ask", "a")].served == 1


def test_error_for_an_invalid_objective_names_it_and_the_invalid_part():
    for text, part in (
        ("first:0.6:0.9", "'first'"),
        ("first_token:fast:0.9", "fast"),
        ("first_token:0.6:1.5", "target"),
        ("0.6", "form"),
    ):
        try:
            parse_objectives(text, ["ask"])
        except ValueError as error:
            assert text in str(error) and part in str(error)
        else:
            raise AssertionError(text)


def test_played_command_writes_text_or_svg_and_reports_invalid_objectives(log):
    with tempfile.TemporaryDirectory() as folder:
        file, svg_file = Path(folder, "day.log"), Path(folder, "burn.svg")
        file.write_text("".join(log), encoding="utf-8")
        run = CliRunner().invoke
        text = run(main, ["played", str(file), "--objective", "first_token:0.6:0.9"])
        svg = run(main, ["played", str(file), "--format", "svg", "--output", str(svg_file)])
        invalid = run(main, ["played", str(file), "--objective", "fast"])
        assert "first_token" in text.output
        assert text.exit_code in (0, 1)
        assert svg.exit_code == 0
        assert "<svg" in svg_file.read_text(encoding="utf-8")
    assert invalid.exit_code == 2
    assert "'fast'" in invalid.output


def test_a_served_line_without_a_time_counts_for_the_outcome_only():
    short = line(1, "served", route="ask", account="huts")
    report = report_from_log(read_lines([short, served(2, 0.1, 0.2)]), ["first_token:0.6:0.9"])
    assert report.totals[Group("huts", "ask", "a")].served == 2
    assert {burn.all for burn in report.burns} == {1}


def test_an_alert_goes_before_unreachable_routers_in_the_exit_code(log):
    late = [served(number, 0.9, 2.0) for number in range(59)]
    alerting = report_from_log(read_lines(late), ["first_token:0.6:0.9"])
    quiet = report_from_log(read_lines([served(1, 0.1, 0.2)]), ["first_token:0.6:0.9"])
    assert any(burn.alerts for burn in alerting.burns)
    assert [exit_code(alerting, incomplete) for incomplete in (False, True)] == [1, 1]
    assert [exit_code(quiet, incomplete) for incomplete in (False, True)] == [0, 3]
