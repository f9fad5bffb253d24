"""Hosts that share a budget, and the coordinators of each account among them. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from mulberrycleat.membership.rendezvous import ranked
from mulberrycleat.prepaid import HolderRecord, Role

__all__ = ["CoordinatorMap"]

# A host whose record has not changed for this time is no longer active, in seconds. The time is
# longer than an outage of the store, during which no record changes.
HOST_ACTIVE_S = 15.0


class _LastChange(NamedTuple):
    """Latest change of a host's record.

    Attributes
    ----------
    incarnation, number : str, int
        Incarnation of the host that wrote the record, and number of the record.
    at : float
        When the record was first read, in seconds on trio's clock.
    zone : str
        The host's availability zone.
    """

    incarnation: str
    number: int
    at: float
    zone: str


class CoordinatorMap:
    """Coordinators of accounts, chosen among the active hosts by rendezvous hashing.

    The coordinator of an account is the host where the demand of all hosts for it meets. Each
    availability zone has a zone coordinator, which serves while the coordinator can't be reached.

    Parameters
    ----------
    host, zone : str
        This host and its availability zone.

    Examples
    --------
    >>> book = CoordinatorMap("a", "z1")
    >>> records = {n: HolderRecord(n, "1", 1, 7, zone=z) for n, z in zip("abc", ("z1", "z1", "z2"))}
    >>> book.update(records, now=0.0)
    True
    >>> book.coordinators("huts")
    ('c', 'a')
    >>> book.update(records, now=1.0)
    False
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone
        self._last_changes: dict[str, _LastChange] = {}
        self._active: tuple[str, ...] = ()
        self._by_account: dict[str, tuple[str, ...]] = {}

    @property
    def zones(self) -> int:
        """Number of availability zones with hosts."""
        return len({self._last_changes[name].zone for name in self._active} | {self._zone})

    def host_count(self, now: float) -> int:
        """Return the number of hosts that are active at `now`, in seconds on trio's clock."""
        return sum(1 for change in self._last_changes.values() if now - change.at < HOST_ACTIVE_S)

    def update(self, records: Mapping[str, HolderRecord], now: float) -> bool:
        """Apply newly read records; return whether the set of active hosts has changed.

        Coordinators change only by this method, so they stay the same while the store can't be
        read.

        Parameters
        ----------
        records : mapping
            Newest record of each host, by the host's name.
        now : float
            Time of the read, in seconds on trio's clock.
        """
        for name, record in records.items():
            version = (record.incarnation, record.number)
            if record.ended:
                self._last_changes.pop(name, None)
            elif name not in self._last_changes or self._last_changes[name][:2] != version:
                self._last_changes[name] = _LastChange(*version, now, record.zone)
        seen = self._last_changes.items()
        active = tuple(sorted(n for n, change in seen if now - change.at < HOST_ACTIVE_S))
        if active == self._active:
            return False
        self._active = active
        self._by_account.clear()
        return True

    def coordinators(self, account: str) -> tuple[str, ...]:
        """Return the names of an account's coordinator and its zone coordinator in this zone.

        There is only one name if one host is both or no host of this zone is active, and none while
        no host at all is active.
        """
        if account not in self._by_account:
            order = ranked(account, self._active)
            in_zone = [name for name in order if self._last_changes[name].zone == self._zone]
            self._by_account[account] = tuple(dict.fromkeys([*order[:1], *in_zone[:1]]))
        return self._by_account[account]

    def roles(self, accounts: Iterable[str]) -> dict[str, Role]:
        """Return this host's role for each account; coordinator of all while no host is active."""
        return {account: self._role(account) for account in accounts}

    def _role(self, account: str) -> Role:
        coordinators = self.coordinators(account)
        if not coordinators or coordinators[0] == self._host:
            return Role.COORDINATOR
        return Role.ZONE_COORDINATOR if self._host in coordinators else Role.OTHER
