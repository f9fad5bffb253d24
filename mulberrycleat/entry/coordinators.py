"""Active entry hosts, and the hosts among them that hold slices of budgets. Free of I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from mulberrycleat.endpoint.rate_limits import HostPlace
from mulberrycleat.membership.rendezvous import ranked
from mulberrycleat.prepaid import Role

__all__ = ["CoordinatorMap", "HostEntry"]

# A host whose entry has not changed for this time is no longer active, in seconds. The time is
# longer than an outage of the store, during which no entry changes.
HOST_ACTIVE_S = 15.0
# An availability zone with at most this many hosts lets all of them hold slices.
SMALL_ZONE_HOSTS = 3
# Hosts of a larger zone that hold slices. There are two, so that the zone has one if the other
# dies; each more makes the ledger longer, which all of them read.
CANDIDATES_PER_ZONE = 2
# Hosts besides the candidates that keep records which the store may lose. The candidates alone may
# all be killed together.
FURTHER_KEEPERS = 4
# Hosts of a zone that can be its collector: the candidates, and more if these are few.
MAX_COLLECTORS = 4
# Ended incarnations that are remembered; a store that is restored from an older copy may have lost
# their ends.
MAX_ENDED = 1024
# Incarnations whose host is remembered.
MAX_INCARNATIONS = 4096
# Most places in orders of hosts that are remembered.
MAX_PLACES = 4096


class HostEntry(msgspec.Struct, frozen=True):
    """What an entry host announces to the others.

    Attributes
    ----------
    host, incarnation : str
        The host, and the incarnation of its process.
    number : int
        Number of the entry among those of the incarnation, counted from 1.
    zone : str
        Availability zone of the host.
    peer_address : str
        Address at which other hosts can reach it, as ``ip:port``.
    cores : float
        Processor capacity, as a multiple of a standard core.
    ended : bool
        Whether the incarnation has ended.
    """

    host: str
    incarnation: str
    number: int
    zone: str
    peer_address: str
    cores: float = 1.0
    ended: bool = False


class _LastChange(NamedTuple):
    """Newest entry of a host, and when it was first read, in seconds on trio's clock."""

    entry: HostEntry
    at: float


