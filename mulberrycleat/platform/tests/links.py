"""Connections between hosts, and from hosts to endpoints, with faults of the paths."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum

import trio
import trio.testing

from mulberrycleat.entry.paths import Connect
from mulberrycleat.platform.standin import MemoryPipe
from mulberrycleat.web.upstream import ConnectError, ConnectionSettings, Pipe


class PathFault(Enum):
    """How a host's connections to endpoints fail."""

    SILENT = "silent"
    RESET = "reset"
    # Open connections live on, and new ones are refused.
    REFUSED = "refused"


class Links:
    """Connections between hosts, and from hosts to endpoints.

    Attributes
    ----------
    faults : dict of str to PathFault
        Faults of the paths from hosts to all endpoints, by the host's name.
    unreachable_from : dict of str to set of str
        Addresses of single endpoints to which new connections get no answer, by the host's name.
    tunnels_opened : int
        Connections between hosts opened so far.
    """

    def __init__(self) -> None:
        self.faults: dict[str, PathFault] = {}
        self.unreachable_from: dict[str, set[str]] = {}
        self.tunnels_opened = 0
        self._handlers: dict[str, tuple[Callable[[Pipe], Awaitable[None]], trio.Nursery]] = {}

    async def serve(self, handler: Callable[[Pipe], Awaitable[None]], address: str) -> None:
        """Serve connections of other hosts until cancelled, as when the host is killed."""
        async with trio.open_nursery() as nursery:
            self._handlers[address] = (handler, nursery)
            try:
                await trio.sleep_forever()
            finally:
                del self._handlers[address]

    async def connect_host(self, address: str, settings: ConnectionSettings) -> Pipe:
        """Open a connection to another host; raises ConnectError if it does not run."""
        if address not in self._handlers:
            raise ConnectError(f"connect {address}: refused")
        handler, nursery = self._handlers[address]
        self.tunnels_opened += 1
        near, far = trio.testing.memory_stream_pair()
        nursery.start_soon(handler, MemoryPipe(far))
        return MemoryPipe(near)

    def connect_from(self, host: str, connect: Connect) -> Connect:
        """Return a function that opens connections from a host to endpoints."""

        async def connect_or_fail(address: str, settings: ConnectionSettings) -> Pipe:
            fault = self.faults.get(host)
            if address in self.unreachable_from.get(host, ()):
                fault = PathFault.SILENT
            match fault:
                case PathFault.SILENT:
                    await trio.sleep(settings.connect_timeout_s)
                    raise ConnectError(f"connect {address}: no answer", True)
                case PathFault.RESET | PathFault.REFUSED:
                    raise ConnectError(f"connect {address}: refused")
            pipe = await connect(address, settings)
            return _FaultyPipe(pipe, lambda: self.faults.get(host), settings)

        return connect_or_fail


class _FaultyPipe:
    """Connection to an endpoint that fails while the path is lost.

    Bytes that are sent on a silent path arrive when it heals, unless the time limit for their
    acknowledgement has passed before.
    """

    def __init__(
        self,
        pipe: Pipe,
        fault: Callable[[], PathFault | None],
        settings: ConnectionSettings,
    ) -> None:
        self._pipe = pipe
        self._fault = fault
        self._timeout_s = settings.unacknowledged_timeout_s
        self._unsent = b""
        self._unsent_since = float("inf")
        self.close = pipe.close

    async def send_all(self, data: bytes) -> None:
        if not self._is_silent():
            await self._pipe.send_all(data)
            return
        self._unsent += data
        self._unsent_since = min(self._unsent_since, trio.current_time())

    async def receive_some(self, max_bytes: int) -> bytes:
        while True:
            with trio.move_on_after(0.05):
                if self._is_silent():
                    await trio.sleep_forever()
                if self._unsent:
                    data, self._unsent, self._unsent_since = self._unsent, b"", float("inf")
                    await self._pipe.send_all(data)
                data = await self._pipe.receive_some(max_bytes)
                while self._is_silent():
                    with trio.CancelScope(shield=True):
                        await trio.sleep(0.05)
                return data

    def is_readable(self) -> bool:
        return self._fault() is PathFault.RESET or self._pipe.is_readable()

    def _is_silent(self) -> bool:
        fault = self._fault()
        if fault is PathFault.RESET:
            raise trio.BrokenResourceError("reset")
        if (
            fault is PathFault.SILENT
            and trio.current_time() >= self._unsent_since + self._timeout_s
        ):
            raise trio.BrokenResourceError("not acknowledged")
        return fault is PathFault.SILENT
