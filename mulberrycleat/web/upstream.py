"""HTTP/1.1 towards endpoints, one exchange at a time on a connection.

httpcore's pool hides what follows a complete answer on a connection and does not tell how a
connection without a length ended, and both decide here whether an answer can be trusted. Parsing
and framing are h11's.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import h11
import trio

__all__ = [
    "AnswerHead",
    "ConnectError",
    "Connection",
    "ConnectionPool",
    "ConnectionSettings",
    "ExchangeError",
    "Pipe",
    "RawHeaders",
    "open_pipe",
]

RECEIVE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Part of an endpoint's own idle limit after which a connection is not used again; the endpoint
# counts from when it sent its answer, so that its close may already be on its way.
IDLE_SHARE = 0.5
RawHeaders = list[tuple[bytes, bytes]]


class ConnectError(Exception):
    """No connection could be opened; nothing was sent. `silent` when there was no answer at all."""

    def __init__(self, reason: str, silent: bool = False) -> None:
        super().__init__(reason)
        self.silent = silent


class ExchangeError(Exception):
    """The exchange broke off after the request may have left."""


class AnswerHead(NamedTuple):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: RawHeaders

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        for found, value in self.headers:
            if found == name:
                return value.decode("latin-1")
        return None


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Bounds of connections to endpoints.

    Attributes
    ----------
    connect_timeout_s : float
        Longest wait for a connection, in seconds.
    silence_timeout_s : float
        A connection is given up when sent data is not acknowledged for so long, in seconds.
    keep_idle_s : float
        A connection is not used again after it was idle for so long, in seconds.
    keep_idle_count : int
        Idle connections that are kept to one endpoint.
    """

    connect_timeout_s: float = 0.25
    silence_timeout_s: float = 1.0
    keep_idle_s: float = 4.0
    keep_idle_count: int = 8


class Pipe(Protocol):
    """Bytes to and from one endpoint; failures are trio's ``BrokenResourceError``."""

    async def send_all(self, data: bytes) -> None:
        """Send all of `data`."""
        ...

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes, empty at the end."""
        ...

    def is_readable(self) -> bool:
        """Whether bytes, the end or a reset have come."""
        ...

    def close(self) -> None:
        """Close at once."""
        ...


class SocketPipe:
    """A pipe over TCP."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.send_all = stream.send_all
        self.receive_some = stream.receive_some

    def is_readable(self) -> bool:
        """Whether bytes, the end or a reset have come."""
        return self._stream.socket.is_readable()

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()


async def open_pipe(address: str, settings: ConnectionSettings) -> Pipe:
    """Connect to ``ip:port``; raises :class:`ConnectError`."""
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        timeout_ms = round(settings.silence_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        with trio.fail_after(settings.connect_timeout_s):
            await sock.connect((host, int(port)))
    except (OSError, ValueError, trio.TooSlowError) as error:
        sock.close()
        silent = isinstance(error, trio.TooSlowError)
        reason = f"connect {address}: {'no answer' if silent else error}"
        raise ConnectError(reason, silent) from error
    except BaseException:
        sock.close()
        raise
    return SocketPipe(trio.SocketStream(sock))


class Connection:
    """One connection to one endpoint."""

    def __init__(self, pipe: Pipe, address: str) -> None:
        self._pipe = pipe
        self._address = address
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._idle_since = 0.0
        self._idle_limit_s = float("inf")
        self._exchanges = 0

    @property
    def address(self) -> str:
        """The endpoint's ``ip:port``."""
        return self._address

    @property
    def reused(self) -> bool:
        """Whether an earlier exchange used this connection."""
        return self._exchanges > 1

    def is_usable(self, now: float, keep_idle_s: float) -> bool:
        """Whether an idle connection is neither too old, nor closed, nor has unasked bytes."""
        idle_s = now - self._idle_since
        if idle_s > min(keep_idle_s, self._idle_limit_s):
            return False
        return not self._pipe.is_readable()

    async def send(self, method: bytes, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a whole request; raises :class:`ExchangeError`.

        An endpoint may answer before it has read the body and reset the connection; the answer can
        then still be read, so that a failure to send the body is not raised.
        """
        self._exchanges += 1
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        try:
            await self._pipe.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if not self._pipe.is_readable():
                raise ExchangeError(f"send {self._address}: {error}") from error

    async def head(self) -> AnswerHead:
        """Return the head of the answer; raises :class:`ExchangeError`."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._note_keep_alive(event)
                return AnswerHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeError(f"{self._address}: no answer")

    async def chunk(self) -> bytes:
        """Return the next part of the body, empty at its end; raises :class:`ExchangeError`."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        return b""

    def recycle(self, now: float) -> bool:
        """Make ready for another exchange; False when the connection has to be closed."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or self._http.trailing_data[0] or self._idle_limit_s <= 0:
            return False
        self._http.start_next_cycle()
        self._idle_since = now
        return True

    def close(self) -> None:
        """Close at once."""
        self._pipe.close()

    async def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._pipe.receive_some(RECEIVE_BYTES)
                self._http.receive_data(bytes(data))
        except (h11.RemoteProtocolError, trio.BrokenResourceError, trio.ClosedResourceError) as e:
            raise ExchangeError(f"receive {self._address}: {e or type(e).__name__}") from e

    def _note_keep_alive(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"keep-alive":
                for part in value.decode("latin-1").split(","):
                    key, _, seconds = part.strip().partition("=")
                    if key.lower() == "timeout" and seconds.strip().isdigit():
                        self._idle_limit_s = int(seconds) * IDLE_SHARE


class ConnectionPool:
    """Idle connections to endpoints, the most recently used first.

    Parameters
    ----------
    settings : ConnectionSettings, optional
        Bounds.
    connect : callable, optional
        Opens a pipe to an address within these bounds.
    """

    def __init__(
        self,
        settings: ConnectionSettings | None = None,
        connect: Callable[[str, ConnectionSettings], Awaitable[Pipe]] = open_pipe,
    ) -> None:
        self._settings = settings or ConnectionSettings()
        self._connect = connect
        self._idle: dict[str, deque[Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    @property
    def idle(self) -> int:
        """Connections kept open and not in use."""
        return sum(len(found) for found in self._idle.values())

    async def take(self, address: str, max_idle_s: float = float("inf")) -> Connection:
        """Return a connection; raises :class:`ConnectError` when none can be opened.

        Parameters
        ----------
        max_idle_s : float
            A kept connection is used only when it was idle for less than this, in seconds.
        """
        now = trio.current_time()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable(now, min(self._settings.keep_idle_s, max_idle_s)):
                return connection
            connection.close()
        self._opened += 1
        return Connection(await self._connect(address, self._settings), address)

    def give_back(self, connection: Connection) -> None:
        """Keep a connection whose exchange is complete, or close it."""
        if not connection.recycle(trio.current_time()):
            connection.close()
            return
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > self._settings.keep_idle_count:
            idle.popleft().close()

    def sweep(self, addresses: Iterable[str]) -> None:
        """Close connections that can't be used again, and those to other than `addresses`."""
        now, known = trio.current_time(), set(addresses)
        for address, idle in list(self._idle.items()):
            kept = deque()
            for connection in idle:
                if address in known and connection.is_usable(now, self._settings.keep_idle_s):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
