"""Stand-in for the platform's log service."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec
import trio

from mulberrycleat.eventlog import MemoryStreams, Page
from mulberrycleat.standin.faults import Faults
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["LogStandin"]

BURST_S = 1.0
MAX_WAIT_S = 30.0


class _Append(msgspec.Struct):
    records: list[Any]


class LogStandin:
    """Log service: streams of records with offsets, retention, a rate limit and faults.

    A read waits for a record for ``wait_s``, at most `MAX_WAIT_S`. A lost answer is sent after
    `MAX_WAIT_S`. The rate limit allows bursts of `BURST_S` times ``appends_per_s``.

    Parameters
    ----------
    settings : StandinSettings
        Retention and rate limit.
    now : callable, optional
        Returns the Unix time of new records, in seconds.
    """

    def __init__(self, settings: StandinSettings, now: Callable[[], float] = time.time) -> None:
        self._settings = settings
        self._faults = Faults()
        self._streams = MemoryStreams(now, settings.retention_s)
        self._appended = trio.Event()
        self._allowance = settings.appends_per_s * BURST_S
        self._refilled_at = 0.0
        self._appends = 0
        self._reads = 0

    def routes(self) -> tuple[Route, ...]:
        """Return the service's routes."""
        path = "/v1/streams/{stream:path}/records"
        return (
            Route("POST", path, self._append),
            Route("GET", path, self._read),
            Route("GET", "/stats", self._stats),
            *self._faults.routes(),
        )

    async def _append(self, request: Request, responder: Responder) -> Reply | None:
        if held := await self._faults.hold():
            return held
        if not self._consume_allowance():
            return json_reply({"error": "rate limit"}, 429)
        try:
            records = msgspec.json.decode(request.body, type=_Append).records
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        self._appends += 1
        offset = self._streams.append(request.params["stream"], tuple(records))
        event, self._appended = self._appended, trio.Event()
        event.set()
        if self._faults.lose_answer():
            await trio.sleep(MAX_WAIT_S)
        return json_reply({"offset": offset})

    async def _read(self, request: Request, responder: Responder) -> Reply | None:
        try:
            offset = int(request.query.get("from", "0"))
            wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
        except ValueError as error:
            return json_reply({"error": str(error)}, 400)
        stream = request.params["stream"]
        self._reads += 1
        with trio.move_on_after(wait_s):
            while self._streams.read(stream, offset, 1).end <= offset:
                await self._appended.wait()
        if held := await self._faults.hold():
            return held
        return json_reply(_page_body(self._streams.read(stream, offset)))

    async def _stats(self, request: Request, responder: Responder) -> Reply:
        return json_reply({"appends": self._appends, "reads": self._reads})

    def _consume_allowance(self) -> bool:
        """Return whether the rate limit allows an append; if so, count the append."""
        now = trio.current_time()
        rate = self._settings.appends_per_s
        self._allowance = min(self._allowance + (now - self._refilled_at) * rate, rate * BURST_S)
        self._refilled_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def _page_body(page: Page) -> dict[str, Any]:
    records = [{"offset": e.offset, "at": e.at, "data": e.data} for e in page.entries]
    return {"earliest": page.earliest, "next": page.next, "end": page.end, "records": records}
