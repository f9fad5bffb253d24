"""HTTP client on top of httpcore.

Calls with complete responses return results instead of raising exceptions; ``stream`` raises.
A :class:`~mulberrycleat.core.PeerError` states whether any byte of the request may have been sent:
``sent`` is False only for failures to connect.
"""

from __future__ import annotations

import math
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.core.numbers import parse_seconds

__all__ = [
    "HTTPCORE_ERRORS",
    "Arrival",
    "BaseHttpClient",
    "HttpAnswer",
    "HttpClient",
    "StreamedAnswer",
    "peer_error",
]

# Maximum size of a response that is read into memory, in bytes. The largest are pages of the
# platform's store and route maps, of a few megabytes.
MAX_ANSWER_BYTES = 16 * 2**20
# An idle connection is closed after this time, in seconds.
KEEP_ALIVE_S = 15.0
# Failures before any byte of the request was sent.
CONNECT_FAILURES = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
)
# Exceptions of httpcore for a failed exchange.
HTTPCORE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    httpcore.ConnectionNotAvailable,
)


class HttpAnswer(NamedTuple):
    """A complete HTTP response held in memory."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed body; raises ``msgspec.DecodeError`` when it is not JSON."""
        return msgspec.json.decode(self.body)


class StreamedAnswer(NamedTuple):
    """Status and headers of a response, and its body as chunks that are still to be read."""

    status: int
    headers: dict[str, str]
    chunks: AsyncIterator[bytes]

    @property
    def media_type(self) -> str:
        """Media type of the body in lower case, without parameters; empty if none is stated."""
        return self.headers.get("content-type", "").partition(";")[0].strip().lower()


@dataclass(slots=True, eq=False)
class Arrival:
    """What has arrived of a response so far; the status is 0 before its head is complete.

    `on_head` is called as soon as it is.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    on_head: Callable[[], None] = lambda: None


class _Stream(httpcore.AsyncNetworkStream):
    """Connection on which no orderly end follows a failed send.

    httpcore reads the answer after a failed send, as an endpoint may answer before it has read the
    request. The operating system reports a reset once only: the reader gets what came before it,
    and then an end that nobody has sent and that would complete a body without a length.
    """

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        # How a send has failed, in words: the frames of an error's traceback keep the body.
        self._send_fault: str | None = None

    async def read(self, max_bytes: int, *limit: Any, **limits: Any) -> bytes:
        """Return the next bytes, or empty bytes at the end of the stream."""
        data = await self._inner.read(max_bytes, *limit, **limits)
        if not data and self._send_fault is not None:
            raise httpcore.ReadError(f"after a failed send: {self._send_fault}")
        return data

    async def write(self, buffer: bytes, *limit: Any, **limits: Any) -> None:
        """Send all of `buffer`."""
        try:
            await self._inner.write(buffer, *limit, **limits)
        except httpcore.WriteError as error:
            self._send_fault = str(error)
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what httpcore asks of the connection, such as whether it is readable."""
        return self._inner.get_extra_info(info)


class _Backend(httpcore.TrioBackend):
    """Opens the connections of the clients."""

    async def connect_tcp(self, *arguments: Any, **options: Any) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        return _Stream(await super().connect_tcp(*arguments, **options))


class _Connection(httpcore.AsyncHTTPConnection):
    """Connection that is not used again once bytes have followed a complete answer.

    They belong to no request, but h11 keeps those that came with the end of an answer and takes
    them for the begin of the next one. httpcore sees only those that are still in the socket.
    """

    def has_expired(self) -> bool:
        """Whether the pool is to close the connection, if it is idle."""
        return super().has_expired() or (self.is_idle() and self._has_surplus())

    def _has_surplus(self) -> bool:
        # No public interface of httpcore tells.
        state = getattr(self._connection, "_h11_state", None)
        return state is not None and bool(state.trailing_data[0])


