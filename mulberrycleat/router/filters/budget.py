"""Filter that reserves tokens before a request runs and settles them afterwards."""

from __future__ import annotations

from dataclasses import replace

from result import Err, Ok, Result

from mulberrycleat.budget import cost_of
from mulberrycleat.controller.messages import RESERVE, ReserveReply, ReserveRequest
from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.link import ControllerLink

__all__ = ["BudgetFilter"]

RESERVE_TIMEOUT_S = 4.0


class BudgetFilter:
    """Reserve the largest possible cost of a request and settle its actual cost.

    Parameters
    ----------
    link : ControllerLink
        Connection to the controller of this host.
    """

    def __init__(self, link: ControllerLink) -> None:
        self._link = link

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse a request that the budget does not cover with status 402."""
        request = ReserveRequest(
            self._link.router, call.id, call.budget, call.reserve_tokens, call.pool.name
        )
        match await self._link.call(RESERVE, request, RESERVE_TIMEOUT_S):
            case Ok(ReserveReply(granted=True) as reply):
                held = replace(call, holder=reply.holder, reservation=reply.number)
                return await self._run(held, proceed)
            case Ok(reply):
                return Err(_refusal(reply))
            case Err(error):
                # Releases the reservation in case the controller made it.
                self._link.settle_later(call.id, 0)
                return Err(NotRun(Step.BUDGET, error.peer, error.reason, 503, 1.0))

    async def _run(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        outcome: Result[Served, Refusal] | None = None
        try:
            outcome = await proceed(call)
            return outcome
        finally:
            self._link.settle_later(call.id, _cost(call, outcome))


def _cost(call: Call, outcome: Result[Served, Refusal] | None) -> int:
    """Return the tokens to bill for a call; `outcome` is None if the call was cancelled."""
    match outcome:
        case Ok(served):
            return served.cost_tokens
        case Err(NotRun()):
            return 0
        case Err(MayHaveRun(cost_tokens=known)) if known is not None:
            return known
        case _ if not call.meter.dispatched or call.meter.is_unknown:
            return 0
        case _:
            return _cost_so_far(call)


def _cost_so_far(call: Call) -> int:
    """Return the cost of the reported work, or the reservation if no engine reported any."""
    count = call.meter.count
    if not count.prompt:
        return call.reserve_tokens
    return cost_of(call.pool.price, count.prompt, count.cached, count.generated)


def _refusal(reply: ReserveReply) -> NotRun:
    return NotRun(Step.BUDGET, "", reply.reason, 402, reply.retry_after_s, reply.code)
