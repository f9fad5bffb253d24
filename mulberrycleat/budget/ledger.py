"""Fold of the ledger stream: prepaid tokens, who holds them, and what was spent.

Every record can be repeated without effect, because a writer whose answer was lost writes again.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import msgspec

__all__ = [
    "STREAM",
    "Bill",
    "BudgetState",
    "Claim",
    "Ledger",
    "LedgerRecord",
    "Settle",
    "Share",
    "TopUp",
]

STREAM = "ledger"


class TopUp(msgspec.Struct, frozen=True, tag="top_up"):
    """Tokens prepaid into a budget."""

    id: str
    budget: str
    tokens: int
    by: str = ""


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A holder asks for a slice of a budget; the fold grants what is available, up to `tokens`."""

    id: str
    budget: str
    holder: str
    tokens: int


class Bill(msgspec.Struct, frozen=True):
    """What one request is billed, in tokens."""

    request: str
    budget: str
    tokens: int


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """A holder's bills and returned tokens since its last settlement.

    Attributes
    ----------
    seq : int
        Counts the holder's settlements from 1; any other than the next one is a repeat.
    returned : mapping
        Tokens given back, by budget.
    """

    holder: str
    seq: int
    bills: tuple[Bill, ...] = ()
    returned: dict[str, int] = {}


LedgerRecord = TopUp | Claim | Settle


@dataclass(frozen=True, slots=True)
class Share:
    """One holder's part of a budget: tokens granted to it, and of those spent."""

    granted: int = 0
    spent: int = 0


@dataclass(frozen=True, slots=True)
class BudgetState:
    """One budget.

    Attributes
    ----------
    prepaid : int
        Tokens topped up.
    shares : mapping
        Share of each holder, by its name.
    """

    prepaid: int = 0
    shares: dict[str, Share] = field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Tokens granted to all holders."""
        return sum(share.granted for share in self.shares.values())

    @property
    def spent(self) -> int:
        """Tokens spent by all holders."""
        return sum(share.spent for share in self.shares.values())

    @property
    def available(self) -> int:
        """Tokens that can still be granted."""
        return self.prepaid - self.granted

    def with_share(self, holder: str, share: Share) -> BudgetState:
        """Return the budget with another share for `holder`."""
        return replace(self, shares={**self.shares, holder: share})


class Ledger:
    """All budgets as of some offset of the stream.

    Examples
    --------
    >>> ledger = Ledger()
    >>> ledger.apply(TopUp("t1", "huts", 100))
    >>> ledger.apply(Claim("c1", "huts", "a1/7f", 60))
    >>> ledger.apply(Claim("c1", "huts", "a1/7f", 60))
    >>> ledger.granted("c1"), ledger.budgets["huts"].available
    (60, 40)
    """

    def __init__(self) -> None:
        self._budgets: dict[str, BudgetState] = {}
        self._top_ups: set[str] = set()
        self._claims: dict[str, int] = {}
        self._settled: dict[str, int] = {}

    @property
    def budgets(self) -> dict[str, BudgetState]:
        """Budgets by name."""
        return self._budgets

    def granted(self, claim_id: str) -> int | None:
        """Return the tokens granted to a claim, or None when it has not been seen."""
        return self._claims.get(claim_id)

    def settled(self, holder: str) -> int:
        """Return the sequence number of a holder's last settlement."""
        return self._settled.get(holder, 0)

    def has_top_up(self, top_up_id: str) -> bool:
        """Return whether a top-up has taken effect."""
        return top_up_id in self._top_ups

    def apply(self, record: LedgerRecord) -> None:
        """Take in the next record of the stream."""
        match record:
            case TopUp() if record.id not in self._top_ups and record.tokens > 0:
                self._top_ups.add(record.id)
                budget = self._budget(record.budget)
                self._budgets[record.budget] = replace(
                    budget, prepaid=budget.prepaid + record.tokens
                )
            case Claim() if record.id not in self._claims:
                self._grant(record)
            case Settle() if record.seq == self.settled(record.holder) + 1:
                self._settle(record)

    def _budget(self, name: str) -> BudgetState:
        return self._budgets.get(name) or BudgetState()

    def _grant(self, claim: Claim) -> None:
        budget = self._budget(claim.budget)
        tokens = max(0, min(claim.tokens, budget.available))
        self._claims[claim.id] = tokens
        if tokens:
            share = budget.shares.get(claim.holder, Share())
            after = replace(share, granted=share.granted + tokens)
            self._budgets[claim.budget] = budget.with_share(claim.holder, after)

    def _settle(self, record: Settle) -> None:
        self._settled[record.holder] = record.seq
        for bill in record.bills:
            self._change(record.holder, bill.budget, spent=bill.tokens)
        for name, tokens in record.returned.items():
            self._change(record.holder, name, granted=-tokens)

    def _change(self, holder: str, name: str, granted: int = 0, spent: int = 0) -> None:
        budget = self._budget(name)
        share = budget.shares.get(holder, Share())
        after = Share(share.granted + granted, share.spent + spent)
        self._budgets[name] = budget.with_share(holder, after)
