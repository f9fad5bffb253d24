"""In-process stand-ins for the platform's servers, for tests and benchmarks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import h11
import msgspec
import trio
import trio.testing

from mulberrycleat.web.upstream import ConnectError, ConnectionSettings

__all__ = ["MemoryPipe", "RestAnswer", "ServerStandin", "Servers", "serve_connection"]

# Interval between the bytes of a stalled stream, in seconds.
TRICKLE_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class RestAnswer:
    """What a server answers to a request for the rest of a stream, in place of its events.

    Attributes
    ----------
    status : int
        Status of the answer.
    media_type : str
        ``Content-Type``; empty for none.
    body : bytes
        Body, which is sent at once.
    signed : bool
        Whether the answer has the signature of a success.
    chunked : bool
        Whether the body has chunks in place of a length.
    delay_s : float
        Time until the answer begins, in seconds.
    cut_head : bool
        Whether the connection ends in the middle of the answer's head.
    """

    status: int = 200
    media_type: str = "text/event-stream"
    body: bytes = b""
    signed: bool = True
    chunked: bool = False
    delay_s: float = 0.0
    cut_head: bool = False


@dataclass(slots=True)
class ServerStandin:
    """A server with configurable faults that records the requests that it runs.

    It answers a request that is intended for another server with 421.

    Attributes
    ----------
    zone : str
        Availability zone.
    events : int
        Number of events in each stream; 0 for a plain service.
    event_data : str
        Data of each event.
    work_s : float
        Delay before each answer and after each event of a stream, in seconds.
    pauses : dict of int to float
        Further delay before an event, in seconds, by the number of the event.
    rest : RestAnswer or None
        Answer to requests for the rest of a stream; None for the events that follow.
    status : int
        Status of the answers of a plain service.
    declines : bool
        Whether it declines every request with 503 and ``Not-Executed``.
    retry_after : str
        ``Retry-After`` of the requests that it declines, in seconds; empty for none.
    leaving : bool
        Whether all its answers state that it leaves.
    refuses_connections : bool
        Whether connections are refused.
    is_dark : bool
        Whether connections get no answer.
    loses_answers : bool
        Whether a plain service resets the connection instead of sending the answer to a request
        that it has run.
    trickle_after : int or None
        Number of events after which a stream sends single bytes of the next event, one each
        ``TRICKLE_INTERVAL_S``, without ever completing it; None for a sound stream.
    never_answers : bool
        Whether it runs requests without ever answering.
    break_after : int or None
        Number of events after which a stream's connection is reset, in the middle of the next
        event; None for no reset.
    trailing_bytes : bytes
        Bytes sent after each complete answer.
    repeats_answers : bool
        Whether it sends the previous answer of a connection once more, in place of the next one.
    copies_answers : int
        Number of answers that it still sends once more, each before the next one of its connection.
    copies_refusals : bool
        Whether it sends the refusal of a request once more when the request comes again on the
        connection that carried the refusal, and then handles the request.
    answers_early : bool
        Whether it answers a request before it has read the body, which it reads afterwards.
    omits_event_ids : bool
        Whether the events of its streams have no ids.
    body_bytes : int
        Size up to which the body of a plain service's answer is filled.
    break_body_at : int or None
        Number of bytes of a plain service's body after which its connection is reset; None for no
        reset.
    omits_request_id : bool
        Whether its answers do not state which request they belong to.
    limit_per_s : float or None
        Requests a second, from all hosts together, that its answers state as its limit.
    unframed : bool
        Whether its streams have neither a length nor chunks and end with the connection.
    crash_part : str
        Id of a prompt part: the server crashes when it begins the answer to a request with this
        part, unless it is the last one. All its connections end, and it accepts no others.
    crash_target : str
        Path and query of requests that crash the server after `work_s`, before any answer.
    crashed_at : float or None
        When it crashed, in seconds on trio's clock.
    open_streams : list of trio.StapledStream
        Its open connections.
    declined_at : list of float
        When it declined requests, in seconds on trio's clock.
    seen : list of dict
        Headers of each request that it began to run, with the target as ``:target``, the body as
        ``:body``, and the time of arrival on trio's clock as ``:at``.
    running : int
        Number of requests that it is running, which its load reports state.
    waiting : int
        Number of requests that its load reports state as waiting for a slot.
    cold_ms : float
        Time for which its directory entry states that it is still cold, in milliseconds.
    version : str
        Version of its software, which its directory entry states.
    slots : int
        Number of requests that it runs at the same time, as its directory entry states.
    queue : int or None
        Number of requests that may wait for a slot; it declines further ones. None for any number
        of requests that run at the same time.
    born, sequence : int
        Its start in Unix milliseconds, and the number of entries made for it, which they state.
    slowness : int or None
        How long work takes on its machine, in percent of the usual; None if it does not state it.
    brittle : int or None
        Declined requests in a second beyond which it crashes, as its answers state; None if it is
        not brittle.
    crashes_from : float
        Time from which it does, in seconds on trio's clock.
    reports : list of float
        When it was asked for a report, in seconds on trio's clock.
    """

    id: str
    address: str
    service: str
    zone: str = "z-a"
    events: int = 0
    event_data: str = "x"
    work_s: float = 0.02
    pauses: dict[int, float] = field(default_factory=dict)
    rest: RestAnswer | None = None
    status: int = 200
    declines: bool = False
    retry_after: str = ""
    leaving: bool = False
    refuses_connections: bool = False
    is_dark: bool = False
    never_answers: bool = False
    break_after: int | None = None
    loses_answers: bool = False
    trickle_after: int | None = None
    trailing_bytes: bytes = b""
    repeats_answers: bool = False
    copies_answers: int = 0
    copies_refusals: bool = False
    answers_early: bool = False
    omits_event_ids: bool = False
    body_bytes: int = 0
    break_body_at: int | None = None
    omits_request_id: bool = False
    limit_per_s: float | None = None
    unframed: bool = False
    crash_part: str = ""
    crash_target: str = ""
    crashed_at: float | None = None
    open_streams: list[trio.StapledStream] = field(default_factory=list)
    declined_at: list[float] = field(default_factory=list)
    seen: list[dict[str, str]] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    version: str = "v1"
    slots: int = 8
    queue: int | None = None
    born: int = 1_778_000_000_000
    sequence: int = 0
    slowness: int | None = None
    brittle: int | None = None
    cold_ms: float = 0.0
    crashes_from: float = 0.0
    reports: list[float] = field(default_factory=list)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the next directory entry that the server writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "state": state,
            "slots": self.slots,
            "cold_remaining_ms": self.cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def crashes_on(self, headers: dict[str, str]) -> bool:
        """Whether the answer to a request with these headers crashes the server."""
        parts = headers.get("prompt-prefix", "").split(",")[:-1]
        return bool(self.crash_part) and self.crash_part in [p.partition(":")[0] for p in parts]

    def crash(self) -> None:
        """End all connections, and refuse others from now on."""
        self.crashed_at = trio.current_time()
        self.refuses_connections = True
        for stream in self.open_streams:
            stream.send_stream.close()

    def start_again(self, version: str) -> None:
        """Start again under the same id and address, with another version."""
        self.crash()
        self.version, self.event_data = version, version
        self.born += 1
        self.refuses_connections = False

    def fails_by_declining(self) -> bool:
        """Whether a brittle server has declined too many requests in the last second."""
        now = trio.current_time()
        if self.brittle is None or now < self.crashes_from:
            return False
        return sum(now - at < 1.0 for at in self.declined_at) > self.brittle

    @property
    def ran(self) -> list[str]:
        """Ids of the requests that it began to run, in order."""
        return [request["attempt-id"] for request in self.seen]


class Servers:
    """Opens in-memory connections to server stand-ins by address.

    Attributes
    ----------
    opened : int
        Number of connections opened so far.
    """

    def __init__(self, nursery: trio.Nursery, servers: tuple[ServerStandin, ...]) -> None:
        self._nursery = nursery
        self._by_address = {server.address: server for server in servers}
        self.opened = 0

    def add(self, server: ServerStandin) -> None:
        """Make a server reachable at its address."""
        self._by_address[server.address] = server

    async def connect(self, address: str, settings: ConnectionSettings) -> MemoryPipe:
        """Open a connection; raises ConnectError if the server is unknown or refuses it."""
        server = self._by_address.get(address)
        if server is not None and server.is_dark:
            await trio.sleep(settings.connect_timeout_s)
            raise ConnectError(f"connect {address}: no answer", True)
        if server is None or server.refuses_connections:
            raise ConnectError(f"connect {address}: refused")
        self.opened += 1
        client_end, server_end = trio.testing.memory_stream_pair()
        self._nursery.start_soon(serve_connection, server, server_end)
        return MemoryPipe(client_end)


class MemoryPipe:
    """Client end of an in-memory connection, with the methods of ``web.upstream.Pipe``."""

    def __init__(self, stream: trio.StapledStream) -> None:
        self._stream = stream
        self.send_all = stream.send_all

    async def receive_some(self, max_bytes: int) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        if data == RESET:
            raise trio.BrokenResourceError("reset")
        return bytes(data)

    def is_readable(self) -> bool:
        incoming = self._stream.receive_stream._incoming
        return bool(incoming._data) or incoming._closed

    def has_ended(self) -> bool:
        return self._stream.receive_stream._incoming._closed

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


# Bytes that the client end treats as a TCP reset, which memory streams do not have.
RESET = b"\x00RESET\x00"


async def serve_connection(server: ServerStandin, stream: trio.StapledStream) -> None:
    """Answer the requests on a connection to a stand-in until it ends."""
    connection = h11.Connection(h11.SERVER)
    recorder = _Recorder(server, stream)
    server.open_streams.append(stream)
    try:
        while await _serve_request(server, recorder, connection):
            if server.trailing_bytes:
                await stream.send_all(server.trailing_bytes)
            connection.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
        return
    finally:
        server.open_streams.remove(stream)
        stream.send_stream.close()


class _Recorder:
    """Records what is sent on a connection, to send it again in place of the next answer."""

    def __init__(self, server: ServerStandin, stream: trio.StapledStream) -> None:
        self._server = server
        self._stream = stream
        self._previous: list[bytes] = []
        self._current: list[bytes] = []
        self._refusals: dict[str, bytes] = {}
        self.receive_some = stream.receive_some

    async def send_all(self, data: bytes) -> None:
        """Send bytes of an answer, or of the previous one."""
        if self._server.repeats_answers and self._previous:
            data = self._previous.pop(0)
        self._current.append(data)
        await self._stream.send_all(data)

    async def send_previous_again(self) -> None:
        """Send a copy of the previous answer, if there is one and the server still copies some."""
        if self._server.copies_answers and self._previous:
            self._server.copies_answers -= 1
            await self._stream.send_all(b"".join(self._previous))

    def note_refusal(self, request_id: str) -> None:
        """Note that the present answer has refused a request."""
        self._refusals[request_id] = b"".join(self._current)

    async def send_refusal_again(self, request_id: str) -> None:
        """Send a copy of the refusal of a request, if this connection has carried it."""
        copy = self._refusals.pop(request_id, b"")
        if copy:
            await self._stream.send_all(copy)

    def end_answer(self) -> None:
        """Note that an answer was sent completely."""
        self._previous, self._current = self._current, []


async def _serve_request(
    server: ServerStandin, stream: _Recorder, connection: h11.Connection
) -> bool:
    request, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Request):
            request = event
            if server.answers_early:
                break
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        else:
            return False
    headers = {name.decode(): value.decode() for name, value in request.headers}
    headers |= {":target": request.target.decode(), ":body": body.decode("latin-1")}
    headers[":at"] = str(trio.current_time())
    await stream.send_previous_again()
    if headers[":target"] == "/report":
        await _report(server, stream, connection)
    else:
        await _answer(server, stream, connection, headers)
    stream.end_answer()
    while connection.their_state is h11.SEND_BODY:
        if connection.next_event() is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
    return True


async def _report(server: ServerStandin, stream: _Recorder, connection: h11.Connection) -> None:
    server.reports.append(trio.current_time())
    if server.never_answers:
        await trio.sleep_forever()
    body = msgspec.json.encode({"stage": "combined", "born": server.born})
    head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
    for event in (head, h11.Data(data=body), h11.EndOfMessage()):
        await stream.send_all(connection.send(event))


async def _answer(
    server: ServerStandin,
    stream: _Recorder,
    connection: h11.Connection,
    headers: dict[str, str],
) -> None:
    async def send(event: Any) -> None:
        await stream.send_all(connection.send(event))

    async def send_events(data: bytes) -> None:
        if server.unframed:
            await stream.send_all(data)
        else:
            await send(h11.Data(data=data))

    if server.copies_refusals:
        await stream.send_refusal_again(headers["attempt-id"])
    slowness = "" if server.slowness is None else f",{server.slowness}"
    common_headers = [("Server-Load", f"{server.running},{server.waiting},8{slowness}")]
    if server.limit_per_s is not None:
        common_headers.append(("Server-Limit", f"{server.limit_per_s:g}"))
    if server.brittle is not None:
        common_headers.append(("Server-Brittle", str(server.brittle)))
    if server.leaving:
        common_headers.append(("Server-Leaving", "1"))
    if not server.omits_request_id:
        common_headers.append(("Attempt-Id", headers["attempt-id"]))
    if headers.get("target-instance", server.id) != server.id:
        await send(
            h11.Response(status_code=421, headers=[*common_headers, ("Content-Length", "0")])
        )
        await send(h11.EndOfMessage())
        stream.note_refusal(headers["attempt-id"])
        return
    full = server.queue is not None and server.running >= server.slots + server.queue
    if server.declines or full:
        server.declined_at.append(trio.current_time())
        if server.fails_by_declining():
            server.crash()
            raise trio.BrokenResourceError
        declined_headers = [*common_headers, ("Not-Executed", "1"), ("Content-Length", "0")]
        if server.retry_after:
            declined_headers.append(("Retry-After", server.retry_after))
        await send(h11.Response(status_code=503, headers=declined_headers))
        await send(h11.EndOfMessage())
        stream.note_refusal(headers["attempt-id"])
        return
    server.seen.append(headers)
    server.running += 1
    try:
        if server.never_answers:
            await trio.sleep_forever()
        await trio.sleep(server.work_s)
        if server.crash_target and headers[":target"] == server.crash_target:
            server.crash()
            raise trio.BrokenResourceError
        if server.loses_answers:
            await stream.send_all(RESET)
            raise trio.BrokenResourceError
        if server.rest is not None and "last-event-id" in headers:
            await _answer_rest(server, stream, connection, common_headers)
            return
        answer_headers = [*common_headers, ("Response-Seal", f"seal-of-{server.id}")]
        if not server.events:
            body = f"{server.id}:{headers[':target']}".encode().ljust(server.body_bytes, b".")
            head = [*answer_headers, ("Content-Length", str(len(body)))]
            await send(h11.Response(status_code=server.status, headers=head))
            if server.break_body_at is not None:
                await send(h11.Data(data=body[: server.break_body_at]))
                await trio.sleep(server.work_s)
                await stream.send_all(RESET)
                raise trio.BrokenResourceError
            await send(h11.Data(data=body))
            await send(h11.EndOfMessage())
            return
        head = [*answer_headers, ("Content-Type", "text/event-stream")]
        if server.unframed:
            await stream.send_all(_unframed_head(head))
        else:
            head.append(("Transfer-Encoding", "chunked"))
            await send(h11.Response(status_code=200, headers=head))
        if server.crashes_on(headers):
            server.crash()
            raise trio.BrokenResourceError
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, server.events + 1):
            if server.break_after is not None and number - first >= server.break_after:
                await send_events(b"id: %d\nda" % number)
                await stream.send_all(RESET)
                raise trio.BrokenResourceError
            while server.trickle_after is not None and number - first >= server.trickle_after:
                await send_events(b"x")
                await trio.sleep(TRICKLE_INTERVAL_S)
            await trio.sleep(server.pauses.get(number, 0.0))
            name = "" if server.omits_event_ids else f"id: {number}\n"
            await send_events(f"{name}data: {server.event_data}\n\n".encode())
            await trio.sleep(server.work_s)
        if server.unframed:
            raise trio.BrokenResourceError
        await send(h11.EndOfMessage())
    finally:
        server.running -= 1


async def _answer_rest(
    server: ServerStandin,
    stream: _Recorder,
    connection: h11.Connection,
    common_headers: list[tuple[str, str]],
) -> None:
    rest = server.rest
    await trio.sleep(rest.delay_s)
    headers = list(common_headers)
    if rest.media_type:
        headers.append(("Content-Type", rest.media_type))
    if rest.signed:
        headers.append(("Response-Seal", f"seal-of-{server.id}"))
    if rest.chunked:
        headers.append(("Transfer-Encoding", "chunked"))
    elif rest.status != 204:
        headers.append(("Content-Length", str(len(rest.body))))
    head = connection.send(h11.Response(status_code=rest.status, headers=headers))
    if rest.cut_head:
        await stream.send_all(head[: len(head) // 2])
        raise trio.BrokenResourceError
    await stream.send_all(head)
    if rest.body:
        await stream.send_all(connection.send(h11.Data(data=rest.body)))
    await stream.send_all(connection.send(h11.EndOfMessage()))


def _unframed_head(headers: list[tuple[str, str]]) -> bytes:
    """Return the head of an answer without a length or chunks, which h11 does not send."""
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode()
