"""Application of the allocation rules to a holder's slices."""

from __future__ import annotations

from mulberrycleat.budget.accounts import BudgetState
from mulberrycleat.budget.allocation import AllocationSettings, decide_allocation
from mulberrycleat.budget.demand import DemandTracker
from mulberrycleat.budget.slice_manager import SliceManager

__all__ = ["SliceAllocator"]


class SliceAllocator:
    """Claims and returns tokens for one holder, by the allocation rules.

    Parameters
    ----------
    settings : AllocationSettings
        Parameters of the rules.

    Notes
    -----
    A budget whose ledger state has not changed since the last decision is skipped, unless holders
    joined or left. The number of decisions therefore grows with that of records, not of budgets.
    """

    def __init__(self, settings: AllocationSettings) -> None:
        self._settings = settings
        self._last_states: dict[str, BudgetState] = {}
        self._holders: frozenset[str] = frozenset()

    def adjust(self, manager: SliceManager, demand: DemandTracker) -> None:
        """Draft claims and returns for each budget that changed.

        Does nothing while an earlier claim or return is unconfirmed: the ledger state does not
        include returned tokens until then, and they would be returned again.
        """
        if manager.is_allocation_pending or not manager.open:
            return
        holders = manager.ledger.holders
        self._update_holders(frozenset(name for name in holders if manager.ledger.is_open(name)))
        for name, budget in manager.ledger.budgets.items():
            if self._last_states.get(name) is budget:
                continue
            self._last_states[name] = budget
            decision = decide_allocation(
                manager.holder, manager.free(name), budget, holders, demand.of(name), self._settings
            )
            if decision.claim:
                manager.claim(name, decision.claim)
            if decision.claim_for_waiting:
                manager.claim_for_waiting(name, decision.claim_for_waiting)
            if decision.return_tokens:
                manager.return_tokens(name, decision.return_tokens)

    def _update_holders(self, names: frozenset[str]) -> None:
        if names != self._holders:
            self._holders = names
            self._last_states.clear()