class _Pool(httpcore.AsyncConnectionPool):
    """Connections to one peer.

    Parameters
    ----------
    max_connections : int
        Maximum number of connections.
    socket_options : list of tuple
        Options of the connections' sockets.
    """

    def __init__(self, max_connections: int, socket_options: list[tuple[int, int, int]]) -> None:
        super().__init__(
            max_connections=max_connections, max_keepalive_connections=max_connections // 4
        )
        self._options = socket_options
        self._backend = _Backend()

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        """Return a new connection; called by httpcore."""
        return _Connection(
            origin,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=self._backend,
            socket_options=self._options,
        )


class BaseHttpClient:
    """Base class of HTTP clients; the calls use :meth:`stream`, which subclasses implement."""

    async def aclose(self) -> None:
        """Close every connection."""

    def stream(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> AbstractAsyncContextManager[StreamedAnswer]:
        """Send a request and yield its response with the body as chunks; raises httpcore's errors.

        Parameters
        ----------
        timeout_s : float
            Longest wait for each read, in seconds.
        """
        raise NotImplementedError

    async def request(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
        step: Step = Step.CALL,
        total_timeout_s: float = math.inf,
        max_bytes: int = MAX_ANSWER_BYTES,
        head_timeout_s: float = math.inf,
        stall_timeout_s: float = math.inf,
        arrival: Arrival | None = None,
    ) -> Result[HttpAnswer, PeerError]:
        """Send a request and read the complete response.

        A response that keeps arriving may take longer than one that has not begun: the first may
        be limited by `head_timeout_s` and `stall_timeout_s`, and more generously by
        `total_timeout_s`, which ends one that arrives byte by byte.

        Parameters
        ----------
        timeout_s : float
            Longest wait for each read, in seconds.
        total_timeout_s : float
            Time limit of the complete exchange, in seconds.
        max_bytes : int
            Maximum size of the body; a larger one is an error.
        head_timeout_s : float
            Time limit from the request to the complete head of the response, in seconds.
        stall_timeout_s : float
            Longest time without any byte of the body, in seconds.
        arrival : Arrival, optional
            Is given the response as it arrives.
        """
        arrival = Arrival() if arrival is None else arrival
        try:
            with trio.fail_after(total_timeout_s):
                async with AsyncExitStack() as stack:
                    with trio.move_on_after(head_timeout_s) as scope:
                        answer = await stack.enter_async_context(
                            self.stream(method, url, body, headers, timeout_s)
                        )
                    if scope.cancelled_caught:
                        reason = f"no answer within {head_timeout_s:g} s"
                        return Err(PeerError(step, _host(url), reason))
                    arrival.status, arrival.headers = answer.status, answer.headers
                    arrival.on_head()
                    read = await _read_all(
                        answer.chunks, arrival.body, step, url, max_bytes, stall_timeout_s
                    )
                    return read.map(lambda data: HttpAnswer(answer.status, answer.headers, data))
        except trio.TooSlowError:
            return Err(
                PeerError(step, _host(url), f"no complete answer within {total_timeout_s:g} s")
            )
        except HTTPCORE_ERRORS as error:
            return Err(peer_error(error, step, url))

    async def send_json(
        self,
        method: str,
        url: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
        step: Step = Step.CALL,
    ) -> Result[Any, PeerError]:
        """Send `value` as JSON and return the parsed response; status 400 and above is an error."""
        body = b"" if value is None else msgspec.json.encode(value)
        merged = {"content-type": "application/json", **(headers or {})}
        match await self.request(method, url, body, merged, timeout_s, step):
            case Ok(answer) if answer.status < 400:
                return _decode_json(answer, step, url)
            case Ok(answer):
                return Err(_status_error(answer, step, url))
            case Err(error):
                return Err(error)


class HttpClient(BaseHttpClient):
    """HTTP client that keeps connections to peers open between requests.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a connection, in seconds.
    max_connections : int
        Maximum number of connections to one peer.
    unacknowledged_timeout_s : float
        A connection is closed after sent data stays unacknowledged for this long, in seconds; 0
        means the default of the operating system.
    """

    def __init__(
        self,
        connect_timeout_s: float = 1.0,
        max_connections: int = 1000,
        unacknowledged_timeout_s: float = 0.0,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._max_connections = max_connections
        timeout_ms = round(unacknowledged_timeout_s * 1000)
        self._socket_options = [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)]
        self._pools: dict[str, _Pool] = {}

    async def aclose(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            await pool.aclose()

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> AsyncIterator[StreamedAnswer]:
        """Send a request and yield its response with the body as chunks; raises httpcore's errors.

        Leaving the block before the last chunk closes the connection, so that no later request
        receives the rest of this response. `timeout_s` limits each write and each read. The head
        has to be complete within twice that time, as an informational response restarts the read.
        """
        timeout = {
            "connect": self._connect_timeout_s,
            "read": timeout_s,
            "write": timeout_s,
            "pool": self._connect_timeout_s,
        }
        try:
            httpcore.Request(method, url, headers=_header_pairs(headers))
        except (ValueError, TypeError) as error:
            raise httpcore.UnsupportedProtocol(f"no request: {error}") from error
        exchange = self._pool(_host(url)).stream(
            method,
            url,
            headers=_header_pairs(headers),
            content=body,
            extensions={"timeout": timeout},
        )
        async with AsyncExitStack() as stack:
            with trio.move_on_after(2 * (self._connect_timeout_s + timeout_s)) as scope:
                response = await stack.enter_async_context(exchange)
            if scope.cancelled_caught:
                raise httpcore.ReadTimeout("no complete head in time")
            found = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            yield StreamedAnswer(response.status, found, response.aiter_stream())

    def _pool(self, host: str) -> _Pool:
        """Return the connection pool of one peer.

        Each peer has its own pool, since the time for a look-up in a pool grows with the square of
        its size.
        """
        if host not in self._pools:
            self._pools[host] = _Pool(self._max_connections, self._socket_options)
        return self._pools[host]


async def _read_all(
    chunks: AsyncIterator[bytes],
    data: bytearray,
    step: Step,
    url: str,
    max_bytes: int,
    stall_timeout_s: float,
) -> Result[bytes, PeerError]:
    """Read all chunks into `data`, which is one object as small chunks would take more memory."""
    chunks = aiter(chunks)
    while True:
        # Each chunk has a scope of its own: one that is read by a late event loop, at the same time
        # as its deadline passes, still counts.
        with trio.move_on_after(stall_timeout_s) as scope:
            chunk = await anext(chunks, None)
        if scope.cancelled_caught:
            reason = f"no further bytes for {stall_timeout_s:g} s after {len(data)}"
            return Err(PeerError(step, _host(url), reason))
        if chunk is None:
            return Ok(bytes(data))
        data += chunk
        if len(data) > max_bytes:
            reason = f"an answer of more than {max_bytes} bytes"
            return Err(PeerError(step, _host(url), reason))


def peer_error(error: Exception, step: Step, url: str) -> PeerError:
    """Convert an exception of httpcore to a :class:`PeerError`."""
    reason = f"{type(error).__name__}: {error}".rstrip(": ")
    return PeerError(step, _host(url), reason, sent=not isinstance(error, CONNECT_FAILURES))


def _header_pairs(headers: dict[str, str] | None) -> list[tuple[str, str]]:
    return list((headers or {}).items())


def _decode_json(answer: HttpAnswer, step: Step, url: str) -> Result[Any, PeerError]:
    if not answer.body:
        return Ok(None)
    try:
        return Ok(answer.json())
    except msgspec.DecodeError as error:
        return Err(PeerError(step, _host(url), f"answer is not JSON: {error}"))


def _status_error(answer: HttpAnswer, step: Step, url: str) -> PeerError:
    text = answer.body[:200].decode("utf-8", "replace")
    retry = answer.headers.get("retry-after", "")
    after_s = parse_seconds(retry)
    return PeerError(step, _host(url), f"HTTP {answer.status}: {text}", retry_after_s=after_s)


def _host(url: str) -> str:
    return url.split("/")[2] if "//" in url else url
