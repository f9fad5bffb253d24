"""Filter that lets requests wait for a saturated pool in fair order, or refuses them at once."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import trio
from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.endpoint import (
    Admission,
    AdmissionSettings,
    Applicant,
    Hold,
    Lane,
    Refuse,
    Send,
)
from mulberrycleat.endpoint.fairness import Waiting
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.endpoints import EndpointTable, demand_of

__all__ = ["AdmissionFilter"]

RELEASE_EVERY_S = 0.05
MIN_RETRY_S = 1.0


class _Held:
    """A waiting call."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.decided = trio.Event()
        self.verdict: Send | Refuse | None = None


class AdmissionFilter:
    """Hold or refuse requests for models while their pool is saturated.

    Parameters
    ----------
    table : EndpointTable
        What this router knows of the endpoints.
    settings : AdmissionSettings, optional
        When requests wait and when they are refused.
    random : Random, optional
        Spreads the times at which refused callers come back.
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
        self._held = trio.Event()

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Pass a request on when an endpoint can begin with it soon."""
        if call.pool.kind != "model":
            return await proceed(call)
        call = replace(call, demand=demand_of(call))
        verdict = await self._verdict(call)
        if isinstance(verdict, Refuse):
            return Err(_overloaded(call, verdict.retry_after_s))
        return await proceed(call)

    async def run(self) -> None:
        """Release what waits, for ever."""
        while True:
            if not any(len(admission) for admission in self._pools.values()):
                self._held = trio.Event()
                await self._held.wait()
            await trio.sleep(RELEASE_EVERY_S)
            for admission in self._pools.values():
                for lane in admission.lanes:
                    self._release(admission, lane)

    async def _verdict(self, call: Call) -> Send | Refuse:
        choice = self._table.choose(call)
        if choice is None:
            return Send()
        admission = self._pools.setdefault(call.pool.name, Admission(self._settings, self._random))
        held = _Held(call)
        applicant = Applicant(call.account, _weight(call), call.demand, call.deadline, held)
        match admission.offer(applicant, choice.estimate, trio.current_time()):
            case Hold(entry):
                self._held.set()
                return await self._wait(admission, entry, held)
            case verdict:
                return verdict

    async def _wait(self, admission: Admission, entry: Waiting, held: _Held) -> Send | Refuse:
        with trio.CancelScope(deadline=held.call.deadline):
            try:
                await held.decided.wait()
            finally:
                if held.verdict is None:
                    admission.withdraw(entry)
        return Refuse(MIN_RETRY_S) if held.verdict is None else held.verdict

    def _release(self, admission: Admission, lane: Lane) -> None:
        """Release one request; the next look counts it, when it has been sent."""
        applicant = lane.head
        if applicant is None:
            return
        choice = self._table.choose(applicant.item.call)
        if choice is None:
            return
        verdict = admission.try_release(lane, choice.estimate, trio.current_time())
        if verdict is not None:
            applicant.item.verdict = verdict
            applicant.item.decided.set()


def _weight(call: Call) -> float:
    for account in call.view.manifest.accounts:
        if account.name == call.account:
            return account.weight
    return 1.0


def _overloaded(call: Call, retry_after_s: float) -> NotRun:
    reason = f"pool {call.pool.name!r} can't answer in time"
    return NotRun(Step.CHOOSE, "", reason, 503, retry_after_s, "overloaded")
