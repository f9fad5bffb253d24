"""Requests that are sent on while a silent endpoint is awaited, under faults of either endpoint."""

from __future__ import annotations

import copy

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host
from mulberrycleat.platform.tests.test_silent_endpoints import (
    EVENTS,
    MAX_OVERLAP_S,
    TOKEN_HEADERS,
    is_whole,
)
from mulberrycleat.web.upstream import MAX_JOINED_BYTES


def config_with(max_attempts: int) -> dict:
    config = copy.deepcopy(CONFIG)
    for route in config["routes"]:
        if route["kind"] != "non_idempotent":
            route["max_attempts"] = max_attempts
    return config


class SlowConnect:
    """Opens connections late to one address."""

    def __init__(self, address: str, delay_s: float) -> None:
        self.servers = None
        self.address, self.delay_s = address, delay_s

    async def __call__(self, address, settings):
        if address == self.address:
            await trio.sleep(self.delay_s)
        return await self.servers.connect(address, settings)


async def test_answer_of_a_nested_takeover_is_not_dropped():
    a = ServerStandin("h1", "10.2.0.1:80", "bookings", never_answers=True)
    b = ServerStandin("h2", "10.2.0.2:80", "bookings", "z-b", never_answers=True)
    c = ServerStandin("h3", "10.2.0.3:80", "bookings", "z-c")
    slow = SlowConnect(b.address, 0.15)
    async with entry_host(a, b, c, config=config_with(3), connect=slow) as harness:
        slow.servers = harness.servers
        bad = []
        for n in range(8):
            began = trio.current_time()
            seen = [len(s.seen) for s in (a, b, c)]
            answer = await harness.send_request("/find/x", f"r{n}", method="GET")
            ran = [len(s.seen) - k for s, k in zip((a, b, c), seen, strict=False)]
            took = round(trio.current_time() - began, 3)
            if ran[2] and answer.status != 200:
                bad.append((n, answer.status, ran, took))
            await trio.sleep(0.3)
    assert not bad


async def test_stream_of_a_nested_takeover_ends_once():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
    c = ServerStandin("e3", "10.1.0.3:80", "engines", "z-c", events=EVENTS, slots=64, work_s=0.002)
    a.pauses[1] = 1.2
    b.never_answers = True
    slow = SlowConnect(b.address, 0.34)
    bad = []
    async with entry_host(a, b, c, config=config_with(3), connect=slow) as harness:
        slow.servers = harness.servers
        for n in range(8):
            seen = [len(s.seen) for s in (a, b, c)]
            answer = await harness.send_request("/ask/x", f"r{n}", **TOKEN_HEADERS)
            ran = [len(s.seen) - k for s, k in zip((a, b, c), seen, strict=False)]
            if not is_whole(answer):
                bad.append((n, answer.status, ran, answer.body))
            await trio.sleep(0.3)
    assert not bad


async def test_an_answer_that_arrived_is_not_dropped_for_an_endpoint_that_fails_later():
    a = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=0.22)
    b = ServerStandin("h2", "10.2.0.2:80", "bookings", "z-b", work_s=0.2, status=500)
    async with entry_host(a, b) as harness:
        answer = await harness.send_request("/find/x", method="GET")
    assert (answer.status, answer.complete) == (200, True)


async def test_a_stream_that_goes_on_is_not_cut_for_an_endpoint_that_breaks():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64, work_s=0.3)
    a.pauses[3] = 0.83
    b.loses_answers = True
    async with entry_host(a, b) as harness:
        answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
    assert is_whole(answer)


async def test_one_endpoint_goes_on_when_both_answer_in_the_same_moment():
    # The second event of `a` and the answer of `b` arrive within the same step of the clock.
    for shift_ms in range(-3, 4):
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
        a.pauses[3] = 0.82 + shift_ms / 1000
        async with entry_host(a, b) as harness:
            answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
        assert is_whole(answer), shift_ms


async def test_events_are_not_held_up_while_another_endpoint_is_connected_to():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    a.pauses[3] = 0.83
    slow = SlowConnect("10.1.0.2:80", 1.0)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
    b.declines = True
    async with entry_host(a, b, connect=slow) as harness:
        slow.servers = harness.servers
        began = trio.current_time()
        answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
        took = trio.current_time() - began
    assert is_whole(answer)
    assert took < 1.2


