"""The newest record of each host, and the sums over them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

__all__ = ["AccountShare", "HolderRecord", "SliceLedger"]


class AccountShare(msgspec.Struct, frozen=True, array_like=True):
    """What one host holds of one account's total, in tokens.

    Attributes
    ----------
    past_limit, past_spent : int
        The most, and the least, that earlier incarnations of the host have spent.
    spent : int
        Spent by this incarnation, as of the record.
    limit : int
        The most that this incarnation may have spent before its next record.
    rate : float
        Tokens a second that the host lately reserved.
    """

    past_limit: int = 0
    past_spent: int = 0
    spent: int = 0
    limit: int = 0
    rate: float = 0.0


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
    shares : mapping
        By name of the client account.
    ended : bool
        The incarnation has ended and has spent exactly what the record says.
    """

    host: str
    incarnation: str
    number: int
    map_version: int
    peer_address: str = ""
    shares: dict[str, AccountShare] = {}
    ended: bool = False


class SliceLedger:
    """Records of all hosts as of one offset of the store.

    Attributes
    ----------
    end : int
        Offset at which a record must be appended to follow these records directly.

    Examples
    --------
    >>> ledger = SliceLedger()
    >>> ledger.take([HolderRecord("a", "1", 1, 7, shares={"huts": AccountShare(0, 0, 5, 30)})], 1)
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
            share.past_limit + share.limit
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

    def rate(self, account: str, without: str = "") -> float:
        """Return the tokens a second that all hosts, but `without`, lately reserved."""
        return sum(s.rate for host, s in self._shares(account) if host != without)

    def _shares(self, account: str) -> Iterable[tuple[str, AccountShare]]:
        for host, record in self._records.items():
            share = record.shares.get(account)
            if share is not None:
                yield host, share
