"""What callers of each kind of request get, over the whole path, while endpoints or hosts fail."""

from __future__ import annotations

from random import Random

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host, entry_hosts

LONG = {"model": "m", "token_counts": "12000,400", "timeout_remaining": "15000"}
SHORT = {"model": "m", "token_counts": "800,290"}
LONG_EVENTS = 76
# The route's target for the first event of a short request, in seconds.
SHORT_TARGET_S = 0.4


def engine(name: str, **options) -> ServerStandin:
    return ServerStandin(name, f"10.1.0.{name[1:]}:80", "engines", **options)


def booking_server(name: str, **options) -> ServerStandin:
    return ServerStandin(name, f"10.2.0.{name[1:]}:80", "bookings", **options)


def with_prepaid(tokens: int):
    routes = [{**CONFIG["routes"][0], "timeout_ms": 15000, "max_attempts": 3}]
    tenants = [{**CONFIG["tenants"][0], "prepaid": tokens}]
    return {**CONFIG, "routes": [*routes, *CONFIG["routes"][1:]], "tenants": tenants}


async def test_long_streams_complete_although_their_engines_are_slow_and_break_off():
    engines = [engine(f"e{n}", events=LONG_EVENTS, work_s=0.15) for n in (1, 2, 3)]
    async with entry_host(*engines, config=with_prepaid(1_000_000)) as harness:
        answers = []

        async def send(number: int) -> None:
            prefix = f"{number:x}a:5000,{number:x}b:7000"
            answers.append(
                await harness.send_request(
                    "/ask/x", f"r{number}", prompt_prefix=prefix, body=b"", **LONG
                )
            )

        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(send, number)
            await trio.sleep(3.0)
            # The first engine breaks off whatever it sends next.
            engines[0].break_after = 0
    whole = "".join(f"id: {n}\ndata: x\n\n" for n in range(1, LONG_EVENTS + 1))
    assert [answer.complete for answer in answers] == [True] * 4
    assert {answer.body.decode() for answer in answers} == {whole}


async def test_short_requests_are_answered_in_time_while_long_ones_wait_at_an_engine():
    """One engine has not answered its long requests yet; the short ones go to another."""
    busy, free = engine("e1", events=4, never_answers=True), engine("e2", events=4, zone="z-b")
    async with (
        entry_host(busy, free, config=with_prepaid(1_000_000)) as harness,
        trio.open_nursery() as nursery,
    ):
        for number in range(3):
            nursery.start_soon(lambda n=number: harness.send_request("/ask/x", f"long{n}", **LONG))
        await trio.sleep(0.25)
        for number in range(6):
            began = trio.current_time()
            answer = await harness.send_request("/ask/x", f"short{number}", **SHORT)
            assert answer.complete
            assert trio.current_time() - began < SHORT_TARGET_S
        nursery.cancel_scope.cancel()


async def play_bookings(seed: int) -> None:
    """Send bookings while servers and hosts fail; check that none runs twice or after a refusal."""
    random, answers = Random(seed), {}
    servers = [booking_server(f"h{n}", work_s=0.1) for n in (1, 2, 3)]
    async with entry_hosts(3, *servers) as harnesses, trio.open_nursery() as nursery:

        async def send(request_id: str, host: int) -> None:
            answers[request_id] = await harnesses[host].send_request("/book/x", request_id)

        for number in range(60):
            nursery.start_soon(send, f"r{number}", random.randrange(3))
            await trio.sleep(random.uniform(0.0, 0.08))
            match random.randrange(10):
                case 0:
                    index = random.randrange(3)
                    harnesses[index] = harnesses[index].restart(f"a{index + 1}")
                case 1 | 2:
                    random.choice(servers).loses_answers = True
                case 3 | 4:
                    for server in servers:
                        server.loses_answers = False
    ran = [request_id for server in servers for request_id in server.ran]
    assert len(ran) == len(set(ran)), f"seed {seed}"
    refused = {name for name, answer in answers.items() if answer.status in (429, 503)}
    assert not refused & set(ran), f"seed {seed}"
    assert 502 in {answer.status for answer in answers.values()}


async def test_a_request_that_must_run_once_is_never_run_twice():
    """Answers are lost, servers break off, and hosts are killed in the middle of requests."""
    for seed in range(5):
        await play_bookings(seed)


async def test_a_lookup_is_repeated_until_it_is_answered_and_gets_its_own_answer():
    lossy, late = booking_server("h1", loses_answers=True), booking_server("h2", zone="z-b")
    late.repeats_answers = True
    sound = booking_server("h3", zone="z-b")
    async with entry_host(lossy, late, sound) as harness:
        for number in range(12):
            answer = await harness.send_request(f"/find/{number}", f"r{number}", "GET")
            # Two servers fail in turn, and a lookup is sent to two at most.
            if answer.status == 200:
                assert answer.body.endswith(f":/find/{number}".encode())
            lossy.loses_answers = number % 2 == 0
            await trio.sleep(0.3)
