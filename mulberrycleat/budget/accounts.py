"""Values that the ledger's fold is made of."""

from __future__ import annotations

import msgspec

from mulberrycleat.budget.records import Bill, Transfer

__all__ = ["BudgetState", "HolderState", "LedgerState", "PendingTransfer", "Share", "ZoneTotals"]


class Share(msgspec.Struct, frozen=True):
    """One holder's part of a budget, in tokens.

    Attributes
    ----------
    held : int
        Granted or received and not known as spent, returned or sent. Negative while the record of
        a transfer that was received is still to come.
    claimed : int
        All that claims were granted, ever.
    spent : int
        All that was billed, ever.
    short : int
        What the newest claim asked for in vain.
    """

    held: int = 0
    claimed: int = 0
    spent: int = 0
    short: int = 0


class ZoneTotals(msgspec.Struct, frozen=True):
    """What the holders of one availability zone have done with a budget, ever.

    Attributes
    ----------
    spent, asked : int
        Tokens billed, and tokens that requests asked for, served or refused.
    refused : mapping
        Number of refused requests by code.
    """

    spent: int = 0
    asked: int = 0
    refused: dict[str, int] = {}


class BudgetState(msgspec.Struct, frozen=True):
    """One budget: tokens topped up, totals by zone, shares by holder."""

    prepaid: int = 0
    zones: dict[str, ZoneTotals] = {}
    shares: dict[str, Share] = {}

    @property
    def spent(self) -> int:
        """Tokens billed."""
        return sum(zone.spent for zone in self.zones.values())

    @property
    def held(self) -> int:
        """Unspent tokens with holders."""
        return sum(share.held for share in self.shares.values())

    @property
    def available(self) -> int:
        """Tokens that can still be granted; below zero while records of a death are to come."""
        return self.prepaid - self.spent - self.held


class HolderState(msgspec.Struct, frozen=True):
    """One holder.

    Attributes
    ----------
    seq : int
        Number of its last settlement.
    floor : int
        Its reservations with a smaller number are settled.
    settled : frozenset of int
        Numbers from `floor` on that are settled.
    fenced : bool
        Whether it was declared gone.
    unconfirmed : frozenset of str
        Endpoints that have not yet confirmed the fence.
    acked : frozenset of str
        Holders that accept no transfer from it any more.
    found : mapping
        Bills that endpoints reported, by reservation number.
    limits : mapping
        Highest limit of its spending that is known, by budget.
    lost : mapping or None
        What an operator stated as spent, by budget; None without such a statement.
    """

    zone: str
    seq: int = 0
    floor: int = 0
    settled: frozenset[int] = frozenset()
    fenced: bool = False
    unconfirmed: frozenset[str] = frozenset()
    acked: frozenset[str] = frozenset()
    found: dict[int, Bill] = {}
    limits: dict[str, int] = {}
    lost: dict[str, int] | None = None

    @property
    def proved(self) -> bool:
        """Whether all that it spent is known and it can spend no more."""
        return self.fenced and (not self.unconfirmed or self.lost is not None)


class PendingTransfer(msgspec.Struct, frozen=True):
    """A transfer that only `by`, one of its two sides, has recorded so far."""

    transfer: Transfer
    by: str


class LedgerState(msgspec.Struct):
    """The whole state of the fold, as checkpoints carry it.

    Attributes
    ----------
    top_ups : mapping
        When each remembered top-up was recorded (Unix seconds), by id, oldest first.
    closed : list of str
        Holders closed most recently, oldest first.
    pending : list of PendingTransfer
        Transfers that one side has yet to record.
    """

    budgets: dict[str, BudgetState] = {}
    holders: dict[str, HolderState] = {}
    top_ups: dict[str, float] = {}
    closed: list[str] = []
    pending: list[PendingTransfer] = []
