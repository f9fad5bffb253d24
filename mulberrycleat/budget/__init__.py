"""Prepaid budgets: cost, ledger, slices, and allocation of tokens to holders."""

from mulberrycleat.budget.accounts import (
    BudgetState,
    HolderState,
    PendingTransfer,
    Share,
    ZoneTotals,
)
from mulberrycleat.budget.cost import cost_of, largest_cost
from mulberrycleat.budget.dealer import Dealer
from mulberrycleat.budget.dealing import Deal, DealSettings, deal, tokens_to_send, zone_targets
from mulberrycleat.budget.demand import DemandTracker
from mulberrycleat.budget.keeper import Reservation, SliceKeeper
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
from mulberrycleat.budget.slices import Slice

__all__ = [
    "STREAM",
    "Bill",
    "BudgetState",
    "Checkpoint",
    "Confirm",
    "Deal",
    "DealSettings",
    "Dealer",
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
    "SliceKeeper",
    "TopUp",
    "Transfer",
    "ZoneTotals",
    "cost_of",
    "deal",
    "largest_cost",
    "tokens_to_send",
    "zone_targets",
]
