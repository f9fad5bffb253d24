"""The validation filter bounds the cost of a request, whatever fields the caller sends."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.core import Served
from mulberrycleat.manifest import Manifest, Pool
from mulberrycleat.router.call import Call, View
from mulberrycleat.router.filters import ValidationFilter
from mulberrycleat.router.tests.fakes import (
    SERVICE_POOL,
    FakeCaller,
    FakeService,
    dispatch,
    make_call,
)
from mulberrycleat.web import Request

MESSAGES = [{"role": "user", "content": "Open?"}]


async def admitted(headers: dict[str, str] | None = None, **fields: Any) -> Call | None:
    """Return the call as the next filter gets it, None if it was refused."""
    body = msgspec.json.encode({"model": "m", "messages": MESSAGES, **fields})
    request = Request("POST", "/v1/chat/completions", headers or {}, {}, body, {})
    pool = Pool(name="p", kind="model", model="m", max_generated=100, timeout_s=30.0)
    found: list[Call] = []

    async def proceed(call: Call) -> Any:
        found.append(call)
        return Ok(Served(0, ""))

    call = Call("r1", request, View(1, 1, Manifest(pools=(pool,))), FakeCaller())
    outcome = await ValidationFilter().handle(call, proceed)
    assert not isinstance(outcome, Err) or outcome.err_value.status == 400
    return found[0] if found else None


async def test_fields_that_multiply_or_hide_cost_are_bounded_or_refused():
    assert (await admitted(max_completion_tokens=7)).body["max_tokens"] == 7
    assert "max_completion_tokens" not in (await admitted(max_completion_tokens=700)).body
    assert "continue_text" not in (await admitted(continue_text="x", continue_tokens=9)).body
    assert await admitted(n=3) is None
    assert await admitted(best_of=3) is None
    plain = (await admitted()).reserve_tokens
    assert (await admitted(tools=[{"description": "x" * 500}])).reserve_tokens >= plain + 500
    hidden = [{**MESSAGES[0], "tool_calls": "x" * 500}]
    assert (await admitted(messages=hidden)).reserve_tokens >= plain + 500


async def test_malformed_keys_and_bodies_are_refused():
    for key in ("k\u00e9y", "a\tb", "x" * 201):
        assert await admitted({"idempotency-key": key}) is None, key
    deep = msgspec.Raw(b"[" * 100_000 + b"]" * 100_000)
    assert await admitted(tools=deep) is None


async def test_service_gets_the_path_and_query_of_the_request():
    service = FakeService()
    headers = {"content-type": "text/\u00e9"}
    query = {"for": "Friday & Saturday"}
    request = Request("POST", "/", headers, query, b"{}", {"path": "huts/windy r\u00edo"})
    outcome = await dispatch(make_call(SERVICE_POOL, 1, request=request), service)
    assert isinstance(outcome, Ok)
    assert service.targets == ["huts/windy%20r%C3%ADo?for=Friday+%26+Saturday"]


async def test_deadline_is_the_earlier_of_the_callers_and_the_pools():
    now = trio.current_time()
    assert math.isclose((await admitted()).deadline, now + 30, abs_tol=1)
    assert math.isclose((await admitted({"x-timeout-s": "5"})).deadline, now + 5, abs_tol=1)
    assert math.isclose((await admitted({"x-timeout-s": "500"})).deadline, now + 30, abs_tol=1)
    for malformed in ("0", "-1", "soon", "nan"):
        assert await admitted({"x-timeout-s": malformed}) is None
