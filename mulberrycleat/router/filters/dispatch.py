"""Last filter: chooses an endpoint, sends the request and forwards the answer."""

from __future__ import annotations

import math

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

MAX_ATTEMPTS = 3


class DispatchFilter:
    """Send a request to an endpoint of its pool.

    Parameters
    ----------
    table : EndpointTable
        State of the endpoints as known to this router.
    client : BaseHttpClient
        HTTP client for requests to endpoints.
    retries : RetryPolicy, optional
        Budgets and backoff of retries.
    """

    def __init__(
        self, table: EndpointTable, client: BaseHttpClient, retries: RetryPolicy | None = None
    ) -> None:
        self._table = table
        self._client = client
        self._retries = retries or RetryPolicy()

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Send the request until an endpoint answers, no retry is allowed or the deadline passes.

        A request whose deadline passes is refused with status 504.
        """
        outcome: Result[Served, Refusal] | None = None
        with trio.CancelScope(deadline=call.deadline):
            outcome = await self._send_with_retries(call)
        return Err(past_deadline(call)) if outcome is None else outcome

    async def _send_with_retries(self, call: Call) -> Result[Served, Refusal]:
        self._retries.record_request(call.account, call.pool.name)
        attempted: set[str] = set()
        refusal: Refusal = no_endpoint(call)
        for number in range(MAX_ATTEMPTS):
            if number and not await self._wait_for_retry(call, number, refusal):
                break
            if trio.current_time() >= call.deadline:
                return Err(past_deadline(call))
            choice = self._table.choose(call, attempted)
            if choice is None:
                break
            attempted.add(choice.endpoint.name)
            outcome = await self._attempt(call, choice.endpoint)
            if isinstance(outcome, Ok):
                return outcome
            refusal = _overall_refusal(refusal, outcome.err_value)
        return Err(refusal)

    async def _wait_for_retry(self, call: Call, number: int, refusal: Refusal) -> bool:
        """Wait for the backoff of retry `number`; return False if the retry is not allowed.

        It is not allowed if it is unsafe after `refusal`, exceeds a retry budget or would begin
        after the deadline.
        """
        if not _is_retry_safe(call, refusal) or not self._retries.try_consume(
            call.account, call.pool.name
        ):
            return False
        return await self._retries.wait(number, call.deadline)

    async def _attempt(self, call: Call, endpoint: Endpoint) -> Result[Served, Refusal]:
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


def _overall_refusal(before: Refusal, latest: Refusal) -> Refusal:
    """Return the refusal to report after the latest attempt.

    An attempt that may have run the request outweighs a later one that did not run it.
    """
    if isinstance(before, MayHaveRun) and isinstance(latest, NotRun):
        return before
    return latest


def _is_retry_safe(call: Call, refusal: Refusal) -> bool:
    """Return whether the request may be retried at another endpoint.

    A retry is unsafe for a non-idempotent request that may have run, for a request that an endpoint
    refused with a client error, and for one whose full response the caller has begun to receive. It
    is of no use for an answer of which no tokens are left to be generated.
    """
    if call.sink.started and not call.stream:
        return False
    if call.meter.count.generated >= call.body.get("max_tokens", math.inf):
        return False
    match refusal:
        case NotRun(code="endpoint_refused"):
            return False
        case NotRun():
            return True
        case _:
            return call.idempotent
