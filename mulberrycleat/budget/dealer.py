"""Applies the dealing rule to a holder's slices."""

from __future__ import annotations

from mulberrycleat.budget.accounts import BudgetState
from mulberrycleat.budget.dealing import DealSettings, deal
from mulberrycleat.budget.demand import DemandTracker
from mulberrycleat.budget.keeper import SliceKeeper

__all__ = ["Dealer"]


class Dealer:
    """Claims and returns for one holder.

    Parameters
    ----------
    settings : DealSettings
        The rule.

    Notes
    -----
    A budget whose state in the fold is the same as at the last time needs no decision unless
    holders came or went, so the cost follows the records and not the number of budgets.
    """

    def __init__(self, settings: DealSettings) -> None:
        self._settings = settings
        self._dealt: dict[str, BudgetState] = {}
        self._holders: frozenset[str] = frozenset()

    def deal(self, keeper: SliceKeeper, demand: DemandTracker) -> None:
        """Decide for each budget that changed; nothing while a decision is on its way.

        What was returned does not show in the fold before, and would be returned again.
        """
        if keeper.is_allocation_pending or not keeper.open:
            return
        holders = keeper.ledger.holders
        self._note_holders(frozenset(name for name in holders if keeper.ledger.is_open(name)))
        for name, budget in keeper.ledger.budgets.items():
            if self._dealt.get(name) is budget:
                continue
            self._dealt[name] = budget
            decision = deal(
                keeper.holder, keeper.free(name), budget, holders, demand.of(name), self._settings
            )
            if decision.claim:
                keeper.claim(name, decision.claim)
            if decision.want:
                keeper.want(name, decision.want)
            if decision.give_back:
                keeper.give_back(name, decision.give_back)

    def _note_holders(self, names: frozenset[str]) -> None:
        if names != self._holders:
            self._holders = names
            self._dealt.clear()
