"""Stand-ins for the platform's store and servers, in one event loop, for tests and measurements."""

from __future__ import annotations

import base64
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import httpcore
import msgspec
import trio
import trio.testing

from mulberrycleat.web.client import BaseHttpClient, StreamedAnswer
from mulberrycleat.web.upstream import ConnectError, ConnectionSettings

__all__ = ["ServerStandin", "Servers", "StoreClient", "StoreStandin"]

# The sheets of the deployments give 4 ms for an answer of the store.
STORE_ANSWER_S = 0.004


@dataclass(frozen=True, slots=True)
class _Stored:
    key: str
    value: bytes


class StoreStandin:
    """The store's log: appends under a condition, reads, the newest record of each key.

    ``down`` and ``turned_away`` hold what does not reach it; ``lose_answers`` is the part of the
    appends that are done and not answered, drawn from a seeded source.
    """

    def __init__(self, seed: int = 0) -> None:
        self._topics: dict[str, list[_Stored]] = {}
        self._first: dict[str, int] = {}
        self._kept: dict[str, dict[str, _Stored]] = {}
        self._random = Random(seed)
        self.down = False
        self.turned_away: set[str] = set()
        self.lose_answers = 0.0
        self.calls = 0

    def end(self, topic: str) -> int:
        """Return the offset of the next record."""
        return self._first.get(topic, 0) + len(self._topics.get(topic, []))

    def put(self, topic: str, key: str, value: Any) -> int:
        """Append a record as the operator or a server does; None drops the key."""
        data = b"" if value is None else msgspec.json.encode(value)
        return self.append(topic, key, data)

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.end(topic)
        self._topics.setdefault(topic, []).append(_Stored(key, value))
        return offset

    def forget_history(self, topic: str) -> None:
        """Expire all records but the newest of each key, which only ``log-newest`` returns."""
        self._first[topic] = self.end(topic)
        newest = {record.key: record for record in self._topics.get(topic, [])}
        self._kept[topic] = {**self._kept.get(topic, {}), **newest}
        self._topics[topic] = []

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        kept = self._kept.get(topic, {})
        records = [*kept.values(), *self._topics.get(topic, [])]
        found = {record.key: record.value for record in records}
        return {key: value for key, value in found.items() if value}

    def answer(self, method: str, url: str, body: bytes) -> tuple[int, bytes] | None:
        """Return status and body of a call, or None when its answer is lost."""
        self.calls += 1
        parts = urlsplit(url)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = query.get("topic", "")
        match method, parts.path:
            case "POST", "/log-append":
                return self._append(topic, query, body)
            case "GET", "/log-read":
                return self._read(topic, int(query["from"]))
            case "GET", "/log-newest":
                items = [
                    {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
                    for key, value in self.newest(topic).items()
                ]
                page = {"items": items, "has_more": False, "end": self.end(topic)}
                return 200, msgspec.json.encode(page)
        return 404, b""

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> tuple[int, bytes] | None:
        end = self.end(topic)
        if "at" in query and int(query["at"]) != end:
            return 412, msgspec.json.encode({"end": end})
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            payload = body[position + 4 : position + 4 + size]
            key_end = 1 + payload[0]
            self.append(topic, payload[1:key_end].decode(), payload[key_end:])
            position += 4 + size
        if self._random.random() < self.lose_answers:
            return None
        return 200, msgspec.json.encode({"offset": end, "end": self.end(topic)})

    def _read(self, topic: str, offset: int) -> tuple[int, bytes]:
        first = self._first.get(topic, 0)
        if offset < first:
            return 410, msgspec.json.encode({"first": first})
        data = struct.pack(">QQ", self.end(topic), first)
        for record in self._topics.get(topic, [])[offset - first :]:
            payload = bytes([len(record.key)]) + record.key.encode() + record.value
            data += struct.pack(">I", len(payload)) + payload
        return 200, data


class StoreClient(BaseHttpClient):
    """The way of one host to the store."""

    def __init__(self, store: StoreStandin, host: str) -> None:
        self._store = store
        self._host = host

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> AsyncIterator[StreamedAnswer]:
        """Send a request and give its answer; raises httpcore's exceptions."""
        await trio.sleep(STORE_ANSWER_S)
        if self._store.down:
            await trio.sleep(timeout_s)
            raise httpcore.ReadTimeout("the store is down")
        if self._host in self._store.turned_away:
            yield StreamedAnswer(503, {}, _chunks(b""))
            return
        wait_s = float(parse_qs(urlsplit(url).query).get("wait_ms", ["0"])[0]) / 1000
        answer = self._store.answer(method, url, body)
        if answer is None:
            await trio.sleep(timeout_s)
            raise httpcore.ReadTimeout("the answer is lost")
        if wait_s and len(answer[1]) == 16:
            await trio.sleep(wait_s)
            answer = self._store.answer(method, url, body)
        yield StreamedAnswer(answer[0], {}, _chunks(answer[1]))


async def _chunks(data: bytes) -> AsyncIterator[bytes]:
    yield data


@dataclass(slots=True)
class ServerStandin:
    """One server: what it ran, and how it behaves.

    Attributes
    ----------
    events : int
        Events of a stream; 0 for a plain service.
    break_after : int or None
        The connection is reset after so many events.
    extra : bytes
        Sent after each complete answer.
    """

    id: str
    address: str
    service: str
    events: int = 0
    work_s: float = 0.02
    status: int = 200
    sheds: bool = False
    refuses: bool = False
    mute: bool = False
    break_after: int | None = None
    extra: bytes = b""
    seen: list[dict[str, str]] = field(default_factory=list)
    running: int = 0

    def entry(self, zone: str = "z-a", state: str = "ready") -> dict[str, Any]:
        """Return what the server writes about itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "state": state,
            "slots": 8,
        }

    @property
    def ran(self) -> list[str]:
        """Ids of the requests that it ran."""
        return [request["attempt-id"] for request in self.seen]


class Servers:
    """Opens pipes to stand-ins by address."""

    def __init__(self, nursery: trio.Nursery, servers: tuple[ServerStandin, ...]) -> None:
        self._nursery = nursery
        self._by_address = {server.address: server for server in servers}
        self.opened = 0

    def add(self, server: ServerStandin) -> None:
        """Add a server."""
        self._by_address[server.address] = server

    async def connect(self, address: str, settings: ConnectionSettings) -> _MemoryPipe:
        """Open a pipe; raises ConnectError."""
        server = self._by_address.get(address)
        if server is None or server.refuses:
            raise ConnectError(f"connect {address}: refused")
        self.opened += 1
        near, far = trio.testing.memory_stream_pair()
        self._nursery.start_soon(_serve, server, far)
        return _MemoryPipe(near)


class _MemoryPipe:
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

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


# Takes the place of a reset on a memory stream.
RESET = b"\x00RESET\x00"


async def _serve(server: ServerStandin, stream: trio.StapledStream) -> None:
    connection = h11.Connection(h11.SERVER)
    try:
        while await _serve_one(server, stream, connection):
            if server.extra:
                await stream.send_all(server.extra)
            connection.start_next_cycle()
    except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
        return
    finally:
        stream.send_stream.close()


async def _serve_one(
    server: ServerStandin, stream: trio.StapledStream, connection: h11.Connection
) -> bool:
    request, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65_536))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        else:
            return False
    headers = {name.decode(): value.decode() for name, value in request.headers}
    headers |= {":target": request.target.decode(), ":body": body.decode("latin-1")}
    await _answer(server, stream, connection, headers)
    return True


async def _answer(
    server: ServerStandin,
    stream: trio.StapledStream,
    connection: h11.Connection,
    headers: dict[str, str],
) -> None:
    async def send(event: Any) -> None:
        await stream.send_all(connection.send(event))

    echo = [("Attempt-Id", headers["attempt-id"]), ("Server-Load", f"{server.running},0,8")]
    if headers.get("target-instance", server.id) != server.id:
        await send(h11.Response(status_code=421, headers=[*echo, ("Content-Length", "0")]))
        await send(h11.EndOfMessage())
        return
    if server.sheds:
        shed = [*echo, ("Not-Executed", "1"), ("Content-Length", "0")]
        await send(h11.Response(status_code=503, headers=shed))
        await send(h11.EndOfMessage())
        return
    server.seen.append(headers)
    server.running += 1
    try:
        if server.mute:
            await trio.sleep_forever()
        await trio.sleep(server.work_s)
        sealed = [*echo, ("Response-Seal", f"seal-of-{server.id}")]
        if not server.events:
            body = f"{server.id}:{headers[':target']}".encode()
            head = [*sealed, ("Content-Length", str(len(body)))]
            await send(h11.Response(status_code=server.status, headers=head))
            await send(h11.Data(data=body))
            await send(h11.EndOfMessage())
            return
        head = [*sealed, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        await send(h11.Response(status_code=200, headers=head))
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, server.events + 1):
            if server.break_after is not None and number - first >= server.break_after:
                await send(h11.Data(data=b"id: %d\nda" % number))
                await stream.send_all(RESET)
                raise trio.BrokenResourceError
            await send(h11.Data(data=b"id: %d\ndata: x\n\n" % number))
            await trio.sleep(server.work_s)
        await send(h11.EndOfMessage())
    finally:
        server.running -= 1
