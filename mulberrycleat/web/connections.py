"""Connections of callers: hypercorn's HTTP protocol over one TCP connection, and counts of them.

hypercorn's own ``TCPServer`` closes an idle connection from a task beside the one that reads. When
the event loop is late, both become runnable in one pass: a request is then read and run, and its
answer is written to a closed connection. Here the task that reads also decides on the close.
"""

from __future__ import annotations

import logging
import math
import socket
import struct
from collections import Counter
from contextlib import suppress
from enum import Enum
from typing import Protocol

import h11
import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState
from hypercorn.utils import parse_socket_addr

from mulberrycleat.core.logs import exception_origin
from mulberrycleat.web.request_parser import BoundedParser
from mulberrycleat.web.stream import DirectStream

__all__ = ["CallerConnection", "CloseReason", "ConnectionCounts", "ServerConfig"]

log = logging.getLogger(__name__)

# Most bytes that are received, and then parsed, before other tasks run. Each connection keeps them
# several times for a moment, so that many bodies at once take a multiple of this per caller.
RECEIVE_BYTES = 16_384
# Failures of the connection.
STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)
# Time for the rest of a request head of which bytes have been received when the connection was to
# be closed, in seconds. It covers the retransmission of a lost packet.
HEAD_REST_S = 1.0
# Interval between log lines about connections that are closed to make room, in seconds.
ROOM_LOG_INTERVAL_S = 1.0
# A connection that the server ends is read for up to this time, in seconds, for the caller to close
# it: closing a socket with unread data resets the connection, and an answer that is still on its
# way is lost. It covers a round trip and the retransmission of a lost packet.
LINGER_S = 1.0
# Measured memory of an open connection, and of a request that is being received or answered besides
# its fields, in bytes.
CONNECTION_BYTES = 12_000
REQUEST_BYTES = 14_000
# Measured memory of a header field with a short name and value, in bytes.
FIELD_BYTES = 270
# Factor from the bytes of a head that is not complete, or of an answer that is being sent, to the
# memory that they take: a head was measured; an answer is kept by the endpoint's side as well.
COPIES = 2
# An answer of which nothing has been taken for this time may be closed to make room, in seconds:
# several retransmissions of a lost packet.
UNREAD_STALL_S = 1.0
# Time limit for a caller to take a part of an answer, in seconds, besides the time that it takes at
# the lowest rate, in bytes per second.
UNREAD_TIMEOUT_S = 15.0
MIN_READ_RATE = 1024
# Value of SO_LINGER: closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CloseReason(Enum):
    """Why the connection of a caller ended."""

    # It had no request for the idle timeout.
    IDLE = "idle"
    # The server stops.
    STOP = "stop"
    # The caller ended it.
    CALLER = "caller"
    # The answer was the last on it, or the request was no HTTP.
    PROTOCOL = "protocol"
    # Sending or receiving failed.
    ERROR = "error"
    # Others needed its room, and it had made the least progress with the most held.
    ROOM = "room"
    # The caller did not take an answer in time.
    UNREAD = "unread"


class Budget(Protocol):
    """Bounds what the connections of one server hold; see ``entry.kept_bytes``."""

    def add(self, holder: CallerConnection, now: float) -> None:
        """Count a new connection."""

    def change(self, difference: int, now: float) -> None:
        """Count what a connection holds more, or less, than before."""

    def remove(self, holder: CallerConnection) -> None:
        """Count a connection no longer."""


class ConnectionCounts:
    """Counts of the connections of one server since its start."""

    def __init__(self) -> None:
        self._accepted = 0
        self._closed: Counter[CloseReason] = Counter()
        self._unsent_answers = 0
        self._given_up = 0
        self._refused_heads = 0

    @property
    def refused_heads(self) -> int:
        """Number of requests that were refused for the number of their header fields."""
        return self._refused_heads

    @property
    def given_up(self) -> int:
        """Number of requests whose callers had gone before they were read."""
        return self._given_up

    @property
    def accepted(self) -> int:
        """Number of accepted connections."""
        return self._accepted

    @property
    def open(self) -> int:
        """Number of open connections."""
        return self._accepted - self._closed.total()

    @property
    def closed(self) -> dict[CloseReason, int]:
        """Number of closed connections, by reason."""
        return {reason: self._closed[reason] for reason in CloseReason}

    @property
    def unsent_answers(self) -> int:
        """Number of answers that the application wrote, in part at least, without being sent."""
        return self._unsent_answers

    def count_accepted(self) -> None:
        """Count a connection that has been accepted."""
        self._accepted += 1

    def count_closed(self, reason: CloseReason) -> None:
        """Count a connection that has been closed."""
        self._closed[reason] += 1

    def count_given_up(self) -> None:
        """Count a request that was dropped unread, as its caller had gone."""
        self._given_up += 1

    def count_refused_head(self) -> None:
        """Count a request that was refused for the number of its header fields."""
        self._refused_heads += 1

    def count_unsent_answer(self) -> None:
        """Count an answer of which a part could not be sent."""
        self._unsent_answers += 1


