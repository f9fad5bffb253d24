"""Stand-in for a model engine: continuous batching, prefix cache, streams in the OpenAI form."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import Any

import msgspec
import trio

from mulberrycleat.standin.engine_orders import EngineOrders
from mulberrycleat.standin.faults import Faults
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["EngineStandin"]

BYTES_PER_TOKEN = 4
STREAM_HEADERS = (("content-type", "text/event-stream"),)


class _Message(msgspec.Struct):
    role: str
    content: str


class _Body(msgspec.Struct):
    model: str
    messages: list[_Message]
    max_tokens: int = 16


class EngineStandin:
    """One engine.

    Answers are a function of the prompt, so that a repeat gives the same text. A prompt token is
    four bytes. The first event of a stream carries the usage of the prompt, the last one that of
    the whole answer.

    Parameters
    ----------
    settings : StandinSettings
        Speed, batch, cache.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._slots = trio.CapacityLimiter(settings.max_batch)
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._waiting = 0
        self._served = 0
        self._cut = 0
        self._generated = 0
        self._orders = EngineOrders(settings, lambda: self._waiting)

    def routes(self) -> tuple[Route, ...]:
        """Return the service's routes."""
        return (
            Route("POST", "/v1/chat/completions", self._complete),
            Route("GET", "/load", self._load),
            Route("GET", "/stats", self._stats),
            *self._faults.routes(),
            *self._orders.routes(),
        )

    async def _complete(self, request: Request, responder: Responder) -> Reply | None:
        if held := await self._faults.hold() or self._orders.refusal():
            return held
        try:
            body = msgspec.json.decode(request.body, type=_Body)
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_gone, responder, nursery.cancel_scope)
            self._waiting += 1
            try:
                async with self._slots:
                    await self._generate(body, responder)
            finally:
                self._waiting -= 1
            nursery.cancel_scope.cancel()
        return None

    async def _generate(self, body: _Body, responder: Responder) -> None:
        prompt = sum(_tokens(message.content) for message in body.messages)
        cached = self._look_up(body)
        await trio.sleep((prompt - cached) / 1000 * self._settings.prefill_s_per_1000)
        await responder.start(200, STREAM_HEADERS)
        await responder.write(_event({"choices": [], "usage": _usage(prompt, cached, 0)}))
        for index in range(body.max_tokens):
            await trio.sleep(self._step_s())
            await self._faults_between_tokens()
            if self._faults.on.truncate_after and index >= self._faults.on.truncate_after:
                self._cut += 1
                raise ConnectionAbortedError("stream cut by a fault")
            self._generated += 1
            await responder.write(_event({"choices": [_choice(_word(body, index))]}))
        final = {"choices": [_choice("", "length")], "usage": _usage(prompt, cached, index + 1)}
        self._served += 1
        await responder.write(_event(final))
        await responder.finish(b"data: [DONE]\n\n")

    async def _faults_between_tokens(self) -> None:
        while self._faults.on.frozen:
            await self._faults.changed.wait()

    def _step_s(self) -> float:
        others = max(0, self._slots.borrowed_tokens - 1)
        return self._settings.step_s + others * self._settings.step_per_request_s

    def _look_up(self, body: _Body) -> int:
        """Return the cached tokens of the longest known prefix, and remember this prompt."""
        cached = 0
        digest = hashlib.sha256(body.model.encode())
        total = 0
        for message in body.messages:
            digest.update(message.content.encode())
            total += _tokens(message.content)
            key = digest.hexdigest()
            if key in self._cache:
                cached = total
                self._cache.move_to_end(key)
            else:
                self._cache[key] = _tokens(message.content)
        while sum(self._cache.values()) > self._settings.cache_tokens:
            self._cache.popitem(last=False)
        return cached

    async def _load(self, request: Request, responder: Responder) -> Reply:
        if held := await self._faults.hold():
            return held
        running = self._slots.borrowed_tokens
        return json_reply({"running": running, "waiting": self._waiting - running})

    async def _stats(self, request: Request, responder: Responder) -> Reply:
        stats = {"served": self._served, "cut": self._cut, "generated": self._generated}
        return json_reply(stats)


def _tokens(text: str) -> int:
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def _word(body: _Body, index: int) -> str:
    seed = hashlib.sha256(f"{body.messages[-1].content}:{index}".encode()).hexdigest()
    return f"{seed[:5]} "


def _choice(text: str, finish_reason: str | None = None) -> dict[str, Any]:
    delta = {"content": text} if text else {}
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def _usage(prompt: int, cached: int, generated: int) -> dict[str, Any]:
    return {
        "prompt_tokens": prompt,
        "completion_tokens": generated,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


async def _cancel_when_gone(responder: Responder, scope: trio.CancelScope) -> None:
    await responder.gone.wait()
    scope.cancel()
