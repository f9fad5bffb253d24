"""Controller of the origins of streams: records them in the store and looks them up."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import trio
from result import Err, Ok

from mulberrycleat.core import START, Position, bounded_id
from mulberrycleat.endpoint.directory import Directory, Entry
from mulberrycleat.endpoint.stream_origins import (
    GIVEN_UP_VERSION,
    MAX_NAME_LENGTH,
    MAX_REQUESTS,
    HostVersions,
    OriginRecord,
    StreamOrigin,
    StreamOrigins,
)
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes
from mulberrycleat.entry.shared_reads import SharedRead
from mulberrycleat.entry.store import StateStore
from mulberrycleat.entry.stream_bases import BaseController

__all__ = ["OriginController"]

# The first event of a stream is held for at most this time until the origin is recorded, in
# seconds. Events may reach the caller 0.12 s after the endpoint made them.
MAX_HOLD_S = 0.08
# Shortest time between two appends of this host, in seconds: while an event waits for a record, and
# otherwise.
HELD_INTERVAL_S, IDLE_INTERVAL_S = 0.02, 1.0
# Most appends that all hosts together make in a second while events wait for records, and
# otherwise. The store makes 500 a second in one log.
FLEET_APPENDS_PER_S, FLEET_IDLE_APPENDS_PER_S = 300.0, 100.0
# Most streams that wait to be recorded; further ones are not recorded.
MAX_PENDING = 16 * MAX_REQUESTS
# Shortest time between two reads, in seconds: callers may take up many streams that nobody knows.
MIN_READ_INTERVAL_S = 0.05
# Shortest time between two questions to all other hosts, in seconds: the longest wait for answers.
MIN_RECALL_INTERVAL_S = 0.2
# Longest time for which a caller waits for reads of the store, in seconds: a direct call that times
# out, and one through another host.
MAX_LOOKUP_S = 0.6
# Interval between attempts to read what was recorded before this host started, in seconds.
START_READ_INTERVAL_S = 0.3


@dataclass(slots=True)
class _Pending:
    """A stream to record; `recorded` is set once it is."""

    request_id: str
    origin: StreamOrigin
    recorded: trio.Event = field(default_factory=trio.Event)


class OriginController:
    """Records which version began each stream, and tells where one may go on.

    While a pool has endpoints of several versions, or had them lately, the first event of a stream
    is held until the origin is recorded, so that a host that takes up the stream finds it, even if
    all hosts have been killed in the meantime. Otherwise origins are recorded in the background:
    streams of the only version, the base of the pool. When a second version joins, a host may be
    killed before it has recorded all of them. A stream that is recorded nowhere goes on at the
    base, which is kept for a while, in which streams begin at no other version unrecorded.

    Parameters
    ----------
    host : str
        Name of this host.
    store : StateStore
        Where origins are recorded.
    directory : Directory
        The endpoints and their versions.
    times : EntryTimes
        Intervals of the loops.
    decisions : DecisionLog
        Log of streams without a known origin, and of failures.
    host_count : callable
        Returns the number of active hosts, which share the store's rate of appends.
    ask_others : callable
        Asks the other hosts for the origin of a stream, by its request id; used while no host that
        is tried reaches the store.
    ask_versions : callable
        Asks all other hosts for the versions in service; returns None if one of them is silent.
    refresh_directory : callable
        Reads the directory, and returns whether all that the store had at the call is applied.
    pause : callable, optional
        Waits before a call is repeated that did not reach the store; takes the interval, in
        seconds.
    store_lost : callable, optional
        Whether the store does not answer this host.
    """

    def __init__(
        self,
        host: str,
        store: StateStore,
        directory: Directory,
        times: EntryTimes,
        decisions: DecisionLog,
        host_count: Callable[[], int],
        ask_others: Callable[[str], Awaitable[StreamOrigin | None]],
        ask_versions: Callable[[], Awaitable[tuple[StreamOrigin, ...] | None]],
        refresh_directory: Callable[[], Awaitable[bool]],
        pause: Callable[[float], Awaitable[None]] = trio.sleep,
        store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._pause = pause
        self._store_lost = store_lost
        self._host = host
        self._store = store
        self._directory = directory
        self._times = times
        self._decisions = decisions
        self._host_count = host_count
        self._ask_others = ask_others
        self._origins = StreamOrigins()
        self._bases = BaseController(directory, self._versions, decisions)
        self._restored = trio.Event()
        self._position: Position = START
        self._ask_versions = ask_versions
        self._refresh_directory = refresh_directory
        self._records = SharedRead(self._read_to_end, MIN_READ_INTERVAL_S)
        self._recalls = SharedRead(self._recall_versions, MIN_RECALL_INTERVAL_S)
        self._recalled: tuple[StreamOrigin, ...] = ()
        self._pending: list[_Pending] = []
        self._held = trio.Event()
        self._failing = False
        # Whether the latest append took longer than events are held, or one has not ended by then.
        self._late = False

    @property
    def pending(self) -> int:
        """Number of streams that wait to be recorded."""
        return len(self._pending)

    def known(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream if this host remembers it."""
        return self._origins.find(_key(request_id), trio.current_time())

    def known_versions(self, hosts: tuple[str, ...]) -> HostVersions | None:
        """Return what this host knows of the versions in service, None before it has read them.

        Parameters
        ----------
        hosts : tuple of str
            Addresses of this host and of the others that it knows.
        """
        if not self._records.ever_succeeded:
            return None
        self._observe_directory()
        return HostVersions(self._origins.seen(trio.current_time()), hosts)

    def observe(self, entries: Iterable[Entry]) -> None:
        """Note the versions of endpoints that are, or were, in the directory."""
        self._origins.observe(entries, trio.current_time())
        self._bases.update()

    def begins_only_at(self, pool: str) -> str | None:
        """Return the only version at which streams may begin now, None if they may at any.

        While no origin can be recorded in time, that is the base.
        """
        is_behind = self._failing or self._late or self._store_lost()
        return self._bases.usable(pool) if is_behind and self._is_mixed(pool) else None

    async def record_start(self, request_id: str, origin: StreamOrigin) -> bool:
        """Record where a stream begins; return whether its first event may be sent then.

        A stream that must not begin there goes on nowhere, wherever it begins after that: the store
        may do the append of this origin after those that follow.
        """
        request_id = _key(request_id)
        self._bases.note_pool(origin.pool)
        self._origins.add(request_id, origin, trio.current_time(), own=True)
        if len(self._pending) >= MAX_PENDING:
            self._decisions.warning(
                "stream origin dropped", request=request_id, step="append", why="too many pending"
            )
            return self._bases.allows_unrecorded(origin)
        stream = _Pending(request_id, origin)
        self._pending.append(stream)
        if await self._await_record(stream) or self._bases.allows_unrecorded(origin):
            return True
        self.correct(request_id, StreamOrigin(origin.pool, GIVEN_UP_VERSION))
        return False

    async def _await_record(self, stream: _Pending) -> bool:
        """Wait until a stream is recorded, if it has to be held; return whether it is."""
        origin = stream.origin
        may_begin = self._bases.allows_unrecorded(origin)
        if may_begin and not self._is_mixed(origin.pool):
            return False
        self._held.set()
        if self._failing or self._store_lost():
            return False
        # A stream that must be recorded also waits for the host's turn.
        with trio.move_on_after(MAX_HOLD_S + (0.0 if may_begin else self._held_interval_s)):
            await stream.recorded.wait()
            return True
        self._late = True
        self._decisions.warning(
            "stream origin not recorded in time", request=stream.request_id, version=origin.version
        )
        return False

    @property
    def _held_interval_s(self) -> float:
        """Shortest time between two appends while events wait, in seconds."""
        return max(HELD_INTERVAL_S, max(1, self._host_count()) / FLEET_APPENDS_PER_S)

    def correct(self, request_id: str, origin: StreamOrigin) -> None:
        """Record another origin of a stream that began at this host."""
        request_id = _key(request_id)
        self._origins.add(request_id, origin, trio.current_time(), own=True)
        waiting = [stream for stream in self._pending if stream.request_id == request_id]
        for stream in waiting:
            stream.origin = origin
        if not waiting:
            self._pending.append(_Pending(request_id, origin))
        self._held.set()

    async def find(self, request_id: str, pool: str) -> StreamOrigin | None:
        """Return the origin of a stream that a caller takes up, or None if it can't be known.

        A stream that is recorded nowhere began at the only version that the pool has had lately, if
        there is only one.

        Parameters
        ----------
        request_id : str
            The caller's attempt that brought the first event; empty if the caller does not state
            it.
        pool : str
            Pool that its route leads to.
        """
        self._bases.note_pool(pool)
        request_id = _key(request_id)
        found = self.known(request_id)
        up_to_date = False
        if found is None and (request_id or not self._is_mixed(pool)):
            with trio.move_on_after(MAX_LOOKUP_S):
                up_to_date = await self._records.read()
                found = self.known(request_id)
                needs_directory = not self._is_mixed(pool) or self._bases.in_force(pool) is not None
                if found is None and up_to_date and needs_directory:
                    up_to_date = False
                    up_to_date = await self._refresh_directory()
            if found is None and request_id and not up_to_date:
                found = await self._ask_others(request_id)
            if found is None and request_id and up_to_date:
                # The log, just read, has no record of the stream.
                found = self._bases.unrecorded_origin(pool)
                if found is not None:
                    self._decisions.info(
                        "stream taken to have begun at the base",
                        resumes=request_id,
                        of=found.version,
                    )
        return await self._infer(pool, up_to_date) if found is None else found

    async def _infer(self, pool: str, up_to_date: bool) -> StreamOrigin | None:
        """Return the only version at which a stream may have begun, None if there are several.

        What this host knows has to be from after the stream began: read from the store since, or
        told by all other hosts.

        Parameters
        ----------
        up_to_date : bool
            Whether records and directory were read since the caller has asked.
        """
        if self._is_mixed(pool):
            return None
        recalled: tuple[StreamOrigin, ...] = ()
        if not up_to_date or not self._directory.is_complete(trio.current_time()):
            if not self._records.ever_succeeded or not await self._recalls.read():
                return None
            recalled = self._recalled
        versions = self._versions(pool) | {o.version for o in recalled if o.pool == pool}
        return StreamOrigin(pool, versions.pop()) if len(versions) == 1 else None

    def store_restored(self) -> None:
        """Record this host's streams again, since the store may have lost them."""
        waiting = {stream.request_id for stream in self._pending}
        self._pending += [
            _Pending(request_id, origin)
            for request_id, origin in self._origins.own_streams(trio.current_time())
            if request_id not in waiting
        ]
        self._held.set()
        self._restored.set()

    async def run_start(self) -> None:
        """Read what was recorded before this host started, or before the store was restored."""
        while True:
            self._restored = trio.Event()
            while not await self._records.read():
                await self._pause(START_READ_INTERVAL_S)
            await self._restored.wait()

    async def run_appends(self) -> None:
        """Record origins until cancelled."""
        while True:
            hosts = max(1, self._host_count())
            with trio.move_on_after(max(IDLE_INTERVAL_S, hosts / FLEET_IDLE_APPENDS_PER_S)):
                await self._held.wait()
            self._held = trio.Event()
            self._bases.update()
            while self._pending or self._bases.unlogged:
                await self._append_pending()
            await trio.sleep(self._held_interval_s)

    async def _append_pending(self) -> None:
        """Record pending streams; those whose append fails stay pending.

        A stream may be recorded twice if an answer of the store is lost, which changes nothing,
        even if it is corrected in between. One that is corrected during its append stays pending,
        as the store has its first origin.
        """
        batch = [(stream, stream.origin) for stream in self._pending[:MAX_REQUESTS]]
        requests: dict[StreamOrigin, list[str]] = defaultdict(list)
        for stream, origin in batch:
            requests[origin].append(stream.request_id)
        bases = {pool: self._bases.statement(pool) for pool, _ in requests} | self._bases.unlogged
        records = [
            OriginRecord(*origin, tuple(ids), bases[origin.pool])
            for origin, ids in requests.items()
        ]
        unsaid = set(bases) - {origin.pool for origin in requests}
        records += [OriginRecord(pool, bases[pool].version, (), bases[pool]) for pool in unsaid]
        began_at = trio.current_time()
        match await self._store.append_origins(self._host, tuple(records)):
            case Ok(_):
                self._late = trio.current_time() - began_at > MAX_HOLD_S
                corrected = [stream for stream, origin in batch if stream.origin != origin]
                self._pending[: len(batch)] = corrected
                self._failing = False
                for pool, statement in bases.items():
                    if statement is not None:
                        self._bases.apply(pool, statement)
                for stream, origin in batch:
                    if stream.origin == origin:
                        stream.recorded.set()
            case Err(error):
                self._log_failure("append", str(error))
                await self._pause(self._times.outage_retry_interval_s)

    async def _recall_versions(self) -> bool:
        """Ask all other hosts for the versions in service; return whether all have answered."""
        recalled = await self._ask_versions()
        self._recalled = recalled or ()
        return recalled is not None

    async def _read_to_end(self) -> bool:
        """Read all that was recorded; return whether that succeeded."""
        while True:
            match await self._store.read_origins(self._position):
                case Err(error):
                    self._log_failure("read", str(error))
                    return False
                case Ok(update):
                    now = trio.current_time()
                    for fault in update.faults:
                        self._decisions.warning("stream origin unreadable", why=fault)
                    for record in update.records:
                        self._origins.apply(record, now)
                        if record.base is not None:
                            self._bases.apply(record.pool, record.base)
                    self._position = update.next
                    if update.at_end:
                        self._bases.note_read(update.next.era)
                        return True

    def _is_mixed(self, pool: str) -> bool:
        """Whether streams of several versions of a pool may still be taken up."""
        return len(self._versions(pool)) > 1

    def _versions(self, pool: str) -> set[str]:
        self._observe_directory()
        return self._origins.versions(pool, trio.current_time())

    def _observe_directory(self) -> None:
        self._origins.observe(self._directory.entries.values(), trio.current_time())

    def _log_failure(self, step: str, why: str) -> None:
        if not self._failing:
            self._decisions.warning("stream origins not reached", step=step, peer="store", why=why)
        self._failing = True


def _key(request_id: str) -> str:
    """Return what a stream is known by: its id, which may be as long as a head allows."""
    return bounded_id(request_id, MAX_NAME_LENGTH)
