"""Request bodies and stream events of an engine, in the OpenAI format."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

__all__ = ["ChatBody", "Message", "answer_token", "count_tokens", "event", "text_event", "usage"]

BYTES_PER_TOKEN = 4


class Message(msgspec.Struct):
    """One message of a prompt."""

    role: str
    content: str


class ChatBody(msgspec.Struct):
    """Body of a chat completion request.

    Attributes
    ----------
    max_tokens : int
        Maximum number of tokens to generate.
    continue_text : str
        Answer generated so far; the engine continues after it.
    continue_tokens : int
        Number of tokens of `continue_text`.
    """

    model: str
    messages: list[Message]
    max_tokens: int = 16
    continue_text: str = ""
    continue_tokens: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of all messages."""
        return sum(count_tokens(message.content) for message in self.messages)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text; a token is up to four bytes.

    >>> count_tokens("12345")
    2
    """
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def answer_token(body: ChatBody, index: int) -> str:
    """Return token `index` of the answer, which depends only on the prompt's last message."""
    seed = hashlib.sha256(f"{body.messages[-1].content}:{index}".encode()).hexdigest()
    return f"{seed[:5]} "


def usage(prompt: int, cached: int, generated: int) -> dict[str, Any]:
    """Return the usage object of an answer, given its numbers of tokens."""
    return {
        "prompt_tokens": prompt,
        "completion_tokens": generated,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def event(value: dict[str, Any]) -> bytes:
    """Return one server-sent event."""
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


def text_event(text: str, finish_reason: str | None = None, **fields: Any) -> bytes:
    """Return the event that carries `text` as the next part of the answer."""
    delta = {"content": text} if text else {}
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return event({"choices": [choice], **fields})
