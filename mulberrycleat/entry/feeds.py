"""Feeds that keep the route map and the endpoints' directory up to date."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import trio
from result import Err, Ok

from mulberrycleat.core import START, Position
from mulberrycleat.endpoint.directory import Directory, Entry
from mulberrycleat.endpoint.evacuations import EvacuationChange, Evacuations, FreezeWatch
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes, FleetRequirements
from mulberrycleat.entry.shared_reads import SharedRead
from mulberrycleat.entry.store import DirectoryUpdate, MapUpdate, StateStore
from mulberrycleat.routes import RouteTable

__all__ = ["DirectoryFeed", "MapFeed"]

# Reads after the start, and after the store was restored from an older copy, with which the other
# hosts are asked for the route map that they know; several, as not all hosts are known at once.
RECALLS = 3
# Time for the head of an answer of the store to arrive and to be read by a busy host, as a share of
# the time in which a new route map has to be in force. With the longest wait of a read, three
# quarters, the state of the map stays known.
ARRIVAL_SHARE = 0.1
# Time without an outage or a failed read from which a newer map is due, as a share of `contact_s`,
# the time that a host which was cut off has to learn what others know. It is longer than a read
# that gets no answer takes: to a host whose reads all fail, none is due.
REACH_SHARE = 0.85


class MapFeed:
    """Reads route maps from the store and provides the active one, whose version never decreases.

    Parameters
    ----------
    store : StateStore
        Where operators publish route maps.
    times : EntryTimes
        Intervals of the loop.
    bounds : callable
        Returns the requirements on the fleet, which the reads follow from.
    decisions : DecisionLog
        Log of new versions and failures.
    on_change : callable
        Called with each new table before any request is routed by it.
    on_restored : callable, optional
        Called after the store was found to have been restored from an older copy.
    recall : callable, optional
        Asks the other hosts for the newest route map, and the evacuations, that they know. After
        the store was restored from an older copy, they may know more than the store.
    pause : callable, optional
        Waits before a read is repeated that did not reach the store; takes the interval, in
        seconds.
    on_evacuations : callable, optional
        Called with each zone whose evacuation has come into force or has ended, at once.
    in_reach_since : callable, optional
        Returns the time since which the store answers this host, in seconds on trio's clock; inf
        while it doesn't.
    """

    def __init__(
        self,
        store: StateStore,
        times: EntryTimes,
        bounds: Callable[[], FleetRequirements],
        decisions: DecisionLog,
        on_change: Callable[[RouteTable], None],
        on_restored: Callable[[], None] = lambda: None,
        recall: Callable[[], Awaitable[MapUpdate | None]] | None = None,
        pause: Callable[[float], Awaitable[None]] = trio.sleep,
        on_evacuations: Callable[[Sequence[EvacuationChange]], None] = lambda changes: None,
        in_reach_since: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._pause = pause
        self._in_reach_since = in_reach_since
        self._on_evacuations = on_evacuations
        self._evacuations = Evacuations()
        self._freezes = FreezeWatch()
        self._store = store
        self._times = times
        self._bounds = bounds
        self._decisions = decisions
        self._on_change = on_change
        self._on_restored = on_restored
        self._recall = recall
        self._recalls_left = RECALLS
        self._position: Position | None = None
        self._table: RouteTable | None = None
        self._read_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._answered_at = float("-inf")
        self._failed_at = float("-inf")
        self._found_map = False

    @property
    def table(self) -> RouteTable | None:
        """The active route map, None before the first one."""
        return self._table

    @property
    def read_at(self) -> float:
        """Time of the last successful read, in seconds on trio's clock; -inf before the first."""
        return self._read_at

    @property
    def age_s(self) -> float:
        """Longest time for which the store may have had a newer map, in seconds; inf before one."""
        return trio.current_time() - self._confirmed_at

    @property
    def is_current(self) -> bool:
        """Whether a map that this host lacks could only be newer than the time it may take.

        A host that is cut off from the store, or short of processor time, knows later than the
        bound what has been added.
        """
        return self.age_s <= self._bounds().config_apply_s

    @property
    def is_behind(self) -> bool:
        """Whether a newer map is due that this host, though in reach of the store, may lack.

        A host that can't read maps goes on with the one that it has.
        """
        reached_s = trio.current_time() - max(self._failed_at, self._in_reach_since())
        return not self.is_current and reached_s >= REACH_SHARE * self._bounds().contact_s

    @property
    def evacuated(self) -> frozenset[str]:
        """The zones that operators have evacuated."""
        return self._evacuations.zones

    @property
    def may_lack_orders(self) -> bool:
        """Whether this process was frozen and has not read the orders since then.

        Deployments that state no time for evacuations are served as if there were none to miss.
        """
        now = trio.current_time()
        lacking = self._freezes.may_lack_orders(self._read_at, now)
        return lacking and self._bounds().evacuate_s > 0

    def note_running(self) -> None:
        """Note that this process runs; called about once a second."""
        self._freezes.note_running(trio.current_time())

    def snapshot(self) -> MapUpdate | None:
        """Return the active route map as an update for another host, None before the first one."""
        if self._table is None:
            return None
        return MapUpdate(None, self._table.map, evacuations=self._evacuations.known)

    async def run(self) -> None:
        """Read new route maps until cancelled."""
        while True:
            began = trio.current_time()
            wait_s = self._wait_s()
            note_answer = partial(self._note_answer, began, wait_s)
            match await self._store.read_map(self._position, wait_s, note_answer):
                case Ok(update):
                    self._apply(update, began)
                    self._note_read(update, began, wait_s)
                    await self._recall_map()
                    # A read through another host does not wait for a new map.
                    unwaited = update.route_map is None and (
                        trio.current_time() - began < wait_s / 2
                    )
                    pauses = unwaited or self._recalls_left > 0
                    if self._table is None or pauses:
                        await trio.sleep(self._times.outage_retry_interval_s)
                    elif update.next is None:
                        await self._pause(self._times.outage_retry_interval_s)
                case Err(error):
                    self._failed_at = trio.current_time()
                    age_s = round(self.age_s, 3) if math.isfinite(self.age_s) else None
                    took_s = round(self._failed_at - began, 3)
                    self._decisions.info(
                        "route map not read", why=str(error), age_s=age_s, took_s=took_s
                    )
                    await self._pause(self._times.outage_retry_interval_s)

    def _wait_s(self) -> float:
        """Return the time for which the next read waits at the store for a new map, in seconds.

        After a new map, the next read doesn't wait: another one may have been written while that
        one was arriving.
        """
        if self._table is None or self._recalls_left or self._found_map:
            return 0.0
        return self._bounds().map_wait_s

    def _note_answer(self, began: float, wait_s: float) -> None:
        """Note that an answer of the store begins to arrive, to a read that began at `began`.

        If the answer did not come at once, the store had no newer map until it answered.
        """
        now = self._answered_at = trio.current_time()
        arrival_s = ARRIVAL_SHARE * self._bounds().config_apply_s
        if wait_s and now - began > arrival_s:
            self._confirmed_at = max(self._confirmed_at, now - arrival_s)

    def _note_read(self, update: MapUpdate, began: float, wait_s: float) -> None:
        """Note as of when an update tells of all route maps.

        One that has waited in vain tells of the end of its waiting time, any other one of its
        begin, as further maps may have been written while it was arriving.
        """
        self._found_map = update.route_map is not None
        if update.next is None:
            self._failed_at = trio.current_time()
            return
        has_waited = not self._found_map and self._answered_at >= began + wait_s
        confirmed_at = began + wait_s if has_waited else began
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def _apply(self, update: MapUpdate, began: float) -> None:
        """Make a newer route map the active one; the read of the update began at `began`."""
        self._read_at = trio.current_time()
        for fault in update.faults:
            self._decisions.warning("route map unreadable", why=fault, kept=self._version)
        if update.route_map is not None and update.route_map.version > self._version:
            table, age_s = RouteTable(update.route_map), self.age_s
            self._on_change(table)
            self._table = table
            self._decisions.warning(
                "route map taken",
                version=table.version,
                routes=len(update.route_map.routes),
                source="store" if update.next is not None else "other hosts",
                took_s=round(self._read_at - began, 3),
                former_age_s=round(age_s, 3) if math.isfinite(age_s) else None,
            )
        self._apply_evacuations(update)
        # After an unexpected error above, the update is read once more.
        if update.next is not None:
            if self._position is not None and update.next.era > self._position.era:
                self._recalls_left = RECALLS
                self._decisions.warning("store restored", peer="store", era=update.next.era)
                self._on_restored()
            self._position = update.next

    async def _recall_map(self) -> None:
        """Make a newer route map that another host knows the active one, if a recall is due."""
        if not self._recalls_left:
            return
        self._recalls_left -= 1
        began = trio.current_time()
        recalled = await self._recall() if self._recall is not None else None
        if recalled is not None:
            self._apply(recalled, began)

    def _apply_evacuations(self, update: MapUpdate) -> None:
        """Bring orders to evacuate zones into force, or end them."""
        kept = self._evacuations.kept
        if update.next is None:
            changes = self._evacuations.merge(update.evacuations)
        elif update.is_snapshot:
            changes = self._evacuations.apply_snapshot(update.evacuations, update.next)
        else:
            changes = self._evacuations.apply(update.evacuations, update.next)
        for zone, in_force in changes:
            source = "other hosts" if update.next is None else "store"
            self._decisions.warning("evacuation seen", of=zone, ordered=in_force, source=source)
        for zone in sorted(self._evacuations.kept - kept):
            self._decisions.warning("evacuation kept", of=zone, why="the store has lost the order")
        if changes:
            self._on_evacuations(changes)

    @property
    def _version(self) -> int:
        return self._table.version if self._table is not None else -1


