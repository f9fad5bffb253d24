"""Endpoints that state how many requests a second they take from all hosts together."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_hosts

LIMIT_PER_S = 2.3
HOSTS = 9
SERVERS = 6
# The platform's limit: from the contact time after a server first stated its limit, it gets in any
# window at most this multiple of what the limit allows, and this many requests more.
CONTACT_S, WINDOW_S, MAX_RATIO, SLACK = 3.0, 4.0, 1.5, 5
ROUTES = [{**CONFIG["routes"][2], "timeout_ms": 1500}]
FLEET_CONFIG: dict[str, Any] = {**CONFIG, "routes": ROUTES}


class Play:
    """Idempotent requests that callers send to the hosts in turn."""

    def __init__(self, harnesses: list[HostHarness], servers: list[ServerStandin]) -> None:
        self.harnesses = harnesses
        self.servers = servers
        self.answers: list[Any] = []
        self._count = 0

    async def run(self, duration_s: float, requests_per_s: float) -> None:
        """Send requests for `duration_s` seconds, and wait until all have ended."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                while True:
                    nursery.start_soon(self._send)
                    await trio.sleep(1 / requests_per_s)

    def most_in_a_window(self, server: ServerStandin, since: float) -> int:
        """Return the most requests that reached a server in a window that begins after `since`."""
        times = [float(request[":at"]) for request in server.seen]
        times = [at for at in times if at >= since]
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)

    def served_per_s(self, server: ServerStandin, since: float) -> float:
        """Return the mean rate of requests that reached a server since a time."""
        count = sum(float(request[":at"]) >= since for request in server.seen)
        return count / (trio.current_time() - since)

    async def _send(self) -> None:
        self._count += 1
        harness = self.harnesses[self._count % len(self.harnesses)]
        answer = await harness.send_request("/find/x", f"r{self._count}", "GET")
        self.answers.append(answer)


@asynccontextmanager
async def fleet(limited: int, hosts: int = HOSTS) -> AsyncIterator[Play]:
    """Run hosts, and servers of which the first `limited` state a limit."""
    servers = [
        ServerStandin(f"h{number}", f"10.2.0.{number}:80", "bookings")
        for number in range(1, SERVERS + 1)
    ]
    for server in servers[:limited]:
        server.limit_per_s = LIMIT_PER_S
    async with entry_hosts(hosts, *servers, config=FLEET_CONFIG, wait_s=2.0) as harnesses:
        yield Play(harnesses, servers)


def allowed(limit_per_s: float) -> float:
    return MAX_RATIO * WINDOW_S * limit_per_s + SLACK


async def test_the_line_of_an_answer_shows_the_limit_that_the_endpoint_states(records):
    async with fleet(limited=SERVERS, hosts=1) as play:
        await play.run(0.5, 2.0)
    answered = [record for record in records if record.msg == "answered"]
    assert {record.limit_per_s for record in answered} == {LIMIT_PER_S}


async def test_all_hosts_together_keep_to_the_limit_that_an_endpoint_states():
    async with fleet(limited=2) as play:
        began = trio.current_time()
        await play.run(15.0, 60.0)
        for server in play.servers[:2]:
            found = play.most_in_a_window(server, began + CONTACT_S)
            assert found <= allowed(LIMIT_PER_S), found


async def test_hosts_keep_to_the_limits_when_all_endpoints_of_a_pool_state_one():
    async with fleet(limited=SERVERS) as play:
        began = trio.current_time()
        await play.run(15.0, 60.0)
        for server in play.servers:
            found = play.most_in_a_window(server, began + CONTACT_S)
            assert found <= allowed(LIMIT_PER_S), found


async def test_most_of_what_limited_endpoints_take_is_used_and_the_rest_is_refused_at_once():
    async with fleet(limited=SERVERS) as play:
        await play.run(5.0, 60.0)
        began = trio.current_time()
        play.answers.clear()
        await play.run(15.0, 60.0)
        for server in play.servers:
            assert play.served_per_s(server, began) >= 0.8 * LIMIT_PER_S
        refused = [answer for answer in play.answers if answer.status == 503]
        assert len(refused) >= 0.5 * len(play.answers)
        assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)
        assert {answer.status for answer in play.answers} == {200, 503}


async def test_endpoints_that_no_longer_state_a_limit_are_used_freely_again():
    async with fleet(limited=SERVERS) as play:
        await play.run(6.0, 60.0)
        for server in play.servers:
            server.limit_per_s = None
        await play.run(4.0, 60.0)
        play.answers.clear()
        await play.run(5.0, 60.0)
        assert {answer.status for answer in play.answers} == {200}


async def test_hosts_keep_to_a_limit_that_changes():
    async with fleet(limited=2) as play:
        await play.run(6.0, 60.0)
        for server in play.servers[:2]:
            server.limit_per_s = 1.2
        began = trio.current_time()
        await play.run(15.0, 60.0)
        for server in play.servers[:2]:
            assert play.most_in_a_window(server, began + CONTACT_S) <= allowed(1.2)


async def test_hosts_keep_to_a_limit_while_the_store_is_down():
    async with fleet(limited=0) as play:
        await play.run(3.0, 60.0)
        play.harnesses[0].store.down = True
        for server in play.servers[:2]:
            server.limit_per_s = LIMIT_PER_S
        began = trio.current_time()
        await play.run(12.0, 60.0)
        for server in play.servers[:2]:
            found = play.most_in_a_window(server, began + CONTACT_S)
            assert found <= allowed(LIMIT_PER_S), found


async def test_a_host_that_has_just_started_keeps_to_a_limit_that_others_know():
    async with fleet(limited=2) as play:
        await play.run(6.0, 60.0)
        began = trio.current_time()
        for number in range(HOSTS):
            play.harnesses[number] = play.harnesses[number].restart(f"a{number + 1}")
            await play.run(1.5, 60.0)
        for server in play.servers[:2]:
            found = play.most_in_a_window(server, began)
            assert found <= allowed(LIMIT_PER_S), found


async def test_a_limit_that_is_no_number_is_ignored():
    async with fleet(limited=2) as play:
        for server in play.servers[:2]:
            server.limit_per_s = float("nan")
        await play.run(6.0, 60.0)
        assert {answer.status for answer in play.answers} == {200}
