"""Stories of requests, from logs of hosts on the stand-ins."""

from __future__ import annotations

import logging

from mulberrycleat.entry.decisions import configure_decision_logging
from mulberrycleat.explain import read_lines, tell
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.testing import fixture


class Recorder:
    """Keeps lines as a process writes them."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        """Keep a line."""
        self.lines.append(text)

    def flush(self):
        """Nothing is buffered."""


@fixture
def recorder():
    root = logging.getLogger()
    before = (list(root.handlers), root.level)
    recorder = Recorder()
    configure_decision_logging(recorder, host="a1", zone="z-a")
    yield recorder
    root.handlers[:], root.level = before


def story(recorder, request):
    return tell(request, read_lines(recorder.lines))


async def test_a_refusal_for_budget_holds_what_decided_it(recorder):
    engine = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
    async with entry_host(engine) as world:
        await world.ask("/ask/x", "r9", model="m", token_counts="99990,20")
    told = story(recorder, "r9")
    assert "budget_exhausted" in told.cause
    refused = next(line for line in told.lines if line.message == "budget refused")
    inputs = {"account", "cost", "total", "free", "surely_spent", "ledger_age_s", "in_touch"}
    assert inputs <= refused.fields.keys()
    assert any(line.message == "route map taken" for line in told.surroundings)


async def test_a_late_refusal_names_each_send_and_why_there_was_no_other(recorder):
    servers = [ServerStandin(f"h{n}", f"10.2.0.{n}:80", "huts", sheds=True) for n in (1, 2)]
    async with entry_host(*servers) as world:
        await world.ask("/book/x", "r1")
    told = story(recorder, "r1")
    messages = [line.message for line in told.lines]
    assert messages == ["sent", "turned away", "sent", "turned away", "refused"]
    last = told.lines[-1].fields
    assert (last["route"], last["code"], last["ran"]) == ("book", "turned_away", "not_run")
    assert last["retry_after_s"] > 0
    assert {"expected_s", "candidates", "offer"} <= told.lines[0].fields.keys()


async def test_a_broken_off_stream_names_the_server_that_broke_it(recorder):
    servers = [
        ServerStandin(f"e{n}", f"10.1.0.{n}:80", "engines", events=9, break_after=2) for n in (1, 2)
    ]
    async with entry_host(*servers) as world:
        await world.ask("/ask/x", "r1", model="m", token_counts="100,50")
    told = story(recorder, "r1")
    assert "broken off" in told.cause
    assert "may have run" in told.cause
    failed = [line for line in told.lines if line.message == "send failed"]
    assert {line.fields["endpoint"] for line in failed} == {"e1", "e2"}
    assert str(told).startswith("request r1: broken off")


async def test_a_served_request_is_told_too(recorder):
    async with entry_host(ServerStandin("h1", "10.2.0.1:80", "huts")) as world:
        await world.ask("/book/x", "r1")
    assert story(recorder, "r1").cause.startswith("served by h1")


async def test_every_refusal_tells_code_status_reason_and_whether_it_ran(recorder):
    servers = [
        ServerStandin("e1", "10.1.0.1:80", "engines", events=4, break_after=0),
        ServerStandin("h1", "10.2.0.1:80", "huts", mute=True),
    ]
    asked = {
        "unknown": ("/nowhere/x", {}, "unknown_route", 404, "not_run"),
        "stranger": ("/ask/x", {"authorization": "Bearer other"}, "unauthorized", 401, "not_run"),
        "silent": ("/book/x", {}, "timeout", 504, "may_have_run"),
        "broken": ("/ask/x", {}, "broken", 502, "may_have_run"),
        "dear": ("/ask/x", {"token_counts": "99990,20"}, "budget_exhausted", 402, "not_run"),
    }
    async with entry_host(*servers) as world:
        for name, (path, headers, *_) in asked.items():
            await world.ask(path, name, **headers)
    for name, (_, _, code, status, ran) in asked.items():
        line = next(one for one in story(recorder, name).lines if one.message == "refused")
        assert (line.fields["code"], line.fields["status"], line.fields["ran"]) == (
            code,
            status,
            ran,
        ), name
        assert line.fields["why"], name
        assert {"step", "route", "account", "map_version", "sends", "took_s"} <= line.fields.keys()


async def test_tokens_are_told_when_they_are_reserved_and_when_they_are_charged(recorder):
    engine = ServerStandin("e1", "10.1.0.1:80", "engines", events=2)
    async with entry_host(engine) as world:
        await world.ask("/ask/x", "r1", model="m", token_counts="900,20")
    lines = story(recorder, "r1").lines
    reserved = next(line for line in lines if line.message == "tokens reserved")
    assert (reserved.fields["cost"], reserved.fields["giver"]) == (920, "own slice")
    assert next(line for line in lines if line.message == "served").fields["tokens_used"] == 910


def test_a_request_that_no_line_names():
    assert tell("r1", []).cause == "no line names it"


def test_lines_that_are_not_ours_are_left_out():
    lines = ["{", "{}", '{"timestamp": "never"}', "Traceback", '{"timestamp": 3}']
    assert list(read_lines(lines)) == []
