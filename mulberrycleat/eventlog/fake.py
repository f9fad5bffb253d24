"""In-process event log with injected faults, for tests."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog.memory import MemoryStreams
from mulberrycleat.eventlog.model import Page

__all__ = ["FakeEventLog"]

PEER = "log"
POLL_S = 0.25


class FakeEventLog:
    """:class:`~mulberrycleat.eventlog.EventLog` over :class:`MemoryStreams`.

    Parameters
    ----------
    streams : MemoryStreams
        Shared by all instances that represent the same log; each instance has its own faults.

    Attributes
    ----------
    down : bool
        Whether reads and appends fail without taking effect.
    lose_answers : int
        Number of the next appends that take effect but return an error, as if the answer was lost.
    reads, appends : int
        Number of calls so far.
    """

    def __init__(self, streams: MemoryStreams) -> None:
        self._streams = streams
        self.down = False
        self.lose_answers = 0
        self.reads = 0
        self.appends = 0

    async def append(self, stream: str, records: tuple[Any, ...]) -> Result[int, PeerError]:
        """Append `records` as one write; return the first offset."""
        await trio.lowlevel.checkpoint()
        self.appends += 1
        if self.down:
            return Err(PeerError(Step.APPEND, PEER, "down"))
        offset = self._streams.append(stream, tuple(map(_as_json, records)))
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Err(PeerError(Step.APPEND, PEER, "answer lost"))
        return Ok(offset)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Result[Page, PeerError]:
        """Return records from `offset` on, waiting up to `wait_s` seconds for the first."""
        await trio.lowlevel.checkpoint()
        self.reads += 1
        deadline = trio.current_time() + wait_s
        while not self.down and trio.current_time() < deadline:
            if self._streams.read(stream, offset, 1).entries:
                break
            await trio.sleep(POLL_S)
        if self.down:
            return Err(PeerError(Step.READ, PEER, "down"))
        return Ok(self._streams.read(stream, offset))


def _as_json(record: Any) -> Any:
    return msgspec.json.decode(msgspec.json.encode(record))
