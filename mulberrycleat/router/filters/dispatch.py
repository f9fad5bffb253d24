"""Last filter: chooses an endpoint, sends the request and passes the answer back."""

from __future__ import annotations

import trio
from result import Err, Ok, Result

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served
from mulberrycleat.manifest import Endpoint
from mulberrycleat.router.call import Call, Proceed
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.exchanges import no_endpoint, past_deadline, run_model, run_service
from mulberrycleat.router.retries import RetryPolicy
from mulberrycleat.web import BaseHttpClient

__all__ = ["DispatchFilter"]

MAX_TRIES = 3


class DispatchFilter:
    """Send a request to an endpoint of its pool.

    Parameters
    ----------
    table : EndpointTable
        What this router knows of the endpoints.
    client : BaseHttpClient
        Connections to endpoints.
    retries : RetryPolicy
        When a request may be tried again.
    """

    def __init__(
        self, table: EndpointTable, client: BaseHttpClient, retries: RetryPolicy | None = None
    ) -> None:
        self._table = table
        self._client = client
        self._retries = retries or RetryPolicy()

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Try endpoints until one answers, time is up or trying again would not be safe."""
        outcome: Result[Served, Refusal] | None = None
        with trio.CancelScope(deadline=call.deadline):
            outcome = await self._try_endpoints(call)
        return Err(past_deadline(call)) if outcome is None else outcome

    async def _try_endpoints(self, call: Call) -> Result[Served, Refusal]:
        self._retries.note_request(call.account, call.pool.name)
        tried: set[str] = set()
        refusal: Refusal = no_endpoint(call)
        for number in range(MAX_TRIES):
            if number and not await self._may_retry(call, number, refusal):
                break
            choice = self._table.choose(call, tried)
            if choice is None:
                break
            tried.add(choice.endpoint.name)
            outcome = await self._try(call, choice.endpoint)
            if isinstance(outcome, Ok):
                return outcome
            refusal = _graver(refusal, outcome.err_value)
        return Err(refusal)

    async def _may_retry(self, call: Call, number: int, refusal: Refusal) -> bool:
        if not _is_safe(call, refusal) or not self._retries.take(call.account, call.pool.name):
            return False
        return await self._retries.wait(number, call.deadline)

    async def _try(self, call: Call, endpoint: Endpoint) -> Result[Served, Refusal]:
        outcome: Result[Served, Refusal] | None = None
        dispatched_before = call.meter.dispatched
        self._table.started(call, endpoint)
        try:
            run = run_model if call.pool.kind == "model" else run_service
            outcome = await run(self._client, call, endpoint)
            if isinstance(outcome, Err) and isinstance(outcome.err_value, NotRun):
                call.meter.dispatched = dispatched_before
            return outcome
        finally:
            self._table.ended(call, endpoint, outcome)


def _graver(before: Refusal, now: Refusal) -> Refusal:
    """Return the refusal that stands: what may have run once stays so."""
    if isinstance(before, MayHaveRun) and isinstance(now, NotRun):
        return before
    return now


def _is_safe(call: Call, refusal: Refusal) -> bool:
    """Return whether the request may be sent to another endpoint."""
    if call.sink.started and not call.stream:
        return False
    match refusal:
        case NotRun(code="endpoint_refused"):
            return False
        case NotRun():
            return True
        case _:
            return call.idempotent
