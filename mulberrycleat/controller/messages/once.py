"""Messages about requests that have an idempotency key."""

from __future__ import annotations

import msgspec

from mulberrycleat.controller.messages.bounds import Ack, Status
from mulberrycleat.rpc import Method

__all__ = [
    "ABANDON",
    "ANSWER",
    "BEGIN",
    "FINISH",
    "RECALL",
    "AbandonRequest",
    "AnswerRequest",
    "BeginReply",
    "BeginRequest",
    "FinishRequest",
    "RecallRequest",
]


class RecallRequest(msgspec.Struct, frozen=True):
    """Ask for the recorded state of an idempotency key, without claiming it.

    Attributes
    ----------
    key : str
        Client account and idempotency key.
    digest : str
        Hash of the request; a key with another digest belongs to another request.
    """

    key: str
    digest: str


class BeginRequest(msgspec.Struct, frozen=True):
    """Claim an idempotency key before dispatch. Idempotent by `id`.

    `key` and `digest` are those of :class:`RecallRequest`.
    """

    id: str
    key: str
    digest: str


class BeginReply(msgspec.Struct, frozen=True):
    """State of a key, which says whether the caller may dispatch the request.

    Attributes
    ----------
    state : str
        ``won``: the caller may dispatch. ``done``: the answer is in the other fields. ``open``:
        another dispatch began and its outcome is unknown. ``mismatch``: the key belongs to
        another request. ``unavailable``: the log is unreachable; nothing was dispatched.
        ``unknown``: the key has not been seen. ``expired``: the time in the key is outside of the
        window in which keys are remembered; nothing was dispatched.
    kept : bool
        Whether the answer's body was stored.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class FinishRequest(msgspec.Struct, frozen=True):
    """Record the answer of the dispatch that `id` began."""

    id: str
    key: str
    status: Status
    content_type: str
    body: bytes


class AnswerRequest(msgspec.Struct, frozen=True):
    """Store the answer of an idempotent request for its retries. Idempotent by `id`."""

    id: str
    key: str
    digest: str
    status: int
    content_type: str
    body: bytes


class AbandonRequest(msgspec.Struct, frozen=True):
    """Record that the request which `id` claimed was not dispatched and never will be."""

    id: str
    key: str


RECALL = Method("Recall", RecallRequest, BeginReply)
BEGIN = Method("Begin", BeginRequest, BeginReply)
FINISH = Method("Finish", FinishRequest, Ack)
ANSWER = Method("Answer", AnswerRequest, Ack)
ABANDON = Method("Abandon", AbandonRequest, Ack)
