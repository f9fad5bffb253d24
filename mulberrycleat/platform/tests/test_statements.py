"""Endpoints that state that they leave, or that they want no requests for a while."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import HostHarness, entry_host, entry_hosts

# The platform's `drain_ms`. And the bound on requests between half a second after a server has
# stated a pause and the end of that time.
DRAIN_S = 2.0
MAX_IN_PAUSE, PAUSE_BEGINS_S = 2, 0.5
PAUSE_S = 3.0
# Endpoints of this zone are used only after those of the host's zone.
OTHER_ZONE = "z-b"


def booking_server(number: int, **options) -> ServerStandin:
    return ServerStandin(f"h{number}", f"10.2.0.{number}:80", "bookings", **options)


def reached_after(server: ServerStandin, at: float) -> int:
    """Return the number of requests that reached a server later than `at`."""
    return sum(t > at for t in server.declined_at) + sum(float(r[":at"]) > at for r in server.seen)


async def send(harness: HostHarness, duration_s: float, path: str = "/find/x", name="r") -> list:
    """Send 20 requests a second, one after another, and return the answers."""
    answers, until = [], trio.current_time() + duration_s
    while trio.current_time() < until:
        answers.append(await harness.send_request(path, f"{name}{len(answers)}"))
        await trio.sleep(0.05)
    return answers


async def test_a_server_that_states_that_it_leaves_gets_no_more_requests():
    leaving, other = booking_server(1, leaving=True), booking_server(2, zone=OTHER_ZONE)
    async with entry_host(leaving, other) as harness:
        await send(harness, 1.0)
        assert len(leaving.seen) == 1
        harness.store.put("keyed.servers", "h1", leaving.entry())
        await send(harness, 4.0)
        assert len(leaving.seen) == 1


async def test_a_host_that_can_not_reach_the_store_sends_no_requests_to_a_leaving_server():
    leaving, other = booking_server(1, leaving=True), booking_server(2, zone=OTHER_ZONE)
    async with entry_host(leaving, other) as harness:
        harness.store.down = True
        await send(harness, 3.0)
        assert len(leaving.seen) == 1


async def test_a_leaving_server_is_used_for_the_drain_time_if_there_is_no_other():
    leaving = booking_server(1, leaving=True)
    async with entry_host(leaving) as harness:
        first = trio.current_time()
        answers = await send(harness, DRAIN_S / 2)
        assert {answer.status for answer in answers} == {200}
        await trio.sleep(DRAIN_S)
        began = trio.current_time()
        answer = await harness.send_request("/find/x", "late")
        assert (answer.status, trio.current_time() - began < 0.05) == (503, True)
        assert float(answer.headers["retry-after"]) > 0
        assert reached_after(leaving, first + DRAIN_S + 0.1) == 0


async def test_retries_and_resumed_streams_leave_out_a_leaving_server():
    leaving = ServerStandin("e1", "10.1.0.1:80", "engines", events=4, leaving=True)
    breaking = ServerStandin("e2", "10.1.0.2:80", "engines", OTHER_ZONE, 4, break_after=1)
    other = ServerStandin("e3", "10.1.0.3:80", "engines", OTHER_ZONE, 4)
    async with entry_host(leaving, breaking, other) as harness:
        for number in range(30):
            await harness.send_request("/ask/x", f"r{number}", model="m", token_counts="9,9")
        assert len(leaving.seen) == 1


async def test_the_next_start_of_a_server_that_left_gets_requests():
    server = booking_server(1, leaving=True)
    async with entry_host(server) as harness:
        await send(harness, 0.2)
        await trio.sleep(DRAIN_S)
        server.leaving = False
        harness.store.put("keyed.servers", "h1", {**server.entry(), "born": 1_779_000_000_000})
        await trio.sleep(1.0)
        assert (await harness.send_request("/find/x", "again")).status == 200


async def test_a_leaving_server_stays_unused_after_its_entry_has_come_back():
    leaving, other = booking_server(1, leaving=True), booking_server(2, zone=OTHER_ZONE)
    async with entry_host(leaving, other) as harness:
        while not leaving.seen:
            await send(harness, 0.1)
        harness.store.put("keyed.servers", "h1", None)
        await trio.sleep(2.0)
        harness.store.put("keyed.servers", "h1", leaving.entry())
        await trio.sleep(1.0)
        await send(harness, 2.0)
        assert len(leaving.seen) == 1


async def test_a_server_that_wants_a_pause_gets_no_requests_in_it():
    for path in ("/find/x", "/book/x"):
        pausing = booking_server(1, declines=True, retry_after=f"{PAUSE_S}")
        async with entry_host(pausing, booking_server(2, zone=OTHER_ZONE)) as harness:
            while not pausing.declined_at:
                await send(harness, 0.1, path)
            stated_at = pausing.declined_at[0]
            await send(harness, PAUSE_S - 0.3, path)
            assert reached_after(pausing, stated_at + PAUSE_BEGINS_S) <= MAX_IN_PAUSE


async def test_a_pause_is_kept_when_all_servers_of_a_pool_pause():
    servers = [booking_server(n, declines=True, retry_after="2.5") for n in (1, 2)]
    async with entry_host(*servers) as harness:
        began = trio.current_time()
        await harness.send_request("/find/x", "first")
        assert all(server.declined_at for server in servers)
        await trio.sleep(PAUSE_BEGINS_S)
        at = trio.current_time()
        answer = await harness.send_request("/find/x", "second")
        assert (answer.status, trio.current_time() - at < 0.05) == (503, True)
        left_s = began + 2.5 - trio.current_time()
        assert abs(float(answer.headers["retry-after"]) - left_s) < 0.2
        await send(harness, left_s - 0.2)
        assert all(reached_after(s, began + PAUSE_BEGINS_S) <= MAX_IN_PAUSE for s in servers)


async def test_a_server_is_used_again_after_its_pause():
    server = booking_server(1, declines=True, retry_after="1.0")
    async with entry_host(server) as harness:
        await harness.send_request("/find/x", "first")
        server.declines = False
        await trio.sleep(1.1)
        answers = await send(harness, 1.0)
        assert {answer.status for answer in answers} == {200}


async def test_hosts_whose_pauses_end_together_do_not_all_send_at_once():
    server = booking_server(1, declines=True, retry_after="2.0", work_s=0.2)
    async with entry_hosts(3, server) as harnesses:
        for number, harness in enumerate(harnesses):
            await harness.send_request("/find/x", f"first{number}")
        await trio.sleep(2.05)
        server.declines = False
        async with trio.open_nursery() as nursery:
            for number in range(60):
                host = harnesses[number % 3]
                nursery.start_soon(host.send_request, "/find/x", f"r{number}")
            await trio.sleep(0.1)
            assert 1 <= len(server.seen) <= len(harnesses)


async def test_pauses_that_can_not_be_read_are_logged_and_change_nothing(records):
    for text in ("soon", "-1", "inf", "nan", "Fri, 04 Dec 2026 20:00:00 GMT"):
        server = booking_server(1, declines=True, retry_after=text)
        async with entry_host(server, store=StoreStandin()) as harness:
            answer = await harness.send_request("/find/x", "first")
            assert answer.status == 503
            server.declines = False
            await trio.sleep(0.5)
            assert (await harness.send_request("/find/x", "second")).status == 200
    unreadable = [record for record in records if record.msg == "statement unreadable"]
    assert len(unreadable) == 5
    assert all("retry-after" in record.why for record in unreadable)


async def test_requests_that_are_declined_without_a_pause_are_sent_as_before():
    full = booking_server(1, declines=True)
    async with entry_host(full) as harness:
        await send(harness, 2.0)
        assert len(full.declined_at) > 5
