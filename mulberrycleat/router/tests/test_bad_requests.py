"""Fuzzed requests: each is answered, nothing breaks, nothing odd is billed."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from mulberrycleat.testing import run_virtual
from mulberrycleat.testing.caller import Answer
from mulberrycleat.testing.fuzzing import fuzz
from mulberrycleat.testing.inprocess import InProcessFleet, in_process_fleet

HOST = "zone-a-1"
MODEL = "survey-large"
CHAT = "/v1/chat/completions"
BOOK = "/v1/services/bookings/slots"
GOOD = {
    "model": MODEL,
    "messages": [{"role": "user", "content": "Open?"}],
    "max_tokens": 4,
    "stream": True,
}

ODD = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, -1, 0, 1e308, 2**63, 2**64])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.lists(st.integers(), max_size=3)
    | st.dictionaries(st.text(max_size=5), st.integers(), max_size=3)
)
FIELDS = [*GOOD, "continue_text", "continue_tokens", "temperature", "stop", "n", "x-request-id"]
BODIES = st.dictionaries(st.sampled_from(FIELDS), ODD, max_size=3).map(
    lambda changes: json.dumps({**GOOD, **changes}).encode()
)
RAW = st.binary(max_size=60) | st.sampled_from(
    [
        b"",
        b"{",
        b"null",
        b"[" * 5000,
        b'{"model": "survey-large", "messages": [{"role": "user", "content": "\\ud800"}]}',
        b'{"model": "survey-large", "messages": []}',
        json.dumps({**GOOD, "messages": [{"role": "user", "content": "é\x00\n\n"}]}).encode(),
    ]
)
HEADER_NAMES = st.sampled_from(
    ["idempotency-key", "non-idempotent", "x-request-id", "x-priority", "x-deadline-s"]
    + ["x-holder", "x-fencing-number", "content-type", "prefer", "fleet-key"]
)
HEADER_VALUES = st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=30).map(
    lambda text: text.encode("latin-1")
)
HEADERS = st.dictionaries(HEADER_NAMES, HEADER_VALUES, max_size=3)
REQUESTS = st.lists(
    st.tuples(st.sampled_from([CHAT, BOOK]), BODIES | RAW, HEADERS), min_size=10, max_size=25
)


async def send(fleet: InProcessFleet, path: str, body: bytes, headers: dict[str, Any]) -> Answer:
    url = f"http://{fleet.address(HOST)}{path}"
    key = {"authorization": f"Bearer {fleet.layout.keys['dolerite']}"}
    outcome = await fleet.outside.http.request("POST", url, body, {**headers, **key}, 60.0)
    answer = outcome.unwrap()
    return Answer(answer.status, answer.headers, answer.body)


def check(answer: Answer) -> None:
    """Fail for an answer that is neither whole nor a typed refusal."""
    assert answer.status != 500, answer.body
    assert answer.outcome != "broken", answer
    if answer.status >= 400:
        assert answer.headers["content-type"] == "application/problem+json"
        assert answer.problem["step"] and "peer" in answer.problem
    if answer.status in (400, 404, 422):
        assert answer.problem["outcome"] == "not_run"


@fuzz(20, shrink=False)
@given(REQUESTS)
def test_fuzzed_requests_are_served_or_refused(requests):
    async def main() -> None:
        async with in_process_fleet() as fleet:
            for path, body, headers in requests:
                check(await send(fleet, path, body, headers))
            good = await fleet.chat(HOST, "dolerite", MODEL, "Open?", max_tokens=4)
            assert good.outcome == "served"

    run_virtual(main)


async def test_lone_surrogate_is_refused():
    async with in_process_fleet() as fleet:
        body = b'{"model": "survey-large", "messages": [{"role": "user", "content": "\\ud800"}]}'
        assert (await send(fleet, CHAT, body, {})).status == 400


async def test_key_outside_of_ascii_is_refused_before_anything_is_claimed():
    async with in_process_fleet() as fleet:
        answer = await send(fleet, BOOK, b"{}", {"idempotency-key": "é".encode("latin-1")})
        assert (answer.status, answer.problem["outcome"]) == (400, "not_run")


async def test_internal_error_is_typed_by_whether_anything_was_dispatched():
    async with in_process_fleet() as fleet:
        chain = fleet.router(HOST)._chain
        for dispatched, outcome in ((False, "not_run"), (True, "may_have_run")):

            async def broken(call: Any, dispatched: bool = dispatched) -> Any:
                call.meter.dispatched = dispatched
                raise RuntimeError("a defect")

            chain.run = broken
            answer = await send(fleet, CHAT, json.dumps(GOOD).encode(), {})
            assert (answer.status, answer.problem["outcome"]) == (500, outcome)


async def test_wrong_and_missing_keys_are_refused_alike_and_run_nothing():
    async with in_process_fleet() as fleet:
        url = f"http://{fleet.address(HOST)}{CHAT}"
        body = msgspec.json.encode(GOOD)
        engines = [member.name for member in fleet.layout.of_kind("engine")]
        before = [await fleet.stats(name) for name in engines]
        for value in ("", "Bearer", "Bearer ", "Bearer guess", "Basic dTpw", "bearer\tx"):
            headers = {"authorization": value} if value else {}
            answer = (await fleet.outside.http.request("POST", url, body, headers)).unwrap()
            assert answer.status == 401
            assert answer.headers["www-authenticate"] == "Bearer"
        assert [await fleet.stats(name) for name in engines] == before


async def test_another_accounts_key_and_request_id_give_nothing_away():
    async with in_process_fleet() as fleet:
        own = await fleet.book(HOST, "dolerite", "bookings", "shared-key", body={"for": "me"})
        other = await fleet.book(HOST, "swan-coastal", "bookings", "shared-key", body={"for": "me"})
        assert own.outcome == other.outcome == "served"
        assert "idempotent-replayed" not in other.headers
        made = await fleet.stats("bookings-zone-a-1")
        assert made["bookings"] == {"shared-key": 2}
        asked = await fleet.chat(HOST, "dolerite", MODEL, "Mine", x_request_id="known-id")
        again = await fleet.chat(HOST, "swan-coastal", MODEL, "Yours", x_request_id="known-id")
        assert asked.headers["x-request-id"] != again.headers["x-request-id"]
        assert asked.text != again.text
