"""HTTP client of the demo; it uses none of the fleet's own code."""

from __future__ import annotations

import json
from http.client import HTTPConnection
from typing import Any, NamedTuple

__all__ = ["StreamedAnswer", "book", "chat", "chat_stream"]

TIMEOUT_S = 60


class StreamedAnswer(NamedTuple):
    """Text and number of events of a streamed answer."""

    text: str
    events: int


def chat(address: str, key: str, model: str, question: str, max_tokens: int) -> dict[str, Any]:
    """Send a question to a model and return the full response."""
    body = _body(model, question, max_tokens, stream=False)
    return json.loads(_post(address, "/v1/chat/completions", key, body, {}))


def chat_stream(
    address: str, key: str, model: str, question: str, max_tokens: int
) -> StreamedAnswer:
    """Send a question to a model and return its streamed answer.

    Raises
    ------
    RuntimeError
        If the stream ends without ``[DONE]``.
    """
    body = _body(model, question, max_tokens, stream=True)
    raw = _post(address, "/v1/chat/completions", key, body, {}).decode()
    events = [part[len("data: ") :] for part in raw.split("\n\n") if part.startswith("data: ")]
    if not events or events[-1] != "[DONE]":
        raise RuntimeError(f"the stream was cut off before [DONE]: {raw[-300:]}")
    chunks = [json.loads(event) for event in events[:-1]]
    parts = [c["choices"][0]["delta"].get("content", "") for c in chunks if c["choices"]]
    return StreamedAnswer("".join(parts), len(events))


def book(
    address: str, key: str, pool: str, path: str, idempotency_key: str, body: dict[str, Any]
) -> dict[str, Any]:
    """Send one booking to a plain service, without retries, and return its answer."""
    headers = {"Idempotency-Key": idempotency_key}
    return json.loads(_post(address, f"/v1/services/{pool}/{path}", key, body, headers))


def _body(model: str, question: str, max_tokens: int, stream: bool) -> dict[str, Any]:
    messages = [{"role": "user", "content": question}]
    return {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream}


def _post(
    address: str, path: str, key: str, body: dict[str, Any], headers: dict[str, str]
) -> bytes:
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        common_headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        connection.request("POST", path, json.dumps(body), {**common_headers, **headers})
        answer = connection.getresponse()
        data = answer.read()
        if answer.status != 200:
            raise RuntimeError(f"{path}: {answer.status}: {data.decode()}")
        return data
    finally:
        connection.close()
