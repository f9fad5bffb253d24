"""Answers of the store that arrive slowly, stall or arrive byte by byte."""

from __future__ import annotations

from contextlib import asynccontextmanager

import httpcore
import trio

from mulberrycleat.core import Position
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.platform.store_standin import StoreClient, StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host
from mulberrycleat.testing import fixture

TIMEOUT_S = 0.4
PIECE_BYTES = 16_384
# Number of routes of a large map, whose record has about 250 kB.
ROUTES = 1400
# A read has ended by then whatever arrives, in seconds.
LONGEST_READ_S = 10.0


def large_map(version: int) -> dict:
    """Return a route map with many routes besides the usual ones."""
    book = CONFIG["routes"][1]
    more = [
        {**book, "name": f"more-{number}", "path_prefix": f"/more/{number}/"}
        for number in range(ROUTES)
    ]
    return {**CONFIG, "version": version, "routes": [*CONFIG["routes"], *more]}


@fixture
def booking_server() -> ServerStandin:
    return ServerStandin("h1", "10.2.0.1:80", "bookings")


@fixture
def store() -> StoreStandin:
    store = StoreStandin()
    store.put("keyed.op", "config", CONFIG)
    return store


async def platform_store(store: StoreStandin) -> PlatformStore:
    """Return a client of the store that has read it once, which takes the era over."""
    platform = PlatformStore("10.9.0.1:4", StoreClient(store, "a1"), TIMEOUT_S)
    assert (await platform.read_map(None, 0.0)).unwrap().next == Position(1, 1)
    return platform


def is_logged(records, event: str) -> bool:
    return any(record.msg == event for record in records)


async def test_a_map_that_arrives_for_longer_than_the_limit_of_a_silent_read_is_read(store):
    platform = await platform_store(store)
    store.put("keyed.op", "config", large_map(8))
    store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.15
    began = trio.current_time()
    update = (await platform.read_map(Position(1, 1), 1.5)).unwrap()
    assert update.route_map.version == 8
    assert trio.current_time() - began > 1.5 + TIMEOUT_S


async def test_a_map_that_is_published_at_the_end_of_a_wait_has_time_to_arrive(store):
    platform = await platform_store(store)
    store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.05
    async with trio.open_nursery() as nursery:

        async def publish() -> None:
            await trio.sleep(1.45)
            store.put("keyed.op", "config", large_map(8))

        nursery.start_soon(publish)
        update = (await platform.read_map(Position(1, 1), 1.5)).unwrap()
    assert update.route_map.version == 8


async def test_a_snapshot_that_arrives_for_longer_than_the_limit_of_a_silent_read_is_read(store):
    platform = await platform_store(store)
    store.put("keyed.op", "config", large_map(8))
    store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.1
    assert (await platform.read_map(None, 0.0)).unwrap().route_map.version == 8


async def test_a_host_takes_a_large_map_over_a_slow_link_and_does_not_lose_the_store(
    booking_server, store, records
):
    async with entry_host(booking_server, store=store, config={}) as harness:
        store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.12
        store.put("keyed.op", "config", large_map(8))
        await trio.sleep(3.0)
        assert (await harness.send_request("/more/999/x")).status == 200
        assert not is_logged(records, "store lost")


async def test_a_read_that_stalls_in_its_middle_is_given_up_with_a_reason(store):
    platform = await platform_store(store)
    store.put("keyed.op", "config", large_map(8))
    store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.05
    store.stall_after_bytes = 4 * PIECE_BYTES
    began = trio.current_time()
    error = (await platform.read_map(Position(1, 1), 1.5)).err_value
    # Four pieces arrive, and nothing more.
    assert 0.2 + TIMEOUT_S <= trio.current_time() - began < 0.2 + TIMEOUT_S + 0.05
    assert str(4 * PIECE_BYTES) in error.reason


async def test_a_read_that_never_begins_is_given_up_after_its_wait(store):
    platform = await platform_store(store)
    store.silent_topics.add("keyed.op")
    began = trio.current_time()
    assert (await platform.read_map(Position(1, 1), 1.5)).is_err()
    assert trio.current_time() - began < 1.5 + TIMEOUT_S + 0.01


