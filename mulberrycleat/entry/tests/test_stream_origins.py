"""Records of the origins of streams whose appends are slow."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from result import Ok

from mulberrycleat.core import Position
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
    """The store's log of origins; an append takes a while."""

    records: list[OriginRecord] = field(default_factory=list)

    async def append_origins(self, host, records):
        """Append records."""
        await trio.sleep(APPEND_S)
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
