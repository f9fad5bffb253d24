"""Fuzzed and malformed requests: each gets a full response or a typed refusal."""

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
CHAT_PATH = "/v1/chat/completions"
BOOKING_PATH = "/v1/services/bookings/slots"
VALID_BODY = {
    "model": MODEL,
    "messages": [{"role": "user", "content": "Open?"}],
    "max_tokens": 4,
    "stream": True,
}

ODD_VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**30, -1, 0, 1e308, 2**63, 2**64])
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20)
    | st.lists(st.integers(), max_size=3)
    | st.dictionaries(st.text(max_size=5), st.integers(), max_size=3)
)
FIELDS = [
    *VALID_BODY,
    "continue_text",
    "continue_tokens",
    "temperature",
    "stop",
    "n",
    "x-request-id",
]
JSON_BODIES = st.dictionaries(st.sampled_from(FIELDS), ODD_VALUES, max_size=3).map(
    lambda changes: json.dumps({**VALID_BODY, **changes}).encode()
)
RAW_BODIES = st.binary(max_size=60) | st.sampled_from(
    [
        b"",
        b"{",
        b"null",
        b"[" * 5000,
        b'{"model": "survey-large", "messages": [{"role": "user", "content": "\\ud800"}]}',
        b'{"model": "survey-large", "messages": []}',
        json.dumps({**VALID_BODY, "messages": [{"role": "user", "content": "é\x00\n\n"}]}).encode(),
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
    st.tuples(st.sampled_from([CHAT_PATH, BOOKING_PATH]), JSON_BODIES | RAW_BODIES, HEADERS),
    min_size=10,
    max_size=25,
)


async def send(fleet: InProcessFleet, path: str, body: bytes, headers: dict[str, Any]) -> Answer:
    url = f"http://{fleet.address(HOST)}{path}"
    key = {"authorization": f"Bearer {fleet.layout.keys['dolerite']}"}
    outcome = await fleet.caller_ports.http.request("POST", url, body, {**headers, **key}, 60.0)
    answer = outcome.unwrap()
    return Answer(answer.status, answer.headers, answer.body)


def check(answer: Answer) -> None:
    """Fail for an answer that is neither a full response nor a typed refusal."""
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
        assert (await send(fleet, CHAT_PATH, body, {})).status == 400


async def test_non_ascii_idempotency_key_is_refused_as_not_run():
    async with in_process_fleet() as fleet:
        answer = await send(fleet, BOOKING_PATH, b"{}", {"idempotency-key": "é".encode("latin-1")})
        assert (answer.status, answer.problem["outcome"]) == (400, "not_run")


async def test_internal_error_is_may_have_run_only_after_a_dispatch():
    async with in_process_fleet() as fleet:
        chain = fleet.router(HOST)._chain
        for dispatched, outcome in ((False, "not_run"), (True, "may_have_run")):

            async def broken(call: Any, dispatched: bool = dispatched) -> Any:
                call.meter.dispatched = dispatched
                raise RuntimeError("a defect")

            chain.run = broken
            answer = await send(fleet, CHAT_PATH, json.dumps(VALID_BODY).encode(), {})
            assert (answer.status, answer.problem["outcome"]) == (500, outcome)


async def test_wrong_and_missing_api_keys_are_refused_and_run_nothing():
    async with in_process_fleet() as fleet:
        url = f"http://{fleet.address(HOST)}{CHAT_PATH}"
        body = msgspec.json.encode(VALID_BODY)
        engines = [member.name for member in fleet.layout.of_kind("engine")]
        before = [await fleet.stats(name) for name in engines]
        for value in ("", "Bearer", "Bearer ", "Bearer guess", "Basic dTpw", "bearer\tx"):
            headers = {"authorization": value} if value else {}
            answer = (await fleet.caller_ports.http.request("POST", url, body, headers)).unwrap()
            assert answer.status == 401
            assert answer.headers["www-authenticate"] == "Bearer"
        assert [await fleet.stats(name) for name in engines] == before


async def test_keys_and_request_ids_of_another_account_reveal_no_answer():
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
