"""Endpoints that send bytes without end, over TCP sockets, for as long as the host reads them."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, Answer, HostHarness, entry_host
from mulberrycleat.testing.endless import CHUNK_BYTES, EndlessEndpoint, chunk_of, resident_bytes
from mulberrycleat.web.upstream import ConnectionSettings, Pipe, open_pipe

# Most that the resident memory of the process may grow during one request, in bytes.
MAX_GROWTH_BYTES = 24 * 2**20
# Endpoints of this zone are used only after those of the host's zone.
OTHER_ZONE = "z-b"
SEALED = b"Attempt-Id: %s\r\nResponse-Seal: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Type: text/event-stream\r\n" + CHUNKED


def request_from(endless: EndlessEndpoint, path: str, good: ServerStandin | None = None) -> Answer:
    """Send a request to a host with an endless endpoint, and check memory and connections.

    `good` is a second endpoint, which is tried later.
    """
    pool = "engines" if path.startswith("/ask") else "bookings"
    standin = ServerStandin("x1", "10.9.9.9:80", pool)
    answers: list[Answer] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            endless.id_header = b"attempt-id"
            endless_address = await endless.listen(nursery)
            harnesses: list[HostHarness] = []

            async def connect(address: str, settings: ConnectionSettings) -> Pipe:
                if address == standin.address:
                    return await open_pipe(endless_address, settings)
                return await harnesses[0].servers.connect(address, settings)

            standins = (standin, good) if good else (standin,)
            async with entry_host(*standins, connect=connect, wait_s=0.0) as harness:
                harnesses.append(harness)
                while not (harness.host.ready and harness.host._retry_budget.left(pool, 0.0)):
                    await trio.sleep(0.01)
                before = resident_bytes()
                answers.append(await harness.send_request(path, "r1", "POST", model="m"))
                assert endless.peak_bytes - before < MAX_GROWTH_BYTES
                with trio.move_on_after(2.0):
                    while not endless.closed:
                        await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert endless.closed == len(endless.requests) == 1
    return answers[0]


def test_a_header_without_end_ends_the_exchange():
    answer = request_from(EndlessEndpoint(b"HTTP/1.1 200 OK\r\nX: ", b"x" * CHUNK_BYTES), "/book/x")
    assert (answer.status, answer.complete) == (502, True)


def test_headers_without_end_end_the_exchange():
    answer = request_from(EndlessEndpoint(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 4096), "/book/x")
    assert (answer.status, answer.complete) == (502, True)


def test_bytes_that_are_no_http_end_the_exchange():
    answer = request_from(EndlessEndpoint(b"", b"\x00\xff" * 16_384), "/book/x")
    assert (answer.status, answer.complete) == (502, True)


def test_informational_responses_without_end_end_the_exchange():
    answer = request_from(EndlessEndpoint(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000), "/book/x")
    assert (answer.status, answer.complete) == (502, True)


def test_the_endless_body_of_a_request_that_was_not_run_is_not_read_to_its_end():
    """The head proves that the request was not run, so that another endpoint can run it."""
    head = b"HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n" + CHUNKED
    answer = request_from(EndlessEndpoint(head, chunk_of(b"x")), "/book/x")
    assert (answer.status, answer.complete) == (503, True)


def test_the_endless_body_of_a_server_error_is_dropped_and_the_request_is_retried():
    head = b"HTTP/1.1 500 Error\r\n" + SEALED + CHUNKED
    good = ServerStandin("h2", "10.2.0.2:80", "bookings", OTHER_ZONE)
    answer = request_from(EndlessEndpoint(head, chunk_of(b"x")), "/find/x", good)
    assert (answer.status, answer.complete) == (200, True)


def test_an_endless_error_of_a_request_that_must_not_be_retried_never_looks_complete():
    """It is forwarded while it is read, so that the caller reads as slowly as it likes."""
    head = b"HTTP/1.1 500 Error\r\n" + SEALED + CHUNKED
    answer = request_from(EndlessEndpoint(head, chunk_of(b"x")), "/book/x")
    assert not answer.complete


def test_an_event_without_end_ends_the_exchange():
    endless = EndlessEndpoint(STREAM_HEAD, chunk_of(b"data: x"))
    good = ServerStandin("e2", "10.1.0.2:80", "engines", OTHER_ZONE, events=4)
    answer = request_from(endless, "/ask/x", good)
    assert answer.body.count(b"id: ") == 4
    assert answer.complete


def test_an_event_without_end_ends_the_exchange_if_there_is_no_other_endpoint():
    answer = request_from(EndlessEndpoint(STREAM_HEAD, chunk_of(b"data: x")), "/ask/x")
    assert (answer.status, answer.complete) == (502, True)


def test_empty_lines_and_comments_without_end_end_the_exchange():
    for filler in (b"\n", b": wait\n\n"):
        endless = EndlessEndpoint(STREAM_HEAD, chunk_of(filler))
        answer = request_from(endless, "/ask/x")
        assert (answer.status, answer.complete) == (502, True)


def test_bytes_without_end_after_an_answer_belong_to_nobody():
    body = b"Content-Length: 2\r\n\r\nok"
    endless = EndlessEndpoint(b"HTTP/1.1 200 OK\r\n" + SEALED + body, b"x" * CHUNK_BYTES)
    answer = request_from(endless, "/book/x")
    assert (answer.status, answer.body, answer.complete) == (200, b"ok", True)


def test_the_routes_of_this_module_are_as_assumed():
    kinds = {route["name"]: route["kind"] for route in CONFIG["routes"]}
    assert kinds == {"ask": "streaming", "book": "non_idempotent", "find": "idempotent"}
