"""Bytes that follow a complete answer on a kept connection belong to no call."""

from __future__ import annotations

from collections.abc import Callable

import trio

from mulberrycleat.web import HttpClient

CALLS = 6
# Pause between an answer and what follows it in a segment of its own, in seconds.
LATER_S = 0.03


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def chunked_answer(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return b"%b%x\r\n%b\r\n0\r\n\r\n" % (head, len(body), body)


class Peer:
    """A server that sends surplus bytes behind each answer.

    Attributes
    ----------
    connections : int
        Number of connections so far.
    """

    def __init__(
        self,
        surplus: Callable[[bytes], bytes],
        later_s: float = 0.0,
        form: Callable[[bytes], bytes] = answer,
    ) -> None:
        self._surplus = surplus
        self._later_s = later_s
        self._form = form
        self.connections = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer each request on a connection with its path."""
        self.connections += 1
        try:
            while request := await stream.receive_some(10_000):
                path = request.split()[1]
                data, surplus = self._form(path), self._surplus(path)
                if not self._later_s:
                    await stream.send_all(data + surplus)
                    continue
                await stream.send_all(data)
                await trio.sleep(self._later_s)
                await stream.send_all(surplus)
        except trio.BrokenResourceError:
            return


async def call_in_turn(peer: Peer, pause_s: float = 0.0) -> list[bytes]:
    """Make calls one after another, each with a path of its own, and return the answers."""
    client = HttpClient()
    found = []
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, peer.serve, 0)
        port = listeners[0].socket.getsockname()[1]
        for number in range(CALLS):
            outcome = await client.request("POST", f"http://127.0.0.1:{port}/{number}")
            found.append(outcome.ok_value.body if outcome.is_ok() else str(outcome.err_value))
            await trio.sleep(pause_s)
        await client.aclose()
        nursery.cancel_scope.cancel()
    return found


PATHS = [b"/%d" % number for number in range(CALLS)]


def test_a_copy_sent_with_an_answer_does_not_answer_the_next_call():
    async def main() -> None:
        for form in (answer, chunked_answer):
            peer = Peer(form, form=form)
            assert await call_in_turn(peer) == PATHS
            assert peer.connections == CALLS

    trio.run(main)


def test_a_part_of_a_copy_sent_with_an_answer_is_no_part_of_the_next_one():
    async def main() -> None:
        for size in (1, 10, 30):
            assert await call_in_turn(Peer(lambda path, size=size: answer(path)[:size])) == PATHS

    trio.run(main)


def test_a_copy_sent_after_an_answer_does_not_answer_a_call_that_comes_later():
    async def main() -> None:
        assert await call_in_turn(Peer(answer, LATER_S), 3 * LATER_S) == PATHS

    trio.run(main)


def test_connections_are_kept_after_answers_that_nothing_follows():
    async def main() -> None:
        for form in (answer, chunked_answer):
            peer = Peer(lambda path: b"", form=form)
            assert await call_in_turn(peer) == PATHS
            assert peer.connections == 1

    trio.run(main)


def test_an_answer_that_comes_after_its_call_was_given_up_does_not_answer_the_next_call():
    async def main() -> None:
        async def serve(stream: trio.SocketStream) -> None:
            try:
                while request := await stream.receive_some(10_000):
                    path = request.split()[1]
                    await trio.sleep(3 * LATER_S if path == b"/slow" else 0.0)
                    await stream.send_all(answer(path))
            except trio.BrokenResourceError:
                return

        client = HttpClient()
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            for limits in (
                {"timeout_s": LATER_S},
                {"total_timeout_s": LATER_S},
                {"head_timeout_s": LATER_S},
            ):
                assert (await client.request("GET", f"{url}/slow", **limits)).is_err()
                for pause_s in (0.0, 4 * LATER_S):
                    await trio.sleep(pause_s)
                    outcome = await client.request("GET", f"{url}/next")
                    assert outcome.ok_value.body == b"/next"
            await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
