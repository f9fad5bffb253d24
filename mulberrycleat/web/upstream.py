"""HTTP/1.1 connections to endpoints, with one exchange at a time on each connection.

httpcore's pool is not used here: it hides bytes that follow a complete response on a connection,
and does not report how the connection ended for a response without a length. Both decide whether
a response can be trusted. h11 does the parsing and framing.
"""

from __future__ import annotations

import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

import h11
import trio

from mulberrycleat.core.numbers import parse_count
from mulberrycleat.web.stream import DirectStream

__all__ = [
    "AnswerHead",
    "ConnectError",
    "Connection",
    "ConnectionPool",
    "ConnectionSettings",
    "ExchangeError",
    "Pipe",
    "RawHeaders",
    "SocketPipe",
    "TunnelBrokenError",
    "open_pipe",
]

RECEIVE_BYTES = 65_536
# Maximum size of the status line and headers of a response.
MAX_HEAD_BYTES = 65_536
# Maximum number of headers of a response: each takes many times as much memory as its bytes.
MAX_HEADERS = 256
# Maximum number of informational (1xx) responses before the response itself.
MAX_INFORMATIONAL = 8
# Maximum number of bytes by which head, sizes and extensions of chunks, and trailers may exceed the
# body: a whole head and trailers of the same size.
MAX_FRAMING_BYTES = 2 * MAX_HEAD_BYTES
# Maximum number of chunks that are parsed before other tasks run; they take about a millisecond.
MAX_JOINED_CHUNKS = 64
# Fraction of the endpoint's own idle limit (its keep-alive timeout) after which a connection is not
# reused. The endpoint counts from the time it sent its response, so its close may already be on the
# way when the connection seems to be within the limit.
IDLE_LIMIT_FRACTION = 0.5
# A connection that has carried this many refusals is not reused, which bounds what is remembered.
MAX_REFUSALS = 16
# A larger body is sent by itself rather than copied into one piece with its headers.
MAX_JOINED_BYTES = 16_384
# States of a connection that its peer has reset or ended, as in Linux' TCP_INFO.
TCP_CLOSE, TCP_CLOSE_WAIT = 7, 8
# Value of SO_LINGER: closing discards what has not been sent, and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
RawHeaders = list[tuple[bytes, bytes]]


class ConnectError(Exception):
    """No connection could be opened and nothing was sent; `timed_out` if the attempt timed out."""

    def __init__(self, reason: str, timed_out: bool = False) -> None:
        super().__init__(reason)
        self.timed_out = timed_out


class ExchangeError(Exception):
    """The exchange failed after the request may have been sent.

    `broken` says whether the endpoint ended the connection before the response was complete.
    """

    def __init__(self, reason: str, broken: bool = False) -> None:
        super().__init__(reason)
        self.broken = broken


class TunnelBrokenError(trio.BrokenResourceError):
    """A connection through another host ended, which says nothing about the endpoint."""


