"""Messages of requests that have an idempotency key."""

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
    """Ask what is known of an idempotency key."""

    key: str
    digest: str


class BeginRequest(msgspec.Struct, frozen=True):
    """Claim an idempotency key before dispatch. Idempotent by `id`."""

    id: str
    key: str
    digest: str


class BeginReply(msgspec.Struct, frozen=True):
    """Who may dispatch.

    Attributes
    ----------
    state : str
        ``won``: the asker may dispatch. ``done``: the answer is in the other fields. ``open``:
        another dispatch began and its outcome is not known. ``mismatch``: the key belongs to
        another request. ``unavailable``: the log cannot be reached; nothing was dispatched.
        ``unknown``: the key has not been seen. ``expired``: the key tells a time outside of the
        window in which keys are remembered; nothing was dispatched.
    kept : bool
        Whether the answer's body was kept.
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
    """Keep the answer of an idempotent request for its repeats. Idempotent by `id`."""

    id: str
    key: str
    digest: str
    status: int
    content_type: str
    body: bytes


class AbandonRequest(msgspec.Struct, frozen=True):
    """Record that the dispatch which `id` claimed never happened and never will."""

    id: str
    key: str


RECALL = Method("Recall", RecallRequest, BeginReply)
BEGIN = Method("Begin", BeginRequest, BeginReply)
FINISH = Method("Finish", FinishRequest, Ack)
ANSWER = Method("Answer", AnswerRequest, Ack)
ABANDON = Method("Abandon", AbandonRequest, Ack)
