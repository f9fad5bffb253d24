"""Filter that reserves prepaid tokens before a request runs and settles them after."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio
from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.filters.admit import Proceed
from mulberrycleat.entry.slices import SliceController
from mulberrycleat.prepaid import Grant, ReservationStatus
from mulberrycleat.routes import RouteKind

__all__ = ["PrepaidFilter"]

EXHAUSTED_STATUS = 402
# When to come back for tokens that other hosts or requests hold: some will have been settled.
LACKING_RETRY_S = 0.3
# Longest time to send a caller away for, when it is known when a slice will have grown enough.
LONGEST_RETRY_S = 2.0


class PrepaidFilter:
    """Reserve the largest cost of a request, and settle what was delivered.

    Parameters
    ----------
    slices : SliceController
        This host's slices of the prepaid totals.
    decisions : DecisionLog
        Where refusals are told.
    now : callable
        Returns seconds of trio's clock.
    """

    def __init__(
        self, slices: SliceController, decisions: DecisionLog, now: Callable[[], float]
    ) -> None:
        self._slices = slices
        self._decisions = decisions
        self._now = now

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 402 what the total does not cover, with 503 what a slice does not."""
        account, cost = call.account, call.facts.largest_cost
        if account is None or account.prepaid_tokens is None or not cost:
            return await proceed(call)
        asked_at = self._now()
        grant = await self._slices.reserve(account.name, cost, call.deadline)
        if grant.verdict is not ReservationStatus.GRANTED:
            return Err(self._refusal(call, grant, cost))
        self._decisions.note(
            "tokens reserved",
            request=call.facts.request_id,
            account=account.name,
            cost=cost,
            giver=grant.giver.address if grant.giver else "own slice",
            left=self._slices.tokens(account.name)["free"],
            waited_s=round(self._now() - asked_at, 4),
        )
        used = cost
        try:
            outcome = await proceed(call)
            used = _used(call)
            return outcome
        except trio.Cancelled:
            used = _used(call)
            raise
        finally:
            call.progress.tokens_used = min(used, cost)
            self._slices.settle(account.name, grant, call.progress.tokens_used)

    def _refusal(self, call: EntryCall, grant: Grant, cost: int) -> Refusal:
        name = call.account.name
        facts = self._slices.describe(name)
        self._decisions.warn(
            "budget refused", request=call.facts.request_id, account=name, cost=cost, **facts
        )
        if grant.verdict is ReservationStatus.EXHAUSTED:
            reason = "the prepaid total does not cover the request"
            return NotRun(Step.BUDGET, "", reason, EXHAUSTED_STATUS, None, "budget_exhausted")
        reason = "the tokens left are held for other requests"
        retry_s = LACKING_RETRY_S
        if math.isfinite(grant.wait_s):
            retry_s = min(max(grant.wait_s, LACKING_RETRY_S), LONGEST_RETRY_S)
        return NotRun(Step.BUDGET, "", reason, 503, retry_s, "budget_held")


def _used(call: EntryCall) -> int:
    """Return the tokens to charge: the prompt once if it may have run, and what was delivered."""
    progress = call.progress
    if not progress.runs:
        return 0
    if call.route.kind is not RouteKind.STREAM:
        return call.facts.largest_cost
    per_event = call.pool.engine.tokens_per_event if call.pool.engine else 1
    output = min(progress.delivered_events * per_event, call.facts.max_output_tokens)
    return call.facts.prompt_tokens + output
