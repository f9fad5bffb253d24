"""The engine stand-in follows the protocol that routers rely on."""

from __future__ import annotations

import msgspec
import trio

from mulberrycleat.standin.engine import EngineStandin
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.testing import fixture
from mulberrycleat.web import Reply, Request, Responder

PROMPT = "Day 3, east track: two washouts, one fallen myrtle. " * 40


@fixture
def engine():
    settings = StandinSettings("engine", "127.0.0.1:1", max_batch=2, prefill_s_per_1000=1.0)
    return EngineStandin(settings)


async def _call(engine, method, path, body=None, headers=None, query=None):
    """Return the status, the body, and the virtual time in seconds of the first body chunk."""
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


async def test_a_continued_answer_completes_the_same_text(engine):
    full_text = _text((await _chat(engine, "hello", max_tokens=10))[1])
    partial_text = "".join(part + " " for part in full_text.split()[:4])
    status, raw, _ = await _chat(
        engine, "hello", max_tokens=6, continue_text=partial_text, continue_tokens=4
    )
    assert status == 200
    assert partial_text + _text(raw) == full_text
    assert _chunks(raw)[-1]["usage"]["completion_tokens"] == 6


async def test_a_cancelled_request_generates_no_more_tokens_and_is_refused_later(engine):
    outcomes = []

    async def run():
        try:
            await _chat(engine, PROMPT, max_tokens=100)
        except ConnectionAbortedError:
            outcomes.append("cut")

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await trio.sleep(1.0)
        _, raw, _ = await _call(engine, "POST", "/v1/cancel", {"request_id": "r1"})
    reply = msgspec.json.decode(raw)
    stats = msgspec.json.decode((await _call(engine, "GET", "/stats"))[1])
    assert outcomes == ["cut"]
    assert reply["known"] and not reply["finished"]
    assert 0 < reply["generated_tokens"] == stats["generated"]
    assert (await _chat(engine, PROMPT))[0] == 409


async def test_cancelling_an_unknown_request_refuses_its_later_dispatch(engine):
    _, raw, _ = await _call(engine, "POST", "/v1/cancel", {"request_id": "late"})
    assert not msgspec.json.decode(raw)["known"]
    assert (await _chat(engine, "hello", request_id="late"))[0] == 409


async def test_a_short_high_priority_prompt_is_answered_before_a_long_one(engine):
    first_byte_at = {}

    async def run(name, text, priority):
        first_byte_at[name] = (await _chat(engine, text, name, priority))[2]

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run, "long", "x" * 40_000, 7)
        await trio.sleep(0.1)
        nursery.start_soon(run, "short", "Is the track open?", 1)
    assert first_byte_at["short"] < 1.0 < first_byte_at["long"]


async def test_load_reports_and_cache_events_are_delayed(engine):
    await _chat(engine, PROMPT)
    assert msgspec.json.decode((await _call(engine, "GET", "/cache-events"))[1])["events"] == []
    await trio.sleep(1.0)
    page = msgspec.json.decode((await _call(engine, "GET", "/cache-events"))[1])
    assert page["events"][0]["kind"] == "stored"
    second_chunks = _chunks((await _chat(engine, PROMPT, "r2"))[1])
    assert second_chunks[0]["usage"]["prompt_tokens_details"]["cached_tokens"] > 400
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_chat, engine, PROMPT, "r3", 5)
        await trio.sleep(0.1)
        early = msgspec.json.decode((await _call(engine, "GET", "/load"))[1])
    assert early["requests"] == 0
