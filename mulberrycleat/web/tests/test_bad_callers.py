"""Callers over real sockets that send too much, too slowly or invalid HTTP, or don't read."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from mulberrycleat.web import App, Reply, Request, Responder, Route, json_reply, serve_app

MAX_BODY_BYTES = 1000
RECEIVE_TIMEOUT_S = 0.3
SEND_TIMEOUT_S = 0.3
CHUNK = b"x" * 262_144
SMALL_BUFFER_BYTES = 4096


def head(method: str, path: str, *headers: str) -> bytes:
    return "\r\n".join([f"{method} {path} HTTP/1.1", "host: a", *headers, "", ""]).encode()


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def echo(request: Request, responder: Responder) -> Reply:
    return json_reply({"bytes": len(request.body)})


def run_with_app(routes: tuple[Route, ...], client: Callable[[str], Awaitable[None]]) -> None:
    """Serve `routes` over TCP sockets while `client` runs, then stop the server."""

    async def main() -> None:
        app = App(routes, MAX_BODY_BYTES, RECEIVE_TIMEOUT_S)
        stop, address = trio.Event(), free_address()
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_app, app, address, stop, 1.0, SEND_TIMEOUT_S)
            await client(address)
            stop.set()

    trio.run(main)


async def exchange(address: str, *parts: bytes, pause_s: float = 0.0) -> bytes:
    """Send `parts` with a pause after each; return what is received up to the end of the head."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        answer = b""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_parts, stream, parts, pause_s)
            while b"\r\n\r\n" not in answer and (data := await stream.receive_some(65536)):
                answer += data
            nursery.cancel_scope.cancel()
        return answer


async def _send_parts(stream: trio.SocketStream, parts: tuple[bytes, ...], pause_s: float) -> None:
    try:
        for part in parts:
            await stream.send_all(part)
            await trio.sleep(pause_s)
    except trio.BrokenResourceError:
        pass


def status_of(*parts: bytes, pause_s: float = 0.0) -> int:
    """Return the status of the response to a request sent in `parts`."""
    answers: list[bytes] = []

    async def client(address: str) -> None:
        answers.append(await exchange(address, *parts, pause_s=pause_s))
        # The server must still serve other callers.
        good = await exchange(address, head("POST", "/echo", "content-length: 2"), b"{}")
        assert good.startswith(b"HTTP/1.1 200")

    run_with_app((Route("POST", "/echo", echo),), client)
    return int(answers[0].split(b" ")[1])


def test_body_above_size_limit_is_refused():
    assert status_of(head("POST", "/echo", "content-length: 2000"), b"x" * 2000) == 413


def test_chunked_body_above_size_limit_is_refused():
    chunks = (b"200\r\n" + b"x" * 512 + b"\r\n") * 4
    assert status_of(head("POST", "/echo", "transfer-encoding: chunked"), chunks) == 413


def test_incomplete_body_is_refused_after_time_limit():
    assert status_of(head("POST", "/echo", "content-length: 100"), b"x") == 408


def test_slowly_sent_body_is_refused():
    single_bytes = [b"x"] * 20
    assert (
        status_of(head("POST", "/echo", "content-length: 100"), *single_bytes, pause_s=0.05) == 408
    )


def test_invalid_http_is_refused():
    assert status_of(b"\x16\x03\x01 hello\r\n\r\n") == 400


def test_unknown_path_and_method_are_refused():
    assert status_of(head("POST", "/nothing", "content-length: 0")) == 404
    assert status_of(head("DELETE", "/echo")) == 405


def test_caller_that_does_not_read_is_disconnected():
    seen: list[bool] = []

    async def flood(request: Request, responder: Responder) -> None:
        await responder.start(200)
        for _ in range(200):
            await responder.write(CHUNK)
        seen.append(responder.gone.is_set())
        await responder.finish()

    async def client(address: str) -> None:
        host, _, port = address.rpartition(":")
        raw = trio.socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await raw.connect((host, int(port)))
        with raw:
            await raw.send(head("GET", "/flood"))
            while not seen:
                await trio.sleep(0.01)

    run_with_app((Route("GET", "/flood", flood),), client)
    assert seen == [True]
