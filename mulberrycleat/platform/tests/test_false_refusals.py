"""Refusals and repeats that are false by themselves, with endpoints that copy no answer."""

from __future__ import annotations

import copy
import random
import re
from dataclasses import replace

import trio

from mulberrycleat.entry.settings import Activation, FleetRequirements
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_hosts
from mulberrycleat.platform.tests.links import Links, PathFault
from mulberrycleat.platform.tests.test_copied_refusals import faults_of, store_with_predecessors
from mulberrycleat.platform.tests.test_silent_endpoints import MAX_OVERLAP_S, TOKEN_HEADERS
from mulberrycleat.web.upstream import MAX_JOINED_BYTES

SEEDS = 20
REQUESTS = 20
EVENTS = 4
# Time in which what was sent before the last answer still runs, in seconds.
LATE_S = 4.0
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nNot-Executed: 1\r\n\r\n"


class Troubles:
    """Connects to servers with faults of connections that are drawn, and records their use.

    Attributes
    ----------
    uses : list of dict
        For each request on a connection: its id, when it began and ended, and whether the server
        declined it.
    """

    def __init__(self, rng: random.Random) -> None:
        self.servers = None
        self.rng = rng
        self.uses: list[dict] = []
        self.share = rng.choice((0.0, 0.1, 0.3))
        self.stuck_s = rng.choice((0.0, 0.3, 1.0, 5.0))
        self.late_s = rng.choice((0.0, 0.0, 0.15, 0.3))
        self.informational = rng.random() < 0.3
        self.endless_refusals = rng.random() < 0.3

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        return TroubledPipe(pipe, address, self)


class TroubledPipe:
    """Connection to a server; a send may fail after any part, and an answer may be lost."""

    def __init__(self, pipe, address: str, troubles: Troubles) -> None:
        self._pipe, self._address, self._troubles = pipe, address, troubles
        self._use: dict | None = None
        self._fault = ""
        self.is_readable = pipe.is_readable

    async def send_all(self, data: bytes) -> None:
        troubles, rng = self._troubles, self._troubles.rng
        found = re.search(rb"(?i)attempt-id: (\S+)", data)
        if found is not None:
            self.end_use()
            request, now = found.group(1).decode(), trio.current_time()
            self._use = {"id": request, "at": self._address, "began": now, "ended": None}
            self._use["declined"] = False
            troubles.uses.append(self._use)
            self._fault = rng.choice(("cut send", "lost send", "closed", "reset"))
            if rng.random() >= troubles.share:
                self._fault = ""
        if len(data) > MAX_JOINED_BYTES:
            await trio.sleep(troubles.stuck_s)
        match self._fault:
            case "cut send":
                await self._pipe.send_all(data[: rng.randrange(len(data))])
                raise trio.BrokenResourceError("reset")
            case "lost send":
                await self._pipe.send_all(data)
                raise trio.BrokenResourceError("reset")
        await self._pipe.send_all(data)

    async def receive_some(self, max_bytes: int) -> bytes:
        troubles = self._troubles
        match self._fault:
            case "closed":
                return b""
            case "reset" | "cut send" | "lost send":
                raise trio.BrokenResourceError("reset")
        data = await self._pipe.receive_some(max_bytes)
        if data.startswith(b"HTTP/1.1"):
            await trio.sleep(troubles.late_s)
            if b"not-executed" in data.lower() or data.startswith(b"HTTP/1.1 421"):
                self._use["declined"] = True
                if troubles.endless_refusals:
                    data = re.sub(rb"(?i)content-length: 0", b"Content-Length: 99", data)
            if troubles.informational:
                data = INFORMATIONAL + data
        return data

    def end_use(self) -> None:
        if self._use is not None and self._use["ended"] is None:
            self._use["ended"] = trio.current_time()

    def close(self) -> None:
        self.end_use()
        self._pipe.close()


def draw_servers(rng: random.Random) -> list[ServerStandin]:
    """Return endpoints of both pools with faults that are drawn."""
    found = []
    for kind, pool, net in (("e", "engines", 1), ("h", "bookings", 2)):
        for number in range(1, rng.choice((2, 3, 4)) + 1):
            server = ServerStandin(
                f"{kind}{number}",
                f"10.{net}.0.{number}:80",
                pool,
                rng.choice(("z-a", "z-b")),
                events=EVENTS if kind == "e" else 0,
                work_s=rng.choice((0.002, 0.02, 0.1, 0.3)),
                slots=rng.choice((2, 8, 64)),
                queue=rng.choice((None, None, 1)),
                slowness=rng.choice((None, 100)),
                answers_early=rng.random() < 0.3,
                omits_request_id=rng.random() < 0.1,
            )
            match rng.randrange(18):
                case 0:
                    server.declines = True
                case 1:
                    server.refuses_connections = True
                case 2:
                    server.loses_answers = True
                case 3:
                    server.never_answers = True
                case 4:
                    server.break_after = rng.randrange(3)
                case 5:
                    # A run, though its status is one with which callers are promised that none was.
                    server.status = rng.choice((408, 429, 500, 503))
                    server.events = 0
                case 6:
                    server.is_dark = True
            if rng.random() < 0.5:
                server.pauses[rng.randrange(1, EVENTS + 1)] = rng.choice((0.3, 0.9, 1.5, 60.0))
            found.append(server)
    return found


