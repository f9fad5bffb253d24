"""Filters for non-idempotent requests: a known answer is given again, a new key is claimed."""

from __future__ import annotations

from dataclasses import replace

import trio
from result import Err, Ok, Result

from mulberrycleat.controller.messages import (
    ABANDON,
    BEGIN,
    FINISH,
    RECALL,
    AbandonRequest,
    BeginReply,
    BeginRequest,
    FinishRequest,
    RecallRequest,
)
from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.router.answers import HeldSink
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.link import ControllerLink

__all__ = ["ClaimFilter", "RecallFilter"]

RECALL_TIMEOUT_S = 3.0
BEGIN_TIMEOUT_S = 4.0


def once_key(call: Call) -> str:
    """Return the key under which a request runs at most once."""
    return f"{call.account}:{call.idempotency_key}"


class RecallFilter:
    """Answer a repeat of a finished non-idempotent request without running or billing it."""

    def __init__(self, link: ControllerLink) -> None:
        self._link = link

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Pass a new key on; answer or refuse a known one."""
        if call.idempotent:
            return await proceed(call)
        request = RecallRequest(once_key(call), call.digest)
        match await self._link.call(RECALL, request, RECALL_TIMEOUT_S):
            case Ok(BeginReply(state="unknown")):
                return await proceed(call)
            case Ok(reply):
                return await answer_known(call, reply)
            case Err(error):
                return Err(NotRun(Step.DEDUPLICATE, error.peer, error.reason))


class ClaimFilter:
    """Claim the key of a non-idempotent request, let the winner dispatch, record the answer."""

    def __init__(self, link: ControllerLink) -> None:
        self._link = link

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse as not run when the log cannot say who may dispatch."""
        if call.idempotent:
            return await proceed(call)
        request = BeginRequest(call.id, once_key(call), call.digest)
        match await self._link.call(BEGIN, request, BEGIN_TIMEOUT_S):
            case Ok(BeginReply(state="won")):
                return await self._dispatch(call, proceed)
            case Ok(reply):
                return await answer_known(call, reply)
            case Err(error):
                await self._abandon(call)
                return Err(NotRun(Step.DEDUPLICATE, error.peer, error.reason))

    async def _dispatch(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Dispatch to the end even when the caller goes, and record the outcome first."""
        held = HeldSink()
        with trio.CancelScope(shield=True):
            outcome = await proceed(replace(call, sink=held))
            if isinstance(outcome, Ok):
                await self._finish(call, held)
            elif isinstance(outcome.err_value, NotRun):
                await self._abandon(call)
        if isinstance(outcome, Ok):
            await held.release(call.sink)
        return outcome

    async def _finish(self, call: Call, held: HeldSink) -> None:
        status, content_type = held.status, held.content_type
        request = FinishRequest(call.id, once_key(call), status, content_type, held.body)
        await self._link.report(FINISH, request)

    async def _abandon(self, call: Call) -> None:
        await self._link.report(ABANDON, AbandonRequest(call.id, once_key(call)))


async def answer_known(call: Call, reply: BeginReply) -> Result[Served, Refusal]:
    """Answer or refuse a request whose key is known."""
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
