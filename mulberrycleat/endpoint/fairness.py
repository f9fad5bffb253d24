"""Weighted fair queue that shares a saturated pool among client accounts."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from typing import Any, NamedTuple

__all__ = ["FairQueue", "QueueEntry"]


class QueueEntry(NamedTuple):
    """A waiting item; the short items of an account sort before its others."""

    is_long: bool
    order: int
    account: str
    weight: float
    work: float
    item: Any


@dataclass(slots=True)
class _Account:
    """Work per weight that an account has been served, and its waiting items as a heap."""

    served: float = 0.0
    waiting: list[QueueEntry] = field(default_factory=list)

    @property
    def work(self) -> float:
        return sum(entry.work for entry in self.waiting)


class FairQueue:
    """Waiting items of accounts; the account with the least work served per weight goes next.

    Within an account short items go first, then the others, each in order of arrival. An account
    that returns after a pause starts as if it had been served as much work per weight as the
    others: unused shares are not saved up.

    Examples
    --------
    >>> queue = FairQueue()
    >>> for item in ("a1", "a2", "a3"):
    ...     _ = queue.push("a", 1.0, 100, item)
    >>> _ = queue.push("b", 1.0, 100, "b1")
    >>> [queue.pop().item for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._order = count()
        # Served work per weight at which an account starts after a pause.
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(account.waiting) for account in self._accounts.values())

    @property
    def work(self) -> float:
        """Work of all waiting items."""
        return sum(account.work for account in self._accounts.values())

    def push(
        self, account: str, weight: float, work: float, item: Any, short: bool = False
    ) -> QueueEntry:
        """Add an item of `work`; the returned entry can be given to :meth:`remove`."""
        found = self._account(account)
        entry = QueueEntry(not short, next(self._order), account, weight, work, item)
        heapq.heappush(found.waiting, entry)
        return entry

    def charge(self, account: str, weight: float, work: float) -> None:
        """Count work of an account that was served without waiting in this queue."""
        self._account(account).served += work / weight

    def lead(self, account: str) -> float:
        """Return the work, at a weight of 1, by which an account is ahead of the least served one.

        The work of the least served account is taken as of the last removal from the queue.
        """
        return self._account(account).served - self._virtual_time

    def work_before(self, account: str, weight: float, short: bool = False) -> float:
        """Return the approximate work to be served before a new item of an account.

        This is the account's own waiting work, and the waiting work of each other account up to the
        share that it gets in the meantime.
        """
        found = self._account(account)
        own = sum(entry.work for entry in found.waiting if not (short and entry.is_long))
        others = [a for a in self._accounts.values() if a is not found and a.waiting]
        return own + sum(min(own * a.waiting[0].weight / weight, a.work) for a in others)

    def peek(self) -> QueueEntry | None:
        """Return the next entry without removing it, or None if nothing waits."""
        account = self._next_account()
        return account.waiting[0] if account else None

    def pop(self) -> QueueEntry | None:
        """Remove and return the next entry, or return None if nothing waits."""
        account = self._next_account()
        if account is None:
            return None
        entry = heapq.heappop(account.waiting)
        self._virtual_time = max(self._virtual_time, account.served)
        account.served += entry.work / entry.weight
        return entry

    def put_back(self, entry: QueueEntry) -> None:
        """Return an entry that was removed but not served to its position."""
        found = self._account(entry.account)
        found.served -= entry.work / entry.weight
        heapq.heappush(found.waiting, entry)

    def remove(self, entry: QueueEntry) -> bool:
        """Remove an entry at any position; return whether it was waiting."""
        found = self._account(entry.account)
        waiting = [other for other in found.waiting if other.order != entry.order]
        is_found = len(waiting) < len(found.waiting)
        found.waiting = waiting
        heapq.heapify(found.waiting)
        return is_found

    def _account(self, name: str) -> _Account:
        found = self._accounts.setdefault(name, _Account())
        if not found.waiting:
            found.served = max(found.served, self._virtual_time)
        return found

    def _next_account(self) -> _Account | None:
        waiting = [account for account in self._accounts.values() if account.waiting]
        return min(waiting, key=lambda account: account.served, default=None)
