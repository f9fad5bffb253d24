"""Route maps that reach a host late: over a slow link, or many of them after an outage."""

from __future__ import annotations

from copy import deepcopy
from typing import Any

import trio

from mulberrycleat.entry.settings import FleetRequirements
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host, entry_hosts
from mulberrycleat.testing import fixture

BOUNDS = FleetRequirements()
# Size and interval of the pieces in which a slow link delivers a body.
PIECE_BYTES, PIECE_INTERVAL_S = 2_000, 0.1


@fixture
def booking_server() -> ServerStandin:
    return ServerStandin("h1", "10.2.0.1:80", "bookings")


@fixture
def other_server() -> ServerStandin:
    return ServerStandin("h2", "10.2.0.2:80", "others")


def changed(version: int, pool: str = "bookings") -> dict[str, Any]:
    """Return a later version of the configuration, in which bookings go to a service."""
    config = deepcopy(CONFIG)
    config["version"] = version
    config["services"].append({**CONFIG["services"][1], "name": "others"})
    for route in config["routes"]:
        if route["service"] == "bookings":
            route["service"] = pool
    return config


def slow_down(store: StoreStandin, piece_bytes: int = PIECE_BYTES) -> None:
    """Let bodies of the store arrive as over a slow link."""
    store.piece_bytes, store.piece_interval_s = piece_bytes, PIECE_INTERVAL_S


async def statuses(harness: HostHarness, path: str, duration_s: float) -> set[int]:
    """Send requests for some time and return the statuses of the answers."""
    found = set()
    until = trio.current_time() + duration_s
    while trio.current_time() < until:
        found.add((await harness.send_request(path)).status)
        await trio.sleep(0.1)
    return found


async def test_the_newest_of_many_missed_route_maps_is_in_force_in_time_over_a_slow_link(
    booking_server, other_server
):
    async with entry_host(booking_server, other_server) as harness:
        store = harness.store
        store.down = True
        await trio.sleep(5.0)
        for version in range(8, 108):
            store.put_route_map(changed(version))
        store.put_route_map(changed(200, "others"))
        slow_down(store)
        store.down = False
        await trio.sleep(BOUNDS.contact_s)
        assert (await harness.send_request("/book/x")).status == 200
        assert not booking_server.seen and len(other_server.seen) == 1


async def test_no_refusal_is_final_by_the_first_part_of_many_missed_route_maps(booking_server):
    async with entry_host(booking_server) as harness:
        store = harness.store
        store.down = True
        await trio.sleep(5.0)
        for version in range(8, 3008):
            store.put_route_map(changed(version))
        added = changed(4000)
        added["routes"].append({**CONFIG["routes"][2], "name": "added", "path_prefix": "/added/"})
        store.put_route_map(added)
        store.limits_reads = True
        await trio.sleep(BOUNDS.config_apply_s)
        slow_down(store, piece_bytes=50_000)
        store.down = False
        assert 404 not in await statuses(harness, "/added/x", 10.0)
        assert (await harness.send_request("/added/x")).status == 200


async def test_no_request_is_handled_by_a_route_map_that_was_replaced_long_ago(
    booking_server, other_server
):
    async with entry_host(booking_server, other_server) as harness:
        await trio.sleep(BOUNDS.contact_s)
        slow_down(harness.store, piece_bytes=20)
        harness.store.put_route_map(changed(8, "others"))
        await trio.sleep(BOUNDS.config_apply_s)
        assert await statuses(harness, "/book/x", 1.0) == {503}
        assert not booking_server.seen
        await trio.sleep(20.0)
        assert (await harness.send_request("/book/x")).status == 200
        assert len(other_server.seen) == 1


async def test_requests_are_served_by_the_last_route_map_while_maps_alone_can_not_be_read(
    booking_server,
):
    async with entry_host(booking_server) as harness:
        await trio.sleep(BOUNDS.contact_s)
        harness.store.silent_topics.add("keyed.op")
        assert await statuses(harness, "/find/x", 15.0) == {200}


async def test_a_host_that_is_cut_off_serves_on_while_its_questions_to_other_hosts_take_long(
    booking_server,
):
    async with entry_hosts(4, booking_server) as harnesses:
        host = harnesses[0]
        await trio.sleep(BOUNDS.contact_s)
        host.store.down = True
        host.apps.cut_off |= {"a2", "a3", "a4"}
        assert await statuses(host, "/find/x", 25.0) == {200}


async def test_a_lost_answer_to_a_read_of_the_route_map_refuses_no_request(booking_server):
    async with entry_host(booking_server) as harness:
        for _ in range(5):
            harness.store.silent_topics.add("keyed.op")
            assert await statuses(harness, "/find/x", 1.0) == {200}
            harness.store.silent_topics.clear()
            assert await statuses(harness, "/find/x", 5.0) == {200}
