"""Failed expectations are reported by line, violated invariants by a description."""

from __future__ import annotations

from collections import Counter

from mulberrycleat.scenario import parse_scenario
from mulberrycleat.scenario.facts import Ledger, SentRequest
from mulberrycleat.scenario.invariants import (
    answer_faults,
    billing_faults,
    booking_faults,
    budget_faults,
    expected_text,
)
from mulberrycleat.scenario.main import run_in_process
from mulberrycleat.testing.caller import Answer

SET_UP = "top up dolerite 50000\npublish first\nwait until in force\nwait until ready\n"


def failed_lines(text: str) -> list[int]:
    scenario = parse_scenario(SET_UP + text).ok_value
    return [failure.line for failure in run_in_process(scenario)]


def sent(outcome: str, key: str = "", host: str = "zone-a-1", body: bytes = b"") -> SentRequest:
    headers = {"x-request-id": "r1", "content-type": "application/json"}
    status = 200 if outcome == "served" else 503
    problem = b'{"outcome": "%s"}' % outcome.encode()
    answer = Answer(status, headers, body or problem)
    return SentRequest("booking" if key else "question", "dolerite", host, key, "Open?", 2, answer)


def test_failed_expectations_are_reported_by_line():
    text = "\n".join(
        [
            "send question q from dolerite to zone-a-1 tokens 4",
            "expect q not run",
            "expect q served",
            'send booking b from dolerite to zone-a-1 key "k"',
            'expect booking "k" made exactly 2',
            "expect budget dolerite spent at most 3",
            "remember log",
            'send booking c from dolerite to zone-a-1 key "k2"',
            "expect log unchanged",
            "expect b same as c",
            "expect at least 2 of q b not run",
        ]
    )
    assert failed_lines(text) == [6, 9, 10, 13, 14, 15]


def test_publish_on_an_outdated_base_is_refused():
    text = "publish second\nexpect second accepted\npublish old base 1\nexpect old accepted"
    assert failed_lines(text) == [8]


def test_overspent_budget_and_request_billed_twice_are_reported():
    ledger = Ledger({"huts": 10}, {("huts", "r1"): 6, ("huts", "r2"): 5}, ["r2"])
    assert list(budget_faults(ledger)) == [
        "budget huts: 11 tokens spent of 10 prepaid",
        "request r2 is billed twice",
    ]


def test_billed_refusal_and_missing_bill_are_reported():
    billed = Ledger({}, {("dolerite", "r1"): 6}, [])
    unbilled = Ledger({}, {}, [])
    usage = b'{"usage": {"prompt_tokens": 4, "completion_tokens": 2}}'
    served = sent("served", body=usage)
    assert len(list(billing_faults(billed, [sent("not_run")], set()))) == 1
    assert len(list(billing_faults(unbilled, [served], set()))) == 1
    assert list(billing_faults(billed, [served], set())) == []
    assert list(billing_faults(unbilled, [served], {"zone-a-1"})) == []


def test_duplicate_booking_and_false_not_run_are_reported():
    assert len(list(booking_faults(Counter(k=2), [sent("served", "k")]))) == 1
    assert len(list(booking_faults(Counter(k=1), [sent("not_run", "k")]))) == 1
    assert list(booking_faults(Counter(k=1), [sent("may_have_run", "k")])) == []


def test_truncated_and_differing_answers_are_reported():
    expected = expected_text("Open?", 2)
    complete = b'{"choices": [{"message": {"content": "%s"}}]}' % expected.encode()
    cut = complete.replace(expected.encode(), expected[:6].encode())
    assert list(answer_faults([sent("served", body=complete)])) == []
    assert len(list(answer_faults([sent("served", body=cut)]))) == 1
    differing = [
        sent("served", "k", body=b'{"booking": 1}'),
        sent("served", "k", body=b'{"booking": 2}'),
    ]
    assert len(list(answer_faults(differing))) == 1
