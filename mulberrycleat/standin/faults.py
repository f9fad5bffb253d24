"""Fault injection over HTTP."""

from __future__ import annotations

import msgspec
import trio

from mulberrycleat.web import Reply, Request, Responder, Route, json_reply

__all__ = ["Faults"]


class FaultSwitches(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults that are injected.

    The faults `down`, `frozen` and `delay_s` don't affect ``/faults``, ``/stats``,
    ``PUT /v1/hosts`` and an engine's ``/v1/orders``, ``/v1/models`` and ``/v1/fence``.

    Attributes
    ----------
    down : bool
        Requests are answered with 503.
    frozen : bool
        Requests are not answered, and a link forwards no data, until this is reset.
    delay_s : float
        Delay added to every answer, in seconds.
    lose_answers : int
        Number of the next writes that take effect but are answered only after a long wait: 60 s
        by a plain service, 30 s by the log.
    truncate_after : int
        Number of tokens after which an engine aborts a stream; 0 for never.
    leaving : bool
        An engine answers new requests with 503 and completes those in flight.
    slowdown : float
        Factor by which an engine's prefill and decoding times are multiplied.
    cut : bool
        A link closes its connections, including new ones.
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
    """Faults of one stand-in, set by ``PUT /faults`` and read by ``GET /faults``."""

    def __init__(self) -> None:
        self._switches = FaultSwitches()
        self._changed = trio.Event()

    @property
    def on(self) -> FaultSwitches:
        """The current faults."""
        return self._switches

    @property
    def changed(self) -> trio.Event:
        """Event that is set at the next change of the faults."""
        return self._changed

    def routes(self) -> tuple[Route, ...]:
        """Return the routes that set and read the faults."""
        return (Route("PUT", "/faults", self._put), Route("GET", "/faults", self._get))

    def set(self, switches: FaultSwitches) -> None:
        """Replace the faults and notify the tasks that wait for a change."""
        self._switches = switches
        event, self._changed = self._changed, trio.Event()
        event.set()

    async def hold(self) -> Reply | None:
        """Apply `frozen` and `delay_s`; return a 503 answer if `down` is set, else None."""
        while self._switches.frozen:
            await self._changed.wait()
        if self._switches.delay_s:
            await trio.sleep(self._switches.delay_s)
        if self._switches.down:
            return json_reply({"error": "down"}, 503)
        return None

    def lose_answer(self) -> bool:
        """Return whether to lose the answer to the write just made; if so, count it as lost."""
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