def draw_config(rng: random.Random) -> dict:
    config = copy.deepcopy(CONFIG)
    ask, book, find = config["routes"]
    ask["stream_resume"] = rng.random() < 0.5
    ask["max_attempts"] = find["max_attempts"] = rng.choice((2, 3))
    book["max_attempts"] = rng.choice((1, 3))
    book["timeout_ms"] = find["timeout_ms"] = rng.choice((800, 2500))
    return config


async def trouble_servers(servers: list[ServerStandin], rng: random.Random) -> None:
    """Have some endpoints crash and start again under their ids."""
    for server in servers:
        if rng.random() < 0.15:
            await trio.sleep(rng.uniform(0.0, 0.8))
            refused = server.refuses_connections
            server.start_again(server.version)
            server.refuses_connections = refused


async def trouble_hosts(harnesses: list[HostHarness], links: Links, rng: random.Random) -> None:
    """Stop, kill or cut off hosts at random times; the first one is not killed."""
    first, other = harnesses
    await trio.sleep(rng.uniform(0.0, 0.8))
    match rng.randrange(4):
        case 0:
            links.faults["a1"] = rng.choice(tuple(PathFault))
            await trio.sleep(rng.uniform(0.2, 2.0))
            if rng.random() < 0.5:
                other.scope.cancel()
                await trio.sleep(rng.uniform(0.2, 2.0))
            # The stand-in of a silent path returns what it has read only once the path is open.
            links.faults.clear()
        case 1:
            settings = first.host._settings
            bounds = replace(settings.bounds, grace_s=rng.choice((0.5, 2.0)))
            first.host.apply_settings(replace(settings, bounds=bounds))
            first.stop.set()
        case 2:
            links.faults["a1"] = PathFault.REFUSED
            other.stop.set()


async def play(seed: int) -> list[str]:
    """Play one history with two hosts, of which the first gets the requests."""
    rng = random.Random(seed)
    servers, config = draw_servers(rng), draw_config(rng)
    troubles, links = Troubles(rng), Links()
    resumable = config["routes"][0]["stream_resume"]
    statuses: dict[str, int] = {}
    store = store_with_predecessors(*(server for server in servers if rng.random() < 0.2))
    options = {"config": config, "store": store, "connect": troubles, "links": links}
    async with entry_hosts(2, *servers, wait_s=3.5, **options) as harnesses:
        troubles.servers = harnesses[0].servers
        host = harnesses[0].host
        bounds = FleetRequirements(retry_share=0.2, retry_slack=60.0)
        manages = rng.choice((Activation.AUTO, Activation.ON))
        host.apply_settings(replace(host._settings, bounds=bounds, manages_overload=manages))
        note_end_of_use(host._connections)

        async def send(name: str, path: str) -> None:
            headers = {"timeout_remaining": str(rng.choice((60, 300, 3000, 3000, 3000, 3000)))}
            headers |= TOKEN_HEADERS if path == "/ask/x" else {}
            body = bytes(rng.choice((0, 0, 100, 100, 50_000)))
            leave_s = rng.choice((float("inf"), float("inf"), rng.uniform(0.01, 1.0)))
            answer = await harnesses[0].send_request(
                path, name, body=body, disconnect_after_s=leave_s, **headers
            )
            statuses[name] = answer.status

        async with trio.open_nursery() as nursery:
            nursery.start_soon(trouble_hosts, harnesses, links, rng)
            nursery.start_soon(trouble_servers, servers, rng)
            for number in range(REQUESTS):
                path = rng.choice(("/ask/x", "/book/x", "/book/x", "/find/x"))
                nursery.start_soon(send, f"r{number}{path[1:5]}", path)
                await trio.sleep(rng.choice((0.02, 0.1, 0.3)))
        await trio.sleep(LATE_S)
    may_repeat = ("find", "ask/") if resumable else ("find",)
    once = {name: status for name, status in statuses.items() if not name.endswith(may_repeat)}
    faults = [fault for fault in faults_of(once, servers) if fault.split()[0] in once]
    return [f"seed {seed}: {fault}" for fault in faults + long_overlaps(troubles)]


def note_end_of_use(pool) -> None:
    """Have connections that are put back into the pool end their use."""
    put_back = pool.put_back

    def put(connection) -> None:
        end_use = getattr(connection._pipe._pipe, "end_use", lambda: None)
        end_use()
        put_back(connection)

    pool.put_back = put


def long_overlaps(troubles: Troubles) -> list[str]:
    """Return the requests that two endpoints had for longer than the platform allows."""
    faults = []
    for after in troubles.uses:
        for before in troubles.uses:
            if before["id"] != after["id"] or not before["began"] < after["began"]:
                continue
            ends = [use["ended"] or float("inf") for use in (before, after)]
            overlap_s = min(ends) - after["began"]
            if overlap_s > MAX_OVERLAP_S and not before["declined"] and not after["declined"]:
                faults.append(f"{after['id']} at two endpoints for {overlap_s:.2f} s")
    return faults


async def test_random_histories_without_copies_run_each_request_once_or_refuse_it():
    faults = [fault for seed in range(SEEDS) for fault in await play(seed)]
    assert not faults, faults[:10]
