"""Stand-in for a model engine: continuous batching, prefix cache, streams in the OpenAI format."""

from __future__ import annotations

import msgspec
import trio
from result import Err

from mulberrycleat.endpoint import prefix_keys
from mulberrycleat.standin.engine_answer import (
    ChatBody,
    answer_token,
    count_tokens,
    event,
    text_event,
    usage,
)
from mulberrycleat.standin.engine_cache import PrefixCache
from mulberrycleat.standin.engine_dispatch import Dispatch, DispatchTable
from mulberrycleat.standin.engine_fence import EngineFence
from mulberrycleat.standin.engine_gate import PriorityGate
from mulberrycleat.standin.engine_load import LoadHistory
from mulberrycleat.standin.engine_orders import EngineOrders
from mulberrycleat.standin.faults import Faults
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["EngineStandin"]

STREAM_HEADERS = (("content-type", "text/event-stream"),)
PREFILL_CHUNK_TOKENS = 512
DEFAULT_PRIORITY = 5
LOWEST_PRIORITY = 9
LEAVING_RETRY_AFTER_S = "5"


class _CancelBody(msgspec.Struct):
    request_id: str


class EngineStandin:
    """Model engine with simulated decoding and prefill times.

    Answers depend only on the prompt, so that a retry gives the same text and a continued answer
    gives the same remaining text. A prompt token is up to four bytes. The first event of a stream
    carries the usage of the prompt, the last one the usage of the full response. Up to `max_batch`
    requests are in the batch at once. Their prompts are read one chunk at a time, lowest priority
    number first; then their answers are decoded together.

    Parameters
    ----------
    settings : StandinSettings
        Step times, batch size, cache size and lags.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._slots = PriorityGate(settings.max_batch)
        self._prefill = PriorityGate(1)
        self._cache = PrefixCache(settings)
        self._dispatches = DispatchTable()
        self._load_history = LoadHistory(settings, self._dispatches)
        self._served = 0
        self._aborted = 0
        self._generated = 0
        self._fence = EngineFence(settings, self._dispatches)
        self._orders = EngineOrders(settings, lambda: len(self._dispatches.open))

    @property
    def dispatches(self) -> DispatchTable:
        """Requests that the engine runs, has run, or must refuse."""
        return self._dispatches

    def routes(self) -> tuple[Route, ...]:
        """Return the service's routes."""
        return (
            Route("POST", "/v1/chat/completions", self._complete),
            Route("POST", "/v1/cancel", self._cancel),
            Route("GET", "/load", self._load),
            Route("GET", "/cache-events", self._cache_events),
            Route("GET", "/stats", self._stats),
            *self._faults.routes(),
            *self._orders.routes(),
            *self._fence.routes(),
        )

    async def _complete(self, request: Request, responder: Responder) -> Reply | None:
        if held := await self._faults.hold() or self._orders.refusal():
            return held
        if self._faults.on.leaving:
            retry_after = ("retry-after", LEAVING_RETRY_AFTER_S)
            return Reply(503, b'{"error": "leaving"}', (retry_after,))
        try:
            body = msgspec.json.decode(request.body, type=ChatBody)
            dispatch = _make_dispatch(request, body)
        except (msgspec.DecodeError, ValueError) as error:
            return json_reply({"error": str(error)}, 400)
        if isinstance(refused := self._dispatches.start(dispatch), Err):
            return json_reply({"error": refused.err_value}, 409)
        return await self._run(dispatch, body, responder)

    async def _run(self, dispatch: Dispatch, body: ChatBody, responder: Responder) -> Reply | None:
        self._load_history.sample()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, responder, nursery.cancel_scope)
                with dispatch.scope:
                    async with self._slots.hold(dispatch.priority):
                        await self._generate(dispatch, body, responder)
                nursery.cancel_scope.cancel()
        finally:
            dispatch.ended = True
            self._load_history.sample()
        if dispatch.finished or responder.gone.is_set():
            return None
        if responder.started:
            raise ConnectionAbortedError("the request was cancelled")
        return json_reply({"error": "the request was cancelled"}, 409)

    async def _generate(self, dispatch: Dispatch, body: ChatBody, responder: Responder) -> None:
        await self._read_prompt(dispatch, body)
        prompt, cached = dispatch.prompt_tokens, dispatch.cached_tokens
        await responder.start(200, STREAM_HEADERS)
        await responder.write(event({"choices": [], "usage": usage(prompt, cached, 0)}))
        for index in range(body.continue_tokens, body.continue_tokens + body.max_tokens):
            await trio.sleep(self._step_s())
            await self._apply_stream_faults(dispatch)
            self._generated += 1
            dispatch.generated_tokens += 1
            await responder.write(text_event(answer_token(body, index)))
        dispatch.finished = True
        self._served += 1
        total_usage = usage(prompt, cached, dispatch.generated_tokens)
        await responder.write(text_event("", "length", usage=total_usage))
        await responder.finish(b"data: [DONE]\n\n")

    async def _read_prompt(self, dispatch: Dispatch, body: ChatBody) -> None:
        keys = prefix_keys(body.model, [message.content for message in body.messages])
        dispatch.cached_tokens = min(self._cache.look_up(keys), dispatch.prompt_tokens)
        left = dispatch.prompt_tokens - dispatch.cached_tokens + count_tokens(body.continue_text)
        while left > 0:
            chunk = min(left, PREFILL_CHUNK_TOKENS)
            async with self._prefill.hold(dispatch.priority):
                await trio.sleep(chunk / 1000 * self._settings.prefill_s_per_1000 * self._slowdown)
            left -= chunk
        dispatch.prefilled = True

    async def _apply_stream_faults(self, dispatch: Dispatch) -> None:
        while self._faults.on.frozen:
            await self._faults.changed.wait()
        cut_after = self._faults.on.truncate_after
        if cut_after and dispatch.generated_tokens >= cut_after:
            self._aborted += 1
            raise ConnectionAbortedError("stream cut by the fault truncate_after")

    @property
    def _slowdown(self) -> float:
        return self._faults.on.slowdown

    def _step_s(self) -> float:
        others = max(0, self._slots.held - 1)
        step_s = self._settings.step_s + others * self._settings.step_per_request_s
        return step_s * self._slowdown

    async def _cancel(self, request: Request, responder: Responder) -> Reply:
        if held := await self._faults.hold():
            return held
        try:
            body = msgspec.json.decode(request.body, type=_CancelBody)
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        dispatches = self._dispatches.cancel(body.request_id)
        return json_reply(
            {
                "known": bool(dispatches),
                "prompt_tokens": sum(dispatch.prompt_tokens for dispatch in dispatches),
                "cached_tokens": sum(dispatch.cached_tokens for dispatch in dispatches),
                "generated_tokens": sum(dispatch.generated_tokens for dispatch in dispatches),
                "finished": any(dispatch.finished for dispatch in dispatches),
            }
        )

    async def _load(self, request: Request, responder: Responder) -> Reply:
        if held := await self._faults.hold():
            return held
        return json_reply(self._load_history.report(self._slots.held, self._slots.waiting))

    async def _cache_events(self, request: Request, responder: Responder) -> Reply:
        if held := await self._faults.hold():
            return held
        try:
            first = int(request.query.get("from", "0"))
        except ValueError as error:
            return json_reply({"error": str(error)}, 400)
        return json_reply(self._cache.events(first))

    async def _stats(self, request: Request, responder: Responder) -> Reply:
        stats = {"served": self._served, "cut": self._aborted, "generated": self._generated}
        return json_reply(stats)


def _make_dispatch(request: Request, body: ChatBody) -> Dispatch:
    headers = request.headers
    priority = int(headers.get("x-priority", DEFAULT_PRIORITY))
    return Dispatch(
        request_id=headers.get("x-request-id", ""),
        holder=headers.get("x-holder", ""),
        budget=headers.get("x-budget", ""),
        fencing_number=int(headers.get("x-fencing-number", "0")),
        at=trio.current_time(),
        priority=min(max(priority, 0), LOWEST_PRIORITY),
        prompt_tokens=body.prompt_tokens,
        max_tokens=body.max_tokens,
    )


async def _cancel_on_disconnect(responder: Responder, scope: trio.CancelScope) -> None:
    await responder.gone.wait()
    scope.cancel()
