"""Rules for the allocation of a budget: pure functions of the ledger state and of the demand.

All unspent tokens are allocated, because an availability zone that is partitioned from the ledger
can't claim any. A part is allocated evenly to all zones, as a reserve for zones without demand at
present; the rest is allocated by demand. Inside a zone, holders transfer tokens to one another.
When a zone runs short, the other zones return tokens in proportion to what they hold.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.budget.accounts import BudgetState, HolderState, Share

__all__ = [
    "AllocationDecision",
    "AllocationSettings",
    "decide_allocation",
    "tokens_to_send",
    "zone_targets",
]


@dataclass(frozen=True, slots=True)
class AllocationSettings:
    """Parameters of the allocation rules.

    Attributes
    ----------
    even_fraction : float
        Fraction of the unspent tokens that is allocated evenly to the zones.
    slack_fraction : float
        Deviation from its target, as a fraction of the unspent tokens, that a zone tolerates
        before it claims or returns tokens.
    recall : bool
        Whether zones return tokens for a zone that ran short even if they then hold less than
        their targets.
    """

    even_fraction: float = 0.75
    slack_fraction: float = 0.02
    recall: bool = True


class AllocationDecision(NamedTuple):
    """Decision for one holder, in tokens.

    Attributes
    ----------
    claim : int
        Tokens to claim.
    claim_for_waiting : int
        Tokens to claim for waiting requests.
    return_tokens : int
        Tokens to return to the ledger.
    """

    claim: int = 0
    claim_for_waiting: int = 0
    return_tokens: int = 0


@dataclass(slots=True)
class _BudgetView:
    """Tokens held and lacked by the open holders of one budget, as seen by one of them.

    Attributes
    ----------
    zones : mapping
        Number of open holders by zone.
    held, zone_held : int
        Tokens held by all open holders, and by those of the holder's own zone.
    own_shortfall, others_shortfall : int
        Shortfall of the holder itself, and of the holders of other zones.
    returnable : int
        Tokens held by holders without a shortfall.
    """

    zones: dict[str, int]
    held: int = 0
    zone_held: int = 0
    own_shortfall: int = 0
    others_shortfall: int = 0
    returnable: int = 0


def zone_targets(
    unspent: int, zones: frozenset[str], demand: Mapping[str, float], settings: AllocationSettings
) -> dict[str, int]:
    """Return how many of the `unspent` tokens each zone should hold.

    Parameters
    ----------
    demand : mapping
        Recent demand in tokens, by zone.

    Examples
    --------
    >>> zones = frozenset({"east", "west"})
    >>> targets = zone_targets(100, zones, {"east": 3.0, "west": 1.0}, AllocationSettings(0.5))
    >>> sorted(targets.items())
    [('east', 62), ('west', 37)]
    """
    total = sum(demand.get(zone, 0.0) for zone in zones)
    targets = {}
    for zone in zones:
        even = 1.0 / len(zones)
        share = demand.get(zone, 0.0) / total if total else even
        part = settings.even_fraction * even + (1.0 - settings.even_fraction) * share
        targets[zone] = int(unspent * part)
    return targets


def decide_allocation(
    holder: str,
    free: int,
    budget: BudgetState,
    holders: Mapping[str, HolderState],
    demand: Mapping[str, float],
    settings: AllocationSettings,
) -> AllocationDecision:
    """Return the tokens of one budget that `holder` should claim or return.

    Parameters
    ----------
    free : int
        Free tokens of the holder, which it could return.
    demand : mapping
        Recent demand in tokens, by zone; see :class:`~mulberrycleat.budget.DemandTracker`.
    """
    if holder not in holders or holders[holder].fenced:
        return AllocationDecision()
    zone = holders[holder].zone
    view = _build_view(holder, zone, budget, holders)
    available = budget.available
    unspent = max(0, available) + view.held
    target = zone_targets(unspent, frozenset(view.zones), demand, settings)[zone]
    if available > 0 and view.own_shortfall:
        return AllocationDecision(claim_for_waiting=view.own_shortfall)
    missing = min(target - view.zone_held, available - view.others_shortfall)
    if missing > 0 and missing >= settings.slack_fraction * unspent:
        return AllocationDecision(claim=-(-missing // view.zones[zone]))
    excess = view.zone_held - target
    part = excess / view.zone_held if excess > settings.slack_fraction * unspent else 0.0
    if settings.recall:
        part = max(part, _recalled_fraction(view, available))
    return AllocationDecision(return_tokens=min(free, math.ceil(free * part)))


def tokens_to_send(free: int, needed: int) -> int:
    """Return the tokens that a holder sends to a peer that needs `needed` tokens.

    These are the needed tokens and half of the other free ones, or all `free` tokens if too few.

    >>> tokens_to_send(100, 20), tokens_to_send(10, 20)
    (60, 10)
    """
    if free <= needed:
        return max(0, free)
    return needed + (free - needed) // 2


def _build_view(
    holder: str, zone: str, budget: BudgetState, holders: Mapping[str, HolderState]
) -> _BudgetView:
    view = _BudgetView({})
    for name, state in holders.items():
        if state.fenced:
            continue
        view.zones[state.zone] = view.zones.get(state.zone, 0) + 1
        if share := budget.shares.get(name):
            _add_share(view, share, name == holder, state.zone == zone)
    return view


def _add_share(view: _BudgetView, share: Share, own: bool, same_zone: bool) -> None:
    view.held += share.held
    if same_zone:
        view.zone_held += share.held
    if own:
        view.own_shortfall = share.short
    elif not same_zone:
        view.others_shortfall += share.short
    if not share.short:
        view.returnable += max(0, share.held)


def _recalled_fraction(view: _BudgetView, available: int) -> float:
    """Return the part of its free tokens that each holder returns for other zones' shortfalls."""
    wanted = view.others_shortfall - max(0, available)
    if wanted <= 0:
        return 0.0
    return min(1.0, wanted / view.returnable) if view.returnable else 1.0
