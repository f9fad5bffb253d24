"""Callers that read streams over plain sockets and record when each token arrives."""

from __future__ import annotations

import json
import math
from typing import NamedTuple

import trio

__all__ = ["StreamPlan", "StreamTiming", "read_streams"]

CHUNK_BYTES = 65_536
TOKEN_MARK = b'"content":'
END_MARK = b"data: [DONE]"


class StreamPlan(NamedTuple):
    """Streams to read: `requests` of `tokens` tokens each, at most `concurrent` at once."""

    address: str
    key: str
    model: str
    requests: int
    concurrent: int
    tokens: int


class StreamTiming(NamedTuple):
    """One stream: time to its first token and times between its tokens, in seconds.

    Tokens that arrive in one read count as 0 s apart.
    """

    first_s: float
    waits_s: tuple[float, ...]


def read_streams(plan: StreamPlan) -> list[StreamTiming]:
    """Read all streams of a plan; raises RuntimeError if one is incomplete."""
    return trio.run(_read_all_streams, plan)


async def _read_all_streams(plan: StreamPlan) -> list[StreamTiming]:
    found: list[StreamTiming] = []
    numbers = iter(range(plan.requests))

    async def run_caller(index: int) -> None:
        await trio.sleep(index * 0.01)
        host, _, port = plan.address.rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as connection:
            for number in numbers:
                found.append(await _read_stream(connection, plan, number))

    async with trio.open_nursery() as nursery:
        for index in range(plan.concurrent):
            nursery.start_soon(run_caller, index)
    return found


async def _read_stream(
    connection: trio.SocketStream, plan: StreamPlan, number: int
) -> StreamTiming:
    await connection.send_all(_encode_request(plan, number))
    started_at = trio.current_time()
    first, last, tokens = math.nan, math.nan, 0
    waits: list[float] = []
    received = b""
    while not (END_MARK in received and received.endswith(b"0\r\n\r\n")):
        data = await connection.receive_some(CHUNK_BYTES)
        if not data:
            raise RuntimeError(f"stream {number} was aborted after {received[-300:]!r}")
        now = trio.current_time()
        received += data
        new_tokens = received.count(TOKEN_MARK) - tokens
        if new_tokens <= 0:
            continue
        if not tokens:
            first = now - started_at
        else:
            waits.append(now - last)
        waits.extend([0.0] * (new_tokens - 1))
        tokens += new_tokens
        last = now
    if tokens != plan.tokens:
        raise RuntimeError(
            f"stream {number} has {tokens} tokens, not {plan.tokens}: {received[:300]!r}"
        )
    return StreamTiming(first, tuple(waits))


def _encode_request(plan: StreamPlan, number: int) -> bytes:
    message = {"role": "user", "content": f"Is track {number} open?"}
    body = {"model": plan.model, "messages": [message], "max_tokens": plan.tokens, "stream": True}
    data = json.dumps(body).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {plan.address}\r\n"
        f"Authorization: Bearer {plan.key}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data
