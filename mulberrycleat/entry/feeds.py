"""Controllers that keep the route map and the endpoints' directory up to date."""

from __future__ import annotations

from collections.abc import Callable

import trio
from result import Err, Ok

from mulberrycleat.endpoint.directory import Directory
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes
from mulberrycleat.entry.store import DirectoryUpdate, MapUpdate, StateStore
from mulberrycleat.routes import RouteTable

__all__ = ["DirectoryFeed", "MapFeed"]


class MapFeed:
    """The route map in force. A version never goes back.

    Parameters
    ----------
    store : StateStore
        Where operators write.
    times : EntryTimes
        Times of the loop.
    decisions : DecisionLog
        Where new versions and faults are told.
    on_change : callable
        Gets each new table, before requests do.
    """

    def __init__(
        self,
        store: StateStore,
        times: EntryTimes,
        decisions: DecisionLog,
        on_change: Callable[[RouteTable], None],
    ) -> None:
        self._store = store
        self._times = times
        self._decisions = decisions
        self._on_change = on_change
        self._offset: int | None = None
        self._table: RouteTable | None = None
        self._read_at = float("-inf")

    @property
    def table(self) -> RouteTable | None:
        """The route map in force, None before the first."""
        return self._table

    @property
    def read_at(self) -> float:
        """When the store last answered, in seconds of trio's clock."""
        return self._read_at

    def known(self) -> MapUpdate | None:
        """Return the map in force as news for another host."""
        return None if self._table is None else MapUpdate(None, self._table.map)

    async def run(self) -> None:
        """Follow the operators' record, for ever."""
        while True:
            wait_s = self._times.map_wait_s if self._table is not None else 0.0
            match await self._store.read_map(self._offset, wait_s):
                case Ok(news):
                    self._take(news)
                    if self._table is None or news.next is None:
                        await trio.sleep(self._times.peer_every_s)
                case Err(error):
                    age_s = round(trio.current_time() - self._read_at, 3)
                    self._decisions.note("route map not read", why=str(error), age_s=age_s)
                    await trio.sleep(self._times.peer_every_s)

    def _take(self, news: MapUpdate) -> None:
        self._read_at = trio.current_time()
        if news.next is not None:
            self._offset = news.next
        for fault in news.faults:
            self._decisions.warn("route map unreadable", why=fault, kept=self._version)
        if news.route_map is None or news.route_map.version <= self._version:
            return
        self._table = RouteTable(news.route_map)
        self._decisions.warn(
            "route map taken", version=self._table.version, routes=len(news.route_map.routes)
        )
        self._on_change(self._table)

    @property
    def _version(self) -> int:
        return self._table.version if self._table is not None else -1


class DirectoryFeed:
    """The directory of endpoints.

    Parameters
    ----------
    store : StateStore
        Where endpoints announce themselves.
    directory : Directory
        Kept up to date.
    times : EntryTimes
        Times of the loop.
    decisions : DecisionLog
        Where changes and faults are told.
    on_change : callable
        Called after endpoints have come, gone or changed.
    """

    def __init__(
        self,
        store: StateStore,
        directory: Directory,
        times: EntryTimes,
        decisions: DecisionLog,
        on_change: Callable[[], None],
    ) -> None:
        self._store = store
        self._directory = directory
        self._times = times
        self._decisions = decisions
        self._on_change = on_change
        self._offset: int | None = None
        self._read = False
        self._failing = False
        self._read_at = float("-inf")

    @property
    def read(self) -> bool:
        """Whether the directory has been read once."""
        return self._read

    @property
    def read_at(self) -> float:
        """When the store last answered, in seconds of trio's clock."""
        return self._read_at

    @property
    def beats(self) -> int:
        """Announcements that the store has taken so far."""
        return self._offset or 0

    def known(self) -> DirectoryUpdate | None:
        """Return all entries as news for another host."""
        if not self._read:
            return None
        changes = tuple(self._directory.entries.items())
        return DirectoryUpdate(None, True, changes)

    async def run(self) -> None:
        """Follow the endpoints' announcements, for ever."""
        while True:
            match await self._store.read_entries(self._offset):
                case Ok(news):
                    self._take(news)
                    await trio.sleep(self._times.entries_every_s)
                case Err(error):
                    if not self._failing:
                        self._decisions.warn("directory not read", why=str(error))
                    self._failing = True
                    await trio.sleep(self._times.peer_every_s)

    def _take(self, news: DirectoryUpdate) -> None:
        now = self._read_at = trio.current_time()
        if self._failing or news.lost:
            self._directory.store_returned(now)
        self._failing, self._read = False, True
        if news.next is not None:
            self._offset = news.next
        for fault in news.faults:
            self._decisions.warn("entry unreadable", why=fault)
        before = {i: e.state for i, e in self._directory.entries.items()}
        if news.whole:
            entries = [entry for _, entry in news.changes if entry is not None]
            self._directory.replace(entries, now)
        else:
            for entry_id, entry in news.changes:
                if entry is None:
                    self._directory.drop(entry_id, now)
                else:
                    self._directory.put(entry, now)
        self._directory.settle(now)
        self._tell(before)

    def _tell(self, before: dict) -> None:
        after = {i: e.state for i, e in self._directory.entries.items()}
        if before == after:
            return
        for entry_id in sorted(before.keys() | after.keys()):
            old, new = before.get(entry_id), after.get(entry_id)
            if old != new:
                self._decisions.note(
                    "endpoint changed",
                    endpoint=entry_id,
                    before=old.value if old else "unknown",
                    after=new.value if new else "gone",
                )
        self._on_change()
