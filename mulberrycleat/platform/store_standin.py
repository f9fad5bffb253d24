"""In-process stand-in for the platform's store, for tests and benchmarks."""

from __future__ import annotations

import base64
import json
import math
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import httpcore
import msgspec
import trio

from mulberrycleat.web.client import BaseHttpClient, StreamedAnswer

__all__ = ["StoreClient", "StoreCopy", "StoreStandin"]

# The deployment sheets state that the store answers within 4 ms.
STORE_LATENCY_S = 0.004
# Most records, and bytes, of a page of the newest records.
PAGE_RECORDS, PAGE_BYTES = 500, 1_000_000
# Bytes of a read before its records.
READ_HEAD_BYTES = 16
# Parameters of the calls.
PARAMETERS = {
    "/log-append": {"topic", "part", "at"},
    "/log-read": {"topic", "part", "from", "max_kb", "wait_ms"},
    "/log-newest": {"topic", "part", "after"},
}


@dataclass(frozen=True, slots=True)
class _StoredRecord:
    key: str
    value: bytes


class StoreCopy(NamedTuple):
    """State of a :class:`StoreStandin` from which it can be restored."""

    topics: dict[str, list[_StoredRecord]]
    first_offsets: dict[str, int]
    compacted: dict[str, dict[str, _StoredRecord]]


