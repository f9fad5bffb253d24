"""Graceful shutdown: requests served, requests refused, and the final record."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.testing import fixture

TOKEN_HEADERS = {"model": "m", "token_counts": "900,20"}


@fixture
def engine():
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=4)


async def test_a_stopping_host_is_not_ready_and_closes_connections_after_answers(engine):
    async with entry_host(engine) as harness:
        harness.stop.set()
        await trio.sleep(1.0)
        assert not harness.host.ready
        answer = await harness.send_request("/ask/x", **TOKEN_HEADERS)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.headers["connection"] == "close"


async def test_a_request_that_could_not_finish_before_the_stop_is_refused_and_not_run(engine):
    async with entry_host(engine) as harness:
        harness.nursery.start_soon(keep_busy, harness)
        await trio.sleep(0.5)
        harness.stop.set()
        await trio.sleep(5.0)
        before = len(engine.seen)
        answer = await harness.send_request("/ask/x", "late", **TOKEN_HEADERS)
        assert len(engine.seen) == before
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_a_request_during_the_append_of_the_final_record_is_refused_and_not_run():
    booking_server = ServerStandin("h1", "10.2.0.1:80", "bookings")
    async with entry_host(booking_server) as harness:
        harness.store.down = True
        harness.stop.set()
        await trio.sleep(2.7)
        answer = await harness.send_request("/find/x", "late", "GET")
    assert (answer.status, answer.complete) == (503, True)
    assert not booking_server.seen


async def test_after_the_final_record_no_tokens_are_stranded(engine):
    async with entry_host(engine) as harness:
        for number in range(5):
            await harness.send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)
        harness.stop.set()
        await trio.sleep(4.0)
        restarted = harness.restart("a1")
        await trio.sleep(1.0)
        tokens = restarted.host.describe_tokens("rangers")
    assert tokens["stranded"] == 0
    assert tokens["surely_spent"] == 5 * 920


async def keep_busy(harness):
    """Keep one long request open, so that the host does not finish its shutdown early."""
    slow = ServerStandin("e2", "10.1.0.2:80", "engines", events=400, work_s=0.1)
    harness.servers.add(slow)
    harness.store.put("keyed.servers", "e1", None)
    harness.store.put("keyed.servers", "e2", slow.entry())
    await trio.sleep(0.9)
    await harness.send_request("/ask/x", "long", timeout_remaining="20000", **TOKEN_HEADERS)