class ClosingTimes:
    """Connects to servers, and records when connections to one of them are closed."""

    def __init__(self, address: str) -> None:
        self.servers = None
        self.address = address
        self.closed_at: list[float] = []

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        if address == self.address:
            close = pipe.close

            def note_close() -> None:
                self.closed_at.append(trio.current_time())
                close()

            pipe.close = note_close
        return pipe

    def ran_for(self, sent_at: float) -> float:
        """Return the time from a request to the next close, in seconds."""
        return min(at for at in self.closed_at if at > sent_at) - sent_at


class LatePass(list):
    """Delays the event loop while a server appends to it."""

    def __init__(self, delay_s: float) -> None:
        super().__init__()
        self.delay_s = delay_s

    def append(self, item) -> None:
        super().append(item)
        trio.lowlevel.current_clock().jump(self.delay_s)


class ChangedPipes:
    """Connects to servers with changed pipes at one address."""

    def __init__(self, address: str, send_s: float = 0.0, unsigned: bool = False) -> None:
        self.servers = None
        self.address, self.send_s, self.unsigned = address, send_s, unsigned

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        if address != self.address:
            return pipe
        send_all, receive_some = pipe.send_all, pipe.receive_some

        async def send(data):
            await trio.sleep(self.send_s)
            await send_all(data)

        async def receive(max_bytes):
            data = await receive_some(max_bytes)
            return data.replace(b"Response-Seal", b"Response-Xeal") if self.unsigned else data

        pipe.send_all, pipe.receive_some = send, receive
        return pipe


async def test_an_endpoint_that_declined_during_a_delay_of_the_loop_does_not_take_over():
    cut = 0
    for _ in range(10):
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
        a.pauses[3], b.declines, b.declined_at = 1.5, True, LatePass(0.2)
        async with entry_host(a, b) as harness:
            answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
        assert b.declined_at
        cut += not is_whole(answer)
    assert not cut


async def test_a_delay_of_the_loop_does_not_prolong_the_overlap():
    overlaps = []
    for _ in range(10):
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
        a.pauses[3], b.pauses[3], b.seen = 60.0, 1.0, LatePass(0.35)
        times = ClosingTimes(b.address)
        async with entry_host(a, b, connect=times) as harness:
            times.servers = harness.servers

            async def ask(harness=harness) -> None:
                await harness.send_request("/ask/x", **TOKEN_HEADERS)

            harness.nursery.start_soon(ask)
            while not a.open_streams:
                await trio.sleep(0.01)
            connection = a.open_streams[0]
            while await connection.receive_some(1) != b"":
                pass
            *let_go, last = [float(request[":at"]) for request in b.seen]
            overlaps.extend(times.ran_for(sent_at) for sent_at in let_go)
            overlaps.append(round(trio.current_time() - last, 3))
    assert max(overlaps) <= MAX_OVERLAP_S


async def test_an_unsigned_answer_does_not_take_over():
    a = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=0.5)
    b = ServerStandin("h2", "10.2.0.2:80", "bookings", "z-b")
    pipes = ChangedPipes(b.address, unsigned=True)
    async with entry_host(a, b, connect=pipes) as harness:
        pipes.servers = harness.servers
        answer = await harness.send_request("/find/x", method="GET")
    assert (answer.status, answer.complete) == (200, True)


async def test_a_stream_goes_on_while_another_endpoint_does_not_read_the_request():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
    a.pauses[3] = 0.9
    pipes = ChangedPipes(b.address, send_s=60.0)
    async with entry_host(a, b, connect=pipes) as harness:
        pipes.servers = harness.servers
        answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
    assert is_whole(answer)


async def test_an_endpoint_that_reads_slowly_is_not_given_up_for_one_that_declines():
    a = ServerStandin("h1", "10.2.0.1:80", "bookings")
    b = ServerStandin("h2", "10.2.0.2:80", "bookings", "z-b", declines=True)
    pipes = ChangedPipes(a.address, send_s=0.3)
    async with entry_host(a, b, connect=pipes) as harness:
        pipes.servers = harness.servers
        answer = await harness.send_request("/find/x", method="GET")
    assert (answer.status, answer.complete) == (200, True)


