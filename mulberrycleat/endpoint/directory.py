"""Directory of endpoints, built from their heartbeats; decides when a missing one is removed.

The code in this module does no I/O. Times are in seconds and all of the same clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

__all__ = ["Directory", "Entry", "EntryState"]

# The platform guarantees that live endpoints whose entries expired during an outage of the store
# are listed again within two seconds after the store is reachable.
GRACE_AFTER_OUTAGE_S = 2.0
# An endpoint that has left is remembered for this time, in seconds: longer than the store's copies
# are old, which may still list it.
DEPARTED_TTL_S = 60.0
# The store may execute a write seconds after the endpoint's later ones. For this time after an
# entry, in seconds, older ones are ignored; after it, the newest one known may be another writer's,
# if the endpoint itself goes on writing older ones.
MAX_WRITE_DELAY_S = 10.0


class EntryState(Enum):
    """State that an endpoint announces."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Entry:
    """Directory entry of one endpoint, as announced by the endpoint.

    Attributes
    ----------
    slots : int
        Number of requests that the endpoint processes at the same time.
    cold_s : float
        Remaining time for which the endpoint is slow after its start, in seconds.
    born : float
        Start time that the endpoint states; distinguishes two incarnations with the same id.
    version : str
        Version of the endpoint's software; empty if it states none.
    sequence : int
        Number that rises with each entry of an incarnation.
    """

    id: str
    pool: str
    address: str
    zone: str
    state: EntryState = EntryState.READY
    slots: int = 1
    cold_s: float = 0.0
    born: float = 0.0
    version: str = ""
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """The endpoint and its start, as one name."""
        return f"{self.id}/{self.born:.3f}"


class _Departure(NamedTuple):
    """When an endpoint's entry was removed, in seconds, and the sequence of that entry."""

    at: float
    sequence: int


