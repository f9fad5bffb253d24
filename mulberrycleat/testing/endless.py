"""An endpoint that sends bytes without end, over TCP."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from dataclasses import dataclass, field

import trio

from mulberrycleat.web.accept import accept_connections

__all__ = ["CHUNK_BYTES", "EndlessEndpoint", "chunk_of", "resident_bytes"]

CHUNK_BYTES = 32_768
# The endpoint stops after this time, in seconds, so that a test of a client that never closes the
# connection ends. It is well past the time limits of the routes that tests use.
ENDLESS_S = 10.0
# Bytes that are sent as fast as the client reads them, more than clients may keep in memory; and
# the rate of those after them, in bytes per second.
BURST_BYTES, BYTES_PER_S = 64 * 2**20, 16 * 2**20


def chunk_of(data: bytes) -> bytes:
    """Return one chunk, in chunked encoding, with `data` repeated up to ``CHUNK_BYTES``."""
    body = data * (CHUNK_BYTES // len(data))
    return b"%x\r\n%s\r\n" % (len(body), body)


@dataclass
class EndlessEndpoint:
    """Sends `head`, then `repeated` over and over, until the connection is closed.

    In `head`, ``%s`` stands for the request id, which is read from the header `id_header`. Requests
    for the paths of `complete` get the body given there, and their connection stays open.

    Attributes
    ----------
    sent : int
        Bytes sent so far.
    closed : int
        Number of connections that the client has closed within ``ENDLESS_S``.
    peak_bytes : int
        Largest resident memory of the process seen while sending.
    requests : list of bytes
        Head of each request received, without those for the paths of `complete`.
    completed : int
        Number of requests received for the paths of `complete`.
    """

    head: bytes
    repeated: bytes
    id_header: bytes = b"x-request-id"
    complete: dict[bytes, bytes] = field(default_factory=dict)
    sent: int = 0
    closed: int = 0
    peak_bytes: int = 0
    requests: list[bytes] = field(default_factory=list)
    completed: int = 0

    async def listen(self, nursery: trio.Nursery) -> str:
        """Start to serve on a free loopback port, and return its address as ``ip:port``."""
        listener = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        async def accept() -> None:
            with listener:
                await accept_connections(listener, self._serve, nursery)

        nursery.start_soon(accept)
        return address

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of a connection up to the first one that is answered without end."""
        while True:
            request = await _read_head(stream)
            if not request:
                return
            body = self.complete.get(request.split(b" ", 2)[1])
            if body is None:
                break
            self.completed += 1
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            with suppress(trio.BrokenResourceError):
                await stream.send_all(answer)
        lines = dict(line.partition(b": ")[::2] for line in request.lower().split(b"\r\n"))
        self.requests.append(request)
        head = self.head
        try:
            await stream.send_all(head % lines[self.id_header] if b"%s" in head else head)
            until = trio.current_time() + ENDLESS_S
            while trio.current_time() < until:
                await stream.send_all(self.repeated)
                self.sent += len(self.repeated)
                self.peak_bytes = max(self.peak_bytes, resident_bytes())
                if self.sent > BURST_BYTES:
                    await trio.sleep(len(self.repeated) / BYTES_PER_S)
        except trio.BrokenResourceError:
            self.closed += 1


async def _read_head(stream: trio.SocketStream) -> bytes:
    """Return the head of the next request; nothing if the client closes the connection before."""
    head = b""
    with suppress(trio.BrokenResourceError):
        while b"\r\n\r\n" not in head:
            data = await stream.receive_some(65_536)
            if not data:
                return b""
            head += data
        return head
    return b""


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
