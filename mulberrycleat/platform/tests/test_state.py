"""State read from the store: route maps, directory entries, slices; and outages of the store."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host
from mulberrycleat.prepaid.sharding import SHARDS
from mulberrycleat.testing import fixture


@fixture
def booking_server():
    return ServerStandin("h1", "10.2.0.1:80", "bookings")


async def test_a_host_without_a_route_map_answers_503_and_is_not_ready(booking_server):
    async with entry_host(booking_server, config={}) as harness:
        assert not harness.host.ready
        answer = await harness.send_request("/book/x")
        assert answer.status == 503
        harness.store.put("keyed.op", "config", CONFIG)
        await trio.sleep(1.0)
        assert harness.host.ready
        assert (await harness.send_request("/book/x")).status == 200


async def test_a_route_map_of_a_lower_version_is_ignored(booking_server):
    async with entry_host(booking_server) as harness:
        harness.store.put("keyed.op", "config", {**CONFIG, "version": 9, "routes": []})
        harness.store.put("keyed.op", "config", {**CONFIG, "version": 8})
        await trio.sleep(2.0)
        assert (await harness.send_request("/book/x")).status == 404


async def test_the_last_valid_config_stays_active_when_a_new_one_can_not_be_decoded(booking_server):
    async with entry_host(booking_server) as harness:
        harness.store.append("keyed.op", "config", b"{not json")
        harness.store.put("keyed.op", "config", {"version": 10})
        unknown = [{**CONFIG["routes"][1], "kind": "odd"}]
        harness.store.put("keyed.op", "config", {**CONFIG, "version": 11, "routes": unknown})
        await trio.sleep(2.0)
        assert (await harness.send_request("/book/x")).status == 200


async def test_directory_entries_that_can_not_be_decoded_are_ignored(booking_server):
    async with entry_host(booking_server) as harness:
        for key, value in (
            ("x1", {"service": 7}),
            ("x2", {**booking_server.entry(), "state": "odd"}),
        ):
            harness.store.put("keyed.servers", key, value)
        harness.store.append("keyed.servers", "x3", b"\xff\x00")
        await trio.sleep(1.0)
        assert [(await harness.send_request("/book/x", f"r{n}")).status for n in range(4)] == [
            200
        ] * 4


async def test_a_draining_server_gets_no_more_requests():
    first = ServerStandin("h1", "10.2.0.1:80", "bookings")
    second = ServerStandin("h2", "10.2.0.2:80", "bookings")
    async with entry_host(first, second) as harness:
        harness.store.put("keyed.servers", "h1", first.entry(state="draining"))
        harness.store.put("keyed.servers", "h2", None)
        harness.store.put("keyed.servers", "h2", second.entry())
        await trio.sleep(1.0)
        for number in range(8):
            await harness.send_request("/book/x", f"r{number}")
    assert not first.seen
    assert len(second.seen) == 8


async def test_requests_are_served_while_the_store_is_down(booking_server):
    async with entry_host(booking_server) as harness:
        harness.store.down = True
        await trio.sleep(8.0)
        assert harness.host.ready
        assert (await harness.send_request("/book/x")).status == 200


async def test_a_snapshot_is_read_when_the_history_of_the_store_has_expired(booking_server):
    async with entry_host(booking_server) as harness:
        harness.store.put("keyed.op", "config", {**CONFIG, "version": 9, "routes": []})
        slices = [f"keyed.slices.{shard}" for shard in range(SHARDS)]
        for topic in ("keyed.op", "keyed.servers", "keyed.hosts", *slices):
            harness.store.expire_history(topic)
        await trio.sleep(3.0)
        assert (await harness.send_request("/book/x")).status == 404


async def test_slices_cover_requests_during_an_outage_of_the_store():
    server = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
    async with entry_host(server) as harness:
        statuses = []
        for number in range(60):
            if number == 20:
                harness.store.down = True
            answer = await harness.send_request(
                "/ask/x", f"r{number}", model="m", token_counts="200,20"
            )
            statuses.append(answer.status)
            await trio.sleep(0.1)
    assert statuses[:20] == [200] * 20
    assert statuses[20:].count(200) >= 30, statuses


async def test_lost_answers_of_the_store_cause_no_overspending():
    server = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
    store = StoreStandin(seed=3)
    async with entry_host(server, store=store) as harness:
        store.lose_answers = 0.4
        for number in range(200):
            await harness.send_request("/ask/x", f"r{number}", model="m", token_counts="900,20")
    assert len(server.seen) * 920 <= 100_000
