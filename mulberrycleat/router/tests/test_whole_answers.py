"""Whole answers: a broken stream is continued elsewhere, or ends as an error."""

from __future__ import annotations

import httpcore
import trio
from result import Err, Ok

from mulberrycleat.core import MayHaveRun, NotRun
from mulberrycleat.router.events import MAX_EVENT_BYTES
from mulberrycleat.router.tests.fakes import (
    MODEL_POOL,
    SERVICE_POOL,
    FakeEngine,
    FakeService,
    dispatch,
    event,
    make_call,
    received,
    text_of,
)

WHOLE = "w0 w1 w2 w3 w4 w5 "
BROKEN = (
    FakeEngine(cut_after=3),
    FakeEngine(cut_after=3, silent_cut=True),
    FakeEngine(freeze_after=3),
    FakeEngine(cut_after=0),
    FakeEngine(events_at=3, events=b"data: {not json\n\n"),
    FakeEngine(events_at=3, events=b"data: " + b"x" * (MAX_EVENT_BYTES + 1)),
    FakeEngine(events_at=3, events=event({"choices": [], "usage": {"prompt_tokens": 99}})),
    FakeEngine(done_early=3),
    FakeEngine(owner="another"),
    FakeEngine(unreachable=True),
    FakeEngine(status=503),
    FakeEngine(status=500),
)


async def test_stream_broken_in_any_way_is_continued_to_one_whole_answer_billed_once():
    for engine in BROKEN:
        call = make_call(MODEL_POOL)
        outcome = await dispatch(call, engine, FakeEngine())
        events = await received(call.sink)
        assert text_of(events) == WHOLE, engine
        assert events[-1] == "[DONE]" and events.count("[DONE]") == 1, engine
        assert events[-2]["usage"]["completion_tokens"] == 6, engine
        assert outcome.ok_value.cost_tokens == 10 + 6, engine


async def test_whole_answer_in_one_piece_is_put_together_from_two_engines():
    call = make_call(MODEL_POOL, stream=False)
    outcome = await dispatch(call, FakeEngine(cut_after=4), FakeEngine())
    assert isinstance(outcome, Ok)
    assert WHOLE.encode() in call.sink.body and b'"completion_tokens":6' in call.sink.body


async def test_second_engine_is_asked_for_the_rest_only():
    second = FakeEngine()
    await dispatch(make_call(MODEL_POOL), FakeEngine(cut_after=4), second)
    assert second.bodies[0]["continue_text"] == "w0 w1 w2 w3 "
    assert second.bodies[0]["continue_tokens"] == 4


async def test_stream_that_nobody_continues_has_no_done():
    call = make_call(MODEL_POOL)
    outcome = await dispatch(call, FakeEngine(cut_after=3), FakeEngine(cut_after=1))
    assert isinstance(outcome.err_value, MayHaveRun)
    assert outcome.err_value.cost_tokens == 10 + 4
    assert b"[DONE]" not in call.sink.body and not call.sink.finished


async def test_answer_whose_last_event_is_lost_at_its_bound_is_whole():
    call = make_call(MODEL_POOL)
    engine = FakeEngine(cut_after=6, silent_cut=True)
    engine.chunks = _without_end(engine)
    outcome = await dispatch(call, engine)
    events = await received(call.sink)
    assert text_of(events) == WHOLE and events[-1] == "[DONE]"
    assert outcome.ok_value.generated_tokens == 6


def _without_end(engine: FakeEngine):
    async def chunks(body):
        async for chunk in FakeEngine.chunks(engine, body):
            if b"finish_reason" in chunk:
                return
            yield chunk

    return chunks


async def test_what_may_have_run_is_never_called_not_run_after_a_retry():
    call = make_call(MODEL_POOL, stream=False)
    outcome = await dispatch(call, FakeEngine(cut_after=0), FakeEngine(unreachable=True))
    assert isinstance(outcome.err_value, MayHaveRun)


async def test_server_error_of_an_engine_may_have_run():
    outcome = await dispatch(make_call(MODEL_POOL, 1), FakeEngine(status=500))
    assert isinstance(outcome.err_value, MayHaveRun)


async def test_caller_who_goes_ends_the_work_and_is_billed_what_the_engine_counts():
    call = make_call(MODEL_POOL, 1)
    engine = FakeEngine()
    with trio.move_on_after(0.035):
        await dispatch(call, engine)
    assert engine.cancelled == ["r1"]
    assert call.meter.count.generated == 3 + 2
    assert call.meter.dispatched


async def test_caller_who_goes_while_no_endpoint_was_reached_is_billed_nothing():
    call = make_call(MODEL_POOL, 1)
    await dispatch(call, FakeEngine(unreachable=True))
    assert not call.meter.dispatched


async def test_time_up_in_a_stream_may_have_run_and_before_any_dispatch_did_not():
    call = make_call(MODEL_POOL, 1, deadline=trio.current_time() + 0.035)
    outcome = await dispatch(call, FakeEngine())
    assert isinstance(outcome.err_value, MayHaveRun) and outcome.err_value.code == "deadline"
    late = make_call(MODEL_POOL, 1, deadline=trio.current_time())
    outcome = await dispatch(late, FakeEngine(unreachable=True))
    assert isinstance(outcome.err_value, NotRun)
    service = FakeService()
    booking = make_call(SERVICE_POOL, 1, deadline=trio.current_time() - 1)
    outcome = await dispatch(booking, service)
    assert isinstance(outcome.err_value, NotRun) and service.bookings == []


async def test_booking_is_sent_again_only_when_it_cannot_have_left():
    unreached, second = FakeService(fault=httpcore.ConnectError("refused")), FakeService()
    outcome = await dispatch(make_call(SERVICE_POOL), unreached, second)
    assert isinstance(outcome, Ok) and second.bookings == ["r1"]
    for fault in (
        httpcore.ReadError("reset"),
        httpcore.ReadTimeout("frozen"),
        httpcore.RemoteProtocolError("truncated"),
        httpcore.WriteError("broken pipe"),
    ):
        second = FakeService()
        outcome = await dispatch(make_call(SERVICE_POOL), FakeService(fault=fault), second)
        assert isinstance(outcome, Err) and isinstance(outcome.err_value, MayHaveRun), fault
        assert second.bookings == []


async def test_booking_that_a_service_declines_is_tried_elsewhere_and_one_that_it_fails_is_not():
    for status in (429, 503):
        second = FakeService()
        busy = FakeService(status=status, retry_after="1")
        outcome = await dispatch(make_call(SERVICE_POOL), busy, second)
        assert isinstance(outcome, Ok) and second.bookings == ["r1"], status
    outcome = await dispatch(make_call(SERVICE_POOL, 1), FakeService(status=429, retry_after="1"))
    assert isinstance(outcome.err_value, NotRun)
    for status in (500, 502, 503, 504):
        second = FakeService()
        outcome = await dispatch(make_call(SERVICE_POOL), FakeService(status=status), second)
        assert isinstance(outcome.err_value, MayHaveRun) and second.bookings == [], status


async def test_booking_never_gets_the_answer_of_another_request():
    call = make_call(SERVICE_POOL)
    second = FakeService()
    outcome = await dispatch(call, FakeService(owner="another"), second)
    assert isinstance(outcome.err_value, MayHaveRun)
    assert not call.sink.started and second.bookings == []