class ServerConfig(Config):
    """Hypercorn's settings of one server, and the counts of its connections.

    Attributes
    ----------
    max_fields : int or None
        Most header fields of a request; None for any number.
    budget : Budget or None
        Bounds what the connections hold; None for no bound.
    """

    def __init__(self) -> None:
        super().__init__()
        self.max_fields: int | None = None
        self.budget: Budget | None = None
        self._closed_for_room = 0
        self._room_logged_at = -math.inf
        self._counts = ConnectionCounts()

    @property
    def counts(self) -> ConnectionCounts:
        """Counts of the connections that are served with these settings."""
        return self._counts

    def note_closed_for_room(self, holder: CallerConnection, stalled_s: float) -> None:
        """Log, once in a while, that connections are closed to make room."""
        self._closed_for_room += 1
        now = trio.current_time()
        if now >= self._room_logged_at + ROOM_LOG_INTERVAL_S:
            fields = {
                "closed": self._closed_for_room,
                "held": holder.held,
                "stalled_s": round(stalled_s, 2),
            }
            log.warning("connections closed for room", extra=fields)
            self._room_logged_at, self._closed_for_room = now, 0


class Http1Protocol(H11Protocol):
    """HTTP/1.1, whatever other protocol a caller asks for.

    hypercorn goes over to HTTP/2 and to WebSocket, of which the bounds of connections know nothing:
    a connection may then have any number of requests. A request for an upgrade is answered in
    HTTP/1.1, as the protocol allows.
    """

    async def _check_protocol(self, event: h11.Request) -> None:
        """Go over to no other protocol; called by hypercorn."""

    async def _create_stream(self, request: h11.Request) -> None:
        """Hand a request to the application, without what it asks to upgrade to."""
        headers = [pair for pair in request.headers.raw_items() if pair[0].lower() != b"upgrade"]
        if len(headers) < len(request.headers):
            request = h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
                http_version=request.http_version,
            )
        await super()._create_stream(request)


