"""Fencing of holders at the engine stand-in."""

from __future__ import annotations

from collections import defaultdict, deque

import msgspec

from mulberrycleat.standin.engine_work import Work, WorkTable
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["EngineFence"]

WORKS_PER_HOLDER = 1000


class _FenceBody(msgspec.Struct):
    holder: str
    number: int


class EngineFence:
    """Refuses fenced holders and tells what was done for them.

    Parameters
    ----------
    settings : StandinSettings
        Whether the engine checks fencing; one that does not answers 404.
    works : WorkTable
        The engine's dispatches.
    """

    def __init__(self, settings: StandinSettings, works: WorkTable) -> None:
        self._settings = settings
        self._works = works
        self._fenced: dict[str, int] = {}
        self._by_holder: defaultdict[str, deque[Work]] = defaultdict(deque)
        self._complete_from: dict[str, int] = {}
        if settings.checks_fencing:
            works.add_check(self._check)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes."""
        return (Route("POST", "/v1/fence", self._fence),)

    def _check(self, work: Work) -> str | None:
        """Refuse a fenced holder, and remember the work of others."""
        if work.holder in self._fenced:
            return f"holder {work.holder!r} was fenced"
        if work.holder:
            works = self._by_holder[work.holder]
            works.append(work)
            if len(works) > WORKS_PER_HOLDER:
                self._forget(work.holder, works.popleft())
        return None

    def _forget(self, holder: str, work: Work) -> None:
        known = self._complete_from.get(holder, 0)
        self._complete_from[holder] = max(known, work.fencing_number + 1)

    async def _fence(self, request: Request, responder: Responder) -> Reply:
        if not self._settings.checks_fencing:
            return json_reply({"error": "fencing is not checked here"}, 404)
        try:
            body = msgspec.json.decode(request.body, type=_FenceBody)
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        self._fenced[body.holder] = max(body.number, self._fenced.get(body.holder, 0))
        works = self._by_holder.get(body.holder, ())
        for work in works:
            self._works.end(work)
        return json_reply(
            {
                "requests": [_describe(work) for work in works],
                "complete_from": self._complete_from.get(body.holder, 0),
            }
        )


def _describe(work: Work) -> dict[str, object]:
    return {
        "request_id": work.request_id,
        "budget": work.budget,
        "number": work.fencing_number,
        "prompt_tokens": work.prompt_tokens,
        "cached_tokens": work.cached_tokens,
        "generated_tokens": work.generated_tokens,
    }
