"""An endpoint that sends bytes without end, over TCP."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

import trio

__all__ = ["CHUNK_BYTES", "EndlessEndpoint", "chunk_of", "resident_bytes"]

CHUNK_BYTES = 32_768
# The endpoint stops at this number of bytes, so that a test of a client that reads them all ends.
ENDLESS_BYTES = 192 * 2**20


def chunk_of(data: bytes) -> bytes:
    """Return one chunk, in chunked encoding, with `data` repeated up to ``CHUNK_BYTES``."""
    body = data * (CHUNK_BYTES // len(data))
    return b"%x\r\n%s\r\n" % (len(body), body)


@dataclass
class EndlessEndpoint:
    """Sends `head`, then `repeated` over and over, until the connection is closed.

    In `head`, ``%s`` stands for the request id, which is read from the header `id_header`.

    Attributes
    ----------
    sent : int
        Bytes sent so far.
    closed : int
        Number of connections that the host has closed before ``ENDLESS_BYTES`` were sent.
    peak_bytes : int
        Largest resident memory of the process seen while sending.
    requests : list of bytes
        Head of each request received.
    """

    head: bytes
    repeated: bytes
    id_header: bytes = b"x-request-id"
    sent: int = 0
    closed: int = 0
    peak_bytes: int = 0
    requests: list[bytes] = field(default_factory=list)

    async def listen(self, nursery: trio.Nursery) -> str:
        """Start to serve on a free loopback port, and return its address as ``ip:port``."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Answer the first request of a connection."""
        request = b""
        while b"\r\n\r\n" not in request:
            data = await stream.receive_some(65_536)
            if not data:
                return
            request += data
        lines = dict(line.partition(b": ")[::2] for line in request.lower().split(b"\r\n"))
        self.requests.append(request)
        head = self.head
        try:
            await stream.send_all(head % lines[self.id_header] if b"%s" in head else head)
            while self.sent < ENDLESS_BYTES:
                await stream.send_all(self.repeated)
                self.sent += len(self.repeated)
                self.peak_bytes = max(self.peak_bytes, resident_bytes())
        except trio.BrokenResourceError:
            self.closed += 1


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
