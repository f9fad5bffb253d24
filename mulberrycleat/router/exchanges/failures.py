"""Refusals that arise from an exchange with an endpoint."""

from __future__ import annotations

from mulberrycleat.budget import cost_of
from mulberrycleat.core import MayHaveRun, NotRun, PeerError, Refusal, Step
from mulberrycleat.router.call import Call

__all__ = ["REQUEST_ID_HEADER", "failure", "no_endpoint", "past_deadline", "refused", "wrong_owner"]

REQUEST_ID_HEADER = "x-request-id"
BUSY_STATUSES = (429, 503)
BUSY_RETRY_AFTER_S = 1.0
NO_ENDPOINT_RETRY_AFTER_S = 2.0
CLIENT_ERRORS = range(400, 500)


def failure(call: Call, error: PeerError) -> Refusal:
    """Return the refusal for a failed exchange: not run only if nothing can have been sent."""
    if not error.sent:
        reason = error.reason
        return NotRun(
            Step.DISPATCH, error.peer, reason, 503, BUSY_RETRY_AFTER_S, "endpoint_unreachable"
        )
    return MayHaveRun(error.step, error.peer, error.reason, cost_tokens=known_cost(call))


def refused(call: Call, endpoint: str, status: int) -> Refusal:
    """Return the refusal for an HTTP status with which an endpoint declined a request or failed."""
    reason = f"the endpoint answered {status}"
    if status in BUSY_STATUSES:
        return NotRun(Step.DISPATCH, endpoint, reason, 503, BUSY_RETRY_AFTER_S, "endpoint_busy")
    if status in CLIENT_ERRORS:
        return NotRun(Step.DISPATCH, endpoint, reason, 502, None, "endpoint_refused")
    return MayHaveRun(Step.DISPATCH, endpoint, reason, cost_tokens=known_cost(call))


def past_deadline(call: Call) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    reason = "the request's time is up"
    if call.meter.dispatched:
        return MayHaveRun(Step.DISPATCH, "", reason, 504, "deadline", known_cost(call))
    return NotRun(Step.DISPATCH, "", reason, 504, BUSY_RETRY_AFTER_S, "deadline")


def no_endpoint(call: Call) -> NotRun:
    """Return the refusal of a request for which no endpoint is available."""
    reason = f"pool {call.pool.name!r} has no endpoint to send to"
    return NotRun(Step.CHOOSE, "", reason, 503, NO_ENDPOINT_RETRY_AFTER_S, "no_endpoint")


def known_cost(call: Call) -> int | None:
    """Return the cost in tokens of the work that engines reported, None if none reported any."""
    count = call.meter.count
    if not count.prompt:
        return None
    return cost_of(call.pool.price, count.prompt, count.cached, count.generated)


def wrong_owner(call: Call, headers: dict[str, str]) -> str:
    """Return the id of the other request that an answer belongs to, else an empty string."""
    owner = headers.get(REQUEST_ID_HEADER, "")
    return "" if owner in ("", call.id) else owner
