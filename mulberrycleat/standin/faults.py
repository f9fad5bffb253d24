"""Faults that are switched on over HTTP."""

from __future__ import annotations

import msgspec
import trio

from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["Faults"]


class FaultSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which faults are on.

    Attributes
    ----------
    down : bool
        Every request is answered with 503.
    frozen : bool
        Requests are held until this is off again.
    delay_s : float
        Added to every answer, in seconds.
    lose_answers : int
        Number of next writes that take effect while their answer is lost.
    truncate_after : int
        Tokens after which an engine cuts a stream without an end; 0 for never.
    leaving : bool
        An engine answers new work with 503 and goes on with what it has.
    slowdown : float
        Factor on an engine's times.
    cut : bool
        A link passes nothing on and accepts nothing.
    """

    down: bool = False
    frozen: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    truncate_after: int = 0
    leaving: bool = False
    slowdown: float = 1.0
    cut: bool = False


class Faults:
    """The faults of one stand-in, set by ``PUT /faults`` and read by ``GET /faults``."""

    def __init__(self) -> None:
        self._switches = FaultSwitches()
        self._changed = trio.Event()

    @property
    def on(self) -> FaultSwitches:
        """The faults that are on."""
        return self._switches

    @property
    def changed(self) -> trio.Event:
        """Set at the next change."""
        return self._changed

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that set and read the faults."""
        return (Route("PUT", "/faults", self._put), Route("GET", "/faults", self._get))

    def set(self, switches: FaultSwitches) -> None:
        """Put other faults in place."""
        self._switches = switches
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def hold(self) -> Reply | None:
        """Wait as long as the faults ask; return an answer when the service is down."""
        while self._switches.frozen:
            await self._changed.wait()
        if self._switches.delay_s:
            await trio.sleep(self._switches.delay_s)
        if self._switches.down:
            return json_reply({"error": "down"}, 503)
        return None

    def lose_answer(self) -> bool:
        """Return whether the answer to the write just made is to be lost."""
        if self._switches.lose_answers <= 0:
            return False
        left = self._switches.lose_answers - 1
        self._switches = msgspec.structs.replace(self._switches, lose_answers=left)
        return True

    async def _put(self, request: Request, responder: Responder) -> Reply:
        try:
            self.set(msgspec.json.decode(request.body, type=FaultSwitches))
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        return json_reply({"ok": True})

    async def _get(self, request: Request, responder: Responder) -> Reply:
        return json_reply(self._switches)
