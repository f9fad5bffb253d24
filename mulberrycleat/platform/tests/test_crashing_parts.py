"""Requests with a prompt part that crashes every endpoint that begins to answer them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host, entry_hosts

CRASHING_PART = "dead"
ENGINES = 9
RESTART_S = 2.0
SOUND_INTERVAL_S = 0.05
# The platform's limit: so many requests with the part may reach endpoints after so many crashes and
# this time, in seconds.
MAX_LATE, CRASHES, CONTACT_S = 3, 5, 3.0
TENANTS = [{"name": "rangers", "api_keys": ["key-1"], "priority": 1, "prepaid": 10_000_000}]
ROUTES = [{**CONFIG["routes"][0], "stream_resume": False}]
FLEET_CONFIG: dict[str, Any] = {**CONFIG, "tenants": TENANTS, "routes": ROUTES}


def engine(number: int) -> ServerStandin:
    address = f"10.1.0.{number}:80"
    return ServerStandin(f"e{number}", address, "engines", events=4, crash_part=CRASHING_PART)


def prompt(*parts: str) -> dict[str, str]:
    """Return the headers of a prompt of these parts, of 100 tokens each."""
    prefix = ",".join(f"{part}:100" for part in parts)
    return {"model": "m", "token_counts": f"{100 * len(parts)},20", "prompt_prefix": prefix}


async def test_the_line_of_a_broken_attempt_names_the_shared_prompt_parts(records):
    async with entry_host(engine(1)) as harness:
        await harness.send_request("/ask/x", **prompt("aa", CRASHING_PART, "cc"))
    failed = [record for record in records if record.msg == "send failed"]
    assert failed[0].parts == ["aa", CRASHING_PART]


async def test_the_line_of_a_broken_attempt_is_not_as_long_as_its_prompt_has_parts(records):
    parts = [f"{number:x}a" for number in range(1000)]
    async with entry_host(engine(1)) as harness:
        prefix = ",".join(f"{part}:1" for part in [CRASHING_PART, *parts])
        headers = {"model": "m", "token_counts": "1001,20", "prompt_prefix": prefix}
        await harness.send_request("/ask/x", **headers)
    failed = [record for record in records if record.msg == "send failed"]
    assert len(failed[0].parts) == 64
    assert failed[0].parts[0] == CRASHING_PART


async def test_the_lines_of_broken_attempts_tell_which_requests_have_the_same_content(records):
    async with entry_hosts(2, *map(engine, range(1, 5)), config=FLEET_CONFIG) as harnesses:
        for number, last in enumerate(("cc", "cc", "dd")):
            headers = prompt("aa", CRASHING_PART, last)
            await harnesses[number % 2].send_request("/ask/x", f"r{number}", **headers)
    contents = {r.request: r.content for r in records if hasattr(r, "content")}
    assert contents["r0"] == contents["r1"] != contents["r2"]


class Play:
    """Requests with and without the crashing part, sent to the hosts in turn.

    All have the same caller and first part. A crashed endpoint is replaced after `RESTART_S`.
    """

    def __init__(self, harnesses: list[HostHarness], engines: list[ServerStandin]) -> None:
        self.harnesses = harnesses
        self.engines = engines
        self.sound: list[bool] = []
        self.refused = 0
        self._count = 0

    async def run(self, duration_s: float, crashing_interval_s: float) -> None:
        """Send requests for `duration_s` seconds, and wait until all have ended."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                next_crashing_at = trio.current_time() + crashing_interval_s
                while True:
                    nursery.start_soon(self._send_sound)
                    if trio.current_time() >= next_crashing_at:
                        nursery.start_soon(self._send_crashing)
                        next_crashing_at += crashing_interval_s
                    await trio.sleep(SOUND_INTERVAL_S)
                    self._replace_crashed()

    @property
    def reached_late(self) -> int:
        """Number of crashing requests that reached endpoints too late."""
        crashes = sorted(e.crashed_at for e in self.engines if e.crashed_at is not None)
        if len(crashes) < CRASHES:
            return 0
        bound = crashes[CRASHES - 1] + CONTACT_S
        return sum(
            float(request[":at"]) > bound and CRASHING_PART in request["prompt-prefix"]
            for engine in self.engines
            for request in engine.seen
        )

    async def _send_crashing(self) -> None:
        answer = await self.send(CRASHING_PART)
        self.refused += answer.status == 503

    async def _send_sound(self) -> None:
        answer = await self.send(f"ab{self._count % 5}")
        self.sound.append(answer.status == 200 and answer.complete)

    async def send(self, part: str) -> Any:
        """Send a request with this part to the next host and return the answer."""
        self._count += 1
        harness = self.harnesses[self._count % len(self.harnesses)]
        headers = prompt("aa", part, f"{self._count:x}")
        return await harness.send_request("/ask/x", f"r{self._count}", **headers)

    def _replace_crashed(self) -> None:
        store, now = self.harnesses[0].store, trio.current_time()
        for old in self.engines[:]:
            if old.crashed_at is None or now < old.crashed_at + RESTART_S:
                continue
            if old.id not in store.newest("keyed.servers"):
                continue
            new = engine(len(self.engines) + 1)
            self.engines.append(new)
            self.harnesses[0].servers.add(new)
            store.put("keyed.servers", old.id, None)
            store.put("keyed.servers", new.id, new.entry())