async def test_a_read_that_arrives_byte_by_byte_has_an_end(store):
    platform = await platform_store(store)
    store.put("keyed.op", "config", large_map(8))
    store.piece_bytes, store.piece_interval_s = 1, 0.3
    began = trio.current_time()
    assert (await platform.read_map(Position(1, 1), 1.5)).is_err()
    assert trio.current_time() - began < LONGEST_READ_S


class NotingClient(StoreClient):
    """Notes the targets of all calls; those whose target contains `failing` get no answer."""

    def __init__(self, store: StoreStandin) -> None:
        super().__init__(store, "a1")
        self.store = store
        self.targets: list[str] = []
        self.failing = "none"

    @asynccontextmanager
    async def stream(self, method, url, body=b"", headers=None, timeout_s=5.0):
        """Run a request on the stand-in and yield the answer."""
        self.targets.append(url)
        if self.failing in url:
            await trio.sleep(timeout_s)
            raise httpcore.ReadTimeout("no answer")
        async with super().stream(method, url, body, headers, timeout_s) as answer:
            yield answer


@fixture
def client(store) -> NotingClient:
    return NotingClient(store)


def entries(store: StoreStandin, numbers: range) -> None:
    """Put entries of endpoints, of somewhat over 100 bytes each, into the store."""
    for number in numbers:
        entry = ServerStandin(f"h{number}", "10.2.0.1:80", "bookings").entry()
        store.put("keyed.servers", f"h{number}", entry)


async def test_reads_that_always_stall_after_the_same_bytes_come_to_an_end(store):
    """Each begins after the records that the one before has brought in full."""
    platform = await platform_store(store)
    for version in range(8, 12):
        store.put("keyed.op", "config", large_map(version))
    store.piece_bytes, store.stall_after_bytes = PIECE_BYTES, 600_000
    assert (await platform.read_map(Position(1, 1), 1.5)).is_err()
    update = (await platform.read_map(Position(1, 1), 1.5)).unwrap()
    assert (update.route_map.version, update.next) == (11, Position(1, 5))