class Directory:
    """Directory entries by endpoint id.

    An entry that disappears while the store is reachable means that its endpoint has left. For
    ``GRACE_AFTER_OUTAGE_S`` seconds after the store is reachable again, or after it has lost its
    history, a missing entry is kept, since its endpoint may not have sent a heartbeat yet.

    Examples
    --------
    >>> directory = Directory()
    >>> directory.put(Entry("e1", "huts", "10.0.0.1:80", "a"), now=0.0)
    >>> directory.store_reconnected(now=5.0)
    >>> directory.drop("e1", now=5.5)
    >>> len(directory.ready("huts", 6.0)), len(directory.ready("huts", 7.5))
    (1, 0)
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._missing_until: dict[str, float] = {}
        self._departed: dict[str, _Departure] = {}
        self._put_at: dict[str, float] = {}
        # Last older entry of each incarnation that came after `MAX_WRITE_DELAY_S`.
        self._ignored: dict[str, Entry] = {}
        self._grace_until = 0.0
        self._read_at = float("-inf")
        self._ready_until: dict[str, float] = {}

    @property
    def entries(self) -> dict[str, Entry]:
        """All known entries by id, including missing entries that are still kept."""
        return self._entries

    @property
    def missing(self) -> frozenset[str]:
        """Ids of entries that are kept although the store does not have them."""
        return frozenset(self._missing_until)

    def is_missing(self, entry_id: str) -> bool:
        """Whether an entry is kept although the store does not have it."""
        return entry_id in self._missing_until

    def entry_age_s(self, entry_id: str, now: float) -> float:
        """Return the time since an entry was last put, in seconds; infinite if it is not known."""
        return now - self._put_at.get(entry_id, float("-inf"))

    def put(self, entry: Entry, now: float) -> None:
        """Add or replace an entry after a heartbeat of its endpoint, unless it is an older one."""
        if self._is_late(entry, now):
            return
        known = self._entries.get(entry.id)
        if entry.state is EntryState.READY:
            self._ready_until.pop(entry.id, None)
        elif known is not None and known.incarnation == entry.incarnation:
            if known.state is EntryState.READY:
                self._ready_until[entry.id] = self._read_at
        else:
            self._ready_until.pop(entry.id, None)
        self._entries[entry.id] = entry
        self._put_at[entry.id] = now
        self._missing_until.pop(entry.id, None)
        self._departed.pop(entry.incarnation, None)
        self._ignored.pop(entry.incarnation, None)

    def drop(self, entry_id: str, now: float) -> None:
        """Remove an entry that is no longer in the store; keep it in the grace period."""
        if entry_id not in self._entries:
            return
        if now < self._grace_until:
            self._missing_until[entry_id] = self._grace_until
        else:
            self._remove(entry_id, now)

    def replace(self, entries: Iterable[Entry], now: float, may_be_older: bool = False) -> None:
        """Apply a snapshot of the store; entries that are not in it are dropped.

        If the snapshot may be older than what is known, an endpoint that is known to be leaving or
        to have left stays so until its next heartbeat.
        """
        found = {entry.id: entry for entry in entries}
        for entry in found.values():
            if not (may_be_older and self._is_outdated(entry, now)):
                self.put(entry, now)
        for entry_id in [known for known in self._entries if known not in found]:
            self.drop(entry_id, now)

    def record_read(self, began_at: float) -> None:
        """Note that all changes up to the begin of a read have been applied."""
        self._read_at = began_at

    def store_reconnected(self, now: float) -> None:
        """Start the grace period: the store is reachable again, or has lost its history."""
        self._grace_until = now + GRACE_AFTER_OUTAGE_S

    def is_complete(self, now: float) -> bool:
        """Whether no entry may be missing whose endpoint has sent no heartbeat yet."""
        return now >= self._grace_until

    def settle(self, now: float) -> bool:
        """Remove entries whose grace period has ended; return whether there were any."""
        gone = [entry_id for entry_id, until in self._missing_until.items() if now >= until]
        for entry_id in gone:
            self._remove(entry_id, now)
        return bool(gone)

    def ready(self, pool: str, now: float) -> list[Entry]:
        """Return the endpoints of a pool that accept new requests."""
        self.settle(now)
        return [
            entry
            for entry in self._entries.values()
            if entry.pool == pool and entry.state is EntryState.READY
        ]

    def leaving(self, pool: str, now: float, limit_s: float) -> list[Entry]:
        """Return the endpoints of a pool that leave, and were ready `limit_s` ago or later."""
        return [
            entry
            for entry in self._entries.values()
            if entry.pool == pool
            and entry.state is EntryState.LEAVING
            and now < self._ready_until.get(entry.id, float("-inf")) + limit_s
        ]

    def _is_late(self, entry: Entry, now: float) -> bool:
        """Whether an entry was written before one that is known, of its endpoint or its start."""
        known = self._entries.get(entry.id)
        departed = self._departed.get(entry.incarnation)
        if known is not None and (entry.born, entry.sequence) < (known.born, known.sequence):
            newer_at = self._put_at[entry.id]
        elif known is None and departed is not None and entry.sequence < departed.sequence:
            newer_at = departed.at
        else:
            return False
        return now < newer_at + MAX_WRITE_DELAY_S or not self._goes_on(entry)

    def _goes_on(self, entry: Entry) -> bool:
        """Whether an older entry follows another one, so that its endpoint goes on writing them."""
        before = self._ignored.get(entry.incarnation)
        self._ignored[entry.incarnation] = entry
        return before is not None and before.sequence < entry.sequence

    def _is_outdated(self, entry: Entry, now: float) -> bool:
        """Whether an endpoint is known to be leaving or to have left, unlike its entry states."""
        known = self._entries.get(entry.id)
        if known is not None and known.incarnation == entry.incarnation:
            return known.state is EntryState.LEAVING and entry.state is EntryState.READY
        departed = self._departed.get(entry.incarnation)
        return departed is not None and now < departed.at + DEPARTED_TTL_S

    def _remove(self, entry_id: str, now: float) -> None:
        self._missing_until.pop(entry_id, None)
        self._ready_until.pop(entry_id, None)
        self._put_at.pop(entry_id, None)
        entry = self._entries.pop(entry_id, None)
        if entry is not None:
            self._departed = {
                name: departed
                for name, departed in self._departed.items()
                if now < departed.at + DEPARTED_TTL_S
            }
            self._departed[entry.incarnation] = _Departure(now, entry.sequence)
            remembered = self._departed.keys() | {e.incarnation for e in self._entries.values()}
            self._ignored = {n: e for n, e in self._ignored.items() if n in remembered}
