"""Explanations of requests from the logs of entry hosts that run against stand-in servers."""

from __future__ import annotations

import logging

from mulberrycleat.entry.decisions import configure_decision_logging
from mulberrycleat.explain import explain_request, read_lines
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.testing import fixture


class LogRecorder:
    """Log stream that keeps the lines written to it."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        """Keep a line."""
        self.lines.append(text)

    def flush(self):
        """Do nothing, since nothing is buffered."""


@fixture
def recorder():
    root = logging.getLogger()
    before = (list(root.handlers), root.level)
    recorder = LogRecorder()
    configure_decision_logging(recorder, host="a1", zone="z-a")
    yield recorder
    root.handlers[:], root.level = before


def read_trace(recorder, request):
    return explain_request(request, read_lines(recorder.lines))


async def test_budget_refusal_includes_the_inputs_of_the_decision(recorder):
    engine = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
    async with entry_host(engine) as harness:
        await harness.send_request("/ask/x", "r9", model="m", token_counts="99990,20")
    trace = read_trace(recorder, "r9")
    assert "budget_exhausted" in trace.cause
    refused = next(line for line in trace.lines if line.message == "budget refused")
    inputs = {"account", "cost", "total", "free", "surely_spent", "ledger_age_s", "in_touch"}
    assert inputs <= refused.fields.keys()
    assert any(line.message == "route map taken" for line in trace.host_state)


async def test_refusal_after_retry_lists_each_attempt_and_the_reason(recorder):
    servers = [ServerStandin(f"h{n}", f"10.2.0.{n}:80", "bookings", declines=True) for n in (1, 2)]
    async with entry_host(*servers) as harness:
        await harness.send_request("/book/x", "r1")
    trace = read_trace(recorder, "r1")
    messages = [line.message for line in trace.lines]
    assert messages == ["sent", "turned away", "sent", "turned away", "refused"]
    last = trace.lines[-1].fields
    assert (last["route"], last["code"], last["ran"]) == ("book", "turned_away", "not_run")
    assert last["retry_after_s"] > 0
    assert {"expected_s", "candidates", "offer"} <= trace.lines[0].fields.keys()


async def test_aborted_stream_names_the_endpoints_that_aborted_it(recorder):
    servers = [
        ServerStandin(f"e{n}", f"10.1.0.{n}:80", "engines", events=9, break_after=2) for n in (1, 2)
    ]
    async with entry_host(*servers) as harness:
        await harness.send_request("/ask/x", "r1", model="m", token_counts="100,50")
    trace = read_trace(recorder, "r1")
    assert "broken off" in trace.cause
    assert "may have run" in trace.cause
    failed = [line for line in trace.lines if line.message == "send failed"]
    assert {line.fields["endpoint"] for line in failed} == {"e1", "e2"}
    assert str(trace).startswith("request r1: broken off")


async def test_served_request_is_explained(recorder):
    async with entry_host(ServerStandin("h1", "10.2.0.1:80", "bookings")) as harness:
        await harness.send_request("/book/x", "r1")
    assert read_trace(recorder, "r1").cause.startswith("served by h1")


async def test_every_refusal_logs_code_status_reason_and_whether_it_ran(recorder):
    servers = [
        ServerStandin("e1", "10.1.0.1:80", "engines", events=4, break_after=0),
        ServerStandin("h1", "10.2.0.1:80", "bookings", never_answers=True),
    ]
    asked = {
        "unknown": ("/nowhere/x", {}, "unknown_route", 404, "not_run"),
        "wrong-key": ("/ask/x", {"authorization": "Bearer other"}, "unauthorized", 401, "not_run"),
        "silent": ("/book/x", {}, "timeout", 504, "may_have_run"),
        "broken": ("/ask/x", {}, "broken", 502, "may_have_run"),
        "expensive": ("/ask/x", {"token_counts": "99990,20"}, "budget_exhausted", 402, "not_run"),
    }
    async with entry_host(*servers) as harness:
        for name, (path, headers, *_) in asked.items():
            await harness.send_request(path, name, **headers)
    for name, (_, _, code, status, ran) in asked.items():
        line = next(each for each in read_trace(recorder, name).lines if each.message == "refused")
        assert (line.fields["code"], line.fields["status"], line.fields["ran"]) == (
            code,
            status,
            ran,
        ), name
        assert line.fields["why"], name
        assert {"step", "route", "account", "map_version", "sends", "took_s"} <= line.fields.keys()


async def test_reserved_and_charged_tokens_are_logged(recorder):
    engine = ServerStandin("e1", "10.1.0.1:80", "engines", events=2)
    async with entry_host(engine) as harness:
        await harness.send_request("/ask/x", "r1", model="m", token_counts="900,20")
    lines = read_trace(recorder, "r1").lines
    reserved = next(line for line in lines if line.message == "tokens reserved")
    assert (reserved.fields["cost"], reserved.fields["giver"]) == (920, "own slice")
    assert next(line for line in lines if line.message == "served").fields["tokens_used"] == 910


def test_request_without_log_lines():
    assert explain_request("r1", []).cause == "no line names it"


def test_lines_that_are_not_log_records_are_skipped():
    lines = ["{", "{}", '{"timestamp": "never"}', "Traceback", '{"timestamp": 3}']
    assert list(read_lines(lines)) == []
