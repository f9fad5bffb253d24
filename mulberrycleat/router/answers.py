"""How answers and refusals look to the caller."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Step
from mulberrycleat.router.call import Sink
from mulberrycleat.web import Reply

__all__ = ["PROBLEM_TYPE", "HeldSink", "http_problem", "problem_event", "problem_reply"]

PROBLEM_TYPE = "application/problem+json"


class HeldSink:
    """A sink that keeps an answer back until it is released whole."""

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
        """The body so far."""
        return b"".join(self._chunks)

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Keep status and headers."""
        self._status = status
        self._headers = headers

    async def write(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(data)

    async def finish(self, data: bytes = b"") -> None:
        """Keep the last part of the body."""
        self._chunks.append(data)

    async def release(self, sink: Sink) -> None:
        """Send what was kept."""
        await sink.start(self._status, self._headers)
        await sink.finish(self.body)


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
    """Return a refusal as the last event of a stream that has begun; no ``[DONE]`` follows."""
    return b"event: error\ndata: " + msgspec.json.encode(_problem(refusal, request_id)) + b"\n\n"


def http_problem(status: int, reason: str) -> Reply:
    """Return an error that arose before a request was read."""
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
