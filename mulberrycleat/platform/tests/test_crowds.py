"""Crowds of callers beyond the limits, against the product's own process on loopback.

Each test guards against a crowd of one kind that ends the process, takes more memory or descriptors
than the settings state, or keeps an ordinary request from being answered while the crowd stays.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from contextlib import suppress

import trio

from mulberrycleat.platform.tests.crowds import MB, Crowd, Host, Measured, run_beside
from mulberrycleat.platform.tests.test_stop_sockets import head

# The process has about 55 MB when it keeps nothing.
MEMORY_MB = 110
# Many enough not to matter beside the memory.
MAX_FDS = 4096
# 200 are for files.
FEW_FDS = 300
SMALL_BUFFER_BYTES = 4096
# A head of 16,384 bytes at most, of valid fields with names of one letter.
MANY_FIELDS = [f"{chr(97 + number % 26)}:" for number in range(3900)]
BODY_BYTES = 1_048_576
# Requests that each caller has open at a time, where the protocol allows several.
OPEN_REQUESTS = 100
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
# Longest time that a caller sends without end, in seconds, before the host is examined.
SENT_FOR_S = 3.0

Parts = Callable[[], Iterable[bytes]]


def callers(
    count: int,
    parts: Parts,
    readiness: bool = False,
    endless: bool = False,
    reads: bool = True,
    pause_s: float = 0.0,
) -> Crowd:
    """Return a crowd whose callers send parts and then stay connected."""

    async def crowd(host: Host, nursery: trio.Nursery) -> None:
        address = host.readiness if readiness else host.front
        left = count
        sent = trio.Event()

        async def call() -> None:
            nonlocal left
            try:
                with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                    await one_caller(address, parts, reads, pause_s, note_sent)
            finally:
                note_sent()

        def note_sent() -> None:
            nonlocal left
            left -= 1
            if left <= 0:
                sent.set()

        for _ in range(count):
            nursery.start_soon(call)
        with trio.move_on_after(SENT_FOR_S if endless else 20.0):
            await sent.wait()

    return crowd


async def one_caller(
    address: str, parts: Parts, reads: bool, pause_s: float, note_sent: Callable[[], None]
) -> None:
    sock = trio.socket.socket()
    with sock:
        if not reads:
            sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        name, _, port = address.rpartition(":")
        await sock.connect((name, int(port)))
        stream = trio.SocketStream(sock)
        async with trio.open_nursery() as nursery:
            if reads:
                nursery.start_soon(drain, stream, nursery.cancel_scope)
            # The host may reset the connection.
            with suppress(trio.BrokenResourceError):
                for part in parts():
                    await stream.send_all(part)
                    if pause_s:
                        await trio.sleep(pause_s)
            note_sent()
            await trio.sleep_forever()


async def drain(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    with suppress(trio.BrokenResourceError):
        while await stream.receive_some(65_536):
            pass
    scope.cancel()


def check(measured: Measured, memory_mb: int = MEMORY_MB, max_fds: int = MAX_FDS) -> None:
    """Assert what holds beside any crowd, with all that was measured in the message."""
    assert measured.exit_code is None, measured
    assert measured.peak_bytes <= memory_mb * MB, measured
    assert measured.most_descriptors <= max_fds, measured
    assert 200 in measured.statuses, measured


def endless(part: bytes, first: bytes) -> Parts:
    """Return parts that begin with one and go on with another one without end."""

    def parts() -> Iterable[bytes]:
        yield first
        while True:
            yield part

    return parts


def test_many_short_fields_with_a_body_one_byte_short():
    request = head("POST", "/book/x", "content-length: 5", *MANY_FIELDS) + b"body"
    check(run_beside(callers(150, lambda: [request]), MEMORY_MB, MAX_FDS))


def test_many_short_fields_in_heads_that_never_end():
    request = head("POST", "/book/x", "content-length: 5", *MANY_FIELDS)[:-1]
    check(run_beside(callers(600, lambda: [request]), MEMORY_MB, MAX_FDS))


def test_many_short_fields_with_a_body_one_byte_short_at_the_readiness_address():
    request = head("GET", "/", "content-length: 5", *MANY_FIELDS) + b"body"
    check(run_beside(callers(150, lambda: [request], readiness=True), MEMORY_MB, MAX_FDS))


def test_bodies_in_one_piece_that_stop_one_byte_short():
    request = head("POST", "/book/x", f"content-length: {BODY_BYTES}") + b"x" * (BODY_BYTES - 1)
    check(run_beside(callers(100, lambda: [request]), MEMORY_MB, MAX_FDS))


def test_bodies_in_small_pieces_that_stop_one_byte_short():
    first = head("POST", "/book/x", f"content-length: {BODY_BYTES}")
    pieces = [b"x" * 4096] * (BODY_BYTES // 4096 - 1) + [b"x" * 4095]
    check(run_beside(callers(100, lambda: [first, *pieces]), MEMORY_MB, MAX_FDS))


def test_bodies_in_chunks_that_never_end():
    first = head("POST", "/book/x", "transfer-encoding: chunked")
    chunks = [b"400\r\n" + b"x" * 1024 + b"\r\n"] * (BODY_BYTES // 1024)
    check(run_beside(callers(100, lambda: [first, *chunks]), MEMORY_MB, MAX_FDS))


def test_chunked_bodies_without_end_on_a_path_without_a_route():
    first = head("POST", "/nowhere", "transfer-encoding: chunked")
    chunks = (b"40\r\n" + b"x" * 64 + b"\r\n") * 900
    crowd = callers(60, endless(chunks, first), endless=True)
    check(run_beside(crowd, MEMORY_MB, MAX_FDS, settles=False))


def test_one_byte_chunks_at_the_readiness_address():
    first = head("GET", "/", "transfer-encoding: chunked")
    crowd = callers(80, endless(b"1\r\nx\r\n" * 10_000, first), readiness=True, endless=True)
    check(run_beside(crowd, MEMORY_MB, MAX_FDS, settles=False))


def test_pipelined_requests_whose_answers_are_not_read():
    request = head("GET", "/find/x", "timeout-remaining: 10000")
    crowd = callers(60, endless(request * 400, b""), endless=True, reads=False)
    check(run_beside(crowd, MEMORY_MB, MAX_FDS, body_bytes=200_000, settles=False))


def test_answers_that_are_not_read():
    request = head("GET", "/find/x", "timeout-remaining: 10000")
    crowd = callers(100, lambda: [request], reads=False)
    check(run_beside(crowd, MEMORY_MB, MAX_FDS, body_bytes=1_000_000))


def test_heads_sent_a_byte_at_a_time_take_no_more_than_the_descriptors():
    request = head("GET", "/find/x", "timeout-remaining: 10000")
    crowd = callers(400, lambda: [bytes([b]) for b in request], endless=True, pause_s=0.5)
    check(run_beside(crowd, MEMORY_MB, FEW_FDS, settles=False), max_fds=FEW_FDS)


def frame(kind: int, flags: int, stream: int, data: bytes = b"") -> bytes:
    """Return a frame of HTTP/2."""
    return (
        struct.pack(">I", len(data))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + data
    )


def begun_request(stream: int) -> bytes:
    """Return the frames of a request in HTTP/2 whose body stops short of its end."""
    fields = {
        ":method": "POST",
        ":path": "/book/x",
        ":scheme": "http",
        ":authority": "a.example",
        "attempt-id": f"r{stream}",
        "content-length": "1000",
    }
    texts = (text.encode() for pair in fields.items() for text in pair)
    block = b"".join(
        b"\x00" * (number % 2 == 0) + bytes([len(text)]) + text for number, text in enumerate(texts)
    )
    return frame(1, 4, stream, block) + frame(0, 0, stream, b"b" * 10)


def test_requests_in_http2_whose_bodies_stop_short():
    """The bounds knew one request a connection, and none of this protocol."""
    requests = [begun_request(2 * number + 1) for number in range(OPEN_REQUESTS)]
    first = HTTP2_PREFACE + frame(4, 0, 0) + b"".join(requests)
    check(run_beside(callers(120, lambda: [first]), MEMORY_MB, MAX_FDS))


def test_upgrades_to_http2_with_requests_whose_bodies_stop_short():
    upgrade = head("GET", "/find/x", "connection: upgrade, http2-settings", "upgrade: h2c")
    upgrade = upgrade[:-2] + b"http2-settings: \r\n\r\n"
    requests = [begun_request(2 * number + 3) for number in range(OPEN_REQUESTS)]
    first = upgrade + HTTP2_PREFACE + frame(4, 0, 0) + b"".join(requests)
    check(run_beside(callers(120, lambda: [first]), MEMORY_MB, MAX_FDS))