class DirectoryFeed:
    """Reads the endpoints' entries from the store into the directory.

    Parameters
    ----------
    store : StateStore
        Where endpoints send their heartbeats.
    directory : Directory
        The directory to update.
    times : EntryTimes
        Intervals of the loop.
    bounds : callable
        Returns the requirements on the fleet, which the reads follow from.
    decisions : DecisionLog
        Log of changes and failures.
    on_change : callable
        Called after endpoints were added or removed, or have changed their state.
    on_entries : callable, optional
        Called with all entries of each update, of which the directory keeps the latest ones only.
    pause : callable, optional
        Waits before a read is repeated that did not reach the store; takes the interval, in
        seconds.
    """

    def __init__(
        self,
        store: StateStore,
        directory: Directory,
        times: EntryTimes,
        bounds: Callable[[], FleetRequirements],
        decisions: DecisionLog,
        on_change: Callable[[], None],
        on_entries: Callable[[Sequence[Entry]], None] = lambda entries: None,
        pause: Callable[[float], Awaitable[None]] = trio.sleep,
    ) -> None:
        self._pause = pause
        self._store = store
        self._directory = directory
        self._on_entries = on_entries
        self._reads = SharedRead(self._read_once)
        self._times = times
        self._bounds = bounds
        self._decisions = decisions
        self._on_change = on_change
        self._position: Position | None = None
        self._beats_lost = 0
        self._read = False
        self._failing = False
        self._read_at = float("-inf")
        self._store_read_at = float("-inf")

    @property
    def store_read_at(self) -> float:
        """Begin of the last read from the store, not from another host's memory, in seconds.

        On trio's clock; -inf before the first.
        """
        return self._store_read_at

    @property
    def read(self) -> bool:
        """Whether the directory has been read at least once."""
        return self._read

    @property
    def read_at(self) -> float:
        """End of the last read from the store, on trio's clock in seconds; -inf before one."""
        return self._read_at

    @property
    def beats(self) -> int:
        """Number of heartbeats that the store had accepted by the latest read.

        It counts those too that the store has lost since.
        """
        return self._beats_lost + (self._position or START).offset

    def snapshot(self, beyond: Position | None) -> DirectoryUpdate | None:
        """Return the entries that the store listed as a snapshot for another host.

        None before the first read, and for a host that has read the store's log up to `beyond` if
        it knows as much, or if this host still waits for entries that the store lacks.
        """
        if not self._read:
            return None
        self._directory.settle(trio.current_time())
        missing = self._directory.missing
        if beyond is not None and (missing or not _is_further(self._position, beyond)):
            return None
        listed = tuple(item for item in self._directory.entries.items() if item[0] not in missing)
        return DirectoryUpdate(None, True, listed, as_of=self._position)

    async def run(self) -> None:
        """Read changes of the endpoints' entries until cancelled."""
        while True:
            if await self._reads.read():
                await trio.sleep(self._bounds().directory_read_interval_s)
            elif self._read:
                await self._pause(self._times.outage_retry_interval_s)
            else:
                await trio.sleep(self._times.outage_retry_interval_s)

    async def refresh(self) -> bool:
        """Read all that the store had at the time of the call; return whether that succeeded."""
        return await self._reads.read()

    async def _read_once(self) -> bool:
        """Read changes; return whether they are from the store rather than from another host."""
        began_at = trio.current_time()
        match await self._store.read_entries(self._position):
            case Ok(update):
                self._apply(update, began_at)
                if update.next is None:
                    return False
                self._store_read_at = began_at
                return True
            case Err(error):
                if not self._failing:
                    self._decisions.warning("directory not read", why=str(error))
                self._failing = True
                return False

    def _apply(self, update: DirectoryUpdate, began_at: float) -> None:
        """Apply changes of a read that began at a time, or replace all entries by a snapshot.

        What another host remembers is applied only if it has read more of the store's log.
        """
        now = trio.current_time()
        from_store = update.next is not None
        position = update.next if from_store else update.as_of
        if not from_store:
            self._failing = True
            if self._read and not _is_further(position, self._position):
                return
        elif update.lost or self._failing:
            self._directory.store_reconnected(now)
        for fault in update.faults:
            self._decisions.warning("entry unreadable", why=fault)
        self._on_entries([entry for _, entry in update.changes if entry is not None])
        before = {i: e.state for i, e in self._directory.entries.items()}
        missing = self._directory.missing
        self._update_directory(update, position, now)
        self._read = True
        if from_store:
            self._directory.record_read(began_at)
            self._read_at, self._failing = now, False
        # After an unexpected error above, the update is read once more.
        if position is not None:
            if self._is_restored(position):
                self._beats_lost += self._position.offset - position.offset
            self._position = position
        source = "store" if from_store else "another host's memory"
        if update.is_snapshot:
            self._decisions.info("directory replaced", source=source, entries=len(update.changes))
        self._report_missing(missing, source)
        self._report_changes(before, source)

    def _update_directory(
        self, update: DirectoryUpdate, position: Position | None, now: float
    ) -> None:
        """Bring the directory to the state that an update tells of, as of `position`."""
        if update.is_snapshot:
            entries = [entry for _, entry in update.changes if entry is not None]
            self._directory.replace(entries, now, may_be_older=self._is_restored(position))
        else:
            for entry_id, entry in update.changes:
                if entry is None:
                    self._directory.drop(entry_id, now)
                else:
                    self._directory.put(entry, now)
        self._directory.settle(now)

    def _is_restored(self, position: Position | None) -> bool:
        """Whether the store was restored from an older copy between this host's position and one.

        Entries as of that position may then be older than those known here.
        """
        known = self._position
        return known is not None and position is not None and position.era > known.era

    def _report_missing(self, before: frozenset[str], source: str) -> None:
        """Log which entries are kept although the store lacks them, and which no longer are.

        `before` has those that were kept before the read, `source` is where it was read from.
        """
        missing = self._directory.missing
        for entry_id in sorted(missing - before):
            self._decisions.info("missing endpoint kept", endpoint=entry_id, source=source)
        for entry_id in sorted((before - missing) & self._directory.entries.keys()):
            self._decisions.info("missing endpoint listed", endpoint=entry_id, source=source)

    def _report_changes(self, before: dict, source: str) -> None:
        """Log each change of an endpoint's state, and call `on_change` if there are any.

        `before` has the states before the read, by endpoint id; `source` is where it was read from.
        """
        after = {i: e.state for i, e in self._directory.entries.items()}
        if before == after:
            return
        for entry_id in sorted(before.keys() | after.keys()):
            old, new = before.get(entry_id), after.get(entry_id)
            if old != new:
                self._decisions.info(
                    "endpoint changed",
                    endpoint=entry_id,
                    before=old.value if old else "unknown",
                    after=new.value if new else "gone",
                    source=source,
                )
        self._on_change()


def _is_further(position: Position | None, known: Position | None) -> bool:
    """Whether state as of `position` has changes that state as of `known` lacks."""
    return position is not None and (known is None or position > known)
