"""Streams go on only at the software version that began them."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, HostHarness, entry_host, entry_hosts
from mulberrycleat.platform.tests.test_restored_store import restore

STREAMS = 12
EVENTS = 6
PROMPT = {"model": "m", "token_counts": "90,20", "prompt_prefix": "aa:30,bb:20,cc:40"}
# With one attempt for each request, a stream that breaks off is taken up by its caller only.
TAKEN_UP = {**CONFIG, "routes": [{**CONFIG["routes"][0], "max_attempts": 1}]}
TAKEN_UP["tenants"] = [{**CONFIG["tenants"][0], "prepaid": 10_000_000}]


def engines(*versions: str, **options) -> list[ServerStandin]:
    """Return one engine for each version, e1, e2 and so on."""
    options = {"events": EVENTS, "work_s": 0.005, **options}
    return [
        ServerStandin(f"e{n}", f"10.1.0.{n}:80", "engines", version=version, **options)
        for n, version in enumerate(versions, 1)
    ]


def versions_of(request_ids: set[str], servers: list[ServerStandin]) -> set[str]:
    """Return the versions of the servers that ran one of the requests."""
    return {server.version for server in servers if request_ids & set(server.ran)}


async def begin(harnesses: list[HostHarness], servers: list[ServerStandin]) -> None:
    """Begin streams s0, s1 and so on, of which the callers get two events."""
    for server in servers:
        server.break_after = 2
    for number in range(STREAMS):
        harness = harnesses[number % len(harnesses)]
        answer = await harness.send_request("/ask/x", f"s{number}", **PROMPT)
        assert (answer.status, answer.complete) == (200, False)
        assert answer.body.count(b"id: ") == 2
    for server in servers:
        server.break_after = None


async def take_up(harnesses: list[HostHarness], servers: list[ServerStandin]) -> int:
    """Take the streams up at other hosts; return how many go on. None may change its version."""
    complete = 0
    for number in range(STREAMS):
        harness = harnesses[(number + 1) % len(harnesses)]
        names = {"resumes": f"s{number}", "last_event_id": "2"}
        answer = await harness.send_request("/ask/x", f"t{number}", **names, **PROMPT)
        complete += answer.complete and answer.status == 200
        assert len(versions_of({f"s{number}", f"t{number}"}, servers)) == 1, number
    return complete


async def test_a_stream_that_breaks_off_is_resumed_at_its_version_only():
    servers = engines("v1", "v2", "v1", "v2", break_after=4)
    async with entry_host(*servers) as harness:
        answers = [await harness.send_request("/ask/x", f"s{n}", **PROMPT) for n in range(STREAMS)]
    assert all(answer.complete for answer in answers)
    assert all(len(versions_of({f"s{n}"}, servers)) == 1 for n in range(STREAMS))


async def test_a_stream_without_an_endpoint_of_its_version_is_broken_off_at_once():
    servers = engines("v1", "v2", "v3", break_after=2)
    async with entry_host(*servers) as harness:
        for number in range(STREAMS):
            began = trio.current_time()
            answer = await harness.send_request("/ask/x", f"s{number}", **PROMPT)
            assert not answer.complete
            assert trio.current_time() - began < 0.3
            assert len(versions_of({f"s{number}"}, servers)) == 1


async def test_a_stream_taken_up_at_another_host_goes_on_at_its_version():
    servers = engines("v1", "v2", "v1", "v2")
    async with entry_hosts(3, *servers, config=TAKEN_UP) as harnesses:
        await begin(harnesses, servers)
        assert await take_up(harnesses, servers) == STREAMS


async def test_a_stream_goes_on_at_its_version_after_all_hosts_were_killed():
    servers = engines("v1", "v2", "v1", "v2")
    async with entry_hosts(3, *servers, config=TAKEN_UP) as harnesses:
        await begin(harnesses, servers)
        harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(harnesses, 1)]
        await trio.sleep(1.0)
        assert await take_up(harnesses, servers) == STREAMS


async def test_a_stream_from_before_a_release_goes_on_at_its_version_after_all_hosts_were_killed():
    servers = engines("v1", "v1", "v2", "v2")
    async with entry_hosts(3, *servers[:2], config=TAKEN_UP) as harnesses:
        await begin(harnesses, servers[:2])
        for server in servers[2:]:
            harnesses[0].servers.add(server)
            harnesses[0].store.put("keyed.servers", server.id, server.entry())
        await trio.sleep(1.2)
        harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(harnesses, 1)]
        await trio.sleep(1.0)
        assert await take_up(harnesses, servers) == STREAMS


async def test_a_stream_is_refused_at_once_when_its_version_has_left():
    servers = engines("v1", "v1")
    replacements = engines("v1", "v1", "v2", "v2")[2:]
    async with entry_hosts(3, *servers, config=TAKEN_UP) as harnesses:
        await begin(harnesses, servers)
        for old, new in zip(servers, replacements, strict=True):
            harnesses[0].servers.add(new)
            harnesses[0].store.put("keyed.servers", new.id, new.entry())
            harnesses[0].store.put("keyed.servers", old.id, None)
        await trio.sleep(1.2)
        for number in range(STREAMS):
            began = trio.current_time()
            names = {"resumes": f"s{number}", "last_event_id": "2"}
            answer = await harnesses[0].send_request("/ask/x", f"t{number}", **names, **PROMPT)
            assert answer.status == 503
            assert trio.current_time() - began < 0.1
        assert not versions_of({f"t{n}" for n in range(STREAMS)}, [*servers, *replacements])


async def test_a_stream_of_unknown_version_is_not_joined_while_there_are_two_versions():
    servers = engines("v1", "v2")
    async with entry_host(*servers, config=TAKEN_UP) as harness:
        for names in ({"resumes": "unknown", "last_event_id": "2"}, {"last_event_id": "2"}):
            answer = await harness.send_request("/ask/x", "t", **names, **PROMPT)
            assert answer.status == 503
    assert not versions_of({"t"}, servers)


async def test_a_stream_of_unknown_version_goes_on_while_there_is_one_version():
    async with entry_host(*engines("v1", "v1"), config=TAKEN_UP) as harness:
        names = {"resumes": "unknown", "last_event_id": "2"}
        answer = await harness.send_request("/ask/x", "t", **names, **PROMPT)
    assert (answer.status, answer.complete) == (200, True)


async def test_streams_begin_and_go_on_at_their_version_while_the_store_is_down():
    servers = engines("v1", "v2", "v1", "v2")
    store = StoreStandin()
    async with entry_hosts(3, *servers, config=TAKEN_UP, store=store) as harnesses:
        store.down = True
        await begin(harnesses, servers)
        assert await take_up(harnesses, servers) == STREAMS


async def test_streams_begin_without_delay_while_the_store_is_down():
    servers = engines("v1", "v2", "v1", "v2")
    store = StoreStandin()
    async with entry_hosts(1, *servers, config=TAKEN_UP, store=store) as harnesses:
        store.down = True
        for number in range(STREAMS):
            began = trio.current_time()
            answer = await harnesses[0].send_request("/ask/x", f"s{number}", **PROMPT)
            assert answer.complete
            assert trio.current_time() - began < 0.2


async def test_streams_go_on_at_their_version_after_the_store_was_restored():
    servers = engines("v1", "v2", "v1", "v2")
    store = StoreStandin()
    async with entry_hosts(3, *servers, config=TAKEN_UP, store=store) as harnesses:
        copy = store.copy()
        await begin(harnesses, servers)
        await restore(store, copy)
        await trio.sleep(3.0)
        harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(harnesses, 1)]
        await trio.sleep(1.0)
        assert await take_up(harnesses, servers) == STREAMS


async def test_a_stream_goes_on_in_the_pool_that_began_it():
    config = {**TAKEN_UP}
    split = [{"service": "engines", "weight": 50}, {"service": "others", "weight": 50}]
    config["routes"] = [{**TAKEN_UP["routes"][0], "traffic_split": split}]
    config["services"] = [CONFIG["services"][0], {**CONFIG["services"][0], "name": "others"}]
    servers = engines("v1", "v2", "v3", "v4")
    for server in servers[2:]:
        server.service = "others"
    async with entry_hosts(3, *servers, config=config) as harnesses:
        await begin(harnesses, servers)
        assert await take_up(harnesses, servers) == STREAMS


async def test_an_unreadable_origin_does_not_hide_those_after_it():
    servers = engines("v1", "v2", "v1", "v2")
    async with entry_hosts(3, *servers, config=TAKEN_UP) as harnesses:
        for value in (b"", b"\x81", b"\xc1" * 40):
            harnesses[0].store.append("stream-origins", "a1", value)
        await begin(harnesses, servers)
        assert await take_up(harnesses, servers) == STREAMS


async def test_a_stream_goes_on_at_endpoints_that_leave_if_its_version_has_no_others():
    servers = engines("v1", "v1", "v2", "v2")
    async with entry_hosts(3, *servers, config=TAKEN_UP) as harnesses:
        await begin(harnesses, servers)
        for server in servers[:2]:
            harnesses[0].store.put("keyed.servers", server.id, server.entry("draining"))
        leaving_at = trio.current_time()
        await trio.sleep(0.7)
        assert await take_up(harnesses, servers) == STREAMS
        await trio.sleep(leaving_at + 2.0 - trio.current_time())
        names = {"resumes": "s0", "last_event_id": "2"}
        for number in range(STREAMS):
            names["resumes"] = f"s{number}"
            await harnesses[0].send_request("/ask/x", f"u{number}", **names, **PROMPT)
        assert not versions_of({f"u{n}" for n in range(STREAMS)}, servers[:2])


async def test_a_stream_with_an_overlong_id_does_not_hide_the_others():
    servers = engines("v1", "v2", "v1", "v2")
    store = StoreStandin()
    async with entry_hosts(3, *servers, config=TAKEN_UP, store=store) as harnesses:
        # All of these are recorded together, once the store answers again.
        store.down = True
        await harnesses[0].send_request("/ask/x", "y" * 5000, **PROMPT)
        await begin(harnesses, servers)
        store.down = False
        await trio.sleep(2.0)
        harnesses[:] = [h.restart(f"a{n}") for n, h in enumerate(harnesses, 1)]
        await trio.sleep(1.0)
        assert await take_up(harnesses, servers) == STREAMS


async def test_unknown_streams_that_callers_take_up_cause_few_calls_to_the_store():
    store = StoreStandin()
    async with entry_host(*engines("v1", "v2"), config=TAKEN_UP, store=store) as harness:
        before, began = store.calls, trio.current_time()
        for number in range(50):
            names = {"resumes": f"unknown{number}", "last_event_id": "2"}
            await harness.send_request("/ask/x", f"t{number}", **names, **PROMPT)
        # About 5 calls a second are made besides.
        assert store.calls - before <= 30 * (trio.current_time() - began) + 10