class StuckBodies:
    """Connects to servers; the body of a large request to one of them is not read for a time.

    `uses` has the address of each connection, and when its use began and ended.
    """

    def __init__(self, address: str, stuck_s: float) -> None:
        self.servers = None
        self.address, self.stuck_s = address, stuck_s
        self.uses: list[dict] = []

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        send_all, close = pipe.send_all, pipe.close
        use = {"address": address, "began": float("inf"), "ended": float("inf")}
        self.uses.append(use)

        async def send(data):
            use["began"] = min(use["began"], trio.current_time())
            if address == self.address and len(data) > MAX_JOINED_BYTES:
                await trio.sleep(self.stuck_s)
            await send_all(data)

        def note_close() -> None:
            use["ended"] = min(use["ended"], trio.current_time())
            close()

        pipe.send_all, pipe.close = send, note_close
        return pipe

    def overlaps(self) -> list[float]:
        """Return for how long each connection to the address was used beside another one."""
        stuck = [use for use in self.uses if use["address"] == self.address]
        others = [use for use in self.uses if use["address"] != self.address]
        return [
            min(one["ended"], other["ended"]) - one["began"]
            for one in stuck
            for other in others
            if other["began"] < one["began"] < other["ended"]
        ]


async def test_an_endpoint_that_answers_before_it_reads_does_not_prolong_the_overlap():
    # The first endpoint stays silent before its first event, and in the middle of its stream.
    for event in (1, 3):
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, answers_early=True)
        a.pauses[event] = b.pauses[3] = 60.0
        config = config_with(2)
        config["routes"][0]["target_latency_ms"] = 1500
        stuck = StuckBodies(b.address, stuck_s=3.0)
        async with entry_host(a, b, config=config, connect=stuck) as harness:
            stuck.servers = harness.servers
            await harness.send_request("/ask/x", body=b"x" * 50_000, **TOKEN_HEADERS)
        assert stuck.overlaps(), event
        assert max(stuck.overlaps()) <= MAX_OVERLAP_S, (event, stuck.overlaps())


async def test_the_first_endpoint_stops_when_the_last_of_a_nested_takeover_has_answered():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
    c = ServerStandin("e3", "10.1.0.3:80", "engines", "z-c", events=EVENTS, slots=64, work_s=0.002)
    a.pauses[1] = 60.0
    b.never_answers = True
    slow = SlowConnect(b.address, 0.34)
    async with entry_host(a, b, c, config=config_with(3), connect=slow) as harness:
        slow.servers = harness.servers
        began = trio.current_time()
        answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
        took = trio.current_time() - began
    assert c.ran and a.ran and b.ran
    assert is_whole(answer)
    assert took < 1.0


class LateAnswers:
    """Connects to servers; what one of them sends arrives late."""

    def __init__(self, address: str, delay_s: float) -> None:
        self.servers = None
        self.address, self.delay_s = address, delay_s

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        if address == self.address:
            receive_some = pipe.receive_some

            async def receive(max_bytes):
                await trio.sleep(self.delay_s)
                return await receive_some(max_bytes)

            pipe.receive_some = receive
        return pipe


async def test_a_stream_is_not_cut_for_an_endpoint_that_declines_after_a_fifth_of_a_second():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64, declines=True)
    a.pauses[3] = 1.5
    late = LateAnswers(b.address, 0.2)
    async with entry_host(a, b, connect=late) as harness:
        late.servers = harness.servers
        answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
    assert is_whole(answer)


async def test_random_delays_of_the_loop_do_not_break_streams():
    import random

    bad = []
    for seed in range(60):
        rng = random.Random(seed)
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
        a.pauses[rng.choice((1, 2, 3, 4))] = rng.choice((0.38, 0.5, 0.83, 0.9, 1.5, 60.0))
        b.pauses[rng.choice((1, 2, 3, 4))] = rng.choice((0.0, 0.3, 0.6))

        async with entry_host(a, b) as harness:

            async def delays(rng=rng) -> None:
                while True:
                    await trio.sleep(rng.uniform(0.02, 0.5))
                    trio.lowlevel.current_clock().jump(rng.uniform(0.1, 0.4))

            harness.nursery.start_soon(delays)
            answer = await harness.send_request("/ask/x", f"r{seed}", **TOKEN_HEADERS)
        if not is_whole(answer):
            bad.append((seed, a.pauses, b.pauses, answer.status, answer.body))
    assert not bad


async def test_a_directory_that_is_not_read_in_time_counts_as_older_than_the_request():
    from mulberrycleat.platform.tests.fixtures import entry_hosts
    from mulberrycleat.platform.tests.test_stream_versions import TAKEN_UP, engines
    from mulberrycleat.platform.tests.test_stream_versions_out_of_step import take_up_without_name

    servers = engines("v1", "v1")
    async with entry_hosts(3, *servers, config=TAKEN_UP) as harnesses:
        asked = []
        origins = harnesses[-1].host._origins

        async def hang() -> bool:
            await trio.sleep(5.0)
            return True

        async def ask():
            asked.append(1)
            return

        origins._refresh_directory, origins._ask_versions = hang, ask
        ends = await take_up_without_name(harnesses)
    assert ends == {"origin_unknown"}


