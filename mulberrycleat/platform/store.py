"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Position, Step
from mulberrycleat.endpoint.evacuations import Evacuation
from mulberrycleat.endpoint.reports import EndpointReport
from mulberrycleat.endpoint.stream_origins import OriginRecord
from mulberrycleat.entry.coordinators import HostEntry
from mulberrycleat.entry.store import (
    AppendOutcome,
    DirectoryUpdate,
    HostUpdate,
    MapUpdate,
    OriginUpdate,
    RecordUpdate,
    ReportUpdate,
)
from mulberrycleat.platform.config import decode_config, decode_entry
from mulberrycleat.prepaid import HolderRecord
from mulberrycleat.routes import RouteMap
from mulberrycleat.web.client import Arrival, BaseHttpClient, HttpAnswer

__all__ = ["PlatformStore", "decode_records"]

T = TypeVar("T")

# Topic of the operators' records, and the key of the configuration in it.
ROUTE_MAP_TOPIC, ROUTE_MAP_KEY = "keyed.op", "config"
# Keys of orders to evacuate a zone begin like this and end with the zone. An empty value, or a
# record that is missing among the newest ones, says that there is no order.
EVACUATION_PREFIX = "evacuate/"
ENTRY_TOPIC = "keyed.servers"
# Each shard has a topic of this name, a dot and its number.
SLICE_TOPIC = "keyed.slices"
HOST_TOPIC = "keyed.hosts"
# Its records expire, as they say nothing about the present after a while.
REPORT_TOPIC = "endpoint-reports"
# Its records expire; no stream lasts as long as they are kept.
ORIGIN_TOPIC = "stream-origins"
PRECONDITION_FAILED, GONE, NOT_FOUND = 412, 410, 404
MAX_READ_KB = 1024
# Longest time for an answer that keeps arriving after its head, in seconds. The largest read, of
# ``MAX_READ_KB``, takes this long at 1 Mbit/s, a thousandth of the rate of a host's link.
ARRIVAL_TIMEOUT_S = 8.0
# A read that has failed goes on after the records that it has brought, of at most this size.
MAX_KEPT_BYTES = MAX_READ_KB * 1024
# Route maps replace each other. If more records than this may be pending, only the newest of each
# key is read; its encoding takes a third more bytes.
MAX_PENDING_RECORDS = 1
# Pages of a snapshot are kept for this time from the begin of the first one, in seconds: some pages
# over a slow link. What they state of a key that has changed since holds until the next read.
MAX_PAGES_AGE_S = 30.0
# Bytes of a read before its records: the end of the topic, and its first record.
READ_HEAD_BYTES = 16
# The store raises this number in its answers each time that it is restored from an older copy.
ERA_HEADER = "store-era"


class _Item(msgspec.Struct):
    key: str
    value: str = ""
    offset: int = 0


class _NewestPage(msgspec.Struct):
    """Page of the newest records of each key; `end` is the offset after the topic's last record.

    Other writers leave records, too, so each item is decoded by itself.
    """

    items: list[msgspec.Raw]
    end: int
    has_more: bool = False


class _AppendReply(msgspec.Struct):
    """Reply to an append.

    `offset` is the offset of the first appended record, `end` the offset after the last record of
    the topic.
    """

    end: int
    offset: int = -1


class _Expired(msgspec.Struct):
    """Reply to a read of expired records; `first` is the first offset that can be read."""

    first: int


class _Record(NamedTuple):
    """A record of a topic; the key is empty if it can't be decoded."""

    key: str
    value: bytes


# Stands for a record that can't be decoded.
_UNREADABLE = _Record("", b"")


class _Changes(NamedTuple):
    """Records of a topic.

    `next` is the position to read from next. `snapshot` says whether `records` are the newest of
    each key, `lost` whether the store no longer has all records since the requested position, and
    `at_end` whether there were no further records.
    """

    next: Position
    snapshot: bool
    records: tuple[_Record, ...]
    lost: bool = False
    at_end: bool = True


class _BrokenRead(NamedTuple):
    """What a failed read from `position` has brought: `count` records, as in the answer."""

    position: Position
    count: int = 0
    data: bytes = b""


