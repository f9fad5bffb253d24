"""Filters that run a non-idempotent request at most once: replay known answers, claim new keys."""

from __future__ import annotations

from dataclasses import replace

import trio
from result import Err, Ok, Result

from mulberrycleat.controller.messages import (
    ABANDON,
    ANSWER,
    BEGIN,
    FINISH,
    RECALL,
    AbandonRequest,
    AnswerRequest,
    BeginReply,
    BeginRequest,
    FinishRequest,
    RecallRequest,
)
from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.router.answers import BufferedSink, TeeSink
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.link import ControllerLink

__all__ = ["ClaimFilter", "RecallFilter"]

RECALL_TIMEOUT_S = 3.0
BEGIN_TIMEOUT_S = 4.0
MAX_STORED_ANSWER_BYTES = 65_536


def deduplication_key(call: Call) -> str:
    """Return the idempotency key with its client account, so that accounts share no keys."""
    return f"{call.account}:{call.idempotency_key}"


class RecallFilter:
    """Answer a duplicate of a finished request without running or billing it.

    An idempotent request with a key is run unless an answer for the key is stored or the key
    belongs to another request; its answer is stored for later duplicates if the body has at most
    ``MAX_STORED_ANSWER_BYTES``. A non-idempotent request is refused if the state of its key can't
    be read.
    """

    def __init__(self, link: ControllerLink) -> None:
        self._link = link

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Forward a request that has no key or a new one; answer or refuse one with a known key."""
        if not call.idempotency_key:
            return await proceed(call)
        request = RecallRequest(deduplication_key(call), call.digest)
        match await self._link.call(RECALL, request, RECALL_TIMEOUT_S):
            case Ok(BeginReply(state="done" | "mismatch") as reply) if reply.kept:
                return await answer_duplicate(call, reply)
            case _ if call.idempotent:
                return await self._run_idempotent(call, proceed)
            case Ok(BeginReply(state="unknown")):
                return await proceed(call)
            case Ok(reply):
                return await answer_duplicate(call, reply)
            case Err(error):
                return Err(NotRun(Step.DEDUPLICATE, error.peer, error.reason))

    async def _run_idempotent(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        copy = TeeSink(call.sink, MAX_STORED_ANSWER_BYTES)
        outcome = await proceed(replace(call, sink=copy))
        if isinstance(outcome, Ok) and copy.complete:
            key, status, content_type = deduplication_key(call), copy.status, copy.content_type
            answer = AnswerRequest(call.id, key, call.digest, status, content_type, copy.body)
            self._link.report_later(ANSWER, answer)
        return outcome


class ClaimFilter:
    """Claim the key of a non-idempotent request, run it once claimed, and record the answer."""

    def __init__(self, link: ControllerLink) -> None:
        self._link = link

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Forward the request if it is idempotent or its key was claimed; else answer or refuse it.

        If the controller does not reply, the claim is abandoned and the request refused as not run.
        """
        if call.idempotent:
            return await proceed(call)
        request = BeginRequest(call.id, deduplication_key(call), call.digest)
        match await self._link.call(BEGIN, request, BEGIN_TIMEOUT_S):
            case Ok(BeginReply(state="won")):
                return await self._dispatch(call, proceed)
            case Ok(reply):
                return await answer_duplicate(call, reply)
            case Err(error):
                await self._abandon(call)
                return Err(NotRun(Step.DEDUPLICATE, error.peer, error.reason))

    async def _dispatch(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Forward the request and wait for its outcome even if the caller disconnects.

        The outcome is reported to the controller before the caller gets the answer; an unconfirmed
        report is sent again later. If the request may have run, nothing is reported, and the key
        stays claimed.
        """
        held = BufferedSink()
        with trio.CancelScope(shield=True):
            outcome = await proceed(replace(call, sink=held))
            if isinstance(outcome, Ok):
                await self._finish(call, held)
            elif isinstance(outcome.err_value, NotRun):
                await self._abandon(call)
        if isinstance(outcome, Ok):
            await held.release(call.sink)
        return outcome

    async def _finish(self, call: Call, held: BufferedSink) -> None:
        status, content_type = held.status, held.content_type
        request = FinishRequest(call.id, deduplication_key(call), status, content_type, held.body)
        await self._link.report(FINISH, request)

    async def _abandon(self, call: Call) -> None:
        await self._link.report(ABANDON, AbandonRequest(call.id, deduplication_key(call)))


async def answer_duplicate(call: Call, reply: BeginReply) -> Result[Served, Refusal]:
    """Replay the answer to a request whose key is known, or refuse the request."""
    match reply.state:
        case "done" if reply.kept:
            headers = (
                ("content-type", reply.content_type),
                ("content-length", str(len(reply.body))),
                ("idempotent-replayed", "true"),
            )
            await call.sink.start(reply.status, headers)
            await call.sink.finish(reply.body)
            return Ok(Served(0, "replay"))
        case "done":
            reason = "the request ran; its answer is no longer kept"
            return Err(MayHaveRun(Step.DEDUPLICATE, "", reason, 409, "answer_not_kept", 0))
        case "expired":
            reason = "the idempotency key tells a time outside of the window for repeats"
            return Err(NotRun(Step.DEDUPLICATE, "", reason, 422, None, "key_expired"))
        case "mismatch":
            reason = "the idempotency key belongs to another request"
            return Err(NotRun(Step.DEDUPLICATE, "", reason, 422, None, "key_mismatch"))
        case "open":
            reason = "a request with this key was dispatched and its outcome is not known"
            return Err(MayHaveRun(Step.DEDUPLICATE, "", reason, 409, "in_doubt", 0))
        case _:
            reason = "the log that orders non-idempotent requests cannot be reached"
            return Err(NotRun(Step.DEDUPLICATE, "log", reason, 503, 2.0, "log_unavailable"))
