"""Stand-in for a booking service, whose requests must not be run twice."""

from __future__ import annotations

import trio

from mulberrycleat.standin.faults import Faults
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["ServiceStandin"]

LOST_ANSWER_WAIT_S = 60.0


class ServiceStandin:
    """Booking service that runs every request and counts the bookings per idempotency key.

    It doesn't deduplicate by key: two requests with one key make two bookings, so that a test can
    detect a request that was dispatched twice. A lost answer is sent after `LOST_ANSWER_WAIT_S`.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._faults = Faults()
        self._bookings: dict[str, int] = {}

    def routes(self) -> tuple[Route, ...]:
        """Return the service's routes."""
        return (
            Route("GET", "/stats", self._stats),
            *self._faults.routes(),
            Route("POST", "/{path:path}", self._book),
        )

    async def _book(self, request: Request, responder: Responder) -> Reply | None:
        if held := await self._faults.hold():
            return held
        key = request.headers.get("idempotency-key", "")
        self._bookings[key] = self._bookings.get(key, 0) + 1
        await trio.sleep(self._settings.service_s)
        if self._faults.lose_answer():
            await trio.sleep(LOST_ANSWER_WAIT_S)
        number = list(self._bookings).index(key) + 1
        return json_reply({"booking": number, "path": request.params["path"]})

    async def _stats(self, request: Request, responder: Responder) -> Reply:
        return json_reply({"bookings": self._bookings})
