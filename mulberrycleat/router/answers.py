"""Answers and refusals in the form in which callers get them."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Step
from mulberrycleat.router.call import Sink
from mulberrycleat.web import Reply

__all__ = [
    "PROBLEM_TYPE",
    "BufferedSink",
    "TeeSink",
    "http_problem",
    "problem_event",
    "problem_reply",
]

PROBLEM_TYPE = "application/problem+json"


class BufferedSink:
    """A sink that buffers an answer until it is released as a full response."""

    def __init__(self) -> None:
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._chunks: list[bytes] = []

    @property
    def started(self) -> bool:
        """Whether an answer has begun."""
        return self._status != 0

    @property
    def status(self) -> int:
        """The HTTP status, 0 before the start."""
        return self._status

    @property
    def content_type(self) -> str:
        """The answer's content type."""
        return dict(self._headers).get("content-type", "")

    @property
    def body(self) -> bytes:
        """The body received so far."""
        return b"".join(self._chunks)

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Store the status and the headers."""
        self._status = status
        self._headers = headers

    async def write(self, data: bytes) -> None:
        """Store a part of the body."""
        self._chunks.append(data)

    async def finish(self, data: bytes = b"") -> None:
        """Store the last part of the body."""
        self._chunks.append(data)

    async def release(self, sink: Sink) -> None:
        """Send the buffered answer to `sink`."""
        await sink.start(self._status, self._headers)
        await sink.finish(self.body)


class TeeSink(BufferedSink):
    """A sink that forwards an answer at once and keeps a copy of limited size.

    Parameters
    ----------
    inner : Sink
        Sink to which the answer is forwarded.
    max_bytes : int
        Maximum size of a copied body, in bytes; the copy of a larger one is incomplete.
    """

    def __init__(self, inner: Sink, max_bytes: int) -> None:
        super().__init__()
        self._inner = inner
        self._remaining_bytes = max_bytes

    @property
    def started(self) -> bool:
        """Whether part of the answer has been sent."""
        return self._inner.started

    @property
    def complete(self) -> bool:
        """Whether the copy contains all of the body sent so far."""
        return self._remaining_bytes >= 0

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the status line and the headers."""
        await super().start(status, headers)
        await self._inner.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._copy(data)
        await self._inner.write(data)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await self._copy(data)
        await self._inner.finish(data)

    async def _copy(self, data: bytes) -> None:
        self._remaining_bytes -= len(data)
        if self.complete:
            await super().write(data)


def problem_reply(refusal: Refusal, request_id: str) -> Reply:
    """Return a refusal as an RFC 9457 problem."""
    headers = [("content-type", PROBLEM_TYPE), ("x-request-id", request_id)]
    if isinstance(refusal, NotRun) and refusal.retry_after_s is not None:
        headers.append(("retry-after", str(math.ceil(refusal.retry_after_s))))
    if refusal.status == 401:
        headers.append(("www-authenticate", "Bearer"))
    body = msgspec.json.encode(_problem(refusal, request_id))
    return Reply(refusal.status, body, tuple(headers))


def problem_event(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as the last event of a started stream; no ``[DONE]`` follows."""
    return b"event: error\ndata: " + msgspec.json.encode(_problem(refusal, request_id)) + b"\n\n"


def http_problem(status: int, reason: str) -> Reply:
    """Return the problem for a request that failed before its handler was called."""
    return problem_reply(NotRun(Step.RECEIVE, "", reason, status, None, "bad_request"), "")


def _problem(refusal: Refusal, request_id: str) -> dict[str, Any]:
    problem: dict[str, Any] = {
        "type": f"urn:mulberrycleat:{refusal.code}",
        "title": refusal.code.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.reason,
        "step": refusal.step.value,
        "peer": refusal.peer,
        "outcome": refusal.outcome,
        "request_id": request_id,
    }
    if isinstance(refusal, MayHaveRun):
        return problem
    return {**problem, "retry_after_s": refusal.retry_after_s}
