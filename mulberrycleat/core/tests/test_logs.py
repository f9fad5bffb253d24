"""Log lines contain the fields that operators search for, and no secrets."""

from __future__ import annotations

import io
import json
import logging
from collections.abc import Iterator

from mulberrycleat.core.logs import add_log_fields, configure_logging, log_fields
from mulberrycleat.settings import LogSettings
from mulberrycleat.testing import fixture
from mulberrycleat.testing.inprocess import FLEET_KEY, in_process_fleet

HOST = "zone-a-1"
MODEL = "survey-large"
SECRET_TEXT = "The hut's door code is 7714."


@fixture
def output() -> Iterator[io.StringIO]:
    """Return the output of the JSON log at the lowest level."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    configure_logging(LogSettings("debug", "json"), host=HOST, zone="zone-a")
    stream = io.StringIO()
    root.handlers[0].setStream(stream)
    yield stream
    root.handlers[:] = handlers
    root.setLevel(level)


def lines(output: io.StringIO, logger: str) -> list[dict[str, str]]:
    found = [json.loads(line) for line in output.getvalue().splitlines()]
    return [line for line in found if line["logger"] == logger]


async def test_every_line_of_a_request_has_request_account_host_step_and_peer(output):
    async with in_process_fleet() as fleet:
        served = await fleet.chat(HOST, "dolerite", MODEL, "Open?")
        refused = await fleet.chat(HOST, "dolerite", "no-such-model", "Open?")
    ids = {answer.headers["x-request-id"] for answer in (served, refused)}
    found = lines(output, "mulberrycleat.router.app")
    required = {"request", "account", "zone", "host", "step", "peer"}
    assert {line["request"] for line in found} == ids
    assert all(required <= set(line) for line in found)
    assert {line["account"] for line in found} == {"dolerite"}


async def test_line_of_an_unauthenticated_caller_has_no_account(output):
    async with in_process_fleet() as fleet:
        await fleet.chat(HOST, "dolerite", MODEL, "Open?", authorization="Bearer guessed-key")
    refused = lines(output, "mulberrycleat.router.app")[0]
    assert refused["step"] == "authenticate"
    assert "account" not in refused


async def test_no_secret_is_logged_at_any_level(output):
    async with in_process_fleet() as fleet:
        keys = list(fleet.layout.keys.values())
        await fleet.chat(HOST, "dolerite", MODEL, SECRET_TEXT)
        await fleet.chat(HOST, "dolerite", MODEL, SECRET_TEXT, authorization="Bearer guessed-key")
        await fleet.book(HOST, "dolerite", "bookings", "k1", body={"note": SECRET_TEXT})
        fleet.network.kill("log")
        await fleet.book(HOST, "dolerite", "bookings", "k2", body={"note": SECRET_TEXT})
        fleet.network.kill("controller-zone-a-1")
        await fleet.chat(HOST, "dolerite", MODEL, SECRET_TEXT)
    text = output.getvalue()
    assert text.count("\n") > 5
    for secret in (*keys, FLEET_KEY, "guessed-key", SECRET_TEXT):
        assert secret not in text


def test_fields_of_one_request_are_not_added_to_another(output):
    with log_fields(request="r1"):
        add_log_fields(account="dolerite")
    with log_fields(request="r2"):
        logging.getLogger("probe").info("hello")
    (line,) = lines(output, "probe")
    assert (line["request"], "account" in line) == ("r2", False)
