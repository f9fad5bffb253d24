"""The newest record of each host, and the sums over them."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

__all__ = ["AccountShare", "ClockReading", "HolderRecord", "SliceLedger", "silence_s"]

# Added to the time for which a host that died had been silent: for the clock's drift, and where the
# clock was set back, for the uneven spacing of announcements.
SILENCE_MARGIN_S, SET_BACK_MARGIN_S = 0.1, 0.3


class ClockReading(NamedTuple):
    """A point in time, by two clocks that don't fail together.

    Attributes
    ----------
    wall_s : float
        Time of day of the host, in seconds; it may jump.
    uptime_s : float
        Time since the start of the process, in seconds.
    beats : int
        Announcements of endpoints that the store has taken so far; they stop while it is down.
    endpoints : int
        Endpoints that announce themselves.
    beat_s : float
        Time between two announcements of one endpoint, in seconds.
    """

    wall_s: float = 0.0
    uptime_s: float = 0.0
    beats: int = 0
    endpoints: int = 0
    beat_s: float = 1.0


class AccountShare(msgspec.Struct, frozen=True, array_like=True):
    """What one host holds of one account's total, in tokens.

    Attributes
    ----------
    past_limit, past_spent : int
        The most, and the least, that earlier incarnations of the host have spent.
    spent : int
        Spent by this incarnation, as of the record.
    limit : int
        The most that this incarnation may have spent when the record was drafted.
    growth, growth_after_s : float
        The limit grows by so many tokens a second from this age of the record on.
    ceiling : int
        The limit never grows past this.
    demand : float
        Tokens a second that callers of this host lately got.
    """

    past_limit: int = 0
    past_spent: int = 0
    spent: int = 0
    limit: int = 0
    growth: float = 0.0
    growth_after_s: float = 0.0
    ceiling: int = 0
    demand: float = 0.0

    def limit_after(self, age_s: float) -> int:
        """Return the limit when the record is `age_s` old.

        >>> share = AccountShare(limit=100, growth=10.0, growth_after_s=1.0, ceiling=150)
        >>> [share.limit_after(age_s) for age_s in (1.0, 3.0, 60.0)]
        [100, 120, 150]
        """
        grown = self.growth * max(0.0, age_s - self.growth_after_s)
        return min(self.ceiling, self.limit + int(grown))

    def age_at(self, limit: int) -> float:
        """Return the age of the record at which the limit is `limit`, infinite if it never is.

        >>> AccountShare(limit=100, growth=10.0, growth_after_s=1.0, ceiling=150).age_at(120)
        3.0
        """
        if limit <= self.limit:
            return 0.0
        if limit > self.ceiling or not self.growth:
            return math.inf
        return self.growth_after_s + (limit - self.limit) / self.growth


class HolderRecord(msgspec.Struct, frozen=True):
    """All that one host tells the others through the store.

    Attributes
    ----------
    host, incarnation : str
        The host, and the start of its process.
    number : int
        Counts the records of the incarnation from 1.
    map_version : int
        Version of the route map by which the limits were drawn.
    peer_address : str
        Where the other hosts can ask this one, as ``ip:port``.
    zone : str
        Availability zone of the host.
    shares : mapping
        By name of the client account.
    ended : bool
        The incarnation has ended and its limits grow no more.
    wall_s, beats, endpoints
        When the record was drafted, see :class:`ClockReading`.
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


class SliceLedger:
    """Records of all hosts as of one offset of the store.

    Attributes
    ----------
    end : int
        Offset at which a record must be appended to follow these records directly.

    Examples
    --------
    >>> ledger = SliceLedger()
    >>> share = AccountShare(spent=5, limit=10, growth=4.0, ceiling=30)
    >>> ledger.take([HolderRecord("a", "1", 1, 7, shares={"huts": share})], 1)
    >>> ledger.committed("huts"), ledger.surely_spent("huts"), ledger.map_version
    (30, 5, 7)
    """

    def __init__(self) -> None:
        self._records: dict[str, HolderRecord] = {}
        self.end = 0

    @property
    def records(self) -> dict[str, HolderRecord]:
        """Newest record of each host."""
        return self._records

    @property
    def map_version(self) -> int:
        """Newest version of the route map that any host has drawn limits by."""
        return max((record.map_version for record in self._records.values()), default=0)

    def take(self, records: Iterable[HolderRecord], end: int, whole: bool = False) -> None:
        """Take records in the order of the store; `whole` when they are all there are."""
        if whole:
            self._records = {}
        for record in records:
            self._records[record.host] = record
        self.end = end

    def committed(self, account: str, without: str = "") -> int:
        """Return the most that all hosts, but `without`, may have spent in all."""
        return sum(
            share.past_limit + share.ceiling
            for host, share in self._shares(account)
            if host != without
        )

    def surely_spent(self, account: str, without: str = "") -> int:
        """Return the least that all hosts, but `without`, have spent in all."""
        return sum(
            share.past_spent + share.spent
            for host, share in self._shares(account)
            if host != without
        )

    def stranded(self, account: str) -> int:
        """Return the tokens that may have been spent by incarnations that have ended, or not."""
        return sum(share.past_limit - share.past_spent for _, share in self._shares(account))

    def demand(self, account: str, without: str = "", zone: str | None = None) -> float:
        """Return the tokens a second of the callers of all hosts, or of one zone, but `without`."""
        return sum(
            share.demand
            for host, share in self._shares(account)
            if host != without
            and not self._records[host].ended
            and zone in (None, self._records[host].zone)
        )

    def _shares(self, account: str) -> Iterable[tuple[str, AccountShare]]:
        for host, record in self._records.items():
            share = record.shares.get(account)
            if share is not None:
                yield host, share


def silence_s(record: HolderRecord, now: ClockReading) -> float:
    """Return the longest time that a host can have lived after its record, in seconds.

    `now` is a moment of the process that succeeds it, so that the host had ended when that began.

    >>> record = HolderRecord("a", "1", 1, 7, wall_s=100.0, beats=50, endpoints=12)
    >>> now = ClockReading(wall_s=102.0, uptime_s=0.5, beats=60, endpoints=12, beat_s=1.2)
    >>> silence_s(record, now)
    1.6
    """
    by_wall_s = now.wall_s - record.wall_s
    endpoints = max(1, min(record.endpoints, now.endpoints))
    by_beats_s = (now.beats - record.beats) * now.beat_s / endpoints
    set_back = by_beats_s - by_wall_s > SET_BACK_MARGIN_S
    margin_s = SET_BACK_MARGIN_S if set_back else SILENCE_MARGIN_S
    return max(by_wall_s, by_beats_s, now.uptime_s) - now.uptime_s + margin_s
