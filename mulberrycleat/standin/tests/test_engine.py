"""The engine stand-in keeps the protocol that routers rely on."""

from __future__ import annotations

import msgspec
import trio

from mulberrycleat.standin.engine import EngineStandin
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.testing import fixture
from mulberrycleat.web import Reply, Request, Responder

NOTE = "Day 3, east track: two washouts, one fallen myrtle. " * 40


@fixture
def engine():
    settings = StandinSettings("engine", "127.0.0.1:1", max_batch=2, prefill_s_per_1000=1.0)
    return EngineStandin(settings)


async def _call(engine, method, path, body=None, headers=None, query=None):
    """Return status, body as sent, and the virtual time at which the first byte came."""
    sent = []
    first_at = []

    async def send(message):
        if message["type"] == "http.response.body":
            first_at.append(trio.current_time())
            sent.append(message["body"])
        else:
            sent.append(message["status"])

    responder = Responder(send)
    route = next(r for r in engine.routes() if (r.method, r.pattern) == (method, path))
    data = msgspec.json.encode(body or {})
    reply = await route.handler(
        Request(method, path, headers or {}, query or {}, data, {}), responder
    )
    if isinstance(reply, Reply):
        return reply.status, reply.body, trio.current_time()
    return sent[0], b"".join(sent[1:]), first_at[0]


async def _chat(engine, text, request_id="r1", priority=5, **fields):
    body = {"model": "m", "messages": [{"role": "user", "content": text}], **fields}
    headers = {"x-request-id": request_id, "x-priority": str(priority)}
    return await _call(engine, "POST", "/v1/chat/completions", body, headers)


def _chunks(raw):
    return [msgspec.json.decode(p[6:]) for p in raw.split(b"\n\n")[:-2]]


def _text(raw):
    pieces = [c["choices"][0]["delta"].get("content", "") for c in _chunks(raw) if c["choices"]]
    return "".join(pieces)


async def test_a_continued_answer_has_the_same_text(engine):
    whole = _text((await _chat(engine, "hello", max_tokens=10))[1])
    begun = "".join(part + " " for part in whole.split()[:4])
    status, raw, _ = await _chat(
        engine, "hello", max_tokens=6, continue_text=begun, continue_tokens=4
    )
    assert status == 200
    assert begun + _text(raw) == whole
    assert _chunks(raw)[-1]["usage"]["completion_tokens"] == 6


async def test_a_cancelled_request_generates_nothing_more_and_is_refused_later(engine):
    outcomes = []

    async def run():
        try:
            await _chat(engine, NOTE, max_tokens=100)
        except ConnectionAbortedError:
            outcomes.append("cut")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await trio.sleep(1.0)
        _, raw, _ = await _call(engine, "POST", "/v1/cancel", {"request_id": "r1"})
    told = msgspec.json.decode(raw)
    stats = msgspec.json.decode((await _call(engine, "GET", "/stats"))[1])
    assert outcomes == ["cut"]
    assert told["known"] and not told["finished"]
    assert 0 < told["generated_tokens"] == stats["generated"]
    assert (await _chat(engine, NOTE))[0] == 409


async def test_cancel_of_an_unseen_request_refuses_its_late_dispatch(engine):
    _, raw, _ = await _call(engine, "POST", "/v1/cancel", {"request_id": "late"})
    assert not msgspec.json.decode(raw)["known"]
    assert (await _chat(engine, "hello", request_id="late"))[0] == 409


async def test_a_short_prompt_of_high_priority_passes_a_long_one(engine):
    firsts = {}

    async def run(name, text, priority):
        firsts[name] = (await _chat(engine, text, name, priority))[2]

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, "long", "x" * 40_000, 7)
        await trio.sleep(0.1)
        nursery.start_soon(run, "short", "Is the track open?", 1)
    assert firsts["short"] < 1.0 < firsts["long"]


async def test_load_report_and_cache_events_come_late(engine):
    await _chat(engine, NOTE)
    assert msgspec.json.decode((await _call(engine, "GET", "/cache-events"))[1])["events"] == []
    await trio.sleep(1.0)
    page = msgspec.json.decode((await _call(engine, "GET", "/cache-events"))[1])
    assert page["events"][0]["kind"] == "stored"
    again = _chunks((await _chat(engine, NOTE, "r2"))[1])
    assert again[0]["usage"]["prompt_tokens_details"]["cached_tokens"] > 400
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_chat, engine, NOTE, "r3", 5)
        await trio.sleep(0.1)
        early = msgspec.json.decode((await _call(engine, "GET", "/load"))[1])
    assert early["requests"] == 0