async def test_a_read_that_goes_on_returns_all_records_once_and_in_order(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    start = (await platform.read_entries(None)).unwrap().next
    entries(store, range(40))
    store.piece_bytes, store.stall_after_bytes = 100, 3000
    began, errors = trio.current_time(), 0
    while (found := await platform.read_entries(start)).is_err():
        errors += 1
        assert trio.current_time() - began < 30.0
    update = found.unwrap()
    assert errors
    assert [key for key, _ in update.changes] == [f"h{number}" for number in range(40)]
    assert update.next == start.after(40)


async def test_a_read_from_another_position_takes_nothing_of_a_stalled_one(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    start = (await platform.read_entries(None)).unwrap().next
    entries(store, range(10))
    store.piece_bytes, store.stall_after_bytes = 100, 900
    assert (await platform.read_entries(start)).is_err()
    store.stall_after_bytes = None
    update = (await platform.read_entries(start.after(8))).unwrap()
    assert [key for key, _ in update.changes] == ["h8", "h9"]
    assert len((await platform.read_entries(start)).unwrap().changes) == 10


async def test_records_of_a_stalled_read_are_not_used_after_the_store_was_restored(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    start = (await platform.read_entries(None)).unwrap().next
    copy = store.copy()
    entries(store, range(10))
    store.piece_bytes, store.stall_after_bytes = 100, 900
    assert (await platform.read_entries(start)).is_err()
    store.stall_after_bytes = None
    store.restore(copy)
    entries(store, range(20, 22))
    update = (await platform.read_entries(start)).unwrap()
    assert update.is_snapshot
    assert [key for key, _ in update.changes] == ["h20", "h21"]


async def test_a_snapshot_of_several_pages_goes_on_after_those_that_it_has(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    entries(store, range(1200))
    client.failing = "after="
    assert (await platform.read_entries(None)).is_err()
    client.failing = "none"
    client.targets.clear()
    update = (await platform.read_entries(None)).unwrap()
    assert len(client.targets) == 2
    assert len({key for key, _ in update.changes}) == len(update.changes) == 1200
    assert update.next == Position(1, 1200)


async def test_pages_of_a_snapshot_are_not_used_after_the_store_was_restored(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    copy = store.copy()
    entries(store, range(1200))
    client.failing = "after="
    assert (await platform.read_entries(None)).is_err()
    client.failing = "none"
    store.restore(copy)
    entries(store, range(2000, 2002))
    update = (await platform.read_entries(None)).unwrap()
    assert [key for key, _ in update.changes] == ["h2000", "h2001"]


async def test_pages_of_a_snapshot_that_failed_long_ago_are_read_again(client):
    """Their records may be gone from the store by then."""
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    entries(store, range(1200))
    client.failing = "after="
    assert (await platform.read_entries(None)).is_err()
    client.failing = "none"
    store.put("keyed.servers", "h1", None)
    await trio.sleep(60.0)
    update = (await platform.read_entries(None)).unwrap()
    assert "h1" not in {key for key, _ in update.changes}


async def test_a_stalled_read_whose_rest_has_expired_is_followed_by_a_snapshot(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    start = (await platform.read_entries(None)).unwrap().next
    entries(store, range(10))
    store.piece_bytes, store.stall_after_bytes = 100, 900
    assert (await platform.read_entries(start)).is_err()
    store.stall_after_bytes = None
    store.expire_history("keyed.servers")
    entries(store, range(10, 12))
    update = (await platform.read_entries(start)).unwrap()
    assert update.is_snapshot
    assert len(update.changes) == 12
    changes = (await platform.read_entries(start.after(10))).unwrap().changes
    assert [key for key, _ in changes] == ["h10", "h11"]


async def test_after_a_failed_read_the_newest_map_is_read_and_the_next_read_waits_again(client):
    store, platform = client.store, PlatformStore("10.9.0.1:4", client, TIMEOUT_S)
    start = (await platform.read_map(None, 0.0)).unwrap().next
    store.silent_topics.add("keyed.op")
    assert (await platform.read_map(start, 1.5)).is_err()
    store.silent_topics.clear()
    client.targets.clear()
    end = (await platform.read_map(start, 1.5)).unwrap().next
    assert end == start and (await platform.read_map(end, 1.5)).is_ok()
    newest, waiting = client.targets
    assert "/log-newest" in newest
    assert "wait_ms=1500" in waiting and f"from={start.offset}&" in waiting


async def test_the_store_is_not_lost_while_a_large_map_arrives_and_another_call_is_not_answered(
    booking_server, store, records
):
    """An answer that waits behind a large one on a slow link may be late."""
    async with entry_host(booking_server, store=store, config={}) as harness:
        store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.12
        store.put("keyed.op", "config", large_map(8))
        await trio.sleep(0.2)
        store.silent_topics.add("keyed.servers")
        await trio.sleep(1.2)
        store.silent_topics.clear()
        await trio.sleep(1.6)
        assert (await harness.send_request("/more/999/x")).status == 200
        assert not is_logged(records, "store lost")
        assert is_logged(records, "store call failed")


async def test_the_store_is_lost_when_calls_are_not_answered_and_nothing_arrives(
    booking_server, store, records
):
    async with entry_host(booking_server, store=store, config={}):
        store.silent_topics.add("keyed.servers")
        await trio.sleep(1.5)
        assert is_logged(records, "store lost")


async def test_the_store_is_lost_when_the_answer_that_arrived_stalls_too(
    booking_server, store, records
):
    async with entry_host(booking_server, store=store, config={}):
        store.piece_bytes, store.piece_interval_s = PIECE_BYTES, 0.12
        store.stall_after_bytes = 2 * PIECE_BYTES
        store.put("keyed.op", "config", large_map(8))
        await trio.sleep(0.2)
        store.silent_topics |= {"keyed.servers", "keyed.hosts"}
        await trio.sleep(1.5)
        assert is_logged(records, "store lost")
