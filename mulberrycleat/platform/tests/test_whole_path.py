"""The complete path of a request: from a caller's headers to a server and back to the caller."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host


def engine(name="e1", **options):
    return ServerStandin(name, f"10.1.0.{name[1:]}:80", "engines", events=4, **options)


def booking_server(name="h1", **options):
    return ServerStandin(name, f"10.2.0.{name[1:]}:80", "bookings", **options)


PROMPT_HEADERS = {"model": "m", "token_counts": "900,20", "prompt_prefix": "aa:300,bb:200,cc:400"}


async def test_a_stream_is_forwarded_completely_and_in_order():
    server = engine()
    async with entry_host(server) as harness:
        answer = await harness.send_request("/ask/x?y=1", **PROMPT_HEADERS)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.headers["response-seal"] == "seal-of-e1"
    assert [f"id: {n}" in answer.body.decode() for n in (1, 2, 3, 4)] == [True] * 4
    seen = server.seen[0]
    assert seen[":target"] == "/ask/x?y=1"
    assert (seen["tenant"], seen["target-instance"]) == ("rangers", "e1")
    assert "authorization" not in seen


async def test_a_broken_stream_resumes_on_another_server_after_the_last_complete_event():
    first, second = engine("e1", break_after=2), engine("e2", break_after=2)
    async with entry_host(first, second) as harness:
        answer = await harness.send_request("/ask/x", **PROMPT_HEADERS)
    assert answer.complete
    assert answer.body.decode() == "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3, 4))
    runs = {"e1": first.seen, "e2": second.seen}
    resumed = [run[0].get("last-event-id") for run in runs.values()]
    assert sorted(resumed, key=str) == ["2", None] or sorted(resumed, key=str) == [None, "2"]


async def test_a_broken_stream_that_must_not_be_resumed_is_aborted():
    routes = [{**CONFIG["routes"][0], "stream_resume": False}]
    first, second = engine("e1", break_after=2), engine("e2", break_after=2)
    async with entry_host(first, second, config={**CONFIG, "routes": routes}) as harness:
        answer = await harness.send_request("/ask/x", **PROMPT_HEADERS)
    assert not answer.complete
    assert len(first.seen) + len(second.seen) == 1


async def test_a_stream_without_length_or_chunks_is_forwarded_completely():
    async with entry_host(engine(unframed=True)) as harness:
        answer = await harness.send_request("/ask/x", **PROMPT_HEADERS)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body.decode() == "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3, 4))


async def test_a_stream_without_length_that_ends_before_its_first_event_is_not_complete():
    server = engine(unframed=True, crash_part="aa")
    async with entry_host(server) as harness:
        answer = await harness.send_request("/ask/x", **PROMPT_HEADERS)
    assert answer.status == 502


async def test_callers_can_not_set_headers_reserved_for_this_system():
    server = engine()
    forged = {"tenant": "others", "hold": "1", "kv_from": "10.0.0.1:1/2", "pin_duration": "9"}
    async with entry_host(server) as harness:
        await harness.send_request("/ask/x", **PROMPT_HEADERS, **forged, request_priority="0")
    seen = server.seen[0]
    assert seen["tenant"] == "rangers"
    assert seen["request-priority"] == "1"
    assert not {"hold", "kv-from", "pin-duration"} & seen.keys()


async def test_a_non_idempotent_request_is_not_retried_after_a_timeout():
    first, second = booking_server("h1", never_answers=True), booking_server(
        "h2", never_answers=True
    )
    async with entry_host(first, second) as harness:
        answer = await harness.send_request("/book/x")
    assert answer.status == 504
    assert len(first.seen) + len(second.seen) == 1


async def test_a_declined_request_is_retried_on_another_server():
    servers = (
        booking_server("h1", declines=True),
        booking_server("h2", declines=True),
        booking_server("h3"),
    )
    async with entry_host(*servers) as harness:
        answers = [await harness.send_request("/book/x", f"r{n}") for n in range(6)]
    assert {answer.status for answer in answers} == {200}
    assert servers[2].ran == [f"r{n}" for n in range(6)]


async def test_a_request_that_no_server_ran_is_refused_with_retry_after():
    async with entry_host(
        booking_server("h1", declines=True), booking_server("h2", refuses_connections=True)
    ) as harness:
        answer = await harness.send_request("/book/x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


async def test_an_error_answer_of_a_server_is_forwarded_with_its_seal():
    async with entry_host(booking_server("h1", status=500)) as harness:
        answer = await harness.send_request("/book/x")
    assert (answer.status, answer.headers["response-seal"]) == (500, "seal-of-h1")


async def test_a_failed_idempotent_request_is_retried_on_another_server():
    failing, good = booking_server("h1", status=500), booking_server("h2")
    async with entry_host(failing, good) as harness:
        answers = [await harness.send_request("/find/x", f"r{n}", "GET") for n in range(8)]
    assert {answer.status for answer in answers} == {200}


async def test_stray_bytes_after_an_answer_are_not_read_as_the_next_answer():
    stray = b"HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nContent-Length: 2\r\n\r\nno"
    server = booking_server("h1", trailing_bytes=stray)
    async with entry_host(server) as harness:
        answers = [await harness.send_request("/find/x", f"r{n}", "GET") for n in range(4)]
        assert harness.servers.opened == 4
    assert {answer.body for answer in answers} == {b"h1:/find/x"}


async def test_the_answer_to_another_request_never_reaches_a_caller():
    """The server sends its answer to the previous request again on the reused connection."""
    for path, status in (("/find/", 200), ("/book/", 502)):
        late, good = booking_server("h1", work_s=0.0), booking_server("h2", zone="z-b")
        async with entry_host(late, good) as harness:
            first = await harness.send_request(f"{path}1", "r1")
            late.repeats_answers = True
            second = await harness.send_request(f"{path}2", "r2")
        assert (first.status, first.body) == (200, f"h1:{path}1".encode())
        assert second.status == status
        assert b"h1" not in second.body
        assert late.ran == ["r1", "r2"]


async def test_the_events_of_another_request_never_reach_a_caller():
    late, good = engine("e1", work_s=0.0), engine("e2", zone="z-b")
    async with entry_host(late, good) as harness:
        await harness.send_request("/ask/1", "r1", **PROMPT_HEADERS)
        late.repeats_answers = True
        second = await harness.send_request("/ask/2", "r2", **PROMPT_HEADERS)
    assert second.complete
    assert second.headers["response-seal"] == "seal-of-e2"
    assert second.body.count(b"id: ") == 4


async def test_a_success_that_names_no_request_is_not_taken_for_an_answer():
    async with entry_host(booking_server("h1", omits_request_id=True)) as harness:
        answer = await harness.send_request("/book/x")
    assert answer.status == 502


async def test_an_idempotent_request_is_answered_with_200():
    server = booking_server("h1")
    async with entry_host(server) as harness:
        server.trailing_bytes = b""
        answer = await harness.send_request("/find/x", "r1", "GET")
        assert answer.status == 200


async def test_a_request_that_exceeds_its_routes_timeout_gets_504():
    async with entry_host(booking_server("h1", work_s=5.0)) as harness:
        answer = await harness.send_request("/book/x")
    assert answer.status == 504


async def test_a_slow_but_sound_stream_is_completed():
    """Its events come later than the route's targets for the first event and for pauses."""
    for count in (1, 2, 3):
        servers = [engine(f"e{n}", work_s=0.85) for n in range(1, count + 1)]
        async with entry_host(*servers) as harness:
            answer = await harness.send_request(
                "/ask/x", timeout_remaining="12000", **PROMPT_HEADERS
            )
        assert (answer.status, answer.complete) == (200, True)
        assert answer.body.decode() == "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3, 4))


