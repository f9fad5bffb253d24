"""Endpoints that send a refusal once more when the refused request comes again."""

from __future__ import annotations

import random
from dataclasses import replace

import trio

from mulberrycleat.entry.settings import Activation
from mulberrycleat.platform.standin import MemoryPipe, ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host
from mulberrycleat.platform.tests.test_whole_path import PROMPT_HEADERS
from mulberrycleat.web.upstream import ConnectionSettings

ASK, BOOK, FIND = CONFIG["routes"]
BOOK_ROUTES = {**CONFIG, "routes": [{**BOOK, "timeout_ms": 1500, "target_latency_ms": 400}]}
PROMISES_NOT_RUN = (408, 421, 429, 503)
SEEDS = 20


def booking_server(number: int, **options) -> ServerStandin:
    address = f"10.2.0.{number}:80"
    return ServerStandin(f"h{number}", address, "bookings", copies_refusals=True, **options)


def store_with_predecessors(*servers: ServerStandin) -> StoreStandin:
    """Return a store that still lists an ended endpoint at the address of each server."""
    store = StoreStandin()
    for server in servers:
        store.put("keyed.servers", f"{server.id}-before", server.entry())
    return store


def manage_overload(harness: HostHarness) -> None:
    host = harness.host
    host.apply_settings(replace(host._settings, manages_overload=Activation.ON))


async def stop_declining(server: ServerStandin, after_s: float) -> None:
    await trio.sleep(after_s)
    server.declines = False


async def send_bookings(harness, names, interval_s, rng=None) -> dict[str, int]:
    """Send requests, each a time after the one before, and return their statuses."""
    statuses: dict[str, int] = {}

    async def send(name: str) -> None:
        statuses[name] = (await harness.send_request("/book/x", name)).status

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(send, name)
            await trio.sleep(interval_s if rng is None else rng.uniform(0, 2 * interval_s))
    return statuses


def faults_of(statuses: dict[str, int], servers) -> list[str]:
    """Return the requests that ran more than once, or ran though they were refused."""
    ran = [name for server in servers for name in server.ran]
    twice = [f"{name} ran twice" for name in sorted(set(ran)) if ran.count(name) > 1]
    refused = [name for name, status in statuses.items() if status in PROMISES_NOT_RUN]
    return twice + [f"{name} was refused and ran" for name in refused if name in ran]


async def test_a_copied_421_of_an_ended_endpoint_refuses_no_request_at_its_successor():
    for count in (1, 2, 3):
        servers = [booking_server(number) for number in range(1, count + 1)]
        async with entry_host(*servers, store=store_with_predecessors(*servers)) as harness:
            statuses = await send_bookings(harness, [f"r{n}" for n in range(30)], 0.05)
        assert faults_of(statuses, servers) == []
        assert set(statuses.values()) == {200}


async def test_a_copied_refusal_refuses_no_request_that_waited_for_room():
    server = booking_server(1, declines=True)
    async with entry_host(server, config=BOOK_ROUTES) as harness:
        manage_overload(harness)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_declining, server, 0.15)
            statuses = await send_bookings(harness, ["r1"], 0.0)
    assert faults_of(statuses, [server]) == []
    assert statuses == {"r1": 200}


async def test_a_copied_refusal_does_not_refuse_a_request_that_a_caller_sends_again():
    server = booking_server(1, declines=True)
    async with entry_host(server) as harness:
        assert (await harness.send_request("/book/x", "r1")).status == 503
        await trio.sleep(0.15)
        server.declines = False
        assert (await harness.send_request("/book/x", "r1")).status == 200
    assert server.ran == ["r1"]


async def test_a_copied_refusal_ends_no_stream_that_goes_on_at_an_endpoint_that_was_full():
    silent = ServerStandin("e1", "10.1.0.1:80", "engines", events=4, pauses={3: 60.0})
    full = ServerStandin(
        "e2", "10.1.0.2:80", "engines", "z-b", events=4, declines=True, copies_refusals=True
    )
    async with entry_host(silent, full) as harness, trio.open_nursery() as nursery:
        nursery.start_soon(stop_declining, full, 1.5)
        answer = await harness.send_request("/ask/x", **PROMPT_HEADERS)
    assert answer.complete
    assert answer.body.decode() == "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3, 4))
    assert (silent.ran, full.ran) == (["r1"], ["r1"])


