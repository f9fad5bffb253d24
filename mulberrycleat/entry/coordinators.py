"""Which hosts share a budget, and at which of them the demand for an account meets. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from mulberrycleat.membership.rendezvous import ranked
from mulberrycleat.prepaid import HolderRecord, Role

__all__ = ["CoordinatorMap"]

# A host is counted until its record has not changed for so long, in seconds: longer than an outage
# of the store, in which no record changes.
HOST_ACTIVE_S = 15.0


class _Sight(NamedTuple):
    """A host's newest record, by incarnation and number, and when it was new, in seconds."""

    incarnation: str
    number: int
    at: float
    zone: str


class CoordinatorMap:
    """Homes of accounts among the hosts that renew their records.

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
        self._seen: dict[str, _Sight] = {}
        self._active: tuple[str, ...] = ()
        self._homes: dict[str, tuple[str, ...]] = {}

    @property
    def zones(self) -> int:
        """Number of availability zones with hosts."""
        return len({self._seen[name].zone for name in self._active} | {self._zone})

    def host_count(self, now: float) -> int:
        """Return the number of hosts that may share a budget with this one."""
        return sum(1 for sight in self._seen.values() if now - sight.at < HOST_ACTIVE_S)

    def update(self, records: Mapping[str, HolderRecord], now: float) -> bool:
        """Take the records as just read; return whether hosts came or went.

        Homes stay as they are while nothing can be read.
        """
        for name, record in records.items():
            mark = (record.incarnation, record.number)
            if record.ended:
                self._seen.pop(name, None)
            elif name not in self._seen or self._seen[name][:2] != mark:
                self._seen[name] = _Sight(*mark, now, record.zone)
        seen = self._seen.items()
        active = tuple(sorted(n for n, sight in seen if now - sight.at < HOST_ACTIVE_S))
        if active == self._active:
            return False
        self._active = active
        self._homes.clear()
        return True

    def coordinators(self, account: str) -> tuple[str, ...]:
        """Return the names of an account's home and, where that is another, of its home here."""
        if account not in self._homes:
            order = ranked(account, self._active)
            near = [name for name in order if self._seen[name].zone == self._zone]
            self._homes[account] = tuple(dict.fromkeys([*order[:1], *near[:1]]))
        return self._homes[account]

    def roles(self, accounts: Iterable[str]) -> dict[str, Role]:
        """Return what this host is to each account."""
        return {account: self._role(account) for account in accounts}

    def _role(self, account: str) -> Role:
        homes = self.coordinators(account)
        if not homes or homes[0] == self._host:
            return Role.COORDINATOR
        return Role.ZONE_COORDINATOR if self._host in homes else Role.OTHER
