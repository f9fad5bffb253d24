"""Complete answers: a failed stream is resumed at another engine, or ends with an error."""

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

FULL_TEXT = "w0 w1 w2 w3 w4 w5 "
FAULTY_ENGINES = (
    FakeEngine(abort_after=3),
    FakeEngine(abort_after=3, clean_abort=True),
    FakeEngine(freeze_after=3),
    FakeEngine(abort_after=0),
    FakeEngine(events_at=3, events=b"data: {not json\n\n"),
    FakeEngine(events_at=3, events=b"data: " + b"x" * (MAX_EVENT_BYTES + 1)),
    FakeEngine(events_at=3, events=event({"choices": [], "usage": {"prompt_tokens": 99}})),
    FakeEngine(early_done_at=3),
    FakeEngine(owner="another"),
    FakeEngine(unreachable=True),
    FakeEngine(status=503),
    FakeEngine(status=500),
)


async def test_failed_stream_is_resumed_at_another_engine_and_billed_once():
    for engine in FAULTY_ENGINES:
        call = make_call(MODEL_POOL)
        outcome = await dispatch(call, engine, FakeEngine())
        events = await received(call.sink)
        assert text_of(events) == FULL_TEXT, engine
        assert events[-1] == "[DONE]" and events.count("[DONE]") == 1, engine
        assert events[-2]["usage"]["completion_tokens"] == 6, engine
        assert outcome.ok_value.cost_tokens == 10 + 6, engine


async def test_full_response_is_assembled_from_two_engines():
    call = make_call(MODEL_POOL, stream=False)
    outcome = await dispatch(call, FakeEngine(abort_after=4), FakeEngine())
    assert isinstance(outcome, Ok)
    assert FULL_TEXT.encode() in call.sink.body and b'"completion_tokens":6' in call.sink.body


async def test_second_engine_gets_the_text_and_token_count_of_the_first():
    second = FakeEngine()
    await dispatch(make_call(MODEL_POOL), FakeEngine(abort_after=4), second)
    assert second.bodies[0]["continue_text"] == "w0 w1 w2 w3 "
    assert second.bodies[0]["continue_tokens"] == 4


async def test_stream_without_engine_to_resume_it_has_no_done_event():
    call = make_call(MODEL_POOL)
    outcome = await dispatch(call, FakeEngine(abort_after=3), FakeEngine(abort_after=1))
    assert isinstance(outcome.err_value, MayHaveRun)
    assert outcome.err_value.cost_tokens == 10 + 4
    assert b"[DONE]" not in call.sink.body and not call.sink.finished


async def test_answer_at_its_token_limit_is_complete_without_its_last_event():
    call = make_call(MODEL_POOL)
    engine = FakeEngine(abort_after=6, clean_abort=True)
    engine.chunks = _without_last_event(engine)
    outcome = await dispatch(call, engine)
    events = await received(call.sink)
    assert text_of(events) == FULL_TEXT and events[-1] == "[DONE]"
    assert outcome.ok_value.generated_tokens == 6


def _without_last_event(engine: FakeEngine):
    async def chunks(body):
        async for chunk in FakeEngine.chunks(engine, body):
            if b"finish_reason" in chunk:
                return
            yield chunk

    return chunks


async def test_refusal_stays_may_have_run_after_a_retry_that_did_not_run():
    call = make_call(MODEL_POOL, stream=False)
    outcome = await dispatch(call, FakeEngine(abort_after=0), FakeEngine(unreachable=True))
    assert isinstance(outcome.err_value, MayHaveRun)


async def test_server_error_of_an_engine_is_may_have_run():
    outcome = await dispatch(make_call(MODEL_POOL, 1), FakeEngine(status=500))
    assert isinstance(outcome.err_value, MayHaveRun)


async def test_refusal_that_belongs_to_another_request_does_not_prove_that_this_one_did_not_run():
    for status in (429, 503, 409):
        engine = FakeEngine(status=status, owner="another")
        outcome = await dispatch(make_call(MODEL_POOL, 1), engine)
        assert isinstance(outcome.err_value, MayHaveRun), status


async def test_disconnect_of_the_caller_cancels_the_work_and_bills_the_engines_count():
    call = make_call(MODEL_POOL, 1)
    engine = FakeEngine()
    with trio.move_on_after(0.035):
        await dispatch(call, engine)
    assert engine.cancelled == ["r1"]
    assert call.meter.count.generated == 3 + 2
    assert call.meter.dispatched


async def test_request_that_reached_no_endpoint_is_not_marked_as_dispatched():
    call = make_call(MODEL_POOL, 1)
    await dispatch(call, FakeEngine(unreachable=True))
    assert not call.meter.dispatched


async def test_an_engine_that_has_started_again_does_not_prove_that_a_request_did_not_run():
    """It knows nothing of the request, of which the caller has a part."""
    call = make_call(MODEL_POOL, 1, deadline=trio.current_time() + 0.095)
    outcome = await dispatch(call, FakeEngine(freeze_after=3, has_restarted=True))
    assert len(await received(call.sink)) > 1
    assert isinstance(outcome.err_value, MayHaveRun)


async def test_deadline_is_may_have_run_during_a_stream_and_not_run_before_dispatch():
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


async def test_booking_is_retried_only_if_it_cannot_have_been_sent():
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


async def test_booking_is_retried_if_declined_but_not_after_a_server_error():
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


async def test_booking_does_not_get_the_answer_of_another_request():
    call = make_call(SERVICE_POOL)
    second = FakeService()
    outcome = await dispatch(call, FakeService(owner="another"), second)
    assert isinstance(outcome.err_value, MayHaveRun)
    assert not call.sink.started and second.bookings == []
