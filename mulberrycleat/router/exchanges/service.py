"""A single attempt of a request at a plain service."""

from __future__ import annotations

from urllib.parse import quote, urlencode

import trio
from result import Err, Ok, Result

from mulberrycleat.core import MayHaveRun, PeerError, Refusal, Served, Step
from mulberrycleat.manifest import Endpoint
from mulberrycleat.router.call import Call
from mulberrycleat.router.exchanges.failures import (
    REQUEST_ID_HEADER,
    failure,
    refused,
    wrong_owner,
)
from mulberrycleat.web import BaseHttpClient, HttpAnswer

__all__ = ["run_service"]

DEFAULT_CONTENT_TYPE = "application/octet-stream"
FORWARDED_HEADERS = ("content-type", "location")
MIN_SERVER_ERROR_STATUS = 500
READ_TIMEOUT_S = 20.0


async def run_service(
    client: BaseHttpClient, call: Call, endpoint: Endpoint
) -> Result[Served, Refusal]:
    """Send a request to a service and forward its answer as a full response."""
    url = f"http://{endpoint.address}/{_target(call)}"
    timeout_s = min(READ_TIMEOUT_S, call.deadline - trio.current_time())
    call.meter.dispatched = True
    match await client.request(
        "POST", url, call.request.body, _headers(call), timeout_s, Step.DISPATCH
    ):
        case Ok(answer) if owner := wrong_owner(call, answer.headers):
            reason = f"the answer belongs to request {owner!r}"
            return Err(failure(call, PeerError(Step.DISPATCH, endpoint.name, reason)))
        case Ok(answer) if _is_declined(answer):
            return Err(refused(call, endpoint.name, answer.status))
        case Ok(answer) if answer.status < MIN_SERVER_ERROR_STATUS:
            await _send(call, answer)
            return Ok(Served(call.reserve_tokens, endpoint.name))
        case Ok(answer):
            reason = f"the endpoint answered {answer.status}"
            return Err(MayHaveRun(Step.DISPATCH, endpoint.name, reason))
        case Err(error):
            found = PeerError(error.step, endpoint.name, error.reason, error.sent)
            return Err(failure(call, found))


def _is_declined(answer: HttpAnswer) -> bool:
    """Return whether a service declined the request: status 429, or 503 with Retry-After."""
    return answer.status == 429 or (answer.status == 503 and "retry-after" in answer.headers)


async def _send(call: Call, answer: HttpAnswer) -> None:
    kept = {name: answer.headers[name] for name in FORWARDED_HEADERS if name in answer.headers}
    headers = {
        "content-type": DEFAULT_CONTENT_TYPE,
        **kept,
        "content-length": str(len(answer.body)),
        "x-request-id": call.id,
    }
    await call.sink.start(answer.status, tuple(headers.items()))
    await call.sink.finish(answer.body)


def _target(call: Call) -> str:
    path = quote(call.request.params.get("path", ""))
    return f"{path}?{urlencode(call.request.query)}" if call.request.query else path


def _headers(call: Call) -> dict[str, str]:
    content_type = call.request.headers.get("content-type", "application/json")
    if not content_type.isascii():
        content_type = DEFAULT_CONTENT_TYPE
    return {
        "content-type": content_type,
        REQUEST_ID_HEADER: call.id,
        "idempotency-key": call.idempotency_key or call.id,
    }
