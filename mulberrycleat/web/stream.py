"""TCP connection that costs one pass of the event loop where trio's own stream costs two.

trio's ``SocketStream`` tries to receive before it waits, and gives way to other tasks after each
call that did not have to wait. On a host with few requests at a time, each event of a streamed
answer then takes two passes of the event loop and a system call that finds nothing.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

__all__ = ["DirectStream"]

# Most bytes that are not sent yet before the socket counts as writable no longer, as in trio's
# stream: callers that don't read would otherwise have megabytes of answers made for them.
NOT_SENT_LOW_WATER_BYTES = 16_384


class DirectStream:
    """Byte stream over a connected TCP socket, with the failures of ``trio.SocketStream``.

    One task may receive while another one sends.

    Parameters
    ----------
    sock : socket.socket
        The connected socket, which the stream owns from now on.
    """

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, NOT_SENT_LOW_WATER_BYTES)
        self._plain = sock
        self._socket = trio.socket.from_stdlib_socket(sock)
        # Whether more may have arrived than the last call returned.
        self._may_have_more = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """The socket, for options and addresses, and to close it."""
        return self._socket

    def send_now(self, data: bytes | memoryview) -> int:
        """Send as much of `data` as the system takes at once, and return how much that was.

        Raises
        ------
        trio.BrokenResourceError, trio.ClosedResourceError
            If the connection is broken, or was closed on this side.
        """
        try:
            return self._plain.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._failure(error) from error

    async def send_all(self, data: bytes | memoryview) -> None:
        """Send all of `data`; gives way to other tasks only if it has to wait."""
        await trio.lowlevel.checkpoint_if_cancelled()
        rest = memoryview(data)
        while rest := rest[self.send_now(rest) :]:
            await self._wait(trio.lowlevel.wait_writable)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes, or empty bytes at the end of the stream.

        A connection that never runs out of data gives way to other tasks before each call.
        """
        if self._may_have_more:
            await trio.lowlevel.checkpoint()
        else:
            await self._wait(trio.lowlevel.wait_readable)
        while True:
            try:
                data = self._plain.recv(max_bytes)
            except BlockingIOError:
                await self._wait(trio.lowlevel.wait_readable)
                continue
            except OSError as error:
                raise self._failure(error) from error
            self._may_have_more = len(data) == max_bytes
            return data

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option of the socket."""
        self._socket.setsockopt(level, option, value)

    async def aclose(self) -> None:
        """Close the connection."""
        self._socket.close()
        await trio.lowlevel.checkpoint()

    async def _wait(self, wait: Callable[[socket.socket], Awaitable[None]]) -> None:
        if self._plain.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed on this side")
        await wait(self._plain)

    def _failure(self, error: OSError) -> Exception:
        if self._plain.fileno() < 0:
            return trio.ClosedResourceError("the connection was closed on this side")
        return trio.BrokenResourceError(f"socket connection broken: {error}")
