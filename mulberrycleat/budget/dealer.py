"""Application of the allocation rules to a holder's slices."""

from __future__ import annotations

from mulberrycleat.budget.accounts import BudgetState
from mulberrycleat.budget.dealing import DealSettings, deal
from mulberrycleat.budget.demand import DemandTracker
from mulberrycleat.budget.keeper import SliceKeeper

__all__ = ["Dealer"]


class Dealer:
    """Claims and returns tokens for one holder, by the allocation rules.

    Parameters
    ----------
    settings : DealSettings
        Parameters of the rules.

    Notes
    -----
    A budget whose ledger state has not changed since the last decision is skipped, unless holders
    joined or left. The cost therefore grows with the number of records, not of budgets.
    """

    def __init__(self, settings: DealSettings) -> None:
        self._settings = settings
        self._last_states: dict[str, BudgetState] = {}
        self._holders: frozenset[str] = frozenset()

    def deal(self, keeper: SliceKeeper, demand: DemandTracker) -> None:
        """Draft claims and returns for each budget that changed.

        Does nothing while an earlier claim or return is unconfirmed: the ledger state does not
        include returned tokens until then, and they would be returned again.
        """
        if keeper.is_allocation_pending or not keeper.open:
            return
        holders = keeper.ledger.holders
        self._update_holders(frozenset(name for name in holders if keeper.ledger.is_open(name)))
        for name, budget in keeper.ledger.budgets.items():
            if self._last_states.get(name) is budget:
                continue
            self._last_states[name] = budget
            decision = deal(
                keeper.holder, keeper.free(name), budget, holders, demand.of(name), self._settings
            )
            if decision.claim:
                keeper.claim(name, decision.claim)
            if decision.want:
                keeper.want(name, decision.want)
            if decision.give_back:
                keeper.give_back(name, decision.give_back)

    def _update_holders(self, names: frozenset[str]) -> None:
        if names != self._holders:
            self._holders = names
            self._last_states.clear()
