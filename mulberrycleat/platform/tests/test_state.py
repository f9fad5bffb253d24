"""State from the store: route maps, entries, outages."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin, StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host
from mulberrycleat.testing import fixture


@fixture
def hut():
    return ServerStandin("h1", "10.2.0.1:80", "huts")


async def test_a_host_without_a_route_map_answers_503_and_is_not_ready(hut):
    async with entry_host(hut, config={}) as world:
        assert not world.host.ready
        answer = await world.ask("/book/x")
        assert answer.status == 503
        world.store.put("keyed.op", "config", CONFIG)
        await trio.sleep(1.0)
        assert world.host.ready
        assert (await world.ask("/book/x")).status == 200


async def test_a_version_never_goes_back(hut):
    async with entry_host(hut) as world:
        world.store.put("keyed.op", "config", {**CONFIG, "version": 9, "routes": []})
        world.store.put("keyed.op", "config", {**CONFIG, "version": 8})
        await trio.sleep(2.0)
        assert (await world.ask("/book/x")).status == 404


async def test_an_unreadable_config_keeps_the_last_good_one(hut):
    async with entry_host(hut) as world:
        world.store.append("keyed.op", "config", b"{not json")
        world.store.put("keyed.op", "config", {"version": 10})
        unknown = [{**CONFIG["routes"][1], "kind": "odd"}]
        world.store.put("keyed.op", "config", {**CONFIG, "version": 11, "routes": unknown})
        await trio.sleep(2.0)
        assert (await world.ask("/book/x")).status == 200


async def test_entries_of_other_writers_name_no_server(hut):
    async with entry_host(hut) as world:
        for key, value in (("x1", {"service": 7}), ("x2", {**hut.entry(), "state": "odd"})):
            world.store.put("keyed.servers", key, value)
        world.store.append("keyed.servers", "x3", b"\xff\x00")
        await trio.sleep(1.0)
        assert [(await world.ask("/book/x", f"r{n}")).status for n in range(4)] == [200] * 4


async def test_a_server_that_leaves_gets_nothing_more():
    first = ServerStandin("h1", "10.2.0.1:80", "huts")
    second = ServerStandin("h2", "10.2.0.2:80", "huts")
    async with entry_host(first, second) as world:
        world.store.put("keyed.servers", "h1", first.entry(state="draining"))
        world.store.put("keyed.servers", "h2", None)
        world.store.put("keyed.servers", "h2", second.entry())
        await trio.sleep(1.0)
        for number in range(8):
            await world.ask("/book/x", f"r{number}")
    assert not first.seen
    assert len(second.seen) == 8


async def test_a_store_that_is_down_stops_no_request(hut):
    async with entry_host(hut) as world:
        world.store.down = True
        await trio.sleep(8.0)
        assert world.host.ready
        assert (await world.ask("/book/x")).status == 200


async def test_a_store_that_forgets_its_history_is_read_anew(hut):
    async with entry_host(hut) as world:
        world.store.put("keyed.op", "config", {**CONFIG, "version": 9, "routes": []})
        for topic in ("keyed.op", "keyed.servers", "keyed.slices"):
            world.store.forget_history(topic)
        await trio.sleep(3.0)
        assert (await world.ask("/book/x")).status == 404


async def test_slices_serve_through_an_outage_of_the_store():
    server = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
    async with entry_host(server) as world:
        statuses = []
        for number in range(60):
            if number == 20:
                world.store.down = True
            answer = await world.ask("/ask/x", f"r{number}", model="m", token_counts="200,20")
            statuses.append(answer.status)
            await trio.sleep(0.1)
    assert statuses[:20] == [200] * 20
    assert statuses[20:].count(200) >= 30, statuses


async def test_lost_answers_of_the_store_lead_to_no_overspending():
    server = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
    store = StoreStandin(seed=3)
    async with entry_host(server, store=store) as world:
        store.lose_answers = 0.4
        for number in range(200):
            await world.ask("/ask/x", f"r{number}", model="m", token_counts="900,20")
    assert len(server.seen) * 920 <= 100_000
