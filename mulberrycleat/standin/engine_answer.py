"""Bodies and events of an engine, in the OpenAI form."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

__all__ = ["ChatBody", "Message", "event", "text_event", "tokens_of", "usage", "word"]

BYTES_PER_TOKEN = 4


class Message(msgspec.Struct):
    """One message of a prompt."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """A request.

    Attributes
    ----------
    max_tokens : int
        Bound on the new tokens.
    continue_text : str
        Answer so far; the engine goes on after it.
    continue_tokens : int
        Tokens of `continue_text`.
    """

    model: str
    messages: list[Message]
    max_tokens: int = 16
    continue_text: str = ""
    continue_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Tokens of all messages."""
        return sum(tokens_of(message.content) for message in self.messages)


def tokens_of(text: str) -> int:
    """Return the number of tokens of a text; a token is four bytes.

    >>> tokens_of("12345")
    2
    """
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def word(body: ChatBody, index: int) -> str:
    """Return token `index` of the answer: a function of the prompt alone."""
    seed = hashlib.sha256(f"{body.messages[-1].content}:{index}".encode()).hexdigest()
    return f"{seed[:5]} "


def usage(prompt: int, cached: int, generated: int) -> dict[str, Any]:
    """Return the usage object of an answer."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": generated,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def event(value: dict[str, Any]) -> bytes:
    """Return one server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def text_event(text: str, finish_reason: str | None = None, **others: Any) -> bytes:
    """Return the event of one piece of text."""
    delta = {"content": text} if text else {}
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return event({"choices": [choice], **others})