@asynccontextmanager
async def fleet(hosts: int = 3) -> AsyncIterator[Play]:
    """Run hosts and endpoints while the block is executed."""
    engines = [engine(number) for number in range(1, ENGINES + 1)]
    async with entry_hosts(hosts, *engines, config=FLEET_CONFIG, wait_s=2.0) as harnesses:
        yield Play(harnesses, engines)


async def test_a_part_that_crashes_endpoints_is_refused_by_all_hosts():
    for interval_s in (0.15, 0.5, 1.5):
        async with fleet() as play:
            await play.run(12.0, interval_s)
            assert play.reached_late <= MAX_LATE, (interval_s, play.reached_late)


async def test_requests_that_share_other_parts_are_served_while_a_part_is_refused():
    async with fleet() as play:
        await play.run(10.0, 0.5)
        play.sound.clear()
        await play.run(10.0, 0.5)
        assert sum(play.sound) >= 0.95 * len(play.sound)


async def test_a_refused_part_stays_refused_after_all_hosts_have_restarted():
    async with fleet() as play:
        await play.run(8.0, 0.5)
        play.harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(play.harnesses, 1)]
        await play.run(8.0, 0.5)
        assert play.reached_late <= MAX_LATE


async def test_an_endpoint_that_starts_again_under_its_id_counts_as_another_one():
    async with fleet() as play:
        only = play.engines[0]
        for server in play.engines[1:]:
            play.harnesses[0].store.put("keyed.servers", server.id, None)
        for start in range(3):
            only.refuses_connections = False
            born_ms = 1_779_000_000_000 + 5000 * start
            play.harnesses[0].store.put("keyed.servers", only.id, {**only.entry(), "born": born_ms})
            await trio.sleep(3.0)
            await play.send(CRASHING_PART)
            await trio.sleep(0.5)
        assert all(CRASHING_PART in harness.host.refused_parts for harness in play.harnesses)


async def test_parts_are_not_refused_because_all_endpoints_crash_at_once():
    async with fleet() as play:
        await play.run(3.0, float("inf"))
        for _ in range(4):
            for server in play.engines:
                if server.crashed_at is None:
                    server.crash()
            await play.run(3.0, float("inf"))
        assert {harness.host.refused_parts for harness in play.harnesses} == {()}
        play.sound.clear()
        await play.run(1.0, float("inf"))
        assert all(play.sound)


async def test_unreadable_reports_of_crashes_are_ignored():
    async with fleet() as play:
        store = play.harnesses[0].store
        for value in (b"", b"\xff", msgspec.msgpack.encode({"type": "crash", "endpoint": 7})):
            store.append("endpoint-reports", "a1", value)
        await play.run(6.0, 0.5)
        assert {harness.host.refused_parts for harness in play.harnesses} == {(CRASHING_PART,)}


async def test_a_host_that_missed_expired_reports_reads_the_later_ones():
    async with fleet() as play:
        for number in range(50):
            play.harnesses[0].store.append("endpoint-reports", "a1", b"%d" % number)
        play.harnesses[0].store.expire_history("endpoint-reports")
        await play.run(6.0, 0.5)
        restarted = play.harnesses[0].restart("a1")
        await trio.sleep(8.0)
        assert restarted.host.refused_parts == (CRASHING_PART,)


async def test_a_host_that_can_not_reach_the_store_refuses_a_part_too():
    async with fleet() as play:
        play.harnesses[0].store.turned_away.add("a1")
        await play.run(8.0, 0.5)
        assert play.harnesses[0].host.refused_parts == (CRASHING_PART,)


async def test_a_part_is_refused_when_the_broken_streams_have_no_length_and_no_chunks():
    async with fleet() as play:
        for server in play.engines:
            server.unframed = True
        await play.run(6.0, 0.5)
        assert {harness.host.refused_parts for harness in play.harnesses} == {(CRASHING_PART,)}