@dataclass(slots=True)
class _Pages:
    """Pages of the newest records of each key that have been read.

    Attributes
    ----------
    began_at : float
        Time of the begin of the read, in seconds on trio's clock.
    records : list of _Record
        Records so far.
    end : Position or None
        End of the topic as the first page states it, None before the first page.
    after : list of bytes
        Last key of each page.
    """

    began_at: float
    records: list[_Record] = field(default_factory=list)
    end: Position | None = None
    after: list[bytes] = field(default_factory=list)


class PlatformStore:
    """Reads and appends records of the store's log, converted to and from the project's types.

    A read with position None, or with one whose records have expired or that is from before the
    store was restored from an older copy, returns the newest record of each key.

    A read that fails in its middle returns an error. What it has brought in full is kept, so that
    the next read from the same position goes on from there: one that is begun again each time
    never ends on a link that is slow or fails time and again.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    client : BaseHttpClient
        HTTP client for calls to the store.
    timeout_s : float
        Longest time without any part of an answer, in seconds. Until an answer begins, the time
        that a read may wait at the store is added.
    """

    def __init__(self, address: str, client: BaseHttpClient, timeout_s: float) -> None:
        self._url = f"http://{address}"
        self._client = client
        self._timeout_s = timeout_s
        self._calls = 0
        self._era = 0
        # By topic.
        self._broken_reads: dict[str, _BrokenRead] = {}
        self._pages: dict[str, _Pages] = {}
        self._arrivals: set[Arrival] = set()
        # By topic whose records replace each other: the end that has been read, and the topics of
        # which several records may have been written since then.
        self._ends: dict[str, Position] = {}
        self._pending: set[str] = set()

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._calls

    @property
    def arriving(self) -> bool:
        """Whether a part of an answer has arrived whose rest is still awaited."""
        return any(arrival.body for arrival in self._arrivals)

    async def read_map(
        self,
        position: Position | None,
        wait_s: float,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Result[MapUpdate, PeerError]:
        """Return the newest route map since `position`, waiting for up to `wait_s` seconds."""
        match await self._read_latest(ROUTE_MAP_TOPIC, position, wait_s, on_answer):
            case Err(error):
                return Err(error)
            case Ok(changes):
                newest: RouteMap | None = None
                faults = []
                for record in changes.records:
                    if record.key != ROUTE_MAP_KEY or not record.value:
                        continue
                    match decode_config(record.value):
                        case Ok(route_map):
                            if newest is None or route_map.version > newest.version:
                                newest = route_map
                        case Err(reason):
                            faults.append(reason)
                return Ok(
                    MapUpdate(
                        changes.next,
                        newest,
                        tuple(faults),
                        _decode_evacuations(changes),
                        changes.snapshot,
                    )
                )

    async def read_entries(self, position: Position | None) -> Result[DirectoryUpdate, PeerError]:
        """Return the changes of the servers' entries since `position`."""
        match await self._read_changes(ENTRY_TOPIC, position):
            case Err(error):
                return Err(error)
            case Ok(changes):
                found, faults = [], []
                for record in changes.records:
                    if not record.key:
                        faults.append("a record without a readable key")
                        continue
                    if not record.value:
                        found.append((record.key, None))
                        continue
                    match decode_entry(record.key, record.value):
                        case Ok(entry):
                            found.append((record.key, entry))
                        case Err(reason):
                            faults.append(reason)
                return Ok(
                    DirectoryUpdate(
                        changes.next, changes.snapshot, tuple(found), changes.lost, tuple(faults)
                    )
                )

    async def read_hosts(self, position: Position | None) -> Result[HostUpdate, PeerError]:
        """Return the entries of entry hosts appended since `position`."""
        match await self._read_changes(HOST_TOPIC, position):
            case Err(error):
                return Err(error)
            case Ok(changes):
                entries, faults = _decode_values(changes.records, HostEntry)
                return Ok(HostUpdate(changes.next, changes.snapshot, entries, faults))

    async def append_host(self, entry: HostEntry) -> Result[AppendOutcome, PeerError]:
        """Append the entry of an entry host."""
        path = _path("/log-append", HOST_TOPIC)
        return await self._append(path, entry.host, msgspec.msgpack.encode(entry))

    async def read_slices(
        self, shard: int, position: Position | None
    ) -> Result[RecordUpdate, PeerError]:
        """Return the slice records of a shard appended since `position`."""
        match await self._read_changes(f"{SLICE_TOPIC}.{shard}", position):
            case Err(error):
                return Err(error)
            case Ok(changes):
                records, faults = _decode_values(changes.records, HolderRecord)
                return Ok(RecordUpdate(changes.next, changes.snapshot, records, faults))

    async def append_slices(
        self, shard: int, record: HolderRecord, at: Position
    ) -> Result[AppendOutcome, PeerError]:
        """Append a slice record if the topic of the shard still ends at position `at`."""
        if at.era < self._era:
            return Ok(AppendOutcome(False, Position(self._era, 0)))
        path = _path("/log-append", f"{SLICE_TOPIC}.{shard}", at=at.offset)
        outcome = await self._append(path, record.host, msgspec.msgpack.encode(record))
        # In another era, the record may follow others than those before `at`.
        return outcome.map(
            lambda found: found._replace(done=found.done and found.position.era == at.era)
        )

    async def read_reports(
        self, position: Position, wait_s: float
    ) -> Result[ReportUpdate, PeerError]:
        """Return the reports on endpoints since `position`, waiting for up to `wait_s` seconds."""
        return (await self._read_log(REPORT_TOPIC, position, wait_s)).map(_decode_reports)

    async def read_origins(self, position: Position) -> Result[OriginUpdate, PeerError]:
        """Return the origins of streams recorded since `position`."""
        match await self._read_log(ORIGIN_TOPIC, position):
            case Err(error):
                return Err(error)
            case Ok(changes):
                records, faults = _decode_values(changes.records, OriginRecord)
                return Ok(OriginUpdate(changes.next, records, changes.at_end, faults))

    async def append_origins(
        self, host: str, records: tuple[OriginRecord, ...]
    ) -> Result[AppendOutcome, PeerError]:
        """Append origins of streams that began at a host."""
        path = _path("/log-append", ORIGIN_TOPIC)
        return await self._append(path, host, *map(msgspec.msgpack.encode, records))

    async def _read_log(
        self, topic: str, position: Position, wait_s: float = 0.0
    ) -> Result[_Changes, PeerError]:
        """Return the records of a log since `position`, or from the first one that is kept."""
        while True:
            if position.era < self._era:
                position = Position(self._era, 0)
            path = _read_path(topic, position.offset, wait_s)
            match await self._read_from(topic, position, wait_s):
                case Err(error):
                    return Err(error)
                case Ok(_) if position.era < self._era:
                    continue
                case Ok(answer) if answer.status == NOT_FOUND:
                    return Ok(_Changes(position, False, ()))
                case Ok(answer) if answer.status == GONE:
                    try:
                        first = msgspec.json.decode(answer.body, type=_Expired).first
                    except msgspec.DecodeError as error:
                        return Err(PeerError(Step.READ, self._url, f"{path}: {error}"))
                    if first <= position.offset:
                        reason = f"{path}: expired, though the first offset is {first}"
                        return Err(PeerError(Step.READ, self._url, reason))
                    position = position._replace(offset=first)
                case Ok(answer) if answer.status == 200:
                    return self._decode_read(answer.body, position, path)
                case Ok(answer):
                    return Err(self._status_error(answer, Step.READ, path))

    async def append_reports(
        self, host: str, records: tuple[EndpointReport, ...]
    ) -> Result[AppendOutcome, PeerError]:
        """Append reports of a host."""
        path = _path("/log-append", REPORT_TOPIC)
        return await self._append(path, host, *map(msgspec.msgpack.encode, records))

    async def _append(
        self, path: str, name: str, *values: bytes
    ) -> Result[AppendOutcome, PeerError]:
        body = b"".join(_encode_record(name.encode(), value) for value in values)
        match await self._call("POST", path, body, Step.APPEND):
            case Err(error):
                return Err(error)
            case Ok(answer) if answer.status in (200, PRECONDITION_FAILED):
                return self._decode_append(answer, path)
            case Ok(answer):
                return Err(self._status_error(answer, Step.APPEND, path))

    def _decode_append(self, answer: HttpAnswer, path: str) -> Result[AppendOutcome, PeerError]:
        try:
            found = msgspec.json.decode(answer.body, type=_AppendReply)
        except msgspec.DecodeError as error:
            return Err(PeerError(Step.APPEND, self._url, f"{path}: {error}"))
        if answer.status == PRECONDITION_FAILED:
            return Ok(AppendOutcome(False, Position(self._era, found.end)))
        return Ok(AppendOutcome(True, Position(self._era, found.offset)))

    async def _read_latest(
        self,
        topic: str,
        position: Position | None,
        wait_s: float,
        on_answer: Callable[[], None],
    ) -> Result[_Changes, PeerError]:
        """Return the changes since `position` up to the end of the topic.

        They are a snapshot if there may be many: on a slow link, reading records that others have
        replaced would hold up those that have replaced them.
        """
        if position is not None and not self._may_lack_many(topic, position):
            outcome = await self._read_changes(topic, position, wait_s, on_answer)
        else:
            outcome = await self._read_newest(topic)
        if isinstance(outcome, Ok) and not outcome.ok_value.at_end:
            outcome = await self._read_newest(topic)
        self._note_pending(topic, outcome)
        return outcome

    def _may_lack_many(self, topic: str, position: Position) -> bool:
        """Whether several records may have been written to a topic since `position`."""
        known = self._ends.get(topic, position)
        return topic in self._pending or known > position.after(MAX_PENDING_RECORDS)

    def _note_pending(self, topic: str, outcome: Result[_Changes, PeerError]) -> None:
        """Note whether several records of a topic may be found by the next read.

        They may if this one has failed, or if it has found several itself.
        """
        match outcome:
            case Ok(changes) if changes.snapshot or len(changes.records) <= MAX_PENDING_RECORDS:
                self._pending.discard(topic)
                self._broken_reads.pop(topic, None)
                self._ends[topic] = max(changes.next, self._ends.get(topic, changes.next))
            case _:
                self._pending.add(topic)

    async def _read_changes(
        self,
        topic: str,
        position: Position | None,
        wait_s: float = 0.0,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Result[_Changes, PeerError]:
        """Return the records since `position`, or a snapshot if `position` is None or not valid."""
        if position is None:
            return await self._read_newest(topic)
        if position.era == self._era:
            path = _read_path(topic, position.offset, wait_s)
            match await self._read_from(topic, position, wait_s, on_answer):
                case Err(error):
                    return Err(error)
                case Ok(answer) if answer.status == 200 and position.era == self._era:
                    return self._decode_read(answer.body, position, path)
                case Ok(answer) if answer.status != GONE and position.era == self._era:
                    return Err(self._status_error(answer, Step.READ, path))
        return (await self._read_newest(topic)).map(lambda found: found._replace(lost=True))

    async def _read_from(
        self,
        topic: str,
        position: Position,
        wait_s: float,
        on_answer: Callable[[], None] = lambda: None,
    ) -> Result[HttpAnswer, PeerError]:
        """Read the records since `position`, going on after those that a failed read has brought.

        The answer is that of one read from `position`.
        """
        broken = self._broken_reads.get(topic)
        if broken is None or broken.position != position:
            broken = _BrokenRead(position)
        start = position.after(broken.count)
        # What was kept is not held back until there is more.
        wait_s = 0.0 if broken.count else wait_s
        path = _read_path(topic, start.offset, wait_s)
        arrival = Arrival(on_head=on_answer)
        match await self._call("GET", path, b"", Step.READ, wait_s, arrival):
            case Err(error):
                stated = arrival.headers.get(ERA_HEADER, str(position.era))
                if arrival.status == 200 and stated == str(position.era):
                    self._keep(topic, broken, bytes(arrival.body[READ_HEAD_BYTES:]))
                return Err(error)
            case Ok(answer) if answer.status == 200:
                self._broken_reads.pop(topic, None)
                head, rest = answer.body[:READ_HEAD_BYTES], answer.body[READ_HEAD_BYTES:]
                return Ok(answer._replace(body=head + broken.data + rest))
            case Ok(answer):
                if answer.status == GONE:
                    self._broken_reads.pop(topic, None)
                return Ok(answer)

    def _keep(self, topic: str, broken: _BrokenRead, data: bytes) -> None:
        """Keep the records that a failed read has brought in full, after those before them."""
        count, size = _whole_records(data)
        if count and len(broken.data) < MAX_KEPT_BYTES:
            self._broken_reads[topic] = _BrokenRead(
                broken.position, broken.count + count, broken.data + data[:size]
            )

    async def _read_newest(self, topic: str) -> Result[_Changes, PeerError]:
        now = trio.current_time()
        pages = self._pages.pop(topic, None)
        if pages is None or now - pages.began_at > MAX_PAGES_AGE_S:
            pages = _Pages(now)
        while True:
            if pages.end is not None and pages.end.era != self._era:
                pages = _Pages(trio.current_time())
            last = {"after": pages.after[-1]} if pages.after else {}
            path = _path("/log-newest", topic, **last)
            match await self._call("GET", path, b"", Step.READ):
                case Err(error):
                    if pages.after:
                        self._pages[topic] = pages
                    return Err(error)
                case Ok(answer) if answer.status == 200:
                    try:
                        page = _decode_page(answer.body)
                    except (msgspec.DecodeError, ValueError, RecursionError) as error:
                        return Err(PeerError(Step.READ, self._url, f"{path}: {error}"))
                case Ok(answer) if answer.status == NOT_FOUND:
                    return Ok(_Changes(Position(self._era, 0), True, ()))
                case Ok(answer):
                    return Err(self._status_error(answer, Step.READ, path))
            if pages.end is not None and pages.end.era != self._era:
                continue
            items = [_decode_item(item) for item in page.items]
            pages.records += [record for _, record in items]
            # The pages are read one after another and are no consistent snapshot: records appended
            # in the meantime are read again, starting at the end that the first page states.
            pages.end = Position(self._era, page.end) if pages.end is None else pages.end
            keys = [key for key, _ in items if key is not None]
            # A store that states other bytes than those of a key would return the same page again.
            if page.has_more and (not keys or keys[-1] in pages.after):
                pages.records.append(_UNREADABLE)
            if not page.has_more or not keys or keys[-1] in pages.after:
                return Ok(_Changes(pages.end, True, tuple(pages.records)))
            pages.after.append(keys[-1])

    def _decode_read(
        self, data: bytes, position: Position, path: str
    ) -> Result[_Changes, PeerError]:
        try:
            (end,) = struct.unpack_from(">Q", data)
            records = tuple(decode_records(data[READ_HEAD_BYTES:]))
        except (struct.error, IndexError) as error:
            return Err(PeerError(Step.READ, self._url, f"{path}: {error}"))
        after = position.after(len(records))
        return Ok(_Changes(after, False, records, at_end=after.offset >= end))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        step: Step,
        wait_s: float = 0.0,
        arrival: Arrival | None = None,
    ) -> Result[HttpAnswer, PeerError]:
        self._calls += 1
        timeout_s = wait_s + self._timeout_s
        arrival = arrival or Arrival()
        self._arrivals.add(arrival)
        try:
            outcome = await self._client.request(
                method,
                self._url + path,
                body,
                None,
                timeout_s,
                step,
                timeout_s + ARRIVAL_TIMEOUT_S,
                head_timeout_s=timeout_s,
                stall_timeout_s=self._timeout_s,
                arrival=arrival,
            )
        finally:
            self._arrivals.discard(arrival)
        return outcome.and_then(lambda answer: self._note_era(answer, step, path))

    def _note_era(self, answer: HttpAnswer, step: Step, path: str) -> Result[HttpAnswer, PeerError]:
        """Note the era if an answer states one; an earlier one than the known era is an error.

        Calls overlap, so that an answer from before a restoration may arrive after a later one.
        """
        stated = answer.headers.get(ERA_HEADER)
        if stated is None:
            return Ok(answer)
        if not stated.isascii() or not stated.isdigit():
            reason = f"{path}: header {ERA_HEADER} is not a number: {stated[:40]!r}"
            return Err(PeerError(step, self._url, reason))
        if int(stated) < self._era:
            reason = f"{path}: answered in era {stated} of the store, now is {self._era}"
            return Err(PeerError(step, self._url, reason))
        self._era = int(stated)
        return Ok(answer)

    def _status_error(self, answer: HttpAnswer, step: Step, path: str) -> PeerError:
        # The store guarantees that it did nothing if it answers 429 or 503.
        sent = answer.status not in (429, 503)
        return PeerError(step, self._url, f"{path}: status {answer.status}", sent=sent)


def _read_path(topic: str, offset: int, wait_s: float) -> str:
    wait = {"wait_ms": int(wait_s * 1000)} if wait_s else {}
    return _path("/log-read", topic, **{"from": offset}, max_kb=MAX_READ_KB, **wait)


def _path(call: str, topic: str, **parameters: bytes | int) -> str:
    """Return the path and the quoted query of a call."""
    query = urlencode({"topic": topic, "part": 0, **parameters}, quote_via=quote, safe="")
    return f"{call}?{query}"


def _decode_page(data: bytes) -> _NewestPage:
    """Decode a page of records; raises ``ValueError``.

    The store may state bytes of a key that aren't text as they are, or as escapes of lone
    surrogates. msgspec accepts neither.
    """
    try:
        return msgspec.json.decode(data, type=_NewestPage)
    except msgspec.DecodeError:
        page = json.loads(data.decode(errors="surrogateescape"))
    items = page.get("items") if isinstance(page, dict) else None
    if isinstance(items, list):
        # Escapes are what `_decode_item` reads with.
        page["items"] = [msgspec.Raw(json.dumps(item).encode()) for item in items]
        page = {"items": page["items"], "end": page.get("end"), "has_more": page.get("has_more")}
    return msgspec.convert(page, type=_NewestPage)


def _decode_item(data: msgspec.Raw) -> tuple[bytes | None, _Record]:
    """Return the key of an item, None if it has none, and its record."""
    try:
        item = msgspec.json.decode(data, type=_Item)
    except msgspec.DecodeError:
        try:
            item = msgspec.convert(
                json.loads(bytes(data).decode(errors="surrogateescape")), type=_Item
            )
        except (ValueError, RecursionError):
            return None, _UNREADABLE
    try:
        key = item.key.encode(errors="surrogateescape")
        return key, _Record(_decode_key(key), base64.b64decode(item.value))
    except UnicodeEncodeError:
        return None, _UNREADABLE
    except ValueError:
        return key, _UNREADABLE


def _decode_key(key: bytes) -> str:
    """Return a key as text, empty if it is none."""
    try:
        return key.decode()
    except UnicodeDecodeError:
        return ""


def _encode_record(key: bytes, value: bytes) -> bytes:
    payload = bytes([len(key)]) + key + value
    return struct.pack(">I", len(payload)) + payload


def _decode_evacuations(changes: _Changes) -> tuple[Evacuation, ...]:
    """Decode orders to evacuate zones; those of a snapshot are as of its last record."""
    found = []
    for number, record in enumerate(changes.records, start=-len(changes.records)):
        zone = record.key.removeprefix(EVACUATION_PREFIX)
        if zone and zone != record.key:
            position = changes.next.after(-1 if changes.snapshot else number)
            found.append(Evacuation(zone, bool(record.value), position))
    return tuple(found)


def _decode_reports(changes: _Changes) -> ReportUpdate:
    """Decode reports on endpoints."""
    first = changes.next.after(-len(changes.records))
    found, faults = [], []
    for number, record in enumerate(changes.records):
        try:
            found.append(
                (first.after(number), msgspec.msgpack.decode(record.value, type=EndpointReport))
            )
        except msgspec.DecodeError as error:
            faults.append(f"endpoint report of {record.key[:40]!r}: {error}")
    return ReportUpdate(changes.next, tuple(found), tuple(faults))


def _decode_values(
    records: Iterable[_Record], kind: type[T]
) -> tuple[tuple[T, ...], tuple[str, ...]]:
    """Decode the values of records; return the faults of those that can't be decoded, too."""
    found, faults = [], []
    for record in records:
        try:
            found.append(msgspec.msgpack.decode(record.value, type=kind))
        except msgspec.DecodeError as error:
            faults.append(f"{kind.__name__} of {record.key[:40]!r}: {error}")
    return tuple(found), tuple(faults)


def _whole_records(data: bytes) -> tuple[int, int]:
    """Return the number of records that `data` begins with in full, and their size."""
    count = position = 0
    while position + 4 <= len(data):
        (size,) = struct.unpack_from(">I", data, position)
        if position + 4 + size > len(data):
            break
        count, position = count + 1, position + 4 + size
    return count, position


def decode_records(data: bytes) -> Iterable[_Record]:
    """Decode the records of a keyed topic: record length, key length, key, value.

    A record whose key can't be decoded gets an empty one, so that those after it are not lost.
    """
    position = 0
    while position < len(data):
        (size,) = struct.unpack_from(">I", data, position)
        payload = data[position + 4 : position + 4 + size]
        if len(payload) < size:
            raise IndexError("the last record is cut short")
        key_end = 1 + payload[0] if payload else 0
        yield _Record(_decode_key(payload[1:key_end]), payload[key_end:])
        position += 4 + size
