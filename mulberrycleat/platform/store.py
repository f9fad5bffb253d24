"""Calls of the platform's store."""

from __future__ import annotations

import base64
import struct
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.entry.store import AppendOutcome, DirectoryUpdate, MapUpdate, RecordUpdate
from mulberrycleat.platform.config import decode_config, decode_entry
from mulberrycleat.prepaid import HolderRecord
from mulberrycleat.routes import RouteMap
from mulberrycleat.web.client import BaseHttpClient, HttpAnswer

__all__ = ["PlatformStore"]

# The operators' records; the key of the configuration among them.
MAP_TOPIC, MAP_KEY = "keyed.op", "config"
ENTRY_TOPIC = "keyed.servers"
SLICE_TOPIC = "keyed.slices"
CONFLICT, EXPIRED = 412, 410
LARGEST_READ_KB = 1024


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _Newest(msgspec.Struct):
    items: list[_Item]
    end: int
    has_more: bool = False


class _Appended(msgspec.Struct):
    """`offset` is that of the first record, `end` that of the record after the last."""

    end: int
    offset: int = -1


class _Record(NamedTuple):
    key: str
    value: bytes


class _Changes(NamedTuple):
    next: int
    whole: bool
    records: tuple[_Record, ...]
    lost: bool = False


class PlatformStore:
    """The store's log, read and written in the project's own types.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    client : BaseHttpClient
        HTTP towards the store.
    timeout_s : float
        Longest wait for an answer, beside a wait that was asked for, in seconds.
    """

    def __init__(self, address: str, client: BaseHttpClient, timeout_s: float) -> None:
        self._url = f"http://{address}"
        self._client = client
        self._timeout_s = timeout_s
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._calls

    async def read_map(self, offset: int | None, wait_s: float) -> Result[MapUpdate, PeerError]:
        """Return the newest route map since `offset`, waiting up to `wait_s` for one."""
        match await self._changes(MAP_TOPIC, offset, wait_s):
            case Err(error):
                return Err(error)
            case Ok(changes):
                newest: RouteMap | None = None
                faults = []
                for record in changes.records:
                    if record.key != MAP_KEY or not record.value:
                        continue
                    match decode_config(record.value):
                        case Ok(route_map):
                            if newest is None or route_map.version > newest.version:
                                newest = route_map
                        case Err(reason):
                            faults.append(reason)
                return Ok(MapUpdate(changes.next, newest, tuple(faults)))

    async def read_entries(self, offset: int | None) -> Result[DirectoryUpdate, PeerError]:
        """Return changes of the servers' entries since `offset`."""
        match await self._changes(ENTRY_TOPIC, offset):
            case Err(error):
                return Err(error)
            case Ok(changes):
                found, faults = [], []
                for record in changes.records:
                    entry = None
                    if record.value:
                        match decode_entry(record.key, record.value):
                            case Ok(decoded):
                                entry = decoded
                            case Err(reason):
                                faults.append(reason)
                    found.append((record.key, entry))
                return Ok(
                    DirectoryUpdate(
                        changes.next, changes.whole, tuple(found), changes.lost, tuple(faults)
                    )
                )

    async def read_slices(self, offset: int | None) -> Result[RecordUpdate, PeerError]:
        """Return records of slices since `offset`."""
        match await self._changes(SLICE_TOPIC, offset):
            case Err(error):
                return Err(error)
            case Ok(changes):
                records, faults = [], []
                for record in changes.records:
                    try:
                        records.append(msgspec.msgpack.decode(record.value, type=HolderRecord))
                    except msgspec.DecodeError as error:
                        faults.append(f"slices of {record.key}: {error}")
                return Ok(RecordUpdate(changes.next, changes.whole, tuple(records), tuple(faults)))

    async def append_slices(
        self, record: HolderRecord, at: int
    ) -> Result[AppendOutcome, PeerError]:
        """Append a record, on condition that the log ends at offset `at`."""
        key = record.host.encode()
        payload = bytes([len(key)]) + key + msgspec.msgpack.encode(record)
        body = struct.pack(">I", len(payload)) + payload
        path = f"/log-append?topic={SLICE_TOPIC}&part=0&at={at}"
        match await self._call("POST", path, body, Step.APPEND):
            case Err(error):
                return Err(error)
            case Ok(answer) if answer.status in (200, CONFLICT):
                return self._appended(answer, path)
            case Ok(answer):
                return Err(self._refused(answer, Step.APPEND, path))

    def _appended(self, answer: HttpAnswer, path: str) -> Result[AppendOutcome, PeerError]:
        try:
            found = msgspec.json.decode(answer.body, type=_Appended)
        except msgspec.DecodeError as error:
            return Err(PeerError(Step.APPEND, self._url, f"{path}: {error}"))
        if answer.status == CONFLICT:
            return Ok(AppendOutcome(False, found.end))
        return Ok(AppendOutcome(True, found.offset))

    async def _changes(
        self, topic: str, offset: int | None, wait_s: float = 0.0
    ) -> Result[_Changes, PeerError]:
        """Return records since `offset`, or the newest of each key when those have expired."""
        if offset is None:
            return await self._newest(topic)
        path = f"/log-read?topic={topic}&part=0&from={offset}&max_kb={LARGEST_READ_KB}"
        if wait_s:
            path += f"&wait_ms={int(wait_s * 1000)}"
        match await self._call("GET", path, b"", Step.READ, wait_s):
            case Err(error):
                return Err(error)
            case Ok(answer) if answer.status == EXPIRED:
                return (await self._newest(topic)).map(lambda found: found._replace(lost=True))
            case Ok(answer) if answer.status == 200:
                return self._decode_read(answer.body, offset, path)
            case Ok(answer):
                return Err(self._refused(answer, Step.READ, path))

    async def _newest(self, topic: str) -> Result[_Changes, PeerError]:
        records: list[_Record] = []
        first_end: int | None = None
        after = ""
        while True:
            path = f"/log-newest?topic={topic}&part=0" + (f"&after={after}" if after else "")
            match await self._call("GET", path, b"", Step.READ):
                case Err(error):
                    return Err(error)
                case Ok(answer) if answer.status == 200:
                    try:
                        page = msgspec.json.decode(answer.body, type=_Newest)
                        values = [_Record(i.key, base64.b64decode(i.value)) for i in page.items]
                    except (msgspec.DecodeError, ValueError) as error:
                        return Err(PeerError(Step.READ, self._url, f"{path}: {error}"))
                case Ok(answer) if answer.status == 404:
                    return Ok(_Changes(0, True, ()))
                case Ok(answer):
                    return Err(self._refused(answer, Step.READ, path))
            records += values
            # Pages are not a snapshot: what changes meanwhile is read again from the first end on.
            first_end = page.end if first_end is None else first_end
            if not page.has_more or not page.items:
                return Ok(_Changes(first_end, True, tuple(records)))
            after = page.items[-1].key

    def _decode_read(self, data: bytes, offset: int, path: str) -> Result[_Changes, PeerError]:
        try:
            records = tuple(_keyed(data[16:]))
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            return Err(PeerError(Step.READ, self._url, f"{path}: {error}"))
        return Ok(_Changes(offset + len(records), False, records))

    async def _call(
        self, method: str, path: str, body: bytes, step: Step, wait_s: float = 0.0
    ) -> Result[HttpAnswer, PeerError]:
        self._calls += 1
        timeout_s = wait_s + self._timeout_s
        return await self._client.request(
            method, self._url + path, body, None, timeout_s, step, timeout_s
        )

    def _refused(self, answer: HttpAnswer, step: Step, path: str) -> PeerError:
        # 429 and 503 promise that nothing was done.
        sent = answer.status not in (429, 503)
        return PeerError(step, self._url, f"{path}: status {answer.status}", sent=sent)


def _keyed(data: bytes) -> Iterable[_Record]:
    """Decode records of a keyed topic: length, length of the key, key, value."""
    position = 0
    while position < len(data):
        (size,) = struct.unpack_from(">I", data, position)
        payload = data[position + 4 : position + 4 + size]
        if len(payload) < size:
            raise IndexError("the last record is cut short")
        key_end = 1 + payload[0]
        yield _Record(payload[1:key_end].decode(), payload[key_end:])
        position += 4 + size
