"""Answers without end to calls that read the complete answer into memory."""

from __future__ import annotations

import trio
from result import Result

from mulberrycleat.core import PeerError
from mulberrycleat.testing.endless import CHUNK_BYTES, EndlessEndpoint, chunk_of, resident_bytes
from mulberrycleat.web import HttpClient
from mulberrycleat.web.client import MAX_ANSWER_BYTES, HttpAnswer

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# The chunks of an answer are held once as such and once joined.
MAX_GROWTH_BYTES = 3 * MAX_ANSWER_BYTES


def call_endless(endless: EndlessEndpoint) -> Result[HttpAnswer, PeerError]:
    found: list[Result[HttpAnswer, PeerError]] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            address = await endless.listen(nursery)
            client, before = HttpClient(), resident_bytes()
            found.append(await client.request("GET", f"http://{address}/x"))
            assert endless.peak_bytes - before < MAX_GROWTH_BYTES
            await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
    return found[0]


def test_a_body_without_end_is_an_error_with_step_and_peer():
    error = call_endless(EndlessEndpoint(CHUNKED_HEAD, chunk_of(b"x"))).err_value
    assert error.step.value == "call"
    assert error.peer.startswith("127.0.0.1:")
    assert error.sent
    assert str(MAX_ANSWER_BYTES) in error.reason


def test_a_body_that_ends_with_its_connection_is_bounded_too():
    assert call_endless(EndlessEndpoint(HEAD + b"\r\n", b"x" * CHUNK_BYTES)).is_err()


def test_a_head_without_end_is_an_error():
    assert call_endless(EndlessEndpoint(HEAD + b"X: ", b"x" * CHUNK_BYTES)).is_err()


def test_an_answer_of_the_largest_size_is_returned():
    body = b"x" * (MAX_ANSWER_BYTES - 1)
    head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
    answer = call_endless(EndlessEndpoint(head + body, b"x")).ok_value
    assert len(answer.body) == len(body)