class AnswerHead(NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: RawHeaders

    @property
    def framed(self) -> bool:
        """Whether the body has a length or chunks; otherwise it ends with the connection."""
        return any(name in (b"content-length", b"transfer-encoding") for name, _ in self.headers)

    @property
    def media_type(self) -> str:
        """Media type of the body in lower case, without parameters; empty if none is stated."""
        return (self.get(b"content-type") or "").partition(";")[0].strip().lower()

    def get(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        for found, value in self.headers:
            if found == name:
                return value.decode("latin-1")
        return None


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """Time limits of connections to endpoints, and the number of idle ones that are kept.

    Attributes
    ----------
    connect_timeout_s : float
        Longest wait for a connection, in seconds.
    unacknowledged_timeout_s : float
        A connection is closed after sent data stays unacknowledged for this long, in seconds. Sound
        endpoints may be silent for a second or so.
    max_idle_s : float
        A connection is not reused after it was idle for longer than this, in seconds.
    max_idle_count, max_idle_total : int
        Maximum number of idle connections kept to one endpoint, and to all of them.
    """

    connect_timeout_s: float = 0.25
    unacknowledged_timeout_s: float = 2.5
    max_idle_s: float = 4.0
    max_idle_count: int = 8
    max_idle_total: int = 1024


class Pipe(Protocol):
    """Byte stream to and from one endpoint; failures raise trio's ``BrokenResourceError``."""

    async def send_all(self, data: bytes) -> None:
        """Send all of `data`."""
        ...

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes, or empty bytes at the end of the stream."""
        ...

    def is_readable(self) -> bool:
        """Whether bytes, the end of the stream or a reset can be received at once."""
        ...

    def close(self) -> None:
        """Close at once."""
        ...


class SocketPipe:
    """A :class:`Pipe` over a TCP socket.

    Parameters
    ----------
    stream : DirectStream
        The connection.
    resets : bool, optional
        Whether closing resets the connection, so that bytes which have not arrived yet never do.
        Otherwise they may arrive seconds later, when a partition heals.
    """

    def __init__(self, stream: DirectStream, resets: bool = False) -> None:
        self._stream = stream
        self._resets = resets
        # How a send has failed, in words: the frames of an error's traceback keep the body.
        self._send_fault: str | None = None

    async def send_all(self, data: bytes) -> None:
        """Send all of `data`."""
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError as error:
            self._send_fault = str(error)
            raise

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes, or empty bytes at the end of the stream.

        The operating system reports a reset once only: after a send has failed, the bytes that came
        before the reset can still be received, and then an end that nobody has sent.
        """
        data = await self._stream.receive_some(max_bytes)
        if not data and self._send_fault is not None:
            raise trio.BrokenResourceError(f"after a failed send: {self._send_fault}")
        return data

    def is_readable(self) -> bool:
        """Whether bytes, the end of the stream or a reset can be received at once."""
        sock = self._stream.socket
        return sock.fileno() >= 0 and sock.is_readable()

    def has_ended(self) -> bool:
        """Whether the peer has ended or reset the connection, even with bytes unread."""
        info = self._stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)

    def close(self) -> None:
        """Close at once."""
        if self._resets and self._stream.socket.fileno() >= 0:
            self._stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._stream.socket.close()


async def open_pipe(address: str, settings: ConnectionSettings) -> Pipe:
    """Open a TCP connection to ``ip:port``, which is reset when it is closed.

    Raises :class:`ConnectError`.
    """
    host, _, port = address.rpartition(":")
    plain = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    plain.setblocking(False)
    sock = trio.socket.from_stdlib_socket(plain)
    try:
        timeout_ms = round(settings.unacknowledged_timeout_s * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        with trio.fail_after(settings.connect_timeout_s):
            await sock.connect((host, int(port)))
    except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
        sock.close()
        timed_out = isinstance(error, trio.TooSlowError)
        reason = f"connect {address}: {'no answer' if timed_out else error}"
        raise ConnectError(reason, timed_out) from error
    except BaseException:
        sock.close()
        raise
    return SocketPipe(DirectStream(plain), resets=True)


class Connection:
    """One HTTP/1.1 connection to one endpoint.

    Parameters
    ----------
    pipe : Pipe
        The bytes.
    address : str
        ``ip:port`` of the endpoint.
    number : int, optional
        Number of the connection among all that were opened, for log lines.
    """

    def __init__(self, pipe: Pipe, address: str, number: int = 0) -> None:
        self._pipe = pipe
        self._address = address
        self._number = number
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._idle_since = 0.0
        self._idle_limit_s = float("inf")
        self._exchanges = 0
        # Hashes of the ids of requests that were refused here: an id may be as long as a header.
        self._refused: set[int] = set()
        # Of the present response: bytes received, bytes of its body that were returned, whether the
        # parser stopped before the end of what was received, and what follows those bytes.
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_unparsed = False
        self._next: h11.Event | ExchangeError | None = None

    @property
    def address(self) -> str:
        """The endpoint's ``ip:port``."""
        return self._address

    @property
    def number(self) -> int:
        """Number of the connection among all that were opened."""
        return self._number

    @property
    def exchanges(self) -> int:
        """Number of exchanges that have begun on this connection."""
        return self._exchanges

    @property
    def helper(self) -> str:
        """Address of the other host that opened the connection; empty if this host did."""
        return getattr(self._pipe, "helper", "")

    @property
    def reused(self) -> bool:
        """Whether an earlier exchange used this connection."""
        return self._exchanges > 1

    def is_usable(self, now: float, max_idle_s: float) -> bool:
        """Whether an idle connection is within its idle limits, open, and without unread bytes."""
        idle_s = now - self._idle_since
        if idle_s > min(max_idle_s, self._idle_limit_s):
            return False
        return not self._pipe.is_readable()

    def note_refused(self, request_id: str) -> None:
        """Note that the endpoint has stated here that it did not run a request."""
        self._refused.add(hash(request_id))

    def has_refused(self, request_id: str) -> bool:
        """Whether a copy of the request's refusal may arrive here in place of its answer."""
        return hash(request_id) in self._refused

    def has_data(self) -> bool:
        """Whether a part of the answer, its end or a reset can be read at once."""
        return self._is_unparsed or self._next is not None or self._pipe.is_readable()

    async def send(self, method: bytes, target: bytes, headers: RawHeaders, body: bytes) -> None:
        """Send a complete request; raises :class:`ExchangeError`.

        An endpoint may respond before it has read the body, and then reset the connection. The
        response can still be read in this case, so the failure to send the body is not raised.
        """
        self._exchanges += 1
        self._received_bytes = self._body_bytes = 0
        self._is_unparsed, self._next = False, None
        request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        if len(body) <= MAX_JOINED_BYTES:
            parts = [b"".join(parts)]
        try:
            for part in parts:
                if part:
                    await self._pipe.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if not self._pipe.is_readable():
                raise ExchangeError(f"send {self._address}: {error}") from error

    async def read_head(self) -> AnswerHead:
        """Read the status and headers of the response; raises :class:`ExchangeError`."""
        for _ in range(MAX_INFORMATIONAL + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if len(event.headers) > MAX_HEADERS:
                    raise ExchangeError(f"receive {self._address}: more than {MAX_HEADERS} headers")
                self._apply_keep_alive(event)
                return AnswerHead(event.status_code, list(event.headers))
            if not isinstance(event, h11.InformationalResponse):
                raise ExchangeError(f"receive {self._address}: no answer")
        raise ExchangeError(
            f"receive {self._address}: more than {MAX_INFORMATIONAL} informational responses"
        )

    async def read_chunk(self) -> bytes:
        """Return the next part of the body, empty at its end; raises :class:`ExchangeError`.

        Chunks that were received together are joined, as an object for each would take many times
        as much memory as its bytes.
        """
        if self._is_unparsed:
            await trio.lowlevel.checkpoint()
        event, self._next = self._next, None
        if event is None:
            event = await self._next_event()
        if isinstance(event, ExchangeError):
            raise event
        if not isinstance(event, h11.Data):
            return b""
        data = self._join_chunks(event)
        self._body_bytes += len(data)
        self._check_framing()
        return data

    def _join_chunks(self, first: h11.Data) -> bytes:
        """Return a chunk and those after it that were received with it."""
        data = bytearray(first.data)
        self._is_unparsed = False
        for _ in range(MAX_JOINED_CHUNKS):
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._next = ExchangeError(f"receive {self._address}: {error}")
                return bytes(data)
            if event is h11.NEED_DATA:
                return bytes(data)
            if not isinstance(event, h11.Data):
                self._next = event
                return bytes(data)
            data += event.data
        self._is_unparsed = True
        return bytes(data)

    def _check_framing(self) -> None:
        """Raise :class:`ExchangeError` if most of what was received is not part of the body."""
        framing = self._received_bytes - 2 * self._body_bytes
        if framing <= MAX_FRAMING_BYTES:
            return
        if framing - len(self._http.trailing_data[0]) > MAX_FRAMING_BYTES:
            reason = f"more than {MAX_FRAMING_BYTES} bytes of framing beyond those of the body"
            raise ExchangeError(f"receive {self._address}: {reason}")

    def recycle(self, now: float) -> bool:
        """Prepare for another exchange; return False if the connection has to be closed instead.

        A connection through another host is used once, as that host is to decide on each request.
        """
        if self.helper or self._idle_limit_s <= 0 or len(self._refused) >= MAX_REFUSALS:
            return False
        if not self.start_next():
            return False
        self._idle_since = now
        return True

    def start_next(self) -> bool:
        """Prepare for another exchange at once; return False if the connection has to be closed."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        return True

    def close(self) -> None:
        """Close at once."""
        self._pipe.close()

    async def _next_event(self) -> h11.Event:
        ended = False
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._pipe.receive_some(RECEIVE_BYTES)
                ended = not data
                self._received_bytes += len(data)
                self._http.receive_data(bytes(data))
        except (h11.RemoteProtocolError, trio.BrokenResourceError, trio.ClosedResourceError) as e:
            broken = ended or (
                isinstance(e, trio.BrokenResourceError) and not isinstance(e, TunnelBrokenError)
            )
            reason = f"receive {self._address}: {e or type(e).__name__}"
            raise ExchangeError(reason, broken) from e

    def _apply_keep_alive(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"keep-alive":
                for part in value.decode("latin-1").split(","):
                    key, _, seconds = part.strip().partition("=")
                    limit_s = parse_count(seconds) if key.lower() == "timeout" else None
                    if limit_s is not None:
                        self._idle_limit_s = limit_s * IDLE_LIMIT_FRACTION


class ConnectionPool:
    """Pool of idle connections to endpoints; the most recently used one is reused first.

    Parameters
    ----------
    settings : ConnectionSettings, optional
        Limits of the connections.
    connect : callable, optional
        Opens a pipe to an address, within the limits of the settings.
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

    def apply_settings(self, settings: ConnectionSettings) -> None:
        """Use other settings from now on."""
        self._settings = settings

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return sum(len(found) for found in self._idle.values())

    async def acquire(
        self, address: str, max_idle_s: float = float("inf"), request_id: str = ""
    ) -> Connection:
        """Return an idle or a new connection; raises :class:`ConnectError` if none can be opened.

        Parameters
        ----------
        address : str
            ``ip:port`` of the endpoint.
        max_idle_s : float
            An idle connection is reused only if it was idle for at most this long, in seconds.
        request_id : str
            Id of the request that is to be sent. A connection that has carried its refusal is not
            reused for it: an endpoint may send the refusal once more, and the id does not tell
            the copy from the answer.
        """
        connection = self._take_idle(address, max_idle_s, request_id)
        return connection if connection is not None else await self.open(address)

    async def open(self, address: str) -> Connection:
        """Return a new connection; raises :class:`ConnectError` if none can be opened."""
        pipe = await self._connect(address, self._settings)
        self._opened += 1
        return Connection(pipe, address, self._opened)

    def _take_idle(self, address: str, max_idle_s: float, request_id: str) -> Connection | None:
        now = trio.current_time()
        max_idle_s = min(self._settings.max_idle_s, max_idle_s)
        idle = self._idle.get(address, deque())
        passed_over: list[Connection] = []
        found = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_usable(now, max_idle_s):
                connection.close()
            elif connection.has_refused(request_id):
                passed_over.append(connection)
            else:
                found = connection
        idle.extend(reversed(passed_over))
        return found

    def put_back(self, connection: Connection) -> None:
        """Put a connection back after its exchange; close it if it can't be reused."""
        if not connection.recycle(trio.current_time()):
            connection.close()
            return
        idle = self._idle.setdefault(connection.address, deque())
        idle.append(connection)
        if len(idle) > self._settings.max_idle_count or self.idle > self._settings.max_idle_total:
            idle.popleft().close()

    def drop(self, address: str) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_unusable(self, addresses: Iterable[str]) -> None:
        """Close idle connections that can't be reused or whose address is not in `addresses`."""
        now, known = trio.current_time(), set(addresses)
        for address, idle in list(self._idle.items()):
            kept = deque()
            for connection in idle:
                if address in known and connection.is_usable(now, self._settings.max_idle_s):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
