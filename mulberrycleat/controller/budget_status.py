"""Description of the budgets in the status reply, for operators."""

from __future__ import annotations

from typing import Any

from mulberrycleat.budget import BudgetState, Ledger, SliceManager

__all__ = ["describe_budgets"]


def describe_budgets(ledger: Ledger, manager: SliceManager) -> dict[str, Any]:
    """Return each budget as this host knows it from the ledger, in tokens, with figures by zone.

    Examples
    --------
    >>> from mulberrycleat.budget import Join, Settle, TopUp
    >>> ledger = Ledger()
    >>> claim = Settle("a/1", 1, claims={"huts": 4})
    >>> for record in (TopUp("t1", "huts", 9), Join("a/1", "east"), claim):
    ...     ledger.apply(record)
    >>> huts = describe_budgets(ledger, SliceManager("a/1", "east", ledger))["huts"]
    >>> huts["available"], huts["zones"]["east"]["held"], huts["free_here"]
    (5, 4, 4)
    """
    return {
        name: _describe(name, budget, ledger, manager) for name, budget in ledger.budgets.items()
    }


def _describe(
    name: str, budget: BudgetState, ledger: Ledger, manager: SliceManager
) -> dict[str, Any]:
    stranded = ledger.stranded(name)
    zones = set(budget.zones) | {ledger.holders[holder].zone for holder in budget.shares}
    return {
        "prepaid": budget.prepaid,
        "spent": budget.spent,
        "held": budget.held - stranded,
        "stranded": stranded,
        "available": budget.available,
        "reserved_here": manager.reserved(name),
        "free_here": manager.free(name),
        "zones": {zone: _describe_zone(name, zone, budget, ledger) for zone in sorted(zones)},
        "shares": {
            holder: {"held": share.held, "spent": share.spent}
            for holder, share in budget.shares.items()
        },
    }


def _describe_zone(name: str, zone: str, budget: BudgetState, ledger: Ledger) -> dict[str, Any]:
    shares = budget.shares.items()
    held = sum(share.held for holder, share in shares if ledger.holders[holder].zone == zone)
    stranded = ledger.stranded(name, zone)
    totals = budget.zones.get(zone)
    return {
        "spent": totals.spent if totals else 0,
        "held": held - stranded,
        "stranded": stranded,
        "refused": dict(totals.refused) if totals else {},
    }
