"""Bodies of requests and answers are freed when their requests end, without the cyclic collector.

Each test guards against a host that runs out of memory because bodies whose room was given back
stay in reference cycles until a collection, which comes after a number of objects, not of bytes.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host
from mulberrycleat.testing import fixture
from mulberrycleat.testing.held_memory import held_bytes, no_collections

BODY = b"n" * 1_000_000
ANSWER_BYTES = 200_000
LARGE_ANSWER_BYTES = 1_000_000
# What a host may hold more after its requests than before, in bytes: less than one body, or answer.
MOST_HELD_BYTES = 100_000
REQUESTS = 3
LARGE_BODIES = {**CONFIG, "limits": {**CONFIG["limits"], "max_body_bytes": 2 * len(BODY)}}
TOKEN_HEADERS = {"model": "m", "token_counts": "90,4", "prompt_prefix": "a1:50,b2:40"}
Send = Callable[[int], Awaitable[Any]]


@fixture
def booking_server() -> ServerStandin:
    return ServerStandin("h1", "10.2.0.1:80", "bookings", slots=64)


@fixture
def second_server() -> ServerStandin:
    return ServerStandin("h2", "10.2.0.2:80", "bookings", slots=64)


@fixture
def engine() -> ServerStandin:
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=4)


async def check_released(harness: HostHarness, send: Send) -> list[Any]:
    """Send requests, and assert that none of their bodies is held afterwards."""
    answers = [await send(0)]
    await trio.sleep(1.0)
    with no_collections():
        before = held_bytes()
        answers += [await send(number) for number in range(1, REQUESTS + 1)]
        await trio.sleep(1.0)
        assert harness.host.kept_bytes == 0
        assert held_bytes() - before <= MOST_HELD_BYTES
    return answers


def request(harness: HostHarness, path: str, body: bytes = BODY, **options: Any) -> Send:
    """Return a function that sends a request with a body."""

    async def send(number: int) -> Any:
        return await harness.send_request(path, f"r{number}", body=body, **options)

    return send


async def test_the_body_of_a_request_that_is_served(booking_server):
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/book/x"))
    assert {answer.status for answer in answers} == {200}


async def test_the_body_of_a_stream_that_is_served(engine):
    async with entry_host(engine, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/ask/x", **TOKEN_HEADERS))
    assert {answer.status for answer in answers} == {200}


async def test_the_body_of_a_stream_that_breaks_off_and_goes_on_elsewhere(engine):
    engine.break_after = 2
    async with entry_host(engine, config=LARGE_BODIES) as harness:
        await check_released(harness, request(harness, "/ask/x", **TOKEN_HEADERS))


async def test_the_body_of_a_request_that_is_refused_before_it_is_sent(booking_server):
    refusals = {
        "/none/x": (404, {}),
        "/ask/x": (401, {"authorization": "Bearer nobody"}),
        "/ask/y": (402, {"model": "m", "token_counts": "500000,20"}),
        "/ask/z": (503, {"model": "m", "token_counts": "90,4"}),
    }
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        for path, (status, headers) in refusals.items():
            answers = await check_released(harness, request(harness, path, **headers))
            assert {answer.status for answer in answers} == {status}, path


async def test_the_body_of_a_request_that_endpoints_decline(booking_server, second_server):
    booking_server.declines = second_server.declines = True
    async with entry_host(booking_server, second_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/find/x"))
    assert {answer.status for answer in answers} == {503}


async def test_the_body_of_a_request_that_no_endpoint_can_be_reached_for(booking_server):
    booking_server.refuses_connections = True
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/book/x"))
    assert {answer.status for answer in answers} == {503}


async def test_the_body_of_a_request_whose_answer_is_lost(booking_server):
    booking_server.loses_answers = True
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        for path in ("/book/x", "/find/x"):
            answers = await check_released(harness, request(harness, path))
            assert {answer.status for answer in answers} == {502}


async def test_the_body_of_a_request_that_another_endpoint_takes_over(
    booking_server, second_server
):
    booking_server.never_answers = second_server.never_answers = True
    async with entry_host(booking_server, second_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/find/x"))
    assert {answer.status for answer in answers} == {504}


async def test_the_body_of_a_request_whose_deadline_passes(booking_server):
    booking_server.never_answers = True
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/book/x"))
    assert {answer.status for answer in answers} == {504}


async def test_the_body_of_a_request_whose_caller_leaves(booking_server):
    booking_server.never_answers = True
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        send = request(harness, "/book/x", disconnect_after_s=0.2)
        answers = await check_released(harness, send)
    assert not any(answer.status for answer in answers)


async def test_the_body_of_a_request_that_raises_an_exception(booking_server):
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:

        def fail(*arguments: Any) -> None:
            raise LookupError("no endpoint")

        harness.host._registry.choose = fail
        answers = await check_released(harness, request(harness, "/book/x"))
    assert {answer.status for answer in answers} == {500}


async def test_the_body_of_a_request_that_the_stop_of_the_host_aborts(booking_server):
    booking_server.never_answers = True
    config = {**LARGE_BODIES, "routes": [{**r, "timeout_ms": 60_000} for r in CONFIG["routes"]]}
    async with entry_host(booking_server, config=config) as harness:
        with no_collections():
            before = held_bytes()
            async with trio.open_nursery() as nursery:
                send = request(harness, "/find/x", timeout_remaining="60000")
                nursery.start_soon(send, 1)
                await trio.sleep(0.2)
                harness.stop.set()
            assert harness.host.kept_bytes == 0
            assert held_bytes() - before <= MOST_HELD_BYTES


async def test_a_body_that_is_larger_than_the_limit(booking_server):
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        send = request(harness, "/book/x", 3 * BODY)
        answers = await check_released(harness, send)
    assert {answer.status for answer in answers} == {413}


async def test_an_answer_that_is_held_before_it_is_forwarded(booking_server):
    booking_server.body_bytes = ANSWER_BYTES
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/find/x", b"", kept_bytes=0))
    assert {answer.status for answer in answers} == {200}


async def test_an_answer_that_is_forwarded_while_it_is_read(booking_server):
    booking_server.body_bytes = LARGE_ANSWER_BYTES
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/find/x", b"", kept_bytes=0))
    assert {answer.status for answer in answers} == {200}


async def test_an_answer_with_a_server_error(booking_server, second_server):
    for server in (booking_server, second_server):
        server.body_bytes, server.status = ANSWER_BYTES, 500
    async with entry_host(booking_server, second_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/find/x", b"", kept_bytes=0))
    assert {answer.status for answer in answers} == {500}


async def test_an_answer_that_is_reset(booking_server):
    booking_server.body_bytes, booking_server.break_body_at = ANSWER_BYTES, ANSWER_BYTES - 1
    async with entry_host(booking_server, config=LARGE_BODIES) as harness:
        answers = await check_released(harness, request(harness, "/find/x", b"", kept_bytes=0))
    assert {answer.status for answer in answers} == {502}
