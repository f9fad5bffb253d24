"""Hosts that have lost their path to the endpoints, which other hosts still reach."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import (
    CONFIG,
    Answer,
    HostHarness,
    Links,
    PathFault,
    entry_hosts,
)

HOSTS = 6
# The platform's time within which a host has to find out, in seconds.
CONTACT_S = 3.0
EVENTS = 4
INTERVAL_S = 0.05
PROMPT = {"model": "m", "token_counts": "90,20", "prompt_prefix": "aa:30,bb:20,cc:40"}
CONFIG = {**CONFIG, "tenants": [{**CONFIG["tenants"][0], "prepaid": 10_000_000}]}


class Fleet:
    """Hosts, engines and plain endpoints; the first hosts can lose their paths to all of them."""

    def __init__(self, harnesses: list[HostHarness], servers: list[ServerStandin]) -> None:
        self.harnesses = harnesses
        self.servers = servers
        self.links = harnesses[0].links
        self._count = 0

    def cut(self, fault: PathFault, count: int) -> list[HostHarness]:
        """Have the first hosts lose their paths, and return them."""
        self.links.faults.update({f"a{n}": fault for n in range(1, count + 1)})
        return self.harnesses[:count]

    def heal(self) -> None:
        """Restore all paths."""
        self.links.faults.clear()

    async def send(self, harness: HostHarness, path: str, **options) -> Answer:
        """Send a request with a new id, and a prompt if it is for a model."""
        self._count += 1
        headers = PROMPT if path.startswith("/ask") else {}
        return await harness.send_request(path, f"r{self._count}", **headers, **options)

    async def send_for(self, harnesses: list[HostHarness], duration_s: float) -> list[Answer]:
        """Send requests of all kinds to hosts in turn for `duration_s`; return the answers."""
        answers: list[Answer] = []

        async def send(harness: HostHarness, path: str) -> None:
            answers.append(await self.send(harness, path))

        async with trio.open_nursery() as nursery:
            for number in range(round(duration_s / INTERVAL_S)):
                harness = harnesses[number % len(harnesses)]
                path = ("/ask/x", "/book/x", "/find/x")[number % 3]
                nursery.start_soon(send, harness, path)
                await trio.sleep(INTERVAL_S)
        return answers

    def runs(self) -> list[str]:
        """Return the request ids of all runs at plain endpoints that must not run twice."""
        return [
            request["attempt-id"]
            for server in self.servers
            for request in server.seen
            if request[":target"].startswith("/book")
        ]


@asynccontextmanager
async def fleet(hosts: int = HOSTS, **options) -> AsyncIterator[Fleet]:
    """Run hosts and endpoints while the block is executed."""
    servers = [
        ServerStandin(f"e{n}", f"10.1.0.{n}:80", "engines", events=EVENTS, **options)
        for n in range(1, 5)
    ]
    servers += [
        ServerStandin(f"h{n}", f"10.2.0.{n}:80", "bookings", **options) for n in range(1, 4)
    ]
    async with entry_hosts(hosts, *servers, config=CONFIG, links=Links(), wait_s=3.5) as found:
        fleet = Fleet(found, servers)
        await fleet.send_for(found, 0.9)
        yield fleet


def served_share(answers: list[Answer]) -> float:
    """Return the share of requests that were answered in full and with success."""
    return sum(a.status == 200 and a.complete for a in answers) / len(answers)


async def test_callers_of_hosts_without_a_path_are_served_through_other_hosts():
    for fault in PathFault:
        async with fleet() as play:
            cut = play.cut(fault, 4)
            await play.send_for(cut, CONTACT_S)
            assert served_share(await play.send_for(cut, 3.0)) == 1.0, fault
            runs = play.runs()
            assert len(runs) == len(set(runs)), fault


async def test_most_callers_are_served_while_a_host_finds_out():
    for fault in (PathFault.RESET, PathFault.REFUSED):
        async with fleet() as play:
            answers = await play.send_for(play.cut(fault, 3), 2.0)
            assert served_share(answers) >= 0.9, fault
