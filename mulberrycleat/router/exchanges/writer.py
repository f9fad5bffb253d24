"""Writes a model's answer to the caller."""

from __future__ import annotations

from typing import Any

import msgspec

from mulberrycleat.router.call import Call
from mulberrycleat.router.events import Event

__all__ = ["AnswerWriter"]

DONE_EVENT = b"data: [DONE]\n\n"
FINISH_REASON_LENGTH = "length"


class AnswerWriter:
    """Write one engine's part of an answer as events, or the full answer as JSON at the end.

    Parameters
    ----------
    call : Call
        The call; an event must be added to its token count before it is forwarded.
    """

    def __init__(self, call: Call) -> None:
        self._call = call
        self._count = call.meter.count
        self._resumed = call.sink.started
        # Without a text, the engine is asked for the whole answer.
        self._goes_on = bool(self._count.text)

    @property
    def is_over_limit(self) -> bool:
        """Whether an engine that was to go on has generated more than the tokens that were left.

        It has begun anew, so that the caller's text is not that of one answer.
        """
        return self._goes_on and self._count.generated > self._call.body["max_tokens"]

    async def forward(self, event: Event) -> None:
        """Write an event to the caller if the caller requested a stream."""
        if not self._call.stream:
            return
        if not self._call.sink.started:
            await self._call.sink.start(200, _stream_headers(self._call))
        if not self._resumed:
            await self._call.sink.write(event.raw)
        elif rewritten := self._rewrite(event):
            await self._call.sink.write(rewritten)

    async def end_at_token_limit(self) -> bool:
        """End an answer that reached its token limit but lost its last event.

        Returns False if the answer has fewer tokens than its limit.
        """
        if self._count.generated < self._call.body["max_tokens"]:
            return False
        self._count.finish_reason = FINISH_REASON_LENGTH
        if self._call.stream:
            choice = {"index": 0, "delta": {}, "finish_reason": FINISH_REASON_LENGTH}
            chunk = {"choices": [choice], "usage": self._count.usage()}
            await self._call.sink.write(_encode({"id": self._count.id, **chunk}))
        return True

    async def finish(self) -> None:
        """Write the end of the answer."""
        if self._call.stream:
            await self._call.sink.finish(DONE_EVENT)
        else:
            await self._send_full_response()

    def _rewrite(self, event: Event) -> bytes:
        """Return an event of a later engine with the answer id and the usage of the whole answer.

        Returns empty bytes for an event without choices, which is not forwarded.
        """
        value = msgspec.json.decode(event.data)
        if not value.get("choices"):
            return b""
        if self._count.id:
            value["id"] = self._count.id
        if value.get("usage"):
            value["usage"] = self._count.usage()
        return _encode(value)

    async def _send_full_response(self) -> None:
        call = self._call
        message = {"role": "assistant", "content": self._count.text}
        choice = {"index": 0, "message": message, "finish_reason": self._count.finish_reason}
        body = msgspec.json.encode(
            {
                "id": call.id,
                "object": "chat.completion",
                "model": call.pool.model,
                "choices": [choice],
                "usage": self._count.usage(),
            }
        )
        headers = (
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("x-request-id", call.id),
        )
        await call.sink.start(200, headers)
        await call.sink.finish(body)


def _encode(value: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def _stream_headers(call: Call) -> tuple[tuple[str, str], ...]:
    return (
        ("content-type", "text/event-stream"),
        ("cache-control", "no-cache"),
        ("x-request-id", call.id),
    )
