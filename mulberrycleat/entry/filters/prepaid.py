"""Filter that reserves prepaid tokens before a request runs and settles them after its end."""

from __future__ import annotations

import math
from collections.abc import Callable

from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.filters.admit import Proceed
from mulberrycleat.entry.shards import ShardedSlices
from mulberrycleat.prepaid import Grant, ReservationStatus
from mulberrycleat.routes import RouteKind

__all__ = ["PrepaidFilter"]

EXHAUSTED_STATUS = 402
# Retry-after when other hosts or requests hold the tokens, in seconds: by then, some of these
# tokens will have been settled.
INSUFFICIENT_RETRY_AFTER_S = 0.3
# Upper bound of retry-after when it is known how long a slice takes to grow by the lacking tokens,
# in seconds.
MAX_RETRY_AFTER_S = 2.0


class PrepaidFilter:
    """Reserve the largest cost of a request, and settle the tokens that were used.

    Parameters
    ----------
    slices : ShardedSlices
        This host's slices of the prepaid totals.
    decisions : DecisionLog
        Log of reservations and refusals.
    now : callable
        Returns seconds on trio's clock.
    """

    def __init__(
        self, slices: ShardedSlices, decisions: DecisionLog, now: Callable[[], float]
    ) -> None:
        self._slices = slices
        self._decisions = decisions
        self._now = now

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 402 if the total does not cover the request, with 503 if no slice does.

        Requests without an account, with an unlimited account or without tokens pass unchanged.
        """
        account, cost = call.account, call.facts.largest_cost
        if account is None or account.prepaid_tokens is None or not cost:
            return await proceed(call)
        reserve_began = self._now()
        grant = await self._slices.reserve(account.name, cost, call.deadline)
        if grant.status is not ReservationStatus.GRANTED:
            return Err(self._refusal(call, grant, cost))
        self._decisions.info(
            "tokens reserved",
            request=call.facts.request_id,
            account=account.name,
            cost=cost,
            giver=grant.giver.address if grant.giver else "own slice",
            left=self._slices.tokens(account.name)["free"],
            waited_s=round(self._now() - reserve_began, 4),
        )
        try:
            return await proceed(call)
        finally:
            call.progress.tokens_used = min(_tokens_to_charge(call), cost)
            self._slices.settle(account.name, grant, call.progress.tokens_used)

    def _refusal(self, call: EntryCall, grant: Grant, cost: int) -> Refusal:
        name = call.account.name
        facts = self._slices.describe(name)
        self._decisions.warning(
            "budget refused", request=call.facts.request_id, account=name, cost=cost, **facts
        )
        if grant.status is ReservationStatus.EXHAUSTED:
            reason = "the prepaid total does not cover the request"
            return NotRun(Step.BUDGET, "", reason, EXHAUSTED_STATUS, None, "budget_exhausted")
        reason = "the tokens left are held for other requests"
        retry_s = INSUFFICIENT_RETRY_AFTER_S
        if math.isfinite(grant.wait_s):
            retry_s = min(max(grant.wait_s, INSUFFICIENT_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return NotRun(Step.BUDGET, "", reason, 503, retry_s, "budget_held")


def _tokens_to_charge(call: EntryCall) -> int:
    """Return the number of tokens to charge.

    It is 0 if no endpoint may have run the request. Otherwise it is the largest cost; for a stream,
    the prompt once and the most output that the forwarded events can contain.
    """
    progress = call.progress
    if not progress.runs:
        return 0
    if call.route.kind is not RouteKind.STREAM:
        return call.facts.largest_cost
    per_event = call.pool.engine.tokens_per_event if call.pool.engine else 1
    output = min(progress.delivered_events * per_event, call.facts.max_output_tokens)
    return call.facts.prompt_tokens + output