class CallerConnection:
    """One connection of a caller.

    While no request is being served, the wait for data has a deadline. When it is reached, what has
    arrived is read first; only a connection without a request then is closed, and nothing that is
    received later is passed on.

    Parameters
    ----------
    app : callable
        Application, in hypercorn's wrapper.
    config : ServerConfig
        Settings and counts of the server.
    context : WorkerContext
        Hypercorn's state of the server.
    state : ConnectionState
        Lifespan state of the application.
    stream : DirectStream
        The connection.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: ServerConfig,
        context: WorkerContext,
        state: ConnectionState,
        stream: DirectStream,
    ) -> None:
        self._app = app
        self._config = config
        self._context = context
        self._state = state
        self._stream = stream
        self._protocol: Http1Protocol | None = None
        self._send_lock = trio.Lock()
        self._reason: CloseReason | None = None
        self._unsent = False
        # Since when no request is served; None while one is.
        self._idle_since: float | None = None
        self._close_at = math.inf
        self._head_begun = False
        self._head_extended = False
        self._stopping = False
        self._closing = False
        self._serving = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._held = CONNECTION_BYTES
        self._progress_at = 0.0
        self._sending: trio.CancelScope | None = None
        self._needs_room = False

    @property
    def held(self) -> int:
        """Bytes of memory that the host holds for the connection, besides a body."""
        return self._held

    def stalled_s(self, now: float) -> float | None:
        """Time without progress in seconds; None if the connection must not be closed for room.

        Of a head, the whole time counts since the last request: a head of any size that is sent
        with pauses holds the connection as long as one that is never completed.
        """
        if self._idle_since is not None:
            return now - self._idle_since
        if self._sending is not None:
            stalled_s = now - self._progress_at
            return stalled_s if stalled_s >= UNREAD_STALL_S else None
        connection = getattr(self._protocol, "connection", None)
        if getattr(connection, "their_state", None) is h11.SEND_BODY:
            return now - self._progress_at
        return None

    def close_for_room(self) -> None:
        """Close the connection, whose request has not been run or whose answer is not read."""
        now = trio.current_time()
        self._config.note_closed_for_room(self, self.stalled_s(now) or 0.0)
        self._needs_room = True
        self._note_reason(CloseReason.ROOM)
        if self._sending is not None:
            self._sending.cancel()
        else:
            self._set_close_time(-math.inf)

    def stop(self) -> None:
        """Close the connection as soon as no request is being served."""
        self._stopping = True
        if self._idle_since is not None:
            self._set_close_time(trio.current_time())

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        sock = self._stream.socket
        try:
            client = parse_socket_addr(sock.family, sock.getpeername())
            server = parse_socket_addr(sock.family, sock.getsockname())
            async with TaskGroup() as tasks:
                self._protocol = Http1Protocol(
                    self._app,
                    self._config,
                    self._context,
                    tasks,
                    self._state,
                    False,
                    client,
                    server,
                    self._carry_out,
                )
                await self._protocol.initiate()
                self._protocol.connection = BoundedParser(
                    self._config.h11_max_incomplete_size,
                    self._config.max_fields,
                    self._config.counts.count_refused_head,
                )
                self._set_idle(True)
                if self._config.budget is not None:
                    self._config.budget.add(self, trio.current_time())
                with self._serving:
                    await self._serve()
                if self._closing and not self._is_answer_cut():
                    await self._linger()
        except OSError:
            # The caller has reset the connection before it was served.
            self._note_reason(CloseReason.ERROR)
        except Exception as error:
            # A failure in one connection must not end the others.
            self._note_reason(CloseReason.ERROR)
            log.warning("connection failed", extra={"why": exception_origin(error)})
        finally:
            if self._is_answer_cut():
                with suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
            if self._config.budget is not None:
                self._config.budget.remove(self)
            self._config.counts.count_closed(self._reason or CloseReason.STOP)

    async def _serve(self) -> None:
        """Pass on what the caller sends until the connection ends or is being closed."""
        while not self._closing:
            data = await self._receive()
            if self._needs_room:
                if not self._is_running():
                    await self._protocol.handle(Closed())
                    return
                self._stay()
            if data and self._idle_since is not None and self._stream.socket.is_readable():
                more = await self._receive()
                if more == b"":
                    await self._drop_request()
                    return
                data += more or b""
            if data is not None:
                self._head_begun = True
                if self._config.budget is not None:
                    self._note_received(len(data))
                await self._protocol.handle(RawData(data))
                if not data:
                    self._note_reason(CloseReason.CALLER)
                    await self._protocol.handle(Closed())
                    return
            if self._is_overdue():
                self._begin_close(CloseReason.STOP if self._stopping else CloseReason.IDLE)

    def _is_running(self) -> bool:
        """Whether a complete request has been received, which may have reached an endpoint."""
        connection = getattr(self._protocol, "connection", None)
        return self._idle_since is None and getattr(connection, "their_state", None) is h11.DONE

    def _stay(self) -> None:
        """Go on, since the request was complete before the connection could be closed."""
        self._needs_room, self._reason = False, None
        self._set_close_time(math.inf)
        self._config.budget.add(self, trio.current_time())

    def _note_received(self, size: int) -> None:
        self._progress_at = trio.current_time()
        if self._idle_since is not None:
            self._hold(COPIES * size)

    def _hold(self, difference: int) -> None:
        """Count memory that the connection holds more, or less, than before."""
        if self._config.budget is not None and not self._needs_room:
            self._held += difference
            self._config.budget.change(difference, trio.current_time())

    def _hold_request(self) -> None:
        """Count the fields of a request that has been read, in place of the bytes of its head."""
        connection = getattr(self._protocol, "connection", None)
        fields = getattr(connection, "fields", 0)
        self._hold(CONNECTION_BYTES + REQUEST_BYTES + FIELD_BYTES * fields - self._held)

    async def _drop_request(self) -> None:
        """End the connection of a caller that has gone before its request was read.

        The request is neither parsed nor begun: on a host that is behind, such requests would
        take the processor time of those whose callers still wait.
        """
        self._note_reason(CloseReason.CALLER)
        self._config.counts.count_given_up()
        await self._protocol.handle(Closed())

    async def _receive(self) -> bytes | None:
        """Return the next bytes, empty at the end; None if there are none when the time is up."""
        try:
            with trio.CancelScope(deadline=self._close_at) as self._reading:
                return bytes(await self._stream.receive_some(RECEIVE_BYTES))
            # The time may be up before the event loop has looked at the socket.
            if self._stream.socket.is_readable():
                return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except STREAM_ERRORS:
            self._note_reason(CloseReason.ERROR)
            return b""
        return None

    def _is_overdue(self) -> bool:
        """Whether the connection is to be closed now; a request head that has begun gets time."""
        now = trio.current_time()
        if now < self._close_at or self._idle_since is None:
            return False
        if self._head_begun and not self._head_extended:
            self._head_extended = True
            self._close_at = now + HEAD_REST_S
        elif not self._head_begun and not self._stopping:
            # The timeout may have been raised since the connection became idle.
            self._close_at = self._idle_since + self._config.keep_alive_timeout
        return now >= self._close_at

    def _set_idle(self, idle: bool) -> None:
        now = trio.current_time()
        self._idle_since = now if idle else None
        self._head_begun = self._head_extended = False
        if not idle:
            self._set_close_time(math.inf)
        else:
            self._set_close_time(now if self._stopping else now + self._config.keep_alive_timeout)

    def _set_close_time(self, close_at: float) -> None:
        self._close_at = self._reading.deadline = close_at

    def _begin_close(self, reason: CloseReason) -> None:
        """End the connection on this side, and pass on nothing that is received from now on."""
        self._closing = True
        self._note_reason(reason)
        if self._is_answer_cut():
            return
        with suppress(OSError):  # The caller has reset the connection.
            self._stream.socket.shutdown(socket.SHUT_WR)

    def _is_answer_cut(self) -> bool:
        """Whether an orderly end would complete an answer that is not complete.

        Callers of HTTP/1.0 know no chunks: an answer without a length ends with the connection.
        """
        connection = getattr(self._protocol, "connection", None)
        return (
            isinstance(connection, h11.Connection)
            and connection.our_state is h11.SEND_BODY
            and connection.their_http_version == b"1.0"
        )

    async def _linger(self) -> None:
        """Discard what the caller still sends until it closes the connection."""
        with trio.move_on_after(LINGER_S), suppress(*STREAM_ERRORS):
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass
        # Wakes a task that sends to a caller that does not read.
        self._stream.socket.close()

    async def _carry_out(self, event: Event) -> None:
        """Carry out what the protocol asks for: send, close, or note whether it is idle."""
        match event:
            case RawData(data=data):
                await self._send(data)
            case Updated(idle=idle):
                self._set_idle(idle)
                if not idle:
                    self._hold_request()
                else:
                    self._hold(CONNECTION_BYTES - self._held)
            case Closed():
                self._begin_close(CloseReason.PROTOCOL)
                await self._protocol.handle(Closed())
                self._serving.cancel()

    async def _send(self, data: bytes) -> None:
        if not data:
            return
        try:
            sent = 0 if self._send_lock.locked() else self._stream.send_now(data)
            if sent < len(data):
                async with self._send_lock:
                    await self._send_rest(memoryview(data)[sent:])
        except STREAM_ERRORS:
            self._note_unsent()
            await self._protocol.handle(Closed())
            # The task that reads may wait for the end of the answer.
            self._serving.cancel()
            # The application learns of it in another task, before it sends more.
            await trio.lowlevel.cancel_shielded_checkpoint()

    async def _send_rest(self, data: memoryview) -> None:
        """Send data that the system does not take at once."""
        if self._config.budget is None:
            with trio.CancelScope(shield=True):
                await self._stream.send_all(data)
        else:
            await self._send_in_time(data)

    async def _send_in_time(self, data: memoryview) -> None:
        """Send data that the caller has to take in time; raises :class:`trio.BrokenResourceError`.

        The socket is closed if it does not, so that nothing waits for it any longer.
        """
        self._progress_at = trio.current_time()
        limit_s = UNREAD_TIMEOUT_S + len(data) / MIN_READ_RATE
        self._hold(COPIES * len(data))
        try:
            with trio.CancelScope(shield=True, deadline=self._progress_at + limit_s) as sending:
                self._sending = sending
                await self._stream.send_all(data)
        finally:
            self._sending = None
            self._hold(-COPIES * len(data))
        if sending.cancelled_caught:
            self._note_reason(CloseReason.UNREAD)
            with suppress(OSError):
                self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._stream.socket.close()
            raise trio.BrokenResourceError("the caller does not read")

    def _note_unsent(self) -> None:
        self._note_reason(CloseReason.ERROR)
        if not self._unsent:
            self._unsent = True
            self._config.counts.count_unsent_answer()
            log.warning("answer not sent", extra={"closed": self._reason.value})

    def _note_reason(self, reason: CloseReason) -> None:
        self._reason = self._reason or reason
