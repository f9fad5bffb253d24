"""A single attempt of a request at a model engine."""

from __future__ import annotations

import contextlib
import math
from collections.abc import AsyncIterator

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.budget import cost_of
from mulberrycleat.core import PeerError, Refusal, Served, Step
from mulberrycleat.endpoint import priority_of
from mulberrycleat.manifest import Endpoint
from mulberrycleat.router.call import Call
from mulberrycleat.router.events import Event, InvalidAnswerError, read_events
from mulberrycleat.router.exchanges.failures import (
    REQUEST_ID_HEADER,
    failure,
    refused,
    wrong_owner,
)
from mulberrycleat.router.exchanges.writer import AnswerWriter
from mulberrycleat.web import HTTPCORE_ERRORS, BaseHttpClient, peer_error

__all__ = ["run_model"]

PRIORITY_HEADER = "x-priority"
EVENTS_TYPE = "text/event-stream"
FIRST_EVENT_TIMEOUT_S = 20.0
STALL_TIMEOUT_S = 10.0
CANCEL_TIMEOUT_S = 1.0
END_OF_BODY_TIMEOUT_S = 0.2


async def run_model(
    client: BaseHttpClient, call: Call, endpoint: Endpoint
) -> Result[Served, Refusal]:
    """Send a request to an engine and forward its answer.

    The engine continues the text from earlier attempts, if any. If the call is cancelled, the
    request is cancelled at the engine too, and billed by the token counts in the engine's reply.
    """
    url = f"http://{endpoint.address}/v1/chat/completions"
    dispatched_before = call.meter.dispatched
    call.meter.count.begin()
    call.meter.dispatched = True
    try:
        async with client.stream(
            "POST", url, _body(call), _headers(call), FIRST_EVENT_TIMEOUT_S
        ) as answer:
            if owner := wrong_owner(call, answer.headers):
                raise InvalidAnswerError(f"the answer belongs to request {owner!r}")
            if answer.status != 200:
                return Err(refused(call, endpoint.name, answer.status))
            if answer.media_type != EVENTS_TYPE:
                raise InvalidAnswerError(f"an answer of type {answer.media_type!r}, not of events")
            await _forward(call, answer.chunks)
    except HTTPCORE_ERRORS as error:
        found = peer_error(error, Step.DISPATCH, url)
        return Err(failure(call, PeerError(found.step, endpoint.name, found.reason, found.sent)))
    except InvalidAnswerError as error:
        return Err(failure(call, PeerError(Step.STREAM, endpoint.name, str(error))))
    except trio.Cancelled:
        if not await _cancel(client, call, endpoint):
            call.meter.is_unknown = not dispatched_before
        raise
    return Ok(_served(call, endpoint))


async def _forward(call: Call, chunks: AsyncIterator[bytes]) -> None:
    """Forward the events to the writer as they arrive; raise if the answer is incomplete.

    Errors of the stream after the answer's finish reason or at its token limit are ignored.
    """
    writer = AnswerWriter(call)
    async with contextlib.aclosing(read_events(chunks)) as events:
        try:
            await _forward_events(call, events, writer)
        except (*HTTPCORE_ERRORS, InvalidAnswerError):
            if writer.is_over_limit:
                raise
            if not call.meter.count.complete and not await writer.end_at_token_limit():
                raise
        await writer.finish()
        with contextlib.suppress(*HTTPCORE_ERRORS, InvalidAnswerError):
            await _read_to_end(events)


async def _forward_events(call: Call, events: AsyncIterator[Event], writer: AnswerWriter) -> None:
    count = call.meter.count
    with trio.CancelScope(deadline=trio.current_time() + FIRST_EVENT_TIMEOUT_S) as stall_scope:
        async for event in events:
            if stall_scope.cancel_called:
                break
            stall_scope.deadline = math.inf
            if call.meter.first_at is None:
                call.meter.first_at = trio.current_time()
            count.add(event)
            if writer.is_over_limit:
                raise InvalidAnswerError("more tokens than were left of the answer")
            if count.done:
                return
            await writer.forward(event)
            stall_scope.deadline = trio.current_time() + STALL_TIMEOUT_S
    if stall_scope.cancel_called:
        raise InvalidAnswerError("the engine fell silent")
    if not count.complete:
        raise InvalidAnswerError("the answer was cut short")


async def _read_to_end(events: AsyncIterator[Event]) -> None:
    """Read the body up to its end or its next event, so that the connection can be reused."""
    with trio.move_on_after(END_OF_BODY_TIMEOUT_S):
        async for _ in events:
            return


async def _cancel(client: BaseHttpClient, call: Call, endpoint: Endpoint) -> bool:
    """Cancel the request at the engine and add the token counts in the engine's reply.

    Returns False if the engine replies that it does not know the request, else True.
    """
    url = f"http://{endpoint.address}/v1/cancel"
    count = call.meter.count
    with trio.CancelScope(shield=True, deadline=trio.current_time() + CANCEL_TIMEOUT_S):
        match await client.send_json(
            "POST", url, {"request_id": call.id}, timeout_s=CANCEL_TIMEOUT_S, step=Step.DISPATCH
        ):
            case Ok({"known": True, "prompt_tokens": prompt, "generated_tokens": done} as answer):
                count.add_cancelled(prompt, int(answer.get("cached_tokens", 0)), done)
            case Ok({"known": False}):
                return False
    return True


def _body(call: Call) -> bytes:
    """Return the JSON body; to resume an answer, with its text so far and the remaining tokens."""
    count = call.meter.count
    if not count.text:
        return msgspec.json.encode(call.body)
    continuation = {
        "continue_text": count.text,
        "continue_tokens": count.generated,
        "max_tokens": call.body["max_tokens"] - count.generated,
    }
    return msgspec.json.encode({**call.body, **continuation})


def _headers(call: Call) -> dict[str, str]:
    headers = {
        "content-type": "application/json",
        REQUEST_ID_HEADER: call.id,
        "x-holder": call.holder,
        "x-fencing-number": str(call.reservation),
        "x-budget": call.budget,
    }
    if call.demand is not None:
        headers[PRIORITY_HEADER] = str(priority_of(call.demand))
    return headers


def _served(call: Call, endpoint: Endpoint) -> Served:
    count = call.meter.count
    cost = cost_of(call.pool.price, count.prompt, count.cached, count.generated)
    return Served(cost, endpoint.name, count.prompt, count.cached, count.generated)
