"""Fencing of holders at the engine stand-in."""

from __future__ import annotations

from collections import defaultdict, deque

import msgspec

from mulberrycleat.standin.engine_dispatch import Dispatch, DispatchTable
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["EngineFence"]

MAX_DISPATCHES_PER_HOLDER = 1000


class _FenceBody(msgspec.Struct):
    holder: str
    number: int


class EngineFence:
    """Refuses the requests of fenced holders and reports the tokens used by their earlier requests.

    The report of a holder covers its last `MAX_DISPATCHES_PER_HOLDER` requests and states the
    fencing number from which on it is complete.

    Parameters
    ----------
    settings : StandinSettings
        Whether the engine checks fencing; if not, ``/v1/fence`` answers 404.
    dispatches : DispatchTable
        The engine's dispatches.
    """

    def __init__(self, settings: StandinSettings, dispatches: DispatchTable) -> None:
        self._settings = settings
        self._dispatches = dispatches
        self._fenced: dict[str, int] = {}
        self._by_holder: defaultdict[str, deque[Dispatch]] = defaultdict(deque)
        self._complete_from: dict[str, int] = {}
        if settings.checks_fencing:
            dispatches.add_check(self._check_holder)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes."""
        return (Route("POST", "/v1/fence", self._fence),)

    def _check_holder(self, dispatch: Dispatch) -> str | None:
        """Refuse a fenced holder, and record the dispatches of other holders."""
        if dispatch.holder in self._fenced:
            return f"holder {dispatch.holder!r} was fenced"
        if dispatch.holder:
            dispatches = self._by_holder[dispatch.holder]
            dispatches.append(dispatch)
            if len(dispatches) > MAX_DISPATCHES_PER_HOLDER:
                self._forget(dispatch.holder, dispatches.popleft())
        return None

    def _forget(self, holder: str, dispatch: Dispatch) -> None:
        """Exclude a dispatch from the fencing numbers for which the report is complete."""
        known = self._complete_from.get(holder, 0)
        self._complete_from[holder] = max(known, dispatch.fencing_number + 1)

    async def _fence(self, request: Request, responder: Responder) -> Reply:
        if not self._settings.checks_fencing:
            return json_reply({"error": "fencing is not checked here"}, 404)
        try:
            body = msgspec.json.decode(request.body, type=_FenceBody)
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        self._fenced[body.holder] = max(body.number, self._fenced.get(body.holder, 0))
        dispatches = self._by_holder.get(body.holder, ())
        for dispatch in dispatches:
            self._dispatches.end(dispatch)
        return json_reply(
            {
                "requests": [_describe(dispatch) for dispatch in dispatches],
                "complete_from": self._complete_from.get(body.holder, 0),
            }
        )


def _describe(dispatch: Dispatch) -> dict[str, object]:
    return {
        "request_id": dispatch.request_id,
        "budget": dispatch.budget,
        "number": dispatch.fencing_number,
        "prompt_tokens": dispatch.prompt_tokens,
        "cached_tokens": dispatch.cached_tokens,
        "generated_tokens": dispatch.generated_tokens,
    }
