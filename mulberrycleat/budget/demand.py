"""Recent demand of each availability zone, computed from the ledger state."""

from __future__ import annotations

from collections.abc import Mapping

from mulberrycleat.budget.accounts import BudgetState

__all__ = ["DemandTracker"]

HALF_LIFE_S = 600.0


class DemandTracker:
    """Exponentially decaying sum of the tokens asked for, by budget and zone.

    Parameters
    ----------
    half_life_s : float
        Time in which the sum halves when nothing is asked for, in seconds.

    Examples
    --------
    >>> from mulberrycleat.budget import ZoneTotals
    >>> tracker = DemandTracker()
    >>> tracker.observe(0.0, {"huts": BudgetState(zones={"east": ZoneTotals(asked=80)})})
    >>> tracker.observe(600.0, {"huts": BudgetState(zones={"east": ZoneTotals(asked=100)})})
    >>> tracker.of("huts")
    {'east': 60.0}
    """

    def __init__(self, half_life_s: float = HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._at: float | None = None
        self._totals: dict[str, dict[str, int]] = {}
        self._decayed: dict[str, dict[str, float]] = {}

    def observe(self, now: float, budgets: Mapping[str, BudgetState]) -> None:
        """Add the demand since the last call; `now` is in seconds on any monotonic clock."""
        age_s = now - self._at if self._at is not None else 0.0
        self._at = now
        factor = 0.5 ** (age_s / self._half_life_s)
        for name, budget in budgets.items():
            totals = self._totals.setdefault(name, {})
            decayed = self._decayed.setdefault(name, {})
            for zone, now_total in budget.zones.items():
                new = max(0, now_total.asked - totals.get(zone, 0))
                decayed[zone] = decayed.get(zone, 0.0) * factor + new
                totals[zone] = now_total.asked

    def of(self, budget: str) -> dict[str, float]:
        """Return the recent demand of a budget by zone, in tokens."""
        return self._decayed.get(budget, {})