class CoordinatorMap:
    """Active hosts, and the coordinators of accounts among them.

    The coordinator of a shard is the host where the demand of all hosts for its accounts meets.
    Each availability zone has a zone coordinator, which serves while the coordinator can't be
    reached. Coordinators are chosen by rendezvous hashing among the candidates: all hosts of a
    small zone, and of a larger one the `CANDIDATES_PER_ZONE` with most processor capacity.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.

    Examples
    --------
    >>> book = CoordinatorMap("a", "z1")
    >>> zones = {"a": "z1", "b": "z1", "c": "z2"}
    >>> entries = {n: HostEntry(n, "1", 1, zone, f"{n}:3") for n, zone in zones.items()}
    >>> book.update(entries, now=0.0)
    True
    >>> book.coordinators(3), book.role(3)
    (('c', 'a'), <Role.ZONE_COORDINATOR: 'zone_home'>)
    >>> book.update(entries, now=1.0)
    False
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self._last_changes: dict[str, _LastChange] = {}
        self._ended: dict[tuple[str, str], None] = {}
        # Host of each incarnation that was read.
        self._hosts: dict[str, str] = {}
        self._active: tuple[str, ...] = ()
        self._candidates: tuple[str, ...] = ()
        self._by_shard: dict[int, tuple[str, ...]] = {}
        self._places: dict[tuple[str, str], HostPlace] = {}
        self._collectors: dict[str, tuple[str, ...]] = {}

    @property
    def zone_names(self) -> tuple[str, ...]:
        """Availability zones with active hosts."""
        return tuple(sorted({self._zone_of(name) for name in self._active}))

    @property
    def zones(self) -> int:
        """Number of availability zones with hosts."""
        return len({self._last_changes[name].entry.zone for name in self._active} | {self._zone})

    @property
    def entries(self) -> tuple[HostEntry, ...]:
        """Newest entry of each host that has not ended."""
        return tuple(change.entry for change in self._last_changes.values())

    @property
    def is_active(self) -> bool:
        """Whether this host is one of the active hosts."""
        return self._host in self._active

    @property
    def candidates(self) -> tuple[str, ...]:
        """Names of the hosts that can be coordinators."""
        return self._candidates

    def host_count(self, now: float) -> int:
        """Return the number of hosts that are active at `now`, in seconds on trio's clock."""
        return sum(1 for change in self._last_changes.values() if now - change.at < HOST_ACTIVE_S)

    def update(
        self, entries: Mapping[str, HostEntry], now: float, may_be_older: bool = False
    ) -> bool:
        """Apply newly read entries; return whether the set of active hosts has changed.

        Coordinators change only by this method, so they stay the same while the store can't be
        read.

        Parameters
        ----------
        entries : mapping
            Entries by the host's name; hosts that are not in it keep their newest entry.
        now : float
            Time of the read, in seconds on trio's clock.
        may_be_older : bool
            Whether the entries may be older than those known. Another incarnation of a known host
            may then be an earlier one, and is ignored.
        """
        for name, entry in entries.items():
            if may_be_older and self._is_of_another_start(name, entry):
                continue
            self._hosts[entry.incarnation] = name
            if len(self._hosts) > MAX_INCARNATIONS:
                del self._hosts[next(iter(self._hosts))]
            known = self._last_changes.get(name)
            if entry.ended:
                self._last_changes.pop(name, None)
                self._ended[name, entry.incarnation] = None
                if len(self._ended) > MAX_ENDED:
                    del self._ended[next(iter(self._ended))]
            elif (name, entry.incarnation) not in self._ended and _is_newer(entry, known):
                self._last_changes[name] = _LastChange(entry, now)
        seen = self._last_changes.items()
        active = tuple(sorted(n for n, change in seen if now - change.at < HOST_ACTIVE_S))
        if active == self._active:
            return False
        self._active = active
        self._candidates = self._choose_candidates()
        self._by_shard.clear()
        self._places.clear()
        self._collectors.clear()
        return True

    def _is_of_another_start(self, name: str, entry: HostEntry) -> bool:
        """Whether an entry is of another incarnation than the host's known or last known one."""
        known = self._last_changes.get(name)
        if known is None:
            return entry.incarnation in self._hosts
        return known.entry.incarnation != entry.incarnation

    def coordinators(self, shard: int) -> tuple[str, ...]:
        """Return the names of a shard's coordinator and its zone coordinator in this zone.

        There is only one name if one host is both or no host of this zone is active, and none while
        no host at all is active.
        """
        if shard not in self._by_shard:
            order = ranked(f"shard {shard}", self._candidates)
            in_zone = [name for name in order if self._zone_of(name) == self._zone]
            self._by_shard[shard] = tuple(dict.fromkeys([*order[:1], *in_zone[:1]]))
        return self._by_shard[shard]

    def witness(self, shard: int) -> str | None:
        """Return the name of the host that gets this host's records of a shard, too.

        Coordinators read the records themselves, so it is the first other candidate in the order
        for the shard that coordinates it in no zone, of another zone if there is one.
        """
        order = ranked(f"shard {shard}", self._candidates)
        first_of_zone = {self._zone_of(name): name for name in reversed(order)}
        others = [name for name in order if name != self._host]
        idle = [name for name in others if name != first_of_zone[self._zone_of(name)]]
        far = [name for name in idle if self._zone_of(name) != self._zone]
        return next(iter([*far, *idle, *others]), None)

    def keepers(self, shard: int) -> tuple[str, ...]:
        """Return the names of the hosts that keep records of a shard which the store may lose.

        These are the candidates and a few further hosts, the same ones at all hosts.
        """
        others = [name for name in self._active if name not in self._candidates]
        return (*self._candidates, *ranked(f"keepers {shard}", others)[:FURTHER_KEEPERS])

    def collectors(self, zone: str) -> tuple[str, ...]:
        """Return the names of the hosts that can be the collector of a zone, the first one first.

        These are its candidates in the order of rendezvous hashing, and further hosts with most
        processor capacity.
        """
        if zone not in self._collectors:
            names = [name for name in self._active if self._zone_of(name) == zone]
            order = ranked(f"collector {zone}", [n for n in self._candidates if n in names])
            others = ranked(f"collector {zone}", [n for n in names if n not in self._candidates])
            others.sort(key=lambda name: -self._last_changes[name].entry.cores)
            self._collectors[zone] = (*order, *others)[:MAX_COLLECTORS]
        return self._collectors[zone]

    def count_of(self, zone: str) -> int:
        """Return the number of active hosts of a zone."""
        return sum(self._zone_of(name) == zone for name in self._active)

    def zone_of(self, host: str) -> str | None:
        """Return the availability zone of a host, None if its entry is not known."""
        change = self._last_changes.get(host)
        return change.entry.zone if change is not None else None

    def role(self, shard: int) -> Role:
        """Return this host's role for a shard; coordinator while no host is active."""
        coordinators = self.coordinators(shard)
        if not coordinators or coordinators[0] == self._host:
            return Role.COORDINATOR
        return Role.ZONE_COORDINATOR if self._host in coordinators else Role.OTHER

    def has_ended(self, incarnation: str) -> bool:
        """Whether an incarnation has announced its end, or a later one of its host was read."""
        host = self._hosts.get(incarnation)
        if host is None:
            return False
        change = self._last_changes.get(host)
        return change is None or change.entry.incarnation != incarnation

    def rank(self, task: str) -> int:
        """Return this host's place in the order of the active hosts for a task, from 0."""
        return self.place(task, "").rank

    def place(self, task: str, zone: str) -> HostPlace:
        """Return this host's place in the order for a task, in which hosts of `zone` come first.

        A host that is not active itself, as after its start, is the last and not the first.
        """
        key = (task, zone)
        if key not in self._places:
            if len(self._places) >= MAX_PLACES:
                self._places.clear()
            order = ranked(task, self._active)
            order.sort(key=lambda name: self._zone_of(name) != zone)
            is_active = self._host in self._active
            rank = order.index(self._host) if is_active else max(1, len(order))
            self._places[key] = HostPlace(rank, len(order))
        return self._places[key]

    def addresses_of(self, names: Iterable[str]) -> tuple[str, ...]:
        """Return the addresses of other hosts; those without a known address are left out."""
        changes = [self._last_changes.get(name) for name in names if name != self._host]
        return tuple(c.entry.peer_address for c in changes if c and c.entry.peer_address)

    def candidates_from(self, zone: str) -> tuple[str, ...]:
        """Return the names of all candidates, those of `zone` first."""
        return tuple(sorted(self._candidates, key=lambda name: self._zone_of(name) != zone))

    def _choose_candidates(self) -> tuple[str, ...]:
        by_zone: dict[str, list[str]] = defaultdict(list)
        for name in ranked("candidates", self._active):
            by_zone[self._zone_of(name)].append(name)
        chosen: list[str] = []
        for names in by_zone.values():
            if len(names) > SMALL_ZONE_HOSTS:
                names.sort(key=lambda name: -self._last_changes[name].entry.cores)
                names = names[:CANDIDATES_PER_ZONE]
            chosen += names
        return tuple(sorted(chosen))

    def _zone_of(self, name: str) -> str:
        return self._last_changes[name].entry.zone


def _is_newer(entry: HostEntry, known: _LastChange | None) -> bool:
    """Whether an entry is newer than the known one; that of another incarnation is taken to be."""
    if known is None or known.entry.incarnation != entry.incarnation:
        return True
    return entry.number > known.entry.number
