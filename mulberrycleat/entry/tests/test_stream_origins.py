"""Records of the origins of streams whose appends are slow or done late."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from result import Err, Ok

from mulberrycleat.core import PeerError, Position, Step
from mulberrycleat.endpoint.directory import Directory
from mulberrycleat.endpoint.stream_origins import OriginRecord, StreamOrigin
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes
from mulberrycleat.entry.store import AppendOutcome, OriginUpdate
from mulberrycleat.entry.stream_origins import OriginController
from mulberrycleat.testing import fixture

APPEND_S = 0.2
FIRST = StreamOrigin("engines", "v1")
UNKNOWN = StreamOrigin("engines", "unknown/5.0/e1")


@dataclass
class SlowStore:
    """The store's log of origins; an append takes a while.

    Attributes
    ----------
    given_up : list of tuple of OriginRecord
        Appends that got no answer; the store may still do them.
    loses : bool
        Whether appends get no answer.
    """

    records: list[OriginRecord] = field(default_factory=list)
    given_up: list[tuple[OriginRecord, ...]] = field(default_factory=list)
    loses: bool = False

    async def append_origins(self, host, records):
        """Append records."""
        await trio.sleep(APPEND_S)
        if self.loses:
            self.given_up.append(records)
            return Err(PeerError(Step.APPEND, "store", "no answer"))
        self.records += records
        return Ok(AppendOutcome(True, Position(0, len(self.records) - len(records))))

    async def read_origins(self, position):
        """Return the records since a position."""
        found = tuple(self.records[position.offset :])
        return Ok(OriginUpdate(Position(0, len(self.records)), found, True, ()))


def controller(store: SlowStore) -> OriginController:
    async def nothing(*arguments):
        return None

    return OriginController(
        "a",
        store,
        Directory(),
        EntryTimes(),
        DecisionLog(trio.current_time),
        lambda: 1,
        nothing,
        nothing,
        nothing,
    )


@fixture
def store() -> SlowStore:
    return SlowStore()


async def test_an_origin_that_is_corrected_during_its_append_is_recorded_once_more(store):
    """The acknowledgement of the first origin was taken for that of the second."""
    origins = controller(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(origins.run_appends)
        await origins.record_start("r1", FIRST)
        origins.correct("r0", FIRST)
        await trio.sleep(APPEND_S / 2)
        origins.correct("r1", UNKNOWN)
        await trio.sleep(20 * APPEND_S)
        nursery.cancel_scope.cancel()
    assert origins.pending == 0
    assert await controller(store).find("r1", "engines") == UNKNOWN
    assert await controller(store).find("r0", "engines") == FIRST


async def test_an_append_that_is_done_after_it_was_given_up_takes_no_correction_back(store):
    """The store may do it seconds later, after the records that correct it."""
    origins = controller(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(origins.run_appends)
        store.loses = True
        await origins.record_start("r1", FIRST)
        origins.correct("r0", FIRST)
        with trio.fail_after(20 * APPEND_S):
            while not store.given_up:
                await trio.sleep(APPEND_S / 2)
        store.loses = False
        origins.correct("r1", UNKNOWN)
        await trio.sleep(20 * APPEND_S)
        nursery.cancel_scope.cancel()
    assert origins.pending == 0
    for records in store.given_up:
        store.records += records
    assert await controller(store).find("r1", "engines") == UNKNOWN
    assert await origins.find("r1", "engines") == UNKNOWN
