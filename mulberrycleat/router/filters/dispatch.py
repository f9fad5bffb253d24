"""Last filter: chooses an endpoint, sends the request and passes the answer back."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec
from result import Err, Ok, Result

from mulberrycleat.budget import cost_of
from mulberrycleat.core import MayHaveRun, NotRun, PeerError, Refusal, Served, Step
from mulberrycleat.endpoint import EndpointView
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.events import TokenCount, read_events
from mulberrycleat.web import FAILURES, BaseHttpClient, peer_error

__all__ = ["DispatchFilter"]

MAX_TRIES = 3
READ_TIMEOUT_S = 20.0


class DispatchFilter:
    """Send a request to an endpoint of its pool.

    Parameters
    ----------
    table : EndpointTable
        What this router knows of the endpoints.
    client : BaseHttpClient
        Connections to endpoints.
    """

    def __init__(self, table: EndpointTable, client: BaseHttpClient) -> None:
        self._table = table
        self._client = client

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Try endpoints until one answers or trying again would not be safe."""
        tried: set[str] = set()
        refusal: Refusal = _no_endpoint(call)
        for _ in range(MAX_TRIES):
            view = self._table.choose(call, tried)
            if view is None:
                return Err(refusal)
            tried.add(view.endpoint.name)
            outcome = await self._try(call, view)
            if isinstance(outcome, Ok) or not _may_try_again(call, outcome.err_value):
                return outcome
            refusal = outcome.err_value
        return Err(refusal)

    async def _try(self, call: Call, view: EndpointView) -> Result[Served, Refusal]:
        name = view.endpoint.name
        failed = True
        self._table.started(name, call.reserve_tokens)
        try:
            if call.pool.kind == "model":
                outcome = await self._run_model(call, view)
            else:
                outcome = await self._run_service(call, view)
            failed = isinstance(outcome, Err)
            return outcome
        finally:
            self._table.ended(name, call.reserve_tokens, failed)

    async def _run_model(self, call: Call, view: EndpointView) -> Result[Served, Refusal]:
        url = f"http://{view.endpoint.address}/v1/chat/completions"
        count = call.meter.count = TokenCount()
        call.meter.dispatched = True
        try:
            async with self._client.stream(
                "POST", url, msgspec.json.encode(call.body), _headers(call), READ_TIMEOUT_S
            ) as answer:
                if answer.status != 200:
                    return Err(await _refused(answer.status, answer.chunks, view))
                await _pass_on(call, answer.chunks, count)
        except FAILURES as error:
            return Err(_failure(call, view, peer_error(error, Step.DISPATCH, url), count))
        if not count.done:
            broken = PeerError(Step.STREAM, view.endpoint.name, "the answer was cut short")
            return Err(_failure(call, view, broken, count))
        return Ok(_served(call, view, count))

    async def _run_service(self, call: Call, view: EndpointView) -> Result[Served, Refusal]:
        path = call.request.params.get("path", "")
        url = f"http://{view.endpoint.address}/{path}"
        headers = {**_headers(call), "idempotency-key": call.idempotency_key or call.id}
        call.meter.dispatched = True
        match await self._client.request(
            "POST", url, call.request.body, headers, READ_TIMEOUT_S, Step.DISPATCH
        ):
            case Ok(answer) if answer.status < 500:
                content_type = answer.headers.get("content-type", "application/octet-stream")
                length = ("content-length", str(len(answer.body)))
                await call.sink.start(answer.status, (("content-type", content_type), length))
                await call.sink.finish(answer.body)
                return Ok(Served(call.reserve_tokens, view.endpoint.name))
            case Ok(answer):
                reason = f"the endpoint answered {answer.status}"
                return Err(MayHaveRun(Step.DISPATCH, view.endpoint.name, reason))
            case Err(error):
                return Err(_failure(call, view, error, TokenCount()))


async def _pass_on(call: Call, chunks: AsyncIterator[bytes], count: TokenCount) -> None:
    """Send a model's events to the caller as they come, or as one JSON object at the end."""
    texts: list[str] = []
    async for event in read_events(chunks):
        text = count.take(event)
        if call.stream and not call.sink.started:
            await call.sink.start(200, _stream_headers(call))
        if call.stream and not count.done:
            await call.sink.write(event.raw)
        texts.append(text)
    if not count.done:
        return
    if call.stream:
        await call.sink.finish(b"data: [DONE]\n\n")
    else:
        await _send_whole(call, "".join(texts), count)


async def _send_whole(call: Call, text: str, count: TokenCount) -> None:
    body = msgspec.json.encode(
        {
            "id": call.id,
            "object": "chat.completion",
            "model": call.pool.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": count.finish_reason,
                }
            ],
            "usage": count.usage(),
        }
    )
    headers = (
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        ("x-request-id", call.id),
    )
    await call.sink.start(200, headers)
    await call.sink.finish(body)


def _stream_headers(call: Call) -> tuple[tuple[str, str], ...]:
    return (
        ("content-type", "text/event-stream"),
        ("cache-control", "no-cache"),
        ("x-request-id", call.id),
    )


def _headers(call: Call) -> dict[str, str]:
    return {"content-type": "application/json", "x-request-id": call.id}


def _served(call: Call, view: EndpointView, count: TokenCount) -> Served:
    cost = cost_of(call.pool.price, count.prompt, count.cached, count.generated)
    return Served(cost, view.endpoint.name, count.prompt, count.cached, count.generated)


async def _refused(status: int, chunks: AsyncIterator[bytes], view: EndpointView) -> Refusal:
    async for _ in chunks:
        pass
    reason = f"the endpoint answered {status}"
    if status in (429, 503):
        return NotRun(Step.DISPATCH, view.endpoint.name, reason, 503, 1.0, "endpoint_busy")
    return NotRun(Step.DISPATCH, view.endpoint.name, reason, 502, None, "endpoint_refused")


def _failure(call: Call, view: EndpointView, error: PeerError, count: TokenCount) -> Refusal:
    name = view.endpoint.name
    if not error.sent:
        return NotRun(Step.DISPATCH, name, error.reason, 503, 1.0, "endpoint_unreachable")
    cost = None
    if count.prompt:
        cost = cost_of(call.pool.price, count.prompt, count.cached, count.generated)
    return MayHaveRun(Step.DISPATCH, name, error.reason, cost_tokens=cost)


def _may_try_again(call: Call, refusal: Refusal) -> bool:
    if call.sink.started:
        return False
    match refusal:
        case NotRun(code="endpoint_refused"):
            return False
        case NotRun():
            return True
        case _:
            return call.idempotent


def _no_endpoint(call: Call) -> NotRun:
    reason = f"pool {call.pool.name!r} has no endpoint to send to"
    return NotRun(Step.CHOOSE, "", reason, 503, 2.0, "no_endpoint")
