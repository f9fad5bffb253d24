"""Byte streams to endpoints through another host, which opens the connection and copies the bytes.

A tunnel keeps the ways apart in which a connection can end, since an answer without a length is
complete only if its endpoint has ended it: data comes in frames, the endpoint's end and reset have
frames of their own, and a tunnel that ends without either is broken.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from typing import Protocol

import trio

from mulberrycleat.web.accept import accept_connections
from mulberrycleat.web.server import listen
from mulberrycleat.web.stream import DirectStream
from mulberrycleat.web.upstream import (
    ConnectError,
    ConnectionSettings,
    Pipe,
    SocketPipe,
    TunnelBrokenError,
)

__all__ = [
    "CallerPipe",
    "TunnelPipe",
    "TunnelReply",
    "open_tunnel",
    "serve_pipes",
    "serve_tunnel",
]

CHUNK_BYTES = 65_536
# Lengths of frames that carry no data.
END, RESET = 0, 0xFFFF_FFFF
# Longest first line, in bytes; it holds the endpoint's address, or the reply.
MAX_LINE_BYTES = 64
# Time limit for the line with the address, in seconds.
REQUEST_TIMEOUT_S = 1.0
# Interval between checks whether the other host has ended the tunnel while its bytes can't be sent
# on, in seconds: an eighth of the time for which an endpoint may go on with a request that another
# one has taken over (see TAKEOVER_S of the entry hosts).
END_CHECK_INTERVAL_S = 0.05

# Failures of a pipe.
PIPE_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class CallerPipe(Pipe, Protocol):
    """Connection of another host that asks for a tunnel."""

    def has_ended(self) -> bool:
        """Whether the other host has ended or reset the connection, even with bytes unread."""
        ...


class TunnelReply(Enum):
    """What the other host says about the connection that it was asked to open."""

    OPEN = "open"
    # The other host could not open it.
    OUT_OF_REACH = "out of reach"
    # The other host opens none to this endpoint now.
    DECLINED = "declined"
    # The other host opens none at all now, or can't be reached.
    UNAVAILABLE = "unavailable"


class TunnelPipe:
    """:class:`~mulberrycleat.web.upstream.Pipe` to an endpoint through another host.

    Parameters
    ----------
    pipe : Pipe
        Connection to the other host, on which the tunnel has been opened.
    helper : str
        Address of the other host's tunnels.
    received : bytes
        What has been received on the connection after the reply.
    """

    def __init__(self, pipe: Pipe, helper: str, received: bytes = b"") -> None:
        self._pipe = pipe
        self._helper = helper
        self._received = received
        self._left = 0
        self._on_close: Callable[[], None] | None = None

    @property
    def helper(self) -> str:
        """Address of the other host's tunnels."""
        return self._helper

    async def send_all(self, data: bytes) -> None:
        """Send all of `data`."""
        try:
            await self._pipe.send_all(data)
        except trio.BrokenResourceError as error:
            raise TunnelBrokenError(f"through {self._helper}: {error}") from error

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes of the endpoint, or empty bytes when it has ended the stream."""
        while not self._left:
            await self._fill(4)
            (size,) = struct.unpack(">I", self._take(4))
            if size == END:
                return b""
            if size == RESET:
                raise trio.BrokenResourceError("connection reset")
            self._left = size
        await self._fill(1)
        data = self._take(min(self._left, max_bytes))
        self._left -= len(data)
        return data

    def is_readable(self) -> bool:
        """Whether bytes, the end of the stream or a reset can be received at once."""
        return bool(self._received) or self._pipe.is_readable()

    def call_on_close(self, on_close: Callable[[], None]) -> None:
        """Have `on_close` called once, when the tunnel is closed on this side."""
        self._on_close = on_close

    def close(self) -> None:
        """Close at once."""
        self._pipe.close()
        if self._on_close is not None:
            self._on_close()
            self._on_close = None

    async def _fill(self, size: int) -> None:
        """Receive until `size` bytes are there."""
        while len(self._received) < size:
            try:
                data = await self._pipe.receive_some(CHUNK_BYTES)
            except trio.BrokenResourceError as error:
                raise TunnelBrokenError(f"through {self._helper}: {error}") from error
            if not data:
                raise TunnelBrokenError(f"through {self._helper}: ended")
            self._received += data

    def _take(self, size: int) -> bytes:
        data, self._received = self._received[:size], self._received[size:]
        return data


async def open_tunnel(
    helper: str,
    address: str,
    connect: Callable[[str, ConnectionSettings], Awaitable[Pipe]],
    settings: ConnectionSettings,
    timeout_s: float,
) -> TunnelPipe | TunnelReply:
    """Open a connection to an endpoint through another host.

    Parameters
    ----------
    helper, address : str
        Addresses of the other host's tunnels and of the endpoint, as ``ip:port``.
    connect : callable
        Opens a connection to the other host.
    timeout_s : float
        Time limit for the reply, in seconds.

    Returns
    -------
    TunnelPipe or TunnelReply
        The connection, or why there is none. Nothing was sent to the endpoint then.
    """
    pipe: Pipe | None = None
    try:
        with trio.fail_after(timeout_s):
            pipe = await connect(helper, settings)
            await pipe.send_all(address.encode() + b"\n")
            line, rest = await _read_line(pipe)
        reply = TunnelReply(line.decode("ascii", "replace"))
    except (ConnectError, ValueError, trio.TooSlowError, *PIPE_ERRORS):
        reply = TunnelReply.UNAVAILABLE
    except BaseException:
        if pipe is not None:
            pipe.close()
        raise
    if reply is TunnelReply.OPEN:
        return TunnelPipe(pipe, helper, rest)
    if pipe is not None:
        pipe.close()
    return reply


async def serve_tunnel(
    caller: CallerPipe, connect: Callable[[str], Awaitable[Pipe | TunnelReply]]
) -> None:
    """Open the connection that another host asks for, and copy bytes until one side ends it.

    Parameters
    ----------
    caller : CallerPipe
        Connection of the other host; it is closed at the end.
    connect : callable
        Opens a connection to an address, or returns why there is none.
    """
    endpoint: Pipe | None = None
    try:
        with trio.fail_after(REQUEST_TIMEOUT_S):
            line, rest = await _read_line(caller)
        opened = await connect(line.decode("ascii", "replace"))
        if isinstance(opened, TunnelReply):
            await caller.send_all(opened.value.encode() + b"\n")
            return
        endpoint = opened
        await caller.send_all(TunnelReply.OPEN.value.encode() + b"\n")
        if rest:
            await endpoint.send_all(rest)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_copy_requests, caller, endpoint, nursery)
            await _copy_answers(endpoint, caller)
            nursery.cancel_scope.cancel()
    except (trio.TooSlowError, ValueError, *PIPE_ERRORS):
        # The other host finds the tunnel closed, and decides what follows.
        return
    finally:
        caller.close()
        if endpoint is not None:
            endpoint.close()


async def serve_pipes(handler: Callable[[CallerPipe], Awaitable[None]], address: str) -> None:
    """Accept connections at ``ip:port`` and run `handler` for each, until cancelled."""

    async def handle(stream: DirectStream) -> None:
        await handler(SocketPipe(stream))

    with listen(address, ConnectionSettings().unacknowledged_timeout_s) as listener:
        async with trio.open_nursery() as nursery:
            await accept_connections(listener, handle, nursery)


async def _read_line(pipe: Pipe) -> tuple[bytes, bytes]:
    """Return the first line, and what has been received after it; raises ``ValueError``."""
    data = b""
    while b"\n" not in data:
        more = await pipe.receive_some(CHUNK_BYTES)
        if not more or len(data) > MAX_LINE_BYTES:
            raise ValueError("no line")
        data += more
    line, _, rest = data.partition(b"\n")
    return line, rest


async def _copy_requests(caller: CallerPipe, endpoint: Pipe, nursery: trio.Nursery) -> None:
    """Copy bytes to the endpoint until the other host ends the tunnel."""
    with suppress(*PIPE_ERRORS):
        while data := await caller.receive_some(CHUNK_BYTES):
            if not await _send_on(caller, endpoint, data):
                break
    nursery.cancel_scope.cancel()


async def _send_on(caller: CallerPipe, endpoint: Pipe, data: bytes) -> bool:
    """Send bytes to the endpoint; return False if the other host has ended the tunnel meanwhile.

    An endpoint may work on a request without reading its body. It holds up the send then, and with
    it the read that would find the tunnel ended.
    """
    sent = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_end, caller, nursery)
        try:
            await endpoint.send_all(data)
            sent = True
        except PIPE_ERRORS:
            # The endpoint may have answered before it has read the request.
            await trio.sleep_forever()
        nursery.cancel_scope.cancel()
    return sent


async def _cancel_at_end(caller: CallerPipe, nursery: trio.Nursery) -> None:
    while not caller.has_ended():
        await trio.sleep(END_CHECK_INTERVAL_S)
    nursery.cancel_scope.cancel()


async def _copy_answers(endpoint: Pipe, caller: Pipe) -> None:
    """Copy bytes of the endpoint as frames until it ends the connection."""
    try:
        while data := await endpoint.receive_some(CHUNK_BYTES):
            await caller.send_all(struct.pack(">I", len(data)) + data)
        last = END
    except trio.BrokenResourceError:
        last = RESET
    with suppress(*PIPE_ERRORS):
        await caller.send_all(struct.pack(">I", last))
