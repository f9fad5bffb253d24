"""Streams that are recorded nowhere when their host dies as a second version joins.

Guards against streams that go on nowhere because their host was killed before it had recorded them
and before it had read of the second version. The moment is set: streams begin right after an append
of their host, which makes the next one a second later.
"""

from __future__ import annotations

from random import Random

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import HostHarness, entry_hosts
from mulberrycleat.platform.tests.test_restored_store import restore
from mulberrycleat.platform.tests.test_stream_versions import (
    PROMPT,
    STREAMS,
    TAKEN_UP,
    begin,
    engines,
    take_up,
    versions_of,
)

ORIGIN_TOPIC = "stream-origins"
# Time from the entry of the second version until the host is killed, in seconds: less than the
# interval of the reads of the directory.
KILL_AFTER_S = 0.05
# Longer than two reads of the directory, and than hosts keep the base of a pool.
READS_S, BASE_KEPT_S = 1.3, 9.0


def join(harness: HostHarness, *servers: ServerStandin) -> None:
    """Let servers write their entries."""
    for number, server in enumerate(servers, 1):
        server.born += number
        harness.servers.add(server)
        harness.store.put("keyed.servers", server.id, server.entry())


async def kill_as_a_release_begins(harness: HostHarness, servers: list[ServerStandin]) -> None:
    """Begin streams at a host right after it has recorded earlier ones, and kill it.

    The last server, of a second version, joins just before.
    """
    recorded = harness.store.end(ORIGIN_TOPIC)
    await harness.send_request("/ask/x", "earlier", **PROMPT)
    while harness.store.end(ORIGIN_TOPIC) == recorded:
        await trio.sleep(0.005)
    await begin([harness], servers[:-1])
    join(harness, servers[-1])
    await trio.sleep(KILL_AFTER_S)
    harness.scope.cancel()


def restart(harnesses: list[HostHarness], random: Random, most: int) -> None:
    """Kill some hosts, at most `most`, and start them again."""
    for number in random.sample(range(len(harnesses)), random.randint(1, most)):
        harnesses[number] = harnesses[number].restart(f"a{number + 1}")


async def begin_anywhere(
    harnesses: list[HostHarness], servers: list[ServerStandin], random: Random
) -> list[int]:
    """Ask hosts for streams that break off; return the numbers of those that began."""
    for server in servers:
        server.break_after = 2
    begun = []
    for number in range(STREAMS):
        harness = random.choice(harnesses)
        answer = await harness.send_request("/ask/x", f"b{number}", **PROMPT)
        if answer.body.count(b"id: "):
            begun.append(number)
    for server in servers:
        server.break_after = None
    return begun


async def take_up_anywhere(
    harnesses: list[HostHarness], servers: list[ServerStandin], seed: int, begun: list[int]
) -> None:
    """Take streams up at any hosts; none may change its version."""
    random = Random(seed)
    for number in begun:
        names = {"resumes": f"b{number}", "last_event_id": "2"}
        harness = random.choice(harnesses)
        await harness.send_request("/ask/x", f"c{number}", **names, **PROMPT)
        assert len(versions_of({f"b{number}", f"c{number}"}, servers)) == 1, (seed, number)


async def test_streams_go_on_elsewhere_when_their_host_is_killed_as_a_release_begins():
    servers = engines("v1", "v1", "v2")
    async with entry_hosts(3, *servers[:2], config=TAKEN_UP) as harnesses:
        await kill_as_a_release_begins(harnesses[0], servers)
        assert await take_up(harnesses[1:], servers) == STREAMS


async def test_they_go_on_after_the_other_hosts_have_read_of_the_second_version():
    servers = engines("v1", "v1", "v2")
    async with entry_hosts(3, *servers[:2], config=TAKEN_UP) as harnesses:
        await kill_as_a_release_begins(harnesses[0], servers)
        await trio.sleep(READS_S)
        assert await take_up(harnesses[1:], servers) == STREAMS


async def test_they_go_on_when_all_hosts_are_killed():
    servers = engines("v1", "v1", "v2")
    async with entry_hosts(3, *servers[:2], config=TAKEN_UP) as harnesses:
        await kill_as_a_release_begins(harnesses[0], servers)
        harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(harnesses, 1)]
        await trio.sleep(1.0)
        assert await take_up(harnesses, servers) == STREAMS


async def test_they_go_on_when_the_second_version_has_left_again():
    servers = engines("v1", "v1", "v2")
    async with entry_hosts(3, *servers[:2], config=TAKEN_UP) as harnesses:
        await kill_as_a_release_begins(harnesses[0], servers)
        await trio.sleep(READS_S)
        harnesses[1].store.put("keyed.servers", servers[2].id, None)
        await trio.sleep(READS_S)
        assert await take_up(harnesses[1:], servers) == STREAMS


async def test_streams_that_are_not_named_or_never_began_go_on_nowhere():
    servers = engines("v1", "v1", "v2", "v2")
    async with entry_hosts(2, *servers[:2], config=TAKEN_UP) as harnesses:
        await begin(harnesses, servers[:2])
        join(harnesses[0], *servers[2:])
        await trio.sleep(READS_S)
        answer = await harnesses[0].send_request("/ask/x", "t", last_event_id="2", **PROMPT)
        assert answer.status == 503
        await trio.sleep(BASE_KEPT_S)
        names = {"resumes": "nobody", "last_event_id": "2"}
        answer = await harnesses[0].send_request("/ask/x", "t", **names, **PROMPT)
        assert answer.status == 503


