"""Prepaid budgets: cost, ledger, slices, and allocation of tokens to holders.

A holder is one incarnation of a host, named ``host/incarnation``. Its slice of a budget is the part
of the tokens that it may spend without asking the ledger for each request.
"""

from mulberrycleat.budget.accounts import (
    BudgetState,
    HolderState,
    PendingTransfer,
    Share,
    ZoneTotals,
)
from mulberrycleat.budget.allocation import (
    AllocationDecision,
    AllocationSettings,
    decide_allocation,
    tokens_to_send,
    zone_targets,
)
from mulberrycleat.budget.allocator import SliceAllocator
from mulberrycleat.budget.cost import cost_of, largest_cost
from mulberrycleat.budget.demand import DemandTracker
from mulberrycleat.budget.ledger import Ledger
from mulberrycleat.budget.records import (
    STREAM,
    Bill,
    Checkpoint,
    Confirm,
    Fence,
    Join,
    LedgerRecord,
    Release,
    Settle,
    TopUp,
    Transfer,
)
from mulberrycleat.budget.slice_manager import Reservation, SliceManager
from mulberrycleat.budget.slices import Slice

__all__ = [
    "STREAM",
    "AllocationDecision",
    "AllocationSettings",
    "Bill",
    "BudgetState",
    "Checkpoint",
    "Confirm",
    "DemandTracker",
    "Fence",
    "HolderState",
    "Join",
    "Ledger",
    "LedgerRecord",
    "PendingTransfer",
    "Release",
    "Reservation",
    "Settle",
    "Share",
    "Slice",
    "SliceAllocator",
    "SliceManager",
    "TopUp",
    "Transfer",
    "ZoneTotals",
    "cost_of",
    "decide_allocation",
    "largest_cost",
    "tokens_to_send",
    "zone_targets",
]
