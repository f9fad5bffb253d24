"""Controller of the roster: the entry hosts that are active, as announced in the store."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok

from mulberrycleat.core import Position
from mulberrycleat.entry.coordinators import CoordinatorMap, HostEntry
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.store import HostUpdate, StateStore

__all__ = ["HostRoster"]

# Interval between announcements of this host, in seconds: three in the time after which a host is
# no longer active.
ANNOUNCEMENT_INTERVAL_S = 5.0
# Interval between reads of the roster, in seconds, and while hosts are joining.
READ_INTERVAL_S, JOINING_READ_INTERVAL_S = 3.0, 0.2
# The other hosts drop a host 15 s after its latest announcement, which is made each 5 s, and take
# over its parts of shared rates. A host that has not read the roster for this time, in seconds, may
# have been dropped.
MAX_CONTACT_AGE_S = 10.0
# Time after which all others have read that a host has joined, in seconds: an interval of their
# reads, and a second for the call.
JOINED_S = READ_INTERVAL_S + 1.0
# Time limit for announcing the end of this host, in seconds.
END_TIMEOUT_S = 0.5


class HostRoster:
    """Announces this host in the store and reads the announcements of the others.

    Parameters
    ----------
    entry : HostEntry
        Announcement of this host; the numbers are assigned here.
    store : StateStore
        Where hosts announce themselves.
    decisions : DecisionLog
        Log of changes and failures.
    on_change : callable
        Called after the set of active hosts has changed.
    pause : callable, optional
        Waits between calls while the roster has not been read from the store; takes the interval,
        in seconds.
    """

    def __init__(
        self,
        entry: HostEntry,
        store: StateStore,
        decisions: DecisionLog,
        on_change: Callable[[], None],
        pause: Callable[[float], Awaitable[None]] = trio.sleep,
    ) -> None:
        self._pause = pause
        self._entry = entry
        self._store = store
        self._decisions = decisions
        self._on_change = on_change
        self._map = CoordinatorMap(entry.host, entry.zone)
        self._position: Position | None = None
        self._announced_at = float("-inf")
        self._number = 0
        self._settled = False
        self._contact_at = float("-inf")
        self._joined_at: float | None = None
        self._failing = False

    @property
    def coordinators(self) -> CoordinatorMap:
        """The active hosts and the coordinators among them."""
        return self._map

    @property
    def settled(self) -> bool:
        """Whether the roster has been read, and a second read has found no further hosts."""
        return self._settled

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of the other hosts."""
        return self._map.addresses_of(entry.host for entry in self._map.entries)

    def knows_hosts(self) -> bool:
        """Whether this host and all others know the same active hosts, as far as it can tell.

        A host that has just started, or that is cut off from the store and from all hosts that
        reach it, does not.
        """
        now = trio.current_time()
        if not self._settled or self._joined_at is None:
            return False
        return now >= self._joined_at + JOINED_S and now < self._contact_at + MAX_CONTACT_AGE_S

    def snapshot(self) -> HostUpdate | None:
        """Return the roster as an update for another host, None before the first read."""
        entries = self._map.entries
        return HostUpdate(None, True, entries) if entries else None

    async def run(self) -> None:
        """Announce this host and read the roster until cancelled."""
        while True:
            if trio.current_time() - self._announced_at >= ANNOUNCEMENT_INTERVAL_S:
                await self._announce()
            await self._read()
            if self._settled:
                await trio.sleep(READ_INTERVAL_S)
            elif self._map.entries:
                await self._pause(JOINING_READ_INTERVAL_S)
            else:
                await trio.sleep(JOINING_READ_INTERVAL_S)

    async def end(self) -> None:
        """Announce that this host has ended."""
        with trio.move_on_after(END_TIMEOUT_S):
            await self._announce(ended=True)

    async def _announce(self, ended: bool = False) -> None:
        self._number += 1
        entry = HostEntry(
            self._entry.host,
            self._entry.incarnation,
            self._number,
            self._entry.zone,
            self._entry.peer_address,
            self._entry.cores,
            ended,
        )
        match await self._store.append_host(entry):
            case Ok(_):
                self._announced_at = trio.current_time()
            case Err(error):
                self._log_failure("announce", str(error))

    async def _read(self) -> None:
        match await self._store.read_hosts(self._position):
            case Ok(update):
                self._apply(update)
            case Err(error):
                self._log_failure("read", str(error))

    def _apply(self, update: HostUpdate) -> None:
        for fault in update.faults:
            self._decisions.warning("host entry unreadable", why=fault)
        entries = {entry.host: entry for entry in update.entries}
        from_store = update.next is not None
        changed = self._map.update(entries, trio.current_time(), may_be_older=not from_store)
        if changed:
            self._on_change()
            hosts, candidates = len(self._map.entries), len(self._map.candidates)
            self._decisions.info("hosts changed", hosts=hosts, candidates=candidates)
        # A roster from another host's memory may be outdated, and is read again soon.
        if from_store:
            if self._position is not None and update.next.era > self._position.era:
                # The store may have lost the announcement.
                self._announced_at = float("-inf")
            self._position = update.next
            self._failing = False
            self._contact_at = trio.current_time()
        if not self._map.is_active:
            self._joined_at = None
        elif from_store and self._joined_at is None:
            self._joined_at = trio.current_time()
        self._settled = self._settled or (bool(self._map.entries) and from_store and not changed)

    def _log_failure(self, step: str, why: str) -> None:
        if not self._failing:
            self._decisions.warning("roster not reached", step=step, peer="store", why=why)
        self._failing = True
