"""Server-sent events of a model engine."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import msgspec

__all__ = ["Event", "TokenCount", "read_events"]

_DATA = b"data:"
_DONE = b"[DONE]"


class Event(NamedTuple):
    """One event: its bytes as received with the blank line, and its data."""

    raw: bytes
    data: bytes


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details = msgspec.field(default_factory=_Details)


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Chunk)


class TokenCount:
    """Tokens of one answer, counted from its events.

    Attributes
    ----------
    prompt, cached, generated : int
        Tokens as the engine reported them, or of `generated` the number of events before it did.
    done : bool
        Whether the engine said that the answer is complete.
    """

    def __init__(self) -> None:
        self.prompt = 0
        self.cached = 0
        self.generated = 0
        self.done = False
        self.finish_reason: str | None = None

    def take(self, event: Event) -> str:
        """Count an event and return its text."""
        if event.data == _DONE:
            self.done = True
            return ""
        try:
            chunk = _decoder.decode(event.data)
        except msgspec.DecodeError:
            return ""
        if chunk.usage is not None:
            self._take_usage(chunk.usage)
        if not chunk.choices:
            return ""
        choice = chunk.choices[0]
        self.finish_reason = choice.finish_reason or self.finish_reason
        if choice.delta.content and chunk.usage is None:
            self.generated += 1
        return choice.delta.content

    def usage(self) -> dict[str, Any]:
        """Return the usage in the form that callers know."""
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt + self.generated,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        }

    def _take_usage(self, usage: _Usage) -> None:
        self.prompt = usage.prompt_tokens
        self.cached = usage.prompt_tokens_details.cached_tokens
        self.generated = usage.completion_tokens


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[Event]:
    """Split a body into its events; an unfinished last one is dropped."""
    rest = b""
    async for chunk in chunks:
        rest += chunk
        while (end := rest.find(b"\n\n")) >= 0:
            raw, rest = rest[: end + 2], rest[end + 2 :]
            yield Event(raw, _data_of(raw))


def _data_of(raw: bytes) -> bytes:
    lines = [line[len(_DATA) :].strip() for line in raw.splitlines() if line.startswith(_DATA)]
    return b"\n".join(lines)
