"""Ledger of the newest slice record of each host, with sums over the hosts."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from mulberrycleat.core import START, Position

__all__ = ["AccountShare", "ClockReading", "HolderRecord", "SliceLedger", "silence_s"]

# Margins in seconds, added to the time that a dead host may have run after its last record: the
# first for clock drift, the second for the uneven spacing of heartbeats, which measure the time if
# the clock was set back.
CLOCK_DRIFT_MARGIN_S, CLOCK_SET_BACK_MARGIN_S = 0.1, 0.3
# Incarnations of a host that are remembered, to tell which of two records is the newer one.
MAX_INCARNATIONS = 8
# After the store was restored from an older copy, no slice is enlarged until all hosts that are
# known to hold tokens have written a record. That takes at least the first time, in seconds: the
# longest pause between two calls of a host that the store did not answer, and the time to write. It
# takes at most the second time, for which slices grow in an outage.
MIN_REBUILD_S, MAX_REBUILD_S = 2.0, 12.0


class ClockReading(NamedTuple):
    """A point in time by two clocks that don't fail together: wall clock and heartbeat count.

    Attributes
    ----------
    wall_s : float
        Wall-clock time of the host, in seconds; it may jump.
    uptime_s : float
        Time since the start of the process, in seconds.
    beats : int
        Heartbeats of endpoints that the store has accepted so far; none are counted while the
        store is down.
    endpoints : int
        Number of endpoints that send heartbeats.
    beat_s : float
        Time between two heartbeats of one endpoint, in seconds.
    """

    wall_s: float = 0.0
    uptime_s: float = 0.0
    beats: int = 0
    endpoints: int = 0
    beat_s: float = 1.0


class AccountShare(msgspec.Struct, frozen=True, array_like=True):
    """Part of one account's total that one host holds, in tokens.

    Attributes
    ----------
    past_limit, past_spent : int
        Upper and lower bound on what earlier incarnations of the host have spent.
    spent : int
        Tokens spent by this incarnation, as of the record.
    limit : int
        The most that this incarnation may have spent when the record was drafted.
    growth, growth_after_s : float
        Growth rate of the limit, in tokens per second, and the age of the record from which the
        limit grows, in seconds.
    ceiling : int
        Largest value that the limit can grow to.
    demand : float
        Recent rate of tokens granted to this host's own callers, in tokens per second.
    """

    past_limit: int = 0
    past_spent: int = 0
    spent: int = 0
    limit: int = 0
    growth: float = 0.0
    growth_after_s: float = 0.0
    ceiling: int = 0
    demand: float = 0.0

    def __post_init__(self) -> None:
        """Raise ValueError for a number that no host writes, as in a damaged record."""
        rates = (self.growth, self.growth_after_s, self.demand)
        tokens = (self.past_limit, self.past_spent, self.spent, self.limit, self.ceiling)
        if min(*rates, *tokens) < 0 or not all(map(math.isfinite, rates)):
            raise ValueError("a negative number of tokens, or a rate that is not finite")

    def limit_after(self, age_s: float) -> int:
        """Return the limit when the record is `age_s` seconds old.

        >>> share = AccountShare(limit=100, growth=10.0, growth_after_s=1.0, ceiling=150)
        >>> [share.limit_after(age_s) for age_s in (1.0, 3.0, 60.0)]
        [100, 120, 150]
        """
        grown = self.growth * max(0.0, age_s - self.growth_after_s)
        return min(self.ceiling, self.limit + int(grown))

    def age_at(self, limit: int) -> float:
        """Return the age of the record, in seconds, at which its limit reaches `limit`.

        The age is infinite if the limit never reaches that value.

        >>> AccountShare(limit=100, growth=10.0, growth_after_s=1.0, ceiling=150).age_at(120)
        3.0
        """
        if limit <= self.limit:
            return 0.0
        if limit > self.ceiling or not self.growth:
            return math.inf
        return self.growth_after_s + (limit - self.limit) / self.growth

    def smaller(self, other: AccountShare) -> AccountShare:
        """Return a share that never allows more than this one or the other does.

        >>> share = AccountShare(limit=100, ceiling=150)
        >>> share.smaller(AccountShare(limit=90, ceiling=200)).ceiling
        150
        """
        return msgspec.structs.replace(
            self,
            limit=min(self.limit, other.limit),
            growth=min(self.growth, other.growth),
            growth_after_s=max(self.growth_after_s, other.growth_after_s),
            ceiling=min(self.ceiling, other.ceiling),
        )


class HolderRecord(msgspec.Struct, frozen=True):
    """Record of one host's slices, which other hosts read from the store.

    Attributes
    ----------
    host, incarnation : str
        The host, and the incarnation of its process.
    number : int
        Number of the record among those of the incarnation, counted from 1.
    map_version : int
        Version of the route map whose totals the limits were computed from.
    peer_address : str
        Address at which other hosts can reach this one, as ``ip:port``.
    zone : str
        Availability zone of the host.
    shares : mapping
        Share of each client account, by the account's name.
    ended : bool
        Whether the incarnation has ended; its limits no longer grow then.
    wall_s, beats, endpoints
        Clock reading when the record was drafted, see :class:`ClockReading`.
    era : int
        Era of the store in which the record was drafted, see :class:`~mulberrycleat.core.Position`.
    """

    host: str
    incarnation: str
    number: int
    map_version: int
    peer_address: str = ""
    zone: str = ""
    shares: dict[str, AccountShare] = {}
    ended: bool = False
    wall_s: float = 0.0
    beats: int = 0
    endpoints: int = 0
    era: int = 0

    def is_later_than(self, other: HolderRecord) -> bool:
        """Whether this record was drafted after another one of the same host.

        Of two incarnations in one era, only the clock tells which was the later one.
        """
        if self.era != other.era:
            return self.era > other.era
        if self.incarnation == other.incarnation:
            return self.number > other.number
        return self.wall_s > other.wall_s

    def __post_init__(self) -> None:
        """Raise ValueError for a clock reading that is not finite, as in a damaged record."""
        if not math.isfinite(self.wall_s):
            raise ValueError("a clock reading that is not finite")


class SliceLedger:
    """Newest record of each host as of one position of the store's log.

    If the store was restored from an older copy, records that it has lost stay in the ledger, since
    their hosts may have spent what the records allow. A record of an earlier era may have had a
    later one that no other host has read. Until each host that holds tokens has written a record in
    the present era, the ledger therefore is incomplete, and no slice may be enlarged.

    Attributes
    ----------
    end : Position
        Position of the next append: a record appended there directly follows the ones known here.

    Examples
    --------
    >>> ledger = SliceLedger()
    >>> share = AccountShare(spent=5, limit=10, growth=4.0, ceiling=30)
    >>> ledger.apply_records([HolderRecord("a", "1", 1, 7, shares={"huts": share})], Position(0, 1))
    >>> ledger.committed("huts"), ledger.surely_spent("huts"), ledger.map_version
    (30, 5, 7)

    The store was restored from a copy without the record:

    >>> ledger.apply_records([], Position(1, 0), is_snapshot=True, now=60.0)
    >>> ledger.committed("huts"), ledger.is_incomplete("huts", "", 70.0), len(ledger.lost_records)
    (30, True, 1)
    """

    def __init__(self) -> None:
        self._records: dict[str, HolderRecord] = {}
        # Largest number of a record read of each incarnation, by host.
        self._known: dict[str, dict[str, int]] = {}
        self._handed_over: dict[str, HolderRecord] = {}
        self._lost: dict[str, HolderRecord] = {}
        self._is_read = False
        self._rebuild_began_at: float | None = None
        self.end = START

    @property
    def records(self) -> dict[str, HolderRecord]:
        """Newest record of each host."""
        return self._records

    @property
    def lost_records(self) -> tuple[HolderRecord, ...]:
        """Newest records of hosts that the store has lost and that were not written again."""
        return tuple(self._lost.values())

    @property
    def map_version(self) -> int:
        """Newest version of the route map that any host has computed limits from."""
        return max((record.map_version for record in self._records.values()), default=0)

    def apply_records(
        self,
        records: Iterable[HolderRecord],
        end: Position,
        is_snapshot: bool = False,
        now: float = 0.0,
    ) -> None:
        """Apply records in the order of the store.

        A snapshot of the present era replaces all earlier records but lost ones. `now` is the time
        of the read, in seconds on trio's clock.
        """
        if end.era > self.end.era:
            self._merge(records)
            is_open = any(_is_open(record, end.era) for record in self._records.values())
            if self._is_read or is_open:
                self._rebuild_began_at = now
        else:
            if is_snapshot:
                self._records = dict(self._lost)
            for record in records:
                self._apply(record, is_newest=is_snapshot and record.host not in self._lost)
        self.end, self._is_read = end, True

    @property
    def handed_over(self) -> tuple[HolderRecord, ...]:
        """Latest records that other hosts have handed over."""
        return tuple(self._handed_over.values())

    def keep(self, record: HolderRecord) -> None:
        """Keep a record that its host, or another one, has handed over.

        It is used if the store turns out to have lost it.
        """
        kept = self._handed_over.get(record.host)
        if kept is None or record.is_later_than(kept):
            self._handed_over[record.host] = record

    def later_record(self, host: str, known: HolderRecord | None) -> HolderRecord | None:
        """Return the latest record of a host if it is later than a known one, if there is one."""
        found = known
        for record in (self._records.get(host), self._handed_over.get(host)):
            if record is not None and (found is None or record.is_later_than(found)):
                found = record
        return None if found is known else found

    def is_incomplete(self, account: str, excluded: str, now: float) -> bool:
        """Whether hosts except `excluded` may hold more of an account than the ledger shows.

        `now` is in seconds on trio's clock.
        """
        if self._rebuild_began_at is None:
            return False
        age_s = now - self._rebuild_began_at
        if age_s < MIN_REBUILD_S:
            return True
        return age_s < MAX_REBUILD_S and any(
            share.ceiling > share.spent and _is_open(self._records[host], self.end.era)
            for host, share in self._shares(account)
            if host != excluded
        )

    def _merge(self, records: Iterable[HolderRecord]) -> None:
        """Apply the records of a store that may have been restored from an older copy."""
        for record in self._handed_over.values():
            known = self._records.get(record.host)
            if known is None or record.is_later_than(known):
                self._apply(record)
        self._handed_over.clear()
        self._lost = dict(self._records)
        for record in records:
            known = self._records.get(record.host)
            if known is not None and _version(known) == _version(record):
                self._lost.pop(record.host, None)
            if known is None or record.is_later_than(known):
                self._apply(record)

    def _apply(self, record: HolderRecord, is_newest: bool = False) -> None:
        """Make a record the newest of its host, unless a later one is known."""
        known = self._known.setdefault(record.host, {})
        if not is_newest and record.number <= known.get(record.incarnation, 0):
            current = self._records.get(record.host)
            if current is not None and _version(current) == _version(record):
                # The record was lost by the store, and another host has written it again.
                self._lost.pop(record.host, None)
            if current is not None:
                return
        current = None if is_newest else self._records.get(record.host)
        if current is not None and record.era < current.era:
            return
        known[record.incarnation] = max(record.number, known.pop(record.incarnation, 0))
        if len(known) > MAX_INCARNATIONS:
            del known[next(iter(known))]
        self._records[record.host] = record
        self._lost.pop(record.host, None)

    def committed(self, account: str, excluded: str = "") -> int:
        """Return the most tokens that all hosts except `excluded` may have spent in the end.

        Earlier incarnations of the hosts are included.
        """
        return sum(
            share.past_limit + share.ceiling
            for host, share in self._shares(account)
            if host != excluded
        )

    def surely_spent(self, account: str, excluded: str = "") -> int:
        """Return the least tokens that all hosts except `excluded` have spent so far.

        Earlier incarnations of the hosts are included.
        """
        return sum(
            share.past_spent + share.spent
            for host, share in self._shares(account)
            if host != excluded
        )

    def gone(self, account: str, excluded: str = "") -> int:
        """Return the tokens that no host except `excluded` can grant or give back any more.

        These are the spent ones, and those that ended incarnations may have spent: nobody knows,
        so that no later record counts less for them.
        """
        return sum(
            share.past_limit + share.spent
            for host, share in self._shares(account)
            if host != excluded
        )

    def stranded(self, account: str) -> int:
        """Return the tokens that ended incarnations of all hosts may or may not have spent."""
        return sum(share.past_limit - share.past_spent for _, share in self._shares(account))

    def demand(self, account: str, excluded: str = "", zone: str | None = None) -> float:
        """Return the demand on all hosts, or those of one zone, in tokens per second.

        Hosts that have ended, and the host `excluded`, don't count.
        """
        return sum(
            share.demand
            for host, share in self._shares(account)
            if host != excluded
            and not self._records[host].ended
            and zone in (None, self._records[host].zone)
        )

    def _shares(self, account: str) -> Iterable[tuple[str, AccountShare]]:
        for host, record in self._records.items():
            share = record.shares.get(account)
            if share is not None:
                yield host, share


def _version(record: HolderRecord) -> tuple[str, int]:
    return record.incarnation, record.number


def _is_open(record: HolderRecord, era: int) -> bool:
    """Whether the store may have lost later records of the same incarnation."""
    return not record.ended and record.era < era


def silence_s(record: HolderRecord, now: ClockReading) -> float:
    """Return the longest time that an incarnation can have run after its record, in seconds.

    `now` is a clock reading by the host's next incarnation. The earlier one had ended before the
    next one started, so the uptime of the next one is subtracted.

    >>> record = HolderRecord("a", "1", 1, 7, wall_s=100.0, beats=50, endpoints=12)
    >>> now = ClockReading(wall_s=102.0, uptime_s=0.5, beats=60, endpoints=12, beat_s=1.2)
    >>> silence_s(record, now)
    1.6
    """
    by_wall_s = now.wall_s - record.wall_s
    endpoints = max(1, min(record.endpoints, now.endpoints))
    by_heartbeats_s = (now.beats - record.beats) * now.beat_s / endpoints
    clock_set_back = by_heartbeats_s - by_wall_s > CLOCK_SET_BACK_MARGIN_S
    margin_s = CLOCK_SET_BACK_MARGIN_S if clock_set_back else CLOCK_DRIFT_MARGIN_S
    return max(by_wall_s, by_heartbeats_s, now.uptime_s) - now.uptime_s + margin_s