async def test_a_crash_during_the_takeover_is_reported_as_a_crash():
    """The endpoint crashes on the request after it was silent, while another one is tried."""
    crashes = []
    a = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=0.22, crash_target="/find/x")
    b = ServerStandin("h2", "10.2.0.2:80", "bookings", "z-b", work_s=0.3)
    async with entry_host(a, b) as harness:
        reports = harness.host._reports
        record = reports.record_crash
        reports.record_crash = lambda *args: (crashes.append(args), record(*args))
        await harness.send_request("/find/x", method="GET")
        await trio.sleep(1.0)
    assert a.crashed_at is not None
    assert crashes


class LateAfterSend(ChangedPipes):
    """Delays the event loop between the sending of a request and the next step of its task."""

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        if address == self.address:
            send_all = pipe.send_all

            async def send(data):
                await send_all(data)
                await trio.sleep(0.001)
                trio.lowlevel.current_clock().jump(self.send_s)

            pipe.send_all = send
        return pipe


async def test_a_delay_of_the_loop_after_the_sending_does_not_prolong_the_overlap():
    a = ServerStandin("h1", "10.2.0.1:80", "bookings", work_s=60.0)
    b = ServerStandin("h2", "10.2.0.2:80", "bookings", "z-b", work_s=1.0)
    late = LateAfterSend(b.address, send_s=0.35)
    async with entry_host(a, b, connect=late) as harness:
        late.servers = harness.servers

        async def ask() -> None:
            await harness.send_request("/find/x", method="GET")

        harness.nursery.start_soon(ask)
        while not a.open_streams:
            await trio.sleep(0.01)
        connection = a.open_streams[0]
        while await connection.receive_some(1) != b"":
            pass
        closed_at = trio.current_time()
        assert b.seen
    assert closed_at - float(b.seen[0][":at"]) <= MAX_OVERLAP_S


async def charge(a, b, leave_s, **headers) -> int:
    async with entry_host(a, b) as harness:
        ends = []
        front = harness.host._front
        on_end = front._on_end
        front._on_end = lambda call, outcome: (ends.append(call.progress), on_end(call, outcome))
        await harness.send_request(
            "/ask/x", disconnect_after_s=leave_s, **(TOKEN_HEADERS | headers)
        )
        await trio.sleep(0.2)
    return ends[0].tokens_used


async def test_a_caller_that_leaves_during_a_takeover_is_charged_as_before_it():
    used = []
    # 0.8 s after the second event the other endpoint is tried; it gets the request at once.
    for leave_s in (0.5, 0.89, 0.9, 1.2):
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, work_s=60.0)
        a.pauses[3] = 60.0
        used.append((leave_s, await charge(a, b, leave_s), a.ran, b.ran))
    assert len({tokens for _, tokens, *_ in used}) == 1


async def test_a_caller_that_leaves_before_a_connection_is_open_is_charged_nothing():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64, is_dark=True)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, is_dark=True)
    used = await charge(a, b, 0.15)
    assert used == 0


async def test_a_stream_that_ends_at_its_deadline_after_a_takeover_is_charged_for_its_events():
    a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
    b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, work_s=60.0)
    a.pauses[3] = 60.0
    used = await charge(a, b, float("inf"), timeout_remaining="2000")
    assert used == 910


class GatedPipes:
    """Connects to two servers, whose first data are received in the same pass of the event loop."""

    def __init__(self) -> None:
        self.servers = None
        self._arrived: set[str] = set()
        self._gate = trio.Event()

    async def __call__(self, address, settings):
        pipe = await self.servers.connect(address, settings)
        receive_some, held = pipe.receive_some, []

        async def receive(max_bytes):
            if not held:
                held.append(await receive_some(max_bytes))
            self._arrived.add(address)
            if len(self._arrived) == 2:
                self._gate.set()
            await self._gate.wait()
            return held.pop()

        pipe.receive_some = receive
        return pipe


async def test_an_answer_is_not_lost_when_both_endpoints_are_read_in_one_pass_of_the_loop():
    for _ in range(20):
        a = ServerStandin("e1", "10.1.0.1:80", "engines", events=EVENTS, slots=64)
        b = ServerStandin("e2", "10.1.0.2:80", "engines", "z-b", events=EVENTS, slots=64)
        a.work_s = 0.5
        pipes = GatedPipes()
        async with entry_host(a, b, connect=pipes) as harness:
            pipes.servers = harness.servers
            answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
        assert is_whole(answer)
