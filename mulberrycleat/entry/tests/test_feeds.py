"""Feeds: how often they read, and as of when what they have read holds."""

from __future__ import annotations

import trio
from result import Ok

from mulberrycleat.core import Position
from mulberrycleat.endpoint.directory import Directory, Entry, EntryState
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.feeds import DirectoryFeed, MapFeed
from mulberrycleat.entry.settings import EntryTimes, FleetRequirements
from mulberrycleat.entry.store import DirectoryUpdate, MapUpdate
from mulberrycleat.routes import RouteMap
from mulberrycleat.testing import fixture

TIMES = EntryTimes()
CALL_S = 0.002


class RelayingStore:
    """Answers reads through another host, which does not wait for a new route map."""

    def __init__(self) -> None:
        self.reads = 0
        self.newest = RouteMap(7)

    async def read_map(self, position, wait_s, on_answer):
        """Return the newest route map, or none if it has been read before."""
        self.reads += 1
        await trio.sleep(CALL_S)
        end = Position(0, self.newest.version)
        return Ok(MapUpdate(end, None if position == end else self.newest))


@fixture
def store() -> RelayingStore:
    return RelayingStore()


async def test_a_host_that_reads_route_maps_through_others_reads_at_intervals(store):
    decisions = DecisionLog(trio.current_time)
    feed = MapFeed(store, TIMES, FleetRequirements, decisions, lambda table: None)
    with trio.move_on_after(10.0):
        await feed.run()
    assert store.reads <= 10.0 / TIMES.outage_retry_interval_s + 2


async def test_a_new_route_map_that_is_read_through_others_is_in_force_in_time(store):
    decisions = DecisionLog(trio.current_time)
    feed = MapFeed(store, TIMES, FleetRequirements, decisions, lambda table: None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(feed.run)
        await trio.sleep(5.0)
        store.newest = RouteMap(8)
        await trio.sleep(0.5)
        assert feed.table.version == 8
        nursery.cancel_scope.cancel()


class SlowStore:
    """Answers reads of entries as of their begin, after a time; the endpoint leaves meanwhile."""

    def __init__(self, answer_s: float) -> None:
        self.reads = 0
        self._answer_s = answer_s

    async def read_entries(self, position):
        """Return the endpoint as ready first, and as leaving then."""
        self.reads += 1
        state = EntryState.READY if self.reads == 1 else EntryState.LEAVING
        entry = Entry("e1", "huts", "10.0.0.1:80", "a", state)
        await trio.sleep(self._answer_s)
        return Ok(DirectoryUpdate(Position(0, self.reads), False, (("e1", entry),)))


async def test_an_endpoint_that_leaves_is_not_used_for_longer_because_the_store_answers_slowly():
    store, directory = SlowStore(answer_s=1.5), Directory()
    decisions = DecisionLog(trio.current_time)
    feed = DirectoryFeed(store, directory, TIMES, FleetRequirements, decisions, lambda: None)
    began_at = trio.current_time()
    assert await feed.refresh() and await feed.refresh()
    assert store.reads == 2
    assert not directory.leaving("huts", began_at + 2.0, limit_s=2.0)
    assert directory.leaving("huts", began_at + 1.9, limit_s=2.0)


class LateStore(RelayingStore):
    """Answers reads of route maps as of their begin, long after it, and without waiting for one."""

    async def read_map(self, position, wait_s, on_answer):
        """Return the newest route map, or none if it has been read before."""
        update = await super().read_map(position, wait_s, on_answer)
        await trio.sleep(wait_s + 0.1)
        return update


async def test_the_age_of_a_route_map_counts_from_the_begin_of_a_read_that_did_not_wait():
    decisions = DecisionLog(trio.current_time)
    feed = MapFeed(LateStore(), TIMES, FleetRequirements, decisions, lambda table: None)
    requirements = FleetRequirements()
    with trio.move_on_after(10.0):
        await feed.run()
    assert feed.age_s >= requirements.map_wait_s