async def test_no_stream_begins_unrecorded_at_the_second_version_while_the_first_is_the_base():
    """A host that can't record begins streams at the base, and is killed with the store away."""
    servers = engines("v1", "v1", "v2", "v2")
    store = StoreStandin()
    async with entry_hosts(2, *servers[:2], config=TAKEN_UP, store=store) as harnesses:
        await begin(harnesses, servers[:2])
        join(harnesses[0], *servers[2:])
        await trio.sleep(READS_S)
        store.down = True
        for number in range(STREAMS):
            await harnesses[0].send_request("/ask/x", f"warm{number}", **PROMPT)
        for server in servers:
            server.break_after = 2
        for number in range(STREAMS):
            answer = await harnesses[0].send_request("/ask/x", f"o{number}", **PROMPT)
            assert answer.body.count(b"id: ") == 2
        harnesses[0].scope.cancel()
        store.down = False
        await trio.sleep(READS_S)
        for server in servers:
            server.break_after = None
        for number in range(STREAMS):
            names = {"resumes": f"o{number}", "last_event_id": "2"}
            answer = await harnesses[1].send_request("/ask/x", f"p{number}", **names, **PROMPT)
            assert len(versions_of({f"o{number}", f"p{number}"}, servers)) == 1
            assert answer.complete


async def test_streams_begin_at_the_base_when_the_store_is_lost_while_they_wait_for_their_record():
    servers = engines("v1", "v1", "v2", "v2")
    store = StoreStandin()
    config = {**TAKEN_UP, "routes": [{**TAKEN_UP["routes"][0], "max_attempts": 2}]}
    answers = {}
    async with entry_hosts(2, *servers[:2], config=config, store=store) as harnesses:
        await harnesses[0].send_request("/ask/x", "earlier", **PROMPT)
        await trio.sleep(READS_S)
        join(harnesses[0], *servers[2:])
        await trio.sleep(READS_S)
        store.down = True

        async def send(number: int) -> None:
            prompt = {**PROMPT, "prompt_prefix": f"{number:x}a:50,{number:x}b:40"}
            answers[number] = await harnesses[0].send_request("/ask/x", f"s{number}", **prompt)

        async with trio.open_nursery() as nursery:
            for number in range(STREAMS):
                nursery.start_soon(send, number)
        given_up = {f"s{n}" for n in range(STREAMS)} & set(servers[2].ran + servers[3].ran)
        assert given_up
        store.down = False
        await trio.sleep(READS_S)
        # What the store has of them may be out of order, so they go on nowhere.
        for request_id in given_up:
            names = {"resumes": request_id, "last_event_id": "2"}
            answer = await harnesses[1].send_request("/ask/x", f"t{request_id}", **names, **PROMPT)
            assert answer.status == 503
    assert all(answer.complete and answer.status == 200 for answer in answers.values())


async def test_a_store_that_was_restored_has_no_base_from_before():
    """Records of streams at the second version may be gone, and the hosts that made them."""
    servers = engines("v1", "v1", "v2", "v2")
    store = StoreStandin()
    async with entry_hosts(2, *servers[:2], config=TAKEN_UP, store=store) as harnesses:
        for number in range(2):
            await harnesses[number].send_request("/ask/x", f"before{number}", **PROMPT)
        await trio.sleep(READS_S)
        join(harnesses[0], *servers[2:])
        copy = store.copy()
        await trio.sleep(READS_S)
        await begin(harnesses, servers)
        for harness in harnesses:
            harness.scope.cancel()
        await restore(store, copy)
        harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(harnesses, 1)]
        await trio.sleep(1.0)
        assert await take_up(harnesses, servers) == 0


async def test_no_stream_changes_its_version_whenever_hosts_are_killed_beside_a_release():
    for seed in range(12):
        random = Random(seed)
        servers = engines("v1", "v1", "v2", "v2")
        store = StoreStandin(seed)
        async with entry_hosts(3, *servers[:2], config=TAKEN_UP, store=store) as harnesses:
            await begin(harnesses, servers[:2])
            await trio.sleep(random.uniform(0.0, 1.0))
            join(harnesses[0], *servers[2:])
            store.down = random.random() < 0.5
            await trio.sleep(random.uniform(0.0, 2.0))
            begun = await begin_anywhere(harnesses[:1], servers, random)
            restart(harnesses, random, 3)
            await trio.sleep(random.uniform(0.0, 1.0))
            store.down = False
            await trio.sleep(random.uniform(0.0, 10.0))
            await take_up_anywhere(harnesses, servers, seed, begun)


async def test_no_stream_changes_its_version_that_a_host_began_which_started_without_the_store():
    for seed in range(8):
        random = Random(seed)
        servers = engines("v1", "v1", "v2", "v2")
        store = StoreStandin(seed)
        async with entry_hosts(3, *servers[:2], config=TAKEN_UP, store=store) as harnesses:
            await begin(harnesses, servers[:2])
            join(harnesses[0], *servers[2:])
            await trio.sleep(random.uniform(0.0, 1.5))
            store.down = True
            await trio.sleep(random.uniform(0.0, 2.0))
            restart(harnesses, random, 2)
            await trio.sleep(random.uniform(1.0, 6.0))
            begun = await begin_anywhere(harnesses, servers, random)
            restart(harnesses, random, 3)
            await trio.sleep(random.uniform(0.0, 1.0))
            store.down = False
            await trio.sleep(random.uniform(0.0, 5.0))
            await take_up_anywhere(harnesses, servers, seed, begun)