async def play_bookings(seed: int) -> list[str]:
    """Play random refusals, waits and addresses with two endpoints; return what is broken."""
    rng = random.Random(seed)
    servers = [
        booking_server(
            number,
            slots=rng.choice((1, 2)),
            queue=rng.choice((0, 1)),
            work_s=rng.choice((0.01, 0.05, 0.1)),
            slowness=rng.choice((None, 100)),
        )
        for number in range(1, rng.choice((1, 2, 3)) + 1)
    ]
    store = store_with_predecessors(*rng.sample(servers, rng.randrange(len(servers) + 1)))
    async with entry_host(*servers, config=BOOK_ROUTES, store=store) as harness:
        if rng.random() < 0.5:
            manage_overload(harness)
        names = [f"r{n}" for n in range(30)]
        statuses = await send_bookings(harness, names, rng.choice((0.02, 0.05, 0.1)), rng)
    return [f"seed {seed}: {fault}" for fault in faults_of(statuses, servers)]


async def test_random_histories_with_copied_refusals_run_each_request_once_or_refuse_it():
    faults = [fault for seed in range(SEEDS) for fault in await play_bookings(seed)]
    assert not faults, faults[:10]


class CopyBeforeReport:
    """Connects to servers that send a refusal once more before the next report there."""

    def __init__(self, copies: bool) -> None:
        self.servers = None
        self.copies = copies
        self.sent = 0

    async def __call__(self, address: str, settings: ConnectionSettings) -> MemoryPipe:
        pipe = await self.servers.connect(address, settings)
        send_all, receive_some = pipe.send_all, pipe.receive_some
        refusals: list[bytes] = []
        due: list[bytes] = []

        async def send(data: bytes) -> None:
            if self.copies and data.startswith(b"GET /report "):
                due.extend(refusals)
                refusals.clear()
            await send_all(data)

        async def receive(max_bytes: int) -> bytes:
            if due:
                self.sent += 1
                return due.pop()
            data = await receive_some(max_bytes)
            if data.startswith(b"HTTP/1.1 503 "):
                refusals.append(data)
            return data

        pipe.send_all, pipe.receive_some = send, receive
        return pipe


async def test_a_copied_refusal_in_place_of_a_report_ends_no_stream_that_goes_on():
    for copies in (False, True):
        for omits_request_id in (False, True):
            servers = [
                ServerStandin(
                    f"e{number}",
                    f"10.1.0.{number}:80",
                    "engines",
                    events=4,
                    declines=True,
                    omits_request_id=omits_request_id,
                )
                for number in (1, 2)
            ]
            pipes = CopyBeforeReport(copies)
            async with entry_host(*servers, connect=pipes) as harness:
                pipes.servers = harness.servers
                assert (await harness.send_request("/ask/x", "r1", **PROMPT_HEADERS)).status == 503
                await trio.sleep(0.15)
                for server in servers:
                    server.declines, server.omits_request_id = False, False
                    server.break_after = 2
                answer = await harness.send_request("/ask/x", "r2", **PROMPT_HEADERS)
            assert pipes.sent == copies
            assert answer.complete, (copies, omits_request_id)


async def test_a_copied_421_of_an_ended_endpoint_refuses_no_stream_at_its_successor():
    engine = ServerStandin("e1", "10.1.0.1:80", "engines", events=4, copies_refusals=True)
    async with entry_host(engine, store=store_with_predecessors(engine)) as harness:
        for number in range(20):
            answer = await harness.send_request("/ask/x", f"r{number}", **PROMPT_HEADERS)
            assert (answer.status, answer.complete) == (200, True), number
            await trio.sleep(0.05)
    assert engine.ran == [f"r{number}" for number in range(20)]
