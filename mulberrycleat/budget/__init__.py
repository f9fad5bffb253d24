"""Prepaid budgets: cost, ledger, slices."""

from mulberrycleat.budget.cost import cost_of, largest_cost
from mulberrycleat.budget.ledger import (
    STREAM,
    Bill,
    BudgetState,
    Claim,
    Ledger,
    LedgerRecord,
    Settle,
    Share,
    TopUp,
)
from mulberrycleat.budget.slices import Slice

__all__ = [
    "STREAM",
    "Bill",
    "BudgetState",
    "Claim",
    "Ledger",
    "LedgerRecord",
    "Settle",
    "Share",
    "Slice",
    "TopUp",
    "cost_of",
    "largest_cost",
]
