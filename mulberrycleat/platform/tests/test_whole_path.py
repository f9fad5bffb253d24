"""The whole path of a request on the platform, from a caller's headers to a server and back."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host


def engine(name="e1", **how):
    return ServerStandin(name, f"10.1.0.{name[1:]}:80", "engines", events=4, **how)


def hut(name="h1", **how):
    return ServerStandin(name, f"10.2.0.{name[1:]}:80", "huts", **how)


PROMPT = {"model": "m", "token_counts": "900,20", "prompt_prefix": "aa:300,bb:200,cc:400"}


async def test_a_stream_is_passed_on_whole_and_in_order():
    server = engine()
    async with entry_host(server) as world:
        answer = await world.ask("/ask/x?y=1", **PROMPT)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.headers["response-seal"] == "seal-of-e1"
    assert [f"id: {n}" in answer.body.decode() for n in (1, 2, 3, 4)] == [True] * 4
    seen = server.seen[0]
    assert seen[":target"] == "/ask/x?y=1"
    assert (seen["tenant"], seen["target-instance"]) == ("rangers", "e1")
    assert "authorization" not in seen


async def test_a_broken_stream_goes_on_at_another_server_after_the_last_whole_event():
    first, second = engine("e1", break_after=2), engine("e2", break_after=2)
    async with entry_host(first, second) as world:
        answer = await world.ask("/ask/x", **PROMPT)
    assert answer.whole
    assert answer.body.decode() == "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3, 4))
    runs = {"e1": first.seen, "e2": second.seen}
    resumed = [run[0].get("last-event-id") for run in runs.values()]
    assert sorted(resumed, key=str) == ["2", None] or sorted(resumed, key=str) == [None, "2"]


async def test_a_stream_that_may_not_go_on_elsewhere_is_never_made_to_look_whole():
    routes = [{**CONFIG["routes"][0], "stream_resume": False}]
    first, second = engine("e1", break_after=2), engine("e2", break_after=2)
    async with entry_host(first, second, config={**CONFIG, "routes": routes}) as world:
        answer = await world.ask("/ask/x", **PROMPT)
    assert not answer.whole
    assert len(first.seen) + len(second.seen) == 1


async def test_headers_that_only_this_system_sets_are_not_the_callers():
    server = engine()
    forged = {"tenant": "others", "hold": "1", "kv_from": "10.0.0.1:1/2", "pin_duration": "9"}
    async with entry_host(server) as world:
        await world.ask("/ask/x", **PROMPT, **forged, request_priority="0")
    seen = server.seen[0]
    assert seen["tenant"] == "rangers"
    assert seen["request-priority"] == "1"
    assert not {"hold", "kv-from", "pin-duration"} & seen.keys()


async def test_a_request_that_must_not_run_twice_is_not_sent_again_after_a_reset():
    first, second = hut("h1", mute=True), hut("h2", mute=True)
    async with entry_host(first, second) as world:
        answer = await world.ask("/book/x")
    assert answer.status == 504
    assert len(first.seen) + len(second.seen) == 1


async def test_a_request_that_was_turned_away_goes_on_to_another_server():
    servers = hut("h1", sheds=True), hut("h2", sheds=True), hut("h3")
    async with entry_host(*servers) as world:
        answers = [await world.ask("/book/x", f"r{n}") for n in range(6)]
    assert {answer.status for answer in answers} == {200}
    assert servers[2].ran == [f"r{n}" for n in range(6)]


async def test_what_no_server_ran_is_refused_with_a_time_to_come_back():
    async with entry_host(hut("h1", sheds=True), hut("h2", refuses=True)) as world:
        answer = await world.ask("/book/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_a_servers_own_failure_is_passed_on_with_its_signature():
    async with entry_host(hut("h1", status=500)) as world:
        answer = await world.ask("/book/x")
    assert (answer.status, answer.headers["response-seal"]) == (500, "seal-of-h1")


async def test_a_failed_look_up_is_repeated_once_elsewhere():
    failing, good = hut("h1", status=500), hut("h2")
    async with entry_host(failing, good) as world:
        answers = [await world.ask("/find/x", f"r{n}", "GET") for n in range(8)]
    assert {answer.status for answer in answers} == {200}


async def test_bytes_after_an_answer_belong_to_no_request():
    stray = b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nContent-Length: 2\r\n\r\nno"
    server = hut("h1", extra=stray)
    async with entry_host(server) as world:
        answers = [await world.ask("/find/x", f"r{n}", "GET") for n in range(4)]
        assert world.servers.opened == 4
    assert {answer.body for answer in answers} == {b"h1:/find/x"}


async def test_an_answer_with_another_requests_id_is_not_passed_on():
    server = hut("h1")
    async with entry_host(server) as world:
        server.extra = b""
        answer = await world.ask("/find/x", "r1", "GET")
        assert answer.status == 200


async def test_a_request_past_its_routes_time_gets_its_answer_at_once():
    async with entry_host(hut("h1", work_s=5.0)) as world:
        answer = await world.ask("/book/x")
    assert answer.status == 504


async def test_work_ends_when_the_caller_leaves():
    server = engine(work_s=0.3)
    async with entry_host(server) as world:
        answer = await world.ask("/ask/x", leave_after_s=0.5, **PROMPT)
        assert not answer.whole


async def test_callers_mistakes_get_clear_answers_and_reach_no_server():
    server = hut()
    async with entry_host(server) as world:
        statuses = [
            (await world.ask("/book/x", authorization="Bearer nobody")).status,
            (await world.ask("/book/x", authorization="")).status,
            (await world.ask("/nowhere/x")).status,
            (await world.ask("/book/x", body=b"x" * 100_001)).status,
            (await world.ask("/book/x", token_counts="many")).status,
            (await world.ask("/book/x", prompt_prefix="not-a-part")).status,
            (await world.ask("/book/x", timeout_remaining="-1")).status,
            (await world.ask("/book/x", "")).status,
        ]
    assert statuses == [401, 401, 404, 413, 400, 400, 400, 400]
    assert not server.seen


async def test_the_time_left_that_is_passed_on_shrinks_with_each_send():
    failing, second = hut("h1", status=500, work_s=0.1), hut("h2", status=500, work_s=0.1)
    async with entry_host(failing, second) as world:
        await world.ask("/find/x", "r1", "GET", timeout_remaining="700")
    left = sorted(int(server.seen[0]["timeout-remaining"]) for server in (failing, second))
    assert left[0] <= left[1] - 100 <= 600


async def test_a_request_that_the_total_does_not_cover_is_refused_for_good():
    async with entry_host(engine()) as world:
        answer = await world.ask("/ask/x", model="m", token_counts="99990,20")
    assert answer.status == 402


async def test_a_total_is_never_passed_and_is_nearly_used_up():
    server = engine()
    async with entry_host(server) as world:
        for number in range(140):
            await world.ask("/ask/x", f"r{number}", model="m", token_counts="900,20")
    spent = len(server.seen) * 920
    assert 97_000 <= spent <= 100_000


async def test_a_request_that_would_wait_too_long_is_refused_at_once_and_not_run():
    """Behind requests that have waited for over half of a caller's patience."""
    server = engine(mute=True)
    async with entry_host(server) as world, trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(world.ask, "/ask/x", f"r{number}")
        await trio.sleep(1.8)
        began = trio.current_time()
        answer = await world.ask("/ask/x", "late", **PROMPT)
        assert trio.current_time() - began < 0.1
        nursery.cancel_scope.cancel()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) >= 0.3
    assert "late" not in server.ran