class StoreStandin:
    """The store's log: conditional appends, reads, and the newest record of each key.

    Parameters
    ----------
    seed : int
        Seed of the draws that decide which answers are lost.

    Attributes
    ----------
    down : bool
        Whether all calls time out without being run.
    turned_away : set of str
        Hosts whose calls are answered with 503.
    lose_answers : float
        Share of appends, 0 to 1, that are done but whose answer is lost.
    latency_s : float
        Time until an answer, in seconds.
    piece_bytes : int
        Largest size of the pieces in which a body arrives; 0 if it arrives as a whole.
    piece_interval_s : float
        Time before each piece, in seconds.
    stall_after_bytes : int or None
        Bytes of a body after which nothing more arrives, None if all of it does.
    silent_topics : set of str
        Topics of which calls get no answer, although they may be run.
    calls : int
        Number of calls made so far.
    raw_keys : bool
        Whether bytes of a key that aren't text come as they are in JSON, or else as escapes of
        lone surrogates.
    limits_reads : bool
        Whether a read returns no more than `max_kb`, but at least one record, rather than all.
    era : int or None
        Number stated in all answers, which rises when the store is restored from a copy; None if
        none is stated.
    """

    def __init__(self, seed: int = 0) -> None:
        self._topics: dict[str, list[_StoredRecord]] = {}
        self._first_offsets: dict[str, int] = {}
        self._compacted: dict[str, dict[str, _StoredRecord]] = {}
        self._appended: dict[str, trio.Event] = {}
        self._random = Random(seed)
        self.down = False
        self.turned_away: set[str] = set()
        self.lose_answers = 0.0
        self.latency_s = STORE_LATENCY_S
        self.piece_bytes = 0
        self.piece_interval_s = 0.0
        self.stall_after_bytes: int | None = None
        self.silent_topics: set[str] = set()
        self.calls = 0
        self.raw_keys = False
        self.limits_reads = False
        self.era: int | None = 1

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        topics = {topic: list(records) for topic, records in self._topics.items()}
        compacted = {topic: dict(records) for topic, records in self._compacted.items()}
        return StoreCopy(topics, dict(self._first_offsets), compacted)

    def restore(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy was taken."""
        self._topics, self._first_offsets, self._compacted = copy
        self.era += 1

    def end(self, topic: str) -> int:
        """Return the offset of the next record."""
        return self._first_offsets.get(topic, 0) + len(self._topics.get(topic, []))

    def put(self, topic: str, key: str, value: Any) -> int:
        """Append a record as the operators or a server would; a value of None removes the key."""
        data = b"" if value is None else msgspec.json.encode(value)
        return self.append(topic, key, data)

    def put_route_map(self, route_map: Any) -> None:
        """Write the route map as the operators would."""
        self.put("keyed.op", "config", route_map)

    def put_endpoint(self, endpoint: str, entry: Any) -> None:
        """Write the entry of an endpoint as the endpoint would; None removes it."""
        self.put("keyed.servers", endpoint, entry)

    def append(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.end(topic)
        self._topics.setdefault(topic, []).append(_StoredRecord(key, value))
        if topic in self._appended:
            self._appended.pop(topic).set()
        return offset

    async def wait_for_append(self, topic: str) -> None:
        """Wait until the next record of a topic is appended."""
        await self._appended.setdefault(topic, trio.Event()).wait()

    def expire_history(self, topic: str) -> None:
        """Expire all records of the topic.

        ``log-newest`` still returns the newest record of each key.
        """
        self._first_offsets[topic] = self.end(topic)
        newest = {record.key: record for record in self._topics.get(topic, [])}
        self._compacted[topic] = {**self._compacted.get(topic, {}), **newest}
        self._topics[topic] = []

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key, without the keys that were removed."""
        kept = self._compacted.get(topic, {})
        records = [*kept.values(), *self._topics.get(topic, [])]
        found = {record.key: record.value for record in records}
        return {key: value for key, value in found.items() if value}

    def answer(self, method: str, url: str, body: bytes) -> tuple[int, bytes] | None:
        """Run a call and return the status and body of the answer, or None if it is lost."""
        self.calls += 1
        parts = urlsplit(url)
        query = _parse_query(parts.path, parts.query)
        if query is None or parts.fragment:
            return 400, b""
        topic = query.get("topic", "")
        match method, parts.path:
            case "POST", "/log-append":
                return self._append(topic, query, body)
            case "GET", "/log-read":
                max_bytes = int(query["max_kb"]) * 1024 if self.limits_reads else math.inf
                return self._read(topic, int(query["from"]), max_bytes)
            case "GET", "/log-newest":
                return 200, self._newest_page(topic, query.get("after"))
        return 404, b""

    def _newest_page(self, topic: str, after: str | None) -> bytes:
        items: list[dict[str, Any]] = []
        size, has_more = 0, False
        for key, value in sorted(self.newest(topic).items(), key=lambda item: _key_bytes(item[0])):
            if after is not None and _key_bytes(key) <= _key_bytes(after):
                continue
            item = {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
            size += len(item["value"]) + len(key)
            if items and (len(items) == PAGE_RECORDS or size > PAGE_BYTES):
                has_more = True
                break
            items.append(item)
        page = {"items": items, "has_more": has_more, "end": self.end(topic)}
        text = json.dumps(page, ensure_ascii=not self.raw_keys)
        return text.encode(errors="surrogateescape")

    def _append(self, topic: str, query: dict[str, str], body: bytes) -> tuple[int, bytes] | None:
        end = self.end(topic)
        if "at" in query and int(query["at"]) != end:
            return 412, msgspec.json.encode({"end": end})
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            payload = body[position + 4 : position + 4 + size]
            key_end = 1 + payload[0]
            key = payload[1:key_end].decode(errors="surrogateescape")
            self.append(topic, key, payload[key_end:])
            position += 4 + size
        if self._random.random() < self.lose_answers:
            return None
        return 200, msgspec.json.encode({"offset": end, "end": self.end(topic)})

    def _read(self, topic: str, offset: int, max_bytes: float) -> tuple[int, bytes]:
        """Return the records from an offset on, as many as fit, but at least one."""
        first = self._first_offsets.get(topic, 0)
        if not first <= offset <= self.end(topic):
            return 410, msgspec.json.encode({"first": first})
        data = struct.pack(">QQ", self.end(topic), first)
        for record in self._topics.get(topic, [])[offset - first :]:
            key = _key_bytes(record.key)
            payload = bytes([len(key)]) + key + record.value
            if len(data) > READ_HEAD_BYTES and len(data) + len(payload) > max_bytes:
                break
            data += struct.pack(">I", len(payload)) + payload
        return 200, data


class StoreClient(BaseHttpClient):
    """HTTP client through which one host calls the store stand-in."""

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
        """Run a request on the stand-in and yield the answer; raises httpcore's exceptions."""
        httpcore.URL(url)
        if not all("!" <= character <= "~" for character in url):
            raise httpcore.LocalProtocolError("Illegal target characters")
        await trio.sleep(self._store.latency_s)
        if self._store.down:
            await trio.sleep(timeout_s)
            raise httpcore.ReadTimeout("the store is down")
        if self._host in self._store.turned_away:
            yield StreamedAnswer(503, self._headers(), _one_chunk(b""))
            return
        query = parse_qs(urlsplit(url).query)
        wait_s = float(query.get("wait_ms", ["0"])[0]) / 1000
        answer = self._store.answer(method, url, body)
        if answer is None or query["topic"][0] in self._store.silent_topics:
            await trio.sleep(timeout_s)
            raise httpcore.ReadTimeout("the answer is lost")
        # A read without any records waits for one, and runs once more.
        if wait_s and len(answer[1]) == READ_HEAD_BYTES:
            with trio.move_on_after(wait_s):
                await self._store.wait_for_append(query["topic"][0])
            answer = self._store.answer(method, url, body)
        chunks = self._pieces(answer[1], timeout_s)
        yield StreamedAnswer(answer[0], self._headers(), chunks)

    async def _pieces(self, data: bytes, timeout_s: float) -> AsyncIterator[bytes]:
        """Yield a body in pieces, as far as it arrives."""
        store = self._store
        size = store.piece_bytes or len(data) or 1
        for start in range(0, len(data), size):
            if store.stall_after_bytes is not None and start >= store.stall_after_bytes:
                await trio.sleep(timeout_s)
                raise httpcore.ReadTimeout("the answer has stalled")
            if store.piece_interval_s:
                await trio.sleep(store.piece_interval_s)
            yield data[start : start + size]

    def _headers(self) -> dict[str, str]:
        return {} if self._store.era is None else {"store-era": str(self._store.era)}


def _key_bytes(key: str) -> bytes:
    """Return the bytes of a key; tests put bytes that aren't text into it as surrogates."""
    return key.encode(errors="surrogateescape")


def _parse_query(path: str, text: str) -> dict[str, str] | None:
    """Return the parameters of a call, None if it has others than the store knows."""
    found = parse_qs(text, keep_blank_values=True, errors="surrogateescape")
    if not found.keys() <= PARAMETERS.get(path, found.keys()):
        return None
    return {name: values[0] for name, values in found.items()}


async def _one_chunk(data: bytes) -> AsyncIterator[bytes]:
    yield data
