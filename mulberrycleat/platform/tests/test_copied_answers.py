"""Endpoints that send an earlier answer of a connection once more, before the next one."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import Answer, HostHarness, entry_host
from mulberrycleat.platform.tests.test_restarted_endpoints import READS_S, RICH
from mulberrycleat.platform.tests.test_whole_path import PROMPT_HEADERS

EVENTS = 4
# Longer than the time for which an endpoint that declined a request gets none.
READMITTED_S = 0.15


def engines(count: int, **options) -> list[ServerStandin]:
    """Return engines that make streams of `EVENTS` events."""
    return [
        ServerStandin(f"e{n}", f"10.1.0.{n}:80", "engines", events=EVENTS, **options)
        for n in range(1, count + 1)
    ]


def is_whole_stream(answer: Answer) -> bool:
    """Whether a caller got all events in order, and the end of the stream."""
    events = "".join(f"id: {n}\ndata: x\n\n" for n in range(1, EVENTS + 1))
    return (answer.status, answer.body.decode(), answer.complete) == (200, events, True)


async def keep_refused_connections(harness: HostHarness, servers: list[ServerStandin]) -> None:
    """Have all servers decline a request, and the host keep a connection to each."""
    assert (await harness.send_request("/ask/x", "r0", **PROMPT_HEADERS)).status == 503
    await trio.sleep(READMITTED_S)
    assert [len(server.declined_at) for server in servers] == [1] * len(servers)
    for server in servers:
        server.declines = server.omits_request_id = False


async def copy_an_answer(servers: list[ServerStandin], after_s: float) -> None:
    """Have each server send one answer once more, with its next request after a time."""
    await trio.sleep(after_s)
    for server in servers:
        server.copies_answers = 1


async def test_a_copied_refusal_ends_no_stream_that_goes_on_at_another_endpoint():
    for omits_request_id in (False, True):
        servers = engines(2, declines=True, omits_request_id=omits_request_id)
        async with entry_host(*servers) as harness, trio.open_nursery() as nursery:
            await keep_refused_connections(harness, servers)
            for server in servers:
                server.break_after = 2
            nursery.start_soon(copy_an_answer, servers, servers[0].work_s)
            answer = await harness.send_request("/ask/x", "r1", **PROMPT_HEADERS)
        assert is_whole_stream(answer), omits_request_id
        assert [server.ran for server in servers] == [["r1"], ["r1"]]


async def test_a_copied_answer_ends_no_stream_that_begins_while_the_directory_is_out_of_date():
    (server,), store = engines(1), StoreStandin()
    async with entry_host(server, config=RICH, store=store) as harness:
        assert is_whole_stream(await harness.send_request("/ask/x", "r0", **PROMPT_HEADERS))
        store.down = True
        await trio.sleep(READS_S)
        server.copies_answers = 1
        assert is_whole_stream(await harness.send_request("/ask/x", "r1", **PROMPT_HEADERS))
    assert server.ran == ["r0", "r1"]