async def test_a_stalled_stream_that_sends_a_byte_now_and_then_resumes_elsewhere():
    stalled, sound = engine("e1", trickle_after=2), engine("e2", zone="z-b")
    async with entry_host(stalled, sound) as harness:
        answer = await harness.send_request("/ask/x", model="m", token_counts="900,20")
        await trio.sleep(0.5)
        assert stalled.running == 0
    assert answer.complete
    assert answer.body.decode() == "".join(f"id: {n}\ndata: x\n\n" for n in (1, 2, 3, 4))
    assert sound.seen[0]["last-event-id"] == "2"


async def test_a_stalled_stream_without_another_endpoint_ends_at_the_time_limit():
    stalled = engine("e1", trickle_after=2)
    async with entry_host(stalled) as harness:
        began = trio.current_time()
        answer = await harness.send_request("/ask/x", **PROMPT_HEADERS)
        assert trio.current_time() - began <= 3.1
        await trio.sleep(0.5)
        assert stalled.running == 0
    assert not answer.complete


async def test_a_stream_ends_when_the_caller_disconnects():
    server = engine(work_s=0.3)
    async with entry_host(server) as harness:
        answer = await harness.send_request("/ask/x", disconnect_after_s=0.5, **PROMPT_HEADERS)
        assert not answer.complete


