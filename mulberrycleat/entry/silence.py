"""Limits on the silence of an endpoint, whose answer is awaited until another one takes over."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

import trio

from mulberrycleat.web.upstream import ExchangeError

__all__ = ["ReplacedError", "Silence", "SilenceLimits"]

# Time to read bytes that have arrived by the end of a time limit, in seconds: after a freeze of the
# host or a delay of the event loop, the endpoint was not silent.
LATE_READ_S = 0.05

Part = TypeVar("Part")
Ended = TypeVar("Ended")


class Readable(Protocol):
    """A connection that can tell whether something has arrived."""

    def has_data(self) -> bool:
        """Whether bytes, the end of the stream or a reset can be received at once."""
        ...


class SilenceLimits(NamedTuple):
    """Time limits after which another endpoint is tried, in seconds.

    Attributes
    ----------
    connect_s : float
        Until a connection is open.
    first_s : float
        Until the complete answer, or the first event of a stream, has arrived.
    pause_s : float
        Between two events.
    """

    connect_s: float
    first_s: float
    pause_s: float


class ReplacedError(Exception):
    """Another endpoint has taken over; `outcome` is how the request ended there."""

    def __init__(self, outcome: Any) -> None:
        super().__init__("replaced")
        self.outcome = outcome


class Silence(Generic[Ended]):
    """Limit on the time until the next event or the complete answer.

    Parameters
    ----------
    limit_s : float
        The first limit, in seconds from now.
    replace : callable
        Awaited with a reason when a limit has passed. Returns how the request ended at another
        endpoint, or None if no other one has taken over. It is cancelled if the silent endpoint
        goes on before.
    """

    def __init__(self, limit_s: float, replace: Callable[[str], Awaitable[Ended | None]]) -> None:
        self._replace = replace
        self._why = "silent"
        self._limit_s = limit_s
        self._since = trio.current_time()
        self._until = self._since + limit_s
        self._replaced = False
        self._went_on = False
        self._failure: ExchangeError | None = None
        self._tried_in_vain = False

    @property
    def failure(self) -> ExchangeError | None:
        """How the silent endpoint has failed while another one was tried."""
        return self._failure

    @property
    def went_on(self) -> bool:
        """Whether the silent endpoint has gone on while another one was tried."""
        return self._went_on

    @property
    def silent_s(self) -> float:
        """Time since the last event, or since the attempt began, in seconds."""
        return trio.current_time() - self._since

    @property
    def tried_in_vain(self) -> bool:
        """Whether another endpoint was tried in this silence, and was given up."""
        return self._tried_in_vain

    def note_vain_try(self) -> None:
        """Note that another endpoint was tried in this silence, and was given up."""
        self._tried_in_vain = True

    def restart(self, limit_s: float) -> None:
        """Begin a limit after an event, in seconds."""
        self._why = "no event in time"
        self._tried_in_vain = False
        self._limit_s = limit_s
        self._since = trio.current_time()
        self._until = self._since + limit_s

    def note_replaced(self) -> None:
        """Note that another endpoint has taken over; what still arrives is dropped."""
        self._replaced = True

    async def limit(self, connection: Readable, read: Callable[[], Awaitable[Part]]) -> Part:
        """Return what `read` returns; raises ReplacedError if another endpoint takes over.

        `read` is cancelled and called again, which has to lose no data.
        """
        while True:
            with trio.move_on_at(self._until):
                return await read()
            if connection.has_data():
                with trio.move_on_after(LATE_READ_S):
                    return await read()
            parts = await self._read_beside_replacement(read)
            if parts:
                return parts[0]
            self._until = trio.current_time() + self._limit_s

    async def _read_beside_replacement(self, read: Callable[[], Awaitable[Part]]) -> list[Part]:
        """Try another endpoint, and return the part that has arrived meanwhile, if there is one."""
        parts: list[Part] = []
        outcome: Ended | None = None
        self._went_on = False

        async def read_on() -> None:
            try:
                part = await read()
            except ExchangeError as error:
                # Another error, as the frames in the traceback of this one keep the request.
                self._failure = ExchangeError(str(error), error.broken)
                return
            if not self._replaced:
                parts.append(part)
                self._went_on = True
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_on)
            outcome = await self._replace(self._why)
            nursery.cancel_scope.cancel()
        if outcome is not None:
            raise ReplacedError(outcome)
        if self._failure is not None:
            raise ExchangeError(str(self._failure), self._failure.broken)
        return parts
