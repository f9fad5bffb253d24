"""A planned stop: what is served, what is sent away, and what the last record says."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import entry_host
from mulberrycleat.testing import fixture

ASK = {"model": "m", "token_counts": "900,20"}


@fixture
def engine():
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=4)


async def test_a_stopping_host_is_unready_and_closes_connections_with_its_answers(engine):
    async with entry_host(engine) as world:
        world.stop.set()
        await trio.sleep(1.0)
        assert not world.host.ready
        answer = await world.ask("/ask/x", **ASK)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.headers["connection"] == "close"


async def test_a_request_that_could_not_end_in_time_is_sent_away_unrun(engine):
    async with entry_host(engine) as world:
        world.nursery.start_soon(keep_busy, world)
        await trio.sleep(0.5)
        world.stop.set()
        await trio.sleep(5.0)
        before = len(engine.seen)
        answer = await world.ask("/ask/x", "late", **ASK)
        assert len(engine.seen) == before
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_a_request_during_the_last_record_is_sent_away_unrun():
    hut = ServerStandin("h1", "10.2.0.1:80", "huts")
    async with entry_host(hut) as world:
        world.store.down = True
        world.stop.set()
        await trio.sleep(2.7)
        answer = await world.ask("/find/x", "late", "GET")
    assert (answer.status, answer.whole) == (503, True)
    assert not hut.seen


async def test_the_last_record_leaves_nothing_stranded(engine):
    async with entry_host(engine) as world:
        for number in range(5):
            await world.ask("/ask/x", f"r{number}", **ASK)
        world.stop.set()
        await trio.sleep(4.0)
        reborn = world.restart("a1")
        await trio.sleep(1.0)
        tokens = reborn.host.describe_tokens("rangers")
    assert tokens["stranded"] == 0
    assert tokens["surely_spent"] == 5 * 920


async def keep_busy(world):
    """Hold one long request open, so that the host does not end early."""
    slow = ServerStandin("e2", "10.1.0.2:80", "engines", events=400, work_s=0.1)
    world.servers.add(slow)
    world.store.put("keyed.servers", "e1", None)
    world.store.put("keyed.servers", "e2", slow.entry())
    await trio.sleep(0.9)
    await world.ask("/ask/x", "long", timeout_remaining="20000", **ASK)
