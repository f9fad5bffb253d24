"""Overloaded endpoints behind a whole entry host."""

from __future__ import annotations

from dataclasses import replace

import trio

from mulberrycleat.entry.frontend import BEHIND_RETRY_AFTER_S
from mulberrycleat.entry.host_load import MAX_DELAY_S
from mulberrycleat.entry.settings import Activation
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host

WORK_S = 0.1
ROUTES = [{**CONFIG["routes"][2], "timeout_ms": 1500, "target_latency_ms": 400}]


def manage_overload(harness: HostHarness) -> None:
    host = harness.host
    host.apply_settings(replace(host._settings, manages_overload=Activation.ON))


async def statuses_of_two(managed: bool) -> list[int]:
    """Return the sorted statuses of two requests for the only place of an endpoint."""
    server = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=WORK_S, slots=1, queue=0)
    found: list[int] = []
    async with entry_host(server, config={**CONFIG, "routes": ROUTES}) as harness:
        if managed:
            manage_overload(harness)

        async def send(name: str) -> None:
            answer = await harness.send_request("/find/x", name, "GET")
            found.append(answer.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "r1")
            await trio.sleep(WORK_S / 5)
            nursery.start_soon(send, "r2")
    return sorted(found)


async def test_a_request_waits_for_the_place_that_another_one_leaves():
    found = await statuses_of_two(managed=True)
    assert found == [200, 200], found


async def test_requests_are_refused_as_before_unless_the_settings_ask_for_more():
    found = await statuses_of_two(managed=False)
    assert found == [200, 503], found


async def test_a_host_that_is_short_of_cpu_time_refuses_before_it_sends_and_stays_ready():
    server = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=WORK_S)
    async with entry_host(server, config={**CONFIG, "routes": ROUTES}) as harness:
        for managed in (False, True):
            if managed:
                manage_overload(harness)
            for _ in range(2):
                harness.host._host_load.record_delay(1000 * MAX_DELAY_S)
            answer = await harness.send_request("/find/x", f"r{managed}", "GET")
            assert answer.status == (503 if managed else 200)
            assert harness.host.ready
        assert float(answer.headers["retry-after"]) == BEHIND_RETRY_AFTER_S
        assert len(server.seen) == 1


async def test_the_load_of_another_service_at_an_address_overloads_no_pool(records):
    other = ServerStandin("e1", "10.1.0.1:80", "engines", waiting=3)
    ended = ServerStandin("h0", other.address, "bookings")
    server = ServerStandin("h1", "10.2.0.1:80", "bookings", "z-b")
    async with entry_host(ended, server) as harness:
        harness.servers.add(other)
        manage_overload(harness)
        assert (await harness.send_request("/find/x", "r1", "GET")).status == 200
    assert [r.endpoint for r in records if r.msg == "turned away"] == ["h0"]
    assert [r.pool for r in records if r.msg == "overload began"] == []
