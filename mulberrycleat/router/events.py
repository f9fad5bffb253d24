"""Server-sent events of a model engine."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import msgspec

__all__ = ["BrokenAnswerError", "Event", "TokenCount", "read_events"]

MAX_EVENT_BYTES = 262_144

_DATA = b"data:"
_DONE = b"[DONE]"


class BrokenAnswerError(Exception):
    """The engine's answer cannot be taken as (the rest of) the answer to the request."""


class Event(NamedTuple):
    """One event: its bytes as received with the blank line, and its data."""

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
    id: str = ""
    choices: list[_Choice] = []
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Chunk)


class TokenCount:
    """Text and tokens of one answer, counted from its events over all engines that wrote it.

    The prompt is counted as the first engine reported it; the generated tokens are those of every
    engine whose text is part of the answer.

    Attributes
    ----------
    prompt, cached, generated : int
        Tokens as the engines reported them, or of `generated` the number of events before that.
    finish_reason : str or None
        Why generation ended; None while the answer is not complete.
    done : bool
        Whether the engine closed its stream with ``[DONE]``.

    Examples
    --------
    >>> count = TokenCount()
    >>> count.take(Event(b"", b'{"choices": [{"delta": {"content": "hut "}}]}'))
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
        self._before = 0
        self._engine_id = ""
        self._engine_prompt: int | None = None

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self._texts)

    @property
    def complete(self) -> bool:
        """Whether an engine said that the answer has ended."""
        return self.finish_reason is not None

    @property
    def resumed(self) -> bool:
        """Whether the present engine continues another one's text."""
        return self._before > 0

    def begin(self) -> None:
        """Note that another engine begins, after whatever text there is."""
        self._before = self.generated
        self._engine_id = ""
        self._engine_prompt = None
        self.done = False

    def take(self, event: Event) -> str:
        """Count an event and return its text.

        Raises
        ------
        BrokenAnswerError
            For an event that is malformed, out of order or of another answer.
        """
        if event.data == _DONE:
            self.done = True
            if not self.complete:
                raise BrokenAnswerError("the engine ended its stream before the answer")
            return ""
        chunk = _decode(event.data)
        self._check_id(chunk.id)
        if chunk.usage is not None:
            self._take_usage(chunk.usage)
        if not chunk.choices:
            return ""
        return self._take_choice(chunk.choices[0], chunk.usage is None)

    def take_cancelled(self, prompt: int, cached: int, generated: int) -> None:
        """Take an engine's own count of the work that it did before it was cancelled."""
        if not self.prompt:
            self.prompt = prompt
            self.cached = cached
        self.generated = max(self.generated, self._before + generated)

    def usage(self) -> dict[str, Any]:
        """Return the usage in the form that callers know."""
        return {
            "prompt_tokens": self.prompt,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt + self.generated,
            "prompt_tokens_details": {"cached_tokens": self.cached},
        }

    def _check_id(self, found: str) -> None:
        if self._engine_id and found and found != self._engine_id:
            raise BrokenAnswerError(f"an event of answer {found!r} among those of another")
        self._engine_id = found or self._engine_id
        self.id = self.id or found

    def _take_choice(self, choice: _Choice, counts: bool) -> str:
        text = choice.delta.content or ""
        if text and self.complete:
            raise BrokenAnswerError("text after the end of the answer")
        self.finish_reason = choice.finish_reason or self.finish_reason
        if text:
            self._texts.append(text)
            self.generated += 1 if counts else 0
        return text

    def _take_usage(self, usage: _Usage) -> None:
        if self._engine_prompt not in (None, usage.prompt_tokens):
            raise BrokenAnswerError("the engine changed its count of the prompt")
        self._engine_prompt = usage.prompt_tokens
        generated = self._before + usage.completion_tokens
        if generated < self.generated and usage.completion_tokens:
            raise BrokenAnswerError("the engine counted fewer tokens than it sent")
        if not self.prompt:
            self.prompt = usage.prompt_tokens
            self.cached = usage.prompt_tokens_details.cached_tokens
        self.generated = max(self.generated, generated)


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[Event]:
    """Split a body into its events; an unfinished last one is dropped.

    Raises
    ------
    BrokenAnswerError
        For an event of more than ``MAX_EVENT_BYTES``.
    """
    rest = b""
    async for chunk in chunks:
        rest += chunk
        while (end := rest.find(b"\n\n")) >= 0:
            raw, rest = rest[: end + 2], rest[end + 2 :]
            if data := _data_of(raw):
                yield Event(raw, data)
        if len(rest) > MAX_EVENT_BYTES:
            raise BrokenAnswerError(f"an event of more than {MAX_EVENT_BYTES} bytes")


def _decode(data: bytes) -> _Chunk:
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise BrokenAnswerError(f"malformed event: {error}") from error


def _data_of(raw: bytes) -> bytes:
    if raw.startswith(_DATA) and raw.count(b"\n") == 2:
        return raw[len(_DATA) :].strip()
    lines = [line[len(_DATA) :].strip() for line in raw.splitlines() if line.startswith(_DATA)]
    return b"\n".join(lines)
