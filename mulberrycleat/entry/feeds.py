"""Feeds that keep the route map and the endpoints' directory up to date."""

from __future__ import annotations

from collections.abc import Callable

import trio
from result import Err, Ok

from mulberrycleat.endpoint.directory import Directory
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes, FleetRequirements
from mulberrycleat.entry.store import DirectoryUpdate, MapUpdate, StateStore
from mulberrycleat.routes import RouteTable

__all__ = ["DirectoryFeed", "MapFeed"]


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
    """

    def __init__(
        self,
        store: StateStore,
        times: EntryTimes,
        bounds: Callable[[], FleetRequirements],
        decisions: DecisionLog,
        on_change: Callable[[RouteTable], None],
    ) -> None:
        self._store = store
        self._times = times
        self._bounds = bounds
        self._decisions = decisions
        self._on_change = on_change
        self._offset: int | None = None
        self._table: RouteTable | None = None
        self._read_at = float("-inf")

    @property
    def table(self) -> RouteTable | None:
        """The active route map, None before the first one."""
        return self._table

    @property
    def read_at(self) -> float:
        """Time of the last successful read, in seconds on trio's clock; -inf before the first."""
        return self._read_at

    def snapshot(self) -> MapUpdate | None:
        """Return the active route map as an update for another host, None before the first one."""
        return None if self._table is None else MapUpdate(None, self._table.map)

    async def run(self) -> None:
        """Read new route maps until cancelled."""
        while True:
            began = trio.current_time()
            wait_s = self._bounds().map_wait_s if self._table is not None else 0.0
            match await self._store.read_map(self._offset, wait_s):
                case Ok(update):
                    self._apply(update)
                    # A read through another host does not wait for a new map.
                    unwaited = update.route_map is None and (
                        trio.current_time() - began < wait_s / 2
                    )
                    if self._table is None or update.next is None or unwaited:
                        await trio.sleep(self._times.outage_retry_interval_s)
                case Err(error):
                    age_s = round(trio.current_time() - self._read_at, 3)
                    self._decisions.info("route map not read", why=str(error), age_s=age_s)
                    await trio.sleep(self._times.outage_retry_interval_s)

    def _apply(self, update: MapUpdate) -> None:
        """Make a newer route map the active one."""
        self._read_at = trio.current_time()
        for fault in update.faults:
            self._decisions.warning("route map unreadable", why=fault, kept=self._version)
        if update.route_map is not None and update.route_map.version > self._version:
            table = RouteTable(update.route_map)
            self._on_change(table)
            self._table = table
            self._decisions.warning(
                "route map taken", version=table.version, routes=len(update.route_map.routes)
            )
        # After an unexpected error above, the update is read once more.
        if update.next is not None:
            self._offset = update.next

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
    """

    def __init__(
        self,
        store: StateStore,
        directory: Directory,
        times: EntryTimes,
        bounds: Callable[[], FleetRequirements],
        decisions: DecisionLog,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._directory = directory
        self._times = times
        self._bounds = bounds
        self._decisions = decisions
        self._on_change = on_change
        self._offset: int | None = None
        self._read = False
        self._failing = False
        self._read_at = float("-inf")

    @property
    def read(self) -> bool:
        """Whether the directory has been read at least once."""
        return self._read

    @property
    def read_at(self) -> float:
        """Time of the last successful read, in seconds on trio's clock; -inf before the first."""
        return self._read_at

    @property
    def beats(self) -> int:
        """Number of heartbeats that the store had accepted by the latest read: the next offset."""
        return self._offset or 0

    def snapshot(self) -> DirectoryUpdate | None:
        """Return all entries as a snapshot for another host, None before the first read."""
        if not self._read:
            return None
        changes = tuple(self._directory.entries.items())
        return DirectoryUpdate(None, True, changes)

    async def run(self) -> None:
        """Read changes of the endpoints' entries until cancelled."""
        while True:
            match await self._store.read_entries(self._offset):
                case Ok(update):
                    self._apply(update)
                    await trio.sleep(self._bounds().directory_read_interval_s)
                case Err(error):
                    if not self._failing:
                        self._decisions.warning("directory not read", why=str(error))
                    self._failing = True
                    await trio.sleep(self._times.outage_retry_interval_s)

    def _apply(self, update: DirectoryUpdate) -> None:
        """Apply changes, or replace all entries by a snapshot."""
        now = self._read_at = trio.current_time()
        if self._failing or update.lost:
            self._directory.store_reconnected(now)
        for fault in update.faults:
            self._decisions.warning("entry unreadable", why=fault)
        before = {i: e.state for i, e in self._directory.entries.items()}
        if update.is_snapshot:
            entries = [entry for _, entry in update.changes if entry is not None]
            self._directory.replace(entries, now)
        else:
            for entry_id, entry in update.changes:
                if entry is None:
                    self._directory.drop(entry_id, now)
                else:
                    self._directory.put(entry, now)
        self._directory.settle(now)
        self._failing, self._read = False, True
        # After an unexpected error above, the update is read once more.
        if update.next is not None:
            self._offset = update.next
        self._report_changes(before)

    def _report_changes(self, before: dict) -> None:
        """Log each change of an endpoint's state, and call `on_change` if there are any.

        `before` has the states before the read, by endpoint id.
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
                )
        self._on_change()
