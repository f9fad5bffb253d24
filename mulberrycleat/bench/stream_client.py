"""Callers that read streams over bare sockets and note when each token comes."""

from __future__ import annotations

import json
import math
from typing import NamedTuple

import trio

__all__ = ["Streamed", "StreamPlan", "stream_all"]

CHUNK_BYTES = 65_536
TOKEN_MARK = b'"content":'
END_MARK = b"data: [DONE]"


class StreamPlan(NamedTuple):
    """Streams to read: `concurrent` at once, `requests` in all, of `tokens` each."""

    address: str
    key: str
    model: str
    requests: int
    concurrent: int
    tokens: int


class Streamed(NamedTuple):
    """One stream: time to its first token and waits between its tokens, in seconds."""

    first_s: float
    waits_s: tuple[float, ...]


def stream_all(plan: StreamPlan) -> list[Streamed]:
    """Read all streams of a plan; raises when one is not whole."""
    return trio.run(_stream_all, plan)


async def _stream_all(plan: StreamPlan) -> list[Streamed]:
    found: list[Streamed] = []
    numbers = iter(range(plan.requests))

    async def caller(index: int) -> None:
        await trio.sleep(index * 0.01)
        host, _, port = plan.address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as connection:
            for number in numbers:
                found.append(await _stream(connection, plan, number))

    async with trio.open_nursery() as nursery:
        for index in range(plan.concurrent):
            nursery.start_soon(caller, index)
    return found


async def _stream(connection: trio.SocketStream, plan: StreamPlan, number: int) -> Streamed:
    await connection.send_all(_request(plan, number))
    began = trio.current_time()
    first, last, tokens = math.nan, math.nan, 0
    waits: list[float] = []
    received = b""
    while not (END_MARK in received and received.endswith(b"0\r\n\r\n")):
        data = await connection.receive_some(CHUNK_BYTES)
        if not data:
            raise RuntimeError(f"stream {number} was cut: {received[-300:]!r}")
        now = trio.current_time()
        received += data
        came = received.count(TOKEN_MARK) - tokens
        if came <= 0:
            continue
        if not tokens:
            first = now - began
        else:
            waits.append(now - last)
        waits.extend([0.0] * (came - 1))
        tokens += came
        last = now
    if tokens != plan.tokens:
        raise RuntimeError(f"stream {number} had {tokens} tokens: {received[:300]!r}")
    return Streamed(first, tuple(waits))


def _request(plan: StreamPlan, number: int) -> bytes:
    message = {"role": "user", "content": f"Is track {number} open?"}
    body = {"model": plan.model, "messages": [message], "max_tokens": plan.tokens, "stream": True}
    data = json.dumps(body).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {plan.address}\r\n"
        f"Authorization: Bearer {plan.key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data
