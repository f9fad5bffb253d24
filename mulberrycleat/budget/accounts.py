"""Values that make up the ledger state."""

from __future__ import annotations

import msgspec

from mulberrycleat.budget.records import Bill, Transfer

__all__ = ["BudgetState", "HolderState", "LedgerState", "PendingTransfer", "Share", "ZoneTotals"]


class Share(msgspec.Struct, frozen=True):
    """One holder's part of a budget, in tokens.

    Attributes
    ----------
    held : int
        Tokens granted or received, less those recorded as spent, returned or sent. Negative while
        a transfer to the holder is not recorded yet.
    claimed : int
        All tokens ever granted to claims.
    spent : int
        All tokens ever billed.
    short : int
        Tokens of the last claim for waiting requests that were not available.
    """

    held: int = 0
    claimed: int = 0
    spent: int = 0
    short: int = 0


class ZoneTotals(msgspec.Struct, frozen=True):
    """Totals over all holders, past and present, of one availability zone for a budget.

    Attributes
    ----------
    spent, asked : int
        Tokens billed, and tokens asked for by requests, whether served or refused.
    refused : mapping
        Number of refused requests by code.
    """

    spent: int = 0
    asked: int = 0
    refused: dict[str, int] = {}


class BudgetState(msgspec.Struct, frozen=True):
    """One budget: prepaid tokens, totals by zone, shares by holder."""

    prepaid: int = 0
    zones: dict[str, ZoneTotals] = {}
    shares: dict[str, Share] = {}

    @property
    def spent(self) -> int:
        """Tokens billed."""
        return sum(zone.spent for zone in self.zones.values())

    @property
    def held(self) -> int:
        """Unspent tokens held by all holders."""
        return sum(share.held for share in self.shares.values())

    @property
    def available(self) -> int:
        """Tokens that can still be granted.

        Negative while records that settle a dead holder's tokens are still to come.
        """
        return self.prepaid - self.spent - self.held


class HolderState(msgspec.Struct, frozen=True):
    """State of one holder.

    Attributes
    ----------
    seq : int
        Number of its last settlement.
    floor : int
        All reservations with a smaller number are settled.
    settled : frozenset of int
        Numbers of settled reservations from `floor` on.
    fenced : bool
        Whether it was declared dead.
    unconfirmed : frozenset of str
        Endpoints that have not yet confirmed the fence.
    acked : frozenset of str
        Holders that have stopped accepting transfers from it.
    found : mapping
        Bills that endpoints reported, by reservation number.
    limits : mapping
        Highest recorded limit of the tokens that it may spend in total, by budget.
    lost : mapping or None
        Tokens that an operator stated as spent, by budget; None without such a statement.
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
    def is_spending_known(self) -> bool:
        """Whether the holder is fenced, can spend no more, and all its spending is known."""
        return self.fenced and (not self.unconfirmed or self.lost is not None)


class PendingTransfer(msgspec.Struct, frozen=True):
    """A transfer that only `by`, one of its two sides, has recorded so far."""

    transfer: Transfer
    by: str


class LedgerState(msgspec.Struct):
    """The whole ledger state, as stored in checkpoints.

    Attributes
    ----------
    top_ups : mapping
        Times at which the retained top-ups were recorded (Unix seconds), by id, oldest first.
    closed : list of str
        Holders closed (and removed from `holders`) most recently, oldest first.
    pending : list of PendingTransfer
        Transfers that only one of the two sides has recorded so far.
    """

    budgets: dict[str, BudgetState] = {}
    holders: dict[str, HolderState] = {}
    top_ups: dict[str, float] = {}
    closed: list[str] = []
    pending: list[PendingTransfer] = []
