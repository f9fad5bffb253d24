"""Requests that crash every endpoint that runs them, and that callers send again and again."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import HostHarness, entry_hosts
from mulberrycleat.platform.tests.test_restored_store import restore

HOSTS, ENDPOINTS = 3, 3
RESTART_S = 3.4
SOUND_INTERVAL_S = 0.05
# The platform's limit: so many requests may reach endpoints after so many crashes and this time, in
# seconds.
MAX_LATE, CRASHES, CONTACT_S = 3, 3, 3.0


class Play:
    """Requests with and without the crashing content, sent to the hosts in turn.

    An endpoint that has crashed starts again under a new id after `RESTART_S`.
    """

    def __init__(self, harnesses: list[HostHarness], target: str, share: int) -> None:
        self.harnesses = harnesses
        self.target = target
        self.share = share
        self.endpoints: list[ServerStandin] = []
        self.sound: list[bool] = []
        self.statuses: list[int] = []
        self._count = 0

    def start_endpoint(self, number: int) -> None:
        """Start an endpoint and list it in the store."""
        server = ServerStandin(f"h{number}", f"10.2.0.{number}:80", "bookings", work_s=0.06)
        server.crash_target = self.target
        self.endpoints.append(server)
        self.harnesses[0].servers.add(server)
        self.harnesses[0].store.put("keyed.servers", server.id, server.entry())

    async def run(self, duration_s: float, crashing_interval_s: float) -> None:
        """Send requests for `duration_s` seconds, and wait until all have ended."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                next_crashing_at = trio.current_time()
                while True:
                    nursery.start_soon(self._send_sound)
                    if trio.current_time() >= next_crashing_at:
                        nursery.start_soon(self._send_crashing)
                        next_crashing_at += crashing_interval_s
                    await trio.sleep(SOUND_INTERVAL_S)
                    self._replace_crashed()

    @property
    def crashes(self) -> list[float]:
        """Times of all crashes, in order."""
        return sorted(e.crashed_at for e in self.endpoints if e.crashed_at is not None)

    @property
    def reached_late(self) -> int:
        """Number of crashing requests that reached endpoints too late."""
        if len(self.crashes) < CRASHES:
            return 0
        bound = self.crashes[CRASHES - 1] + CONTACT_S
        return sum(
            float(request[":at"]) > bound and request[":target"] == self.target
            for endpoint in self.endpoints
            for request in endpoint.seen
        )

    async def _send_crashing(self) -> None:
        self.statuses.append((await self._send(self.target)).status)

    async def _send_sound(self) -> None:
        answer = await self._send(f"/find/{self._count % self.share}")
        self.sound.append(answer.status == 200 and answer.complete)

    async def _send(self, target: str):
        self._count += 1
        harness = self.harnesses[self._count % len(self.harnesses)]
        return await harness.send_request(target, f"r{self._count}", body=b"same")

    def _replace_crashed(self) -> None:
        store, now = self.harnesses[0].store, trio.current_time()
        for old in self.endpoints[:]:
            if old.crashed_at is None or now < old.crashed_at + RESTART_S:
                continue
            if old.id in store.newest("keyed.servers"):
                store.put("keyed.servers", old.id, None)
                self.start_endpoint(len(self.endpoints) + 1)


@asynccontextmanager
async def fleet(target: str = "/find/crash", share: int = 1000) -> AsyncIterator[Play]:
    """Run hosts and endpoints while the block is executed.

    Sound requests have one of `share` contents.
    """
    async with entry_hosts(HOSTS, wait_s=2.0) as harnesses:
        play = Play(harnesses, target, share)
        for number in range(1, ENDPOINTS + 1):
            play.start_endpoint(number)
        await trio.sleep(1.0)
        yield play


async def test_a_request_that_crashes_endpoints_is_refused_by_all_hosts():
    for target in ("/find/crash", "/book/crash"):
        for interval_s in (0.15, 0.5, 1.5):
            async with fleet(target) as play:
                await play.run(18.0, interval_s)
                assert len(play.crashes) >= CRASHES
                assert play.reached_late <= MAX_LATE, (target, interval_s, play.reached_late)


async def test_other_requests_are_served_while_a_request_is_refused():
    async with fleet() as play:
        await play.run(10.0, 0.5)
        play.sound.clear()
        await play.run(8.0, 0.5)
        assert sum(play.sound) >= 0.95 * len(play.sound)


async def test_common_requests_are_served_while_a_request_is_refused():
    async with fleet(share=3) as play:
        await play.run(12.0, 0.5)
        play.sound.clear()
        await play.run(8.0, 0.5)
        assert sum(play.sound) >= 0.95 * len(play.sound)


async def test_a_refused_request_stays_refused_after_all_hosts_have_restarted():
    async with fleet() as play:
        await play.run(10.0, 0.5)
        play.harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(play.harnesses, 1)]
        await play.run(8.0, 0.5)
        assert play.reached_late <= MAX_LATE


async def test_a_refused_request_stays_refused_after_the_store_was_restored():
    async with fleet() as play:
        store = play.harnesses[0].store
        copy = store.copy()
        await play.run(10.0, 0.5)
        await restore(store, copy)
        for server in play.endpoints:
            store.put("keyed.servers", server.id, None if server.crashed_at else server.entry())
        await play.run(8.0, 0.5)
        assert play.reached_late <= MAX_LATE


async def test_a_refused_request_is_refused_at_once_and_states_when_to_return():
    async with fleet() as play:
        await play.run(10.0, 0.5)
        began = trio.current_time()
        answer = await play.harnesses[0].send_request("/find/crash", "late", body=b"same")
        assert answer.status == 503
        assert trio.current_time() - began < 0.05
        assert float(answer.headers["retry-after"]) >= 1.0


async def test_a_request_is_served_again_when_it_no_longer_crashes_endpoints():
    async with fleet() as play:
        await play.run(10.0, 0.5)
        for server in play.endpoints:
            server.crash_target = ""
        play.statuses.clear()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(play.run, 30.0, 0.5)
            await trio.sleep(5.0)
            for server in play.endpoints:
                server.crash_target = ""
        assert play.statuses[-1] == 200
