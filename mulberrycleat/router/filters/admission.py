"""Filter that queues requests for a saturated pool in fair order, or refuses them at once."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import trio
from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.endpoint import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Lane,
    Queued,
    Refuse,
    Send,
)
from mulberrycleat.endpoint.fairness import QueueEntry
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.endpoints import EndpointTable, demand_of

__all__ = ["AdmissionFilter"]

RELEASE_INTERVAL_S = 0.05
MIN_RETRY_AFTER_S = 1.0


class _WaitingCall:
    """A call that waits for the decision to send or to refuse it."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.decided = trio.Event()
        self.decision: Send | Refuse | None = None


class AdmissionFilter:
    """Queue or refuse requests for models while their pool is saturated.

    Parameters
    ----------
    table : EndpointTable
        State of the endpoints as known to this router.
    settings : AdmissionSettings, optional
        Limits at which requests wait or are refused.
    random : Random, optional
        Random number generator that spreads the retry times given to refused callers.
    """

    def __init__(
        self,
        table: EndpointTable,
        settings: AdmissionSettings | None = None,
        random: Random | None = None,
    ) -> None:
        self._table = table
        self._settings = settings or AdmissionSettings()
        self._random = random or Random()
        self._pools: dict[str, Admission] = {}
        self._has_waiting = trio.Event()

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Forward a request for a model once the queue at the best endpoint is short enough.

        It is refused with status 503 if the expected time to its answer takes too large a share of
        the time until its deadline (see :class:`AdmissionSettings`), or if the deadline passes in
        the queue. Requests for plain services are forwarded at once.
        """
        if call.pool.kind != "model":
            return await proceed(call)
        call = replace(call, demand=demand_of(call))
        decision = await self._decide(call)
        if isinstance(decision, Refuse):
            return Err(_overloaded(call, decision.retry_after_s))
        return await proceed(call)

    async def run(self) -> None:
        """Check every ``RELEASE_INTERVAL_S`` which waiting requests to release, until cancelled."""
        while True:
            if not any(len(admission) for admission in self._pools.values()):
                self._has_waiting = trio.Event()
                await self._has_waiting.wait()
            await trio.sleep(RELEASE_INTERVAL_S)
            for admission in self._pools.values():
                for lane in admission.lanes:
                    self._release(admission, lane)

    async def _decide(self, call: Call) -> Send | Refuse:
        choice = self._table.choose(call)
        if choice is None:
            return Send()  # The dispatch filter refuses the call if it finds no endpoint either.
        admission = self._pools.setdefault(call.pool.name, Admission(self._settings, self._random))
        held = _WaitingCall(call)
        applicant = AdmissionRequest(call.account, _weight(call), call.demand, call.deadline, held)
        match admission.offer(applicant, choice.estimate, trio.current_time()):
            case Queued(entry):
                self._has_waiting.set()
                return await self._wait(admission, entry, held)
            case decision:
                return decision

    async def _wait(
        self, admission: Admission, entry: QueueEntry, held: _WaitingCall
    ) -> Send | Refuse:
        with trio.CancelScope(deadline=held.call.deadline):
            try:
                await held.decided.wait()
            finally:
                if held.decision is None:
                    admission.withdraw(entry)
        return Refuse(MIN_RETRY_AFTER_S) if held.decision is None else held.decision

    def _release(self, admission: Admission, lane: Lane) -> None:
        """Release or refuse the head of a lane, at most one request per call.

        A released request is usually sent before the next call, whose estimate includes its work.
        """
        applicant = lane.head
        if applicant is None:
            return
        choice = self._table.choose(applicant.item.call)
        if choice is None:
            return
        decision = admission.try_release(lane, choice.estimate, trio.current_time())
        if decision is not None:
            applicant.item.decision = decision
            applicant.item.decided.set()


def _weight(call: Call) -> float:
    for account in call.view.manifest.accounts:
        if account.name == call.account:
            return account.weight
    return 1.0


def _overloaded(call: Call, retry_after_s: float) -> NotRun:
    reason = f"pool {call.pool.name!r} can't answer in time"
    return NotRun(Step.CHOOSE, "", reason, 503, retry_after_s, "overloaded")