async def test_invalid_requests_get_4xx_answers_and_reach_no_server():
    server = booking_server()
    async with entry_host(server) as harness:
        statuses = [
            (await harness.send_request("/book/x", authorization="Bearer nobody")).status,
            (await harness.send_request("/book/x", authorization="")).status,
            (await harness.send_request("/nowhere/x")).status,
            (await harness.send_request("/book/x", body=b"x" * 100_001)).status,
            (await harness.send_request("/book/x", token_counts="many")).status,
            (await harness.send_request("/book/x", prompt_prefix="not-a-part")).status,
            (await harness.send_request("/book/x", timeout_remaining="-1")).status,
            (await harness.send_request("/book/x", "")).status,
        ]
    assert statuses == [401, 401, 404, 413, 400, 400, 400, 400]
    assert not server.seen


async def test_the_forwarded_remaining_time_shrinks_with_each_attempt():
    failing, second = booking_server("h1", status=500, work_s=0.1), booking_server(
        "h2", status=500, work_s=0.1
    )
    async with entry_host(failing, second) as harness:
        await harness.send_request("/find/x", "r1", "GET", timeout_remaining="700")
    left = sorted(int(server.seen[0]["timeout-remaining"]) for server in (failing, second))
    assert left[0] <= left[1] - 100 <= 600


async def test_a_request_that_costs_more_than_the_prepaid_total_gets_402():
    async with entry_host(engine()) as harness:
        answer = await harness.send_request("/ask/x", model="m", token_counts="99990,20")
    assert answer.status == 402


async def test_a_prepaid_total_is_never_exceeded_and_nearly_used_up():
    server = engine()
    async with entry_host(server) as harness:
        for number in range(140):
            await harness.send_request("/ask/x", f"r{number}", model="m", token_counts="900,20")
    spent = len(server.seen) * 920
    assert 97_000 <= spent <= 100_000


async def test_a_request_that_would_wait_too_long_is_refused_at_once_and_not_run():
    """Earlier requests have had no answer for more than half of their callers' time limit."""
    server = engine(never_answers=True)
    async with entry_host(server) as harness, trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(harness.send_request, "/ask/x", f"r{number}")
        await trio.sleep(1.8)
        began = trio.current_time()
        answer = await harness.send_request("/ask/x", "late", **PROMPT_HEADERS)
        assert trio.current_time() - began < 0.1
        nursery.cancel_scope.cancel()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) >= 0.3
    assert "late" not in server.ran


async def test_an_earlier_refusal_that_comes_once_more_refuses_no_other_request():
    for path in ("/book/x", "/find/x"):
        for omits_request_id in (False, True):
            faulty = booking_server("h1", omits_request_id=omits_request_id, declines=True)
            async with entry_host(faulty) as harness:
                assert (await harness.send_request(path, "r1")).status == 503
                await trio.sleep(0.15)
                other = booking_server("h2")
                harness.servers.add(other)
                faulty.declines, faulty.repeats_answers = False, True
                answer = await harness.send_request(path, "r2")
            assert faulty.ran == ["r2"]
            assert answer.status == 502, (path, omits_request_id)


async def test_the_line_of_an_ended_attempt_names_the_connection_and_the_exchange_on_it(records):
    async with entry_host(booking_server("h1", work_s=0.0)) as harness:
        for number in (1, 2):
            await harness.send_request("/book/x", f"r{number}")
    lines = [(r.address, r.connection, r.exchange) for r in records if r.msg == "answered"]
    assert lines == [("10.2.0.1:80", 1, 1), ("10.2.0.1:80", 1, 2)]


async def test_a_status_that_promises_not_run_is_not_forwarded_without_the_statement():
    for status in (408, 429, 503):
        async with entry_host(booking_server("h1", status=status)) as harness:
            answer = await harness.send_request("/book/x", "r1")
        assert answer.status == 502, status
