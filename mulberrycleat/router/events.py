"""Server-sent events of a model engine."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import msgspec

__all__ = ["Event", "InvalidAnswerError", "TokenCount", "read_events"]

MAX_EVENT_BYTES = 262_144

_DATA = b"data:"
_DONE = b"[DONE]"
_EVENT = b"event:"
# The name that an event without one has.
_MESSAGE = b"message"


class InvalidAnswerError(Exception):
    """The engine's answer is malformed, incomplete or belongs to another request."""


class Event(NamedTuple):
    """A server-sent event: the received bytes including the blank line, and its data field."""

    raw: bytes
    data: bytes


class _Delta(msgspec.Struct):
    content: str | None = None


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
    choices: list[_Choice]
    id: str = ""
    usage: _Usage | None = None
    error: Any = None


_decoder = msgspec.json.Decoder(_Chunk)


class TokenCount:
    """Text and token counts of one answer, over the events of all engines that generated it.

    The prompt tokens are those that the first engine reported; the generated tokens are those of
    every engine whose text is part of the answer.

    Attributes
    ----------
    prompt, cached, generated : int
        Tokens as the engines reported them; until an engine reports its usage, `generated` counts
        one token per event with text.
    finish_reason : str or None
        Why generation ended; None while the answer is incomplete.
    done : bool
        Whether the current engine ended its stream with ``[DONE]``.
    id : str
        Id of the answer, from the first event that has one.

    Examples
    --------
    >>> count = TokenCount()
    >>> count.add(Event(b"", b'{"choices": [{"delta": {"content": "hut "}}]}'))
    'hut '
    >>> count.generated, count.complete
    (1, False)
    """

    def __init__(self) -> None:
        self.prompt = 0
        self.cached = 0
        self.generated = 0
        self.done = False
        self.finish_reason: str | None = None
        self.id = ""
        self._texts: list[str] = []
        self._earlier_tokens = 0
        self._engine_id = ""
        self._engine_prompt_tokens: int | None = None

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self._texts)

    @property
    def complete(self) -> bool:
        """Whether an engine reported the end of the answer."""
        return self.finish_reason is not None

    @property
    def resumed(self) -> bool:
        """Whether the current engine continues the text of an earlier one."""
        return self._earlier_tokens > 0

    def begin(self) -> None:
        """Start counting for a new engine, which continues the text received so far."""
        self._earlier_tokens = self.generated
        self._engine_id = ""
        self._engine_prompt_tokens = None
        self.done = False

    def add(self, event: Event) -> str:
        """Count an event and return its text.

        Raises
        ------
        InvalidAnswerError
            If the event is malformed, out of order, states an error or belongs to another answer.
        """
        if event.data == _DONE:
            self.done = True
            if not self.complete:
                raise InvalidAnswerError("the engine ended its stream before the answer")
            return ""
        chunk = _decode(event)
        self._check_id(chunk.id)
        if chunk.usage is not None:
            self._add_usage(chunk.usage)
        if not chunk.choices:
            return ""
        return self._add_choice(chunk.choices[0], chunk.usage is None)

    def add_cancelled(self, prompt: int, cached: int, generated: int) -> None:
        """Add the token counts that an engine reported when the request was cancelled there."""
        if not self.prompt:
            self.prompt = prompt
            self.cached = cached
        self.generated = max(self.generated, self._earlier_tokens + generated)

    def usage(self) -> dict[str, Any]:
        """Return the usage in the format of the chat completions API."""
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt + self.generated,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        }

    def _check_id(self, found: str) -> None:
        if self._engine_id and found and found != self._engine_id:
            raise InvalidAnswerError(f"an event of answer {found!r} among those of another")
        self._engine_id = found or self._engine_id
        self.id = self.id or found

    def _add_choice(self, choice: _Choice, count_token: bool) -> str:
        text = choice.delta.content or ""
        if text and self.complete:
            raise InvalidAnswerError("text after the end of the answer")
        self.finish_reason = choice.finish_reason or self.finish_reason
        if text:
            self._texts.append(text)
            self.generated += 1 if count_token else 0
        return text

    def _add_usage(self, usage: _Usage) -> None:
        if self._engine_prompt_tokens not in (None, usage.prompt_tokens):
            raise InvalidAnswerError("the engine changed its count of the prompt")
        self._engine_prompt_tokens = usage.prompt_tokens
        generated = self._earlier_tokens + usage.completion_tokens
        if generated < self.generated and usage.completion_tokens:
            raise InvalidAnswerError("the engine counted fewer tokens than it sent")
        if not self.prompt:
            self.prompt = usage.prompt_tokens
            self.cached = usage.prompt_tokens_details.cached_tokens
        self.generated = max(self.generated, generated)


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[Event]:
    """Split a body into its events; events without data and an incomplete last one are dropped.

    Raises
    ------
    InvalidAnswerError
        If an event is longer than ``MAX_EVENT_BYTES``.
    """
    buffer = b""
    async for chunk in chunks:
        buffer += chunk
        while (end := buffer.find(b"\n\n")) >= 0:
            raw, buffer = buffer[: end + 2], buffer[end + 2 :]
            if data := _parse_data(raw):
                yield Event(raw, data)
        if len(buffer) > MAX_EVENT_BYTES:
            raise InvalidAnswerError(f"an event of more than {MAX_EVENT_BYTES} bytes")


def _decode(event: Event) -> _Chunk:
    name = _name_of(event.raw)
    if name not in (b"", _MESSAGE):
        raise InvalidAnswerError(f"an event named {name.decode('latin-1')!r} among the answer's")
    try:
        chunk = _decoder.decode(event.data)
    except msgspec.DecodeError as error:
        raise InvalidAnswerError(f"malformed event: {error}") from error
    if chunk.error is not None:
        raise InvalidAnswerError("the engine reports an error in place of the answer")
    return chunk


def _name_of(raw: bytes) -> bytes:
    """Return the name of an event, empty if it has none."""
    if _EVENT not in raw:
        return b""
    names = [line[len(_EVENT) :].strip() for line in raw.splitlines() if line.startswith(_EVENT)]
    return names[-1] if names else b""


def _parse_data(raw: bytes) -> bytes:
    """Return the data lines of an event, joined by line feeds; empty if it has none."""
    if raw.startswith(_DATA) and raw.count(b"\n") == 2:
        return raw[len(_DATA) :].strip()
    lines = [line[len(_DATA) :].strip() for line in raw.splitlines() if line.startswith(_DATA)]
    return b"\n".join(lines)
