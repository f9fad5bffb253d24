"""Rules that decide how a budget is dealt: pure functions of the fold and of the demand.

All unspent tokens are dealt, because what lies in the ledger is out of reach of an availability
zone that is cut off. A part is dealt evenly to all zones, as insurance for those that are quiet
now; the rest by demand. Inside a zone, holders send tokens to one another. When a zone runs short,
the others return in proportion to what they have.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.budget.accounts import BudgetState, HolderState, Share

__all__ = ["Deal", "DealSettings", "deal", "tokens_to_send", "zone_targets"]


@dataclass(frozen=True, slots=True)
class DealSettings:
    """Parameters of the rule.

    Attributes
    ----------
    even_part : float
        Part of the unspent tokens that is dealt evenly to the zones.
    slack_part : float
        Part of the unspent tokens by which a zone may miss its target before it returns some.
    recall : bool
        Whether zones return tokens below their targets to one that ran short.
    """

    even_part: float = 0.75
    slack_part: float = 0.02
    recall: bool = True


class Deal(NamedTuple):
    """What a holder does now: tokens to claim, to claim for waiting requests, and to return."""

    claim: int = 0
    want: int = 0
    give_back: int = 0


@dataclass(slots=True)
class _View:
    """Open holders of one budget, seen from one of them; tokens.

    Attributes
    ----------
    zones : mapping
        Number of open holders by zone.
    held, zone_held : int
        Held by all open holders, and by those of the own zone.
    own_short, others_short : int
        Claimed in vain by the holder itself, and by holders of other zones.
    giving : int
        Held by holders that claimed nothing in vain.
    """

    zones: dict[str, int]
    held: int = 0
    zone_held: int = 0
    own_short: int = 0
    others_short: int = 0
    giving: int = 0


def zone_targets(
    unspent: int, zones: frozenset[str], demand: Mapping[str, float], settings: DealSettings
) -> dict[str, int]:
    """Return how many of `unspent` tokens each zone should hold.

    Examples
    --------
    >>> zones = frozenset({"east", "west"})
    >>> targets = zone_targets(100, zones, {"east": 3.0, "west": 1.0}, DealSettings(0.5))
    >>> sorted(targets.items())
    [('east', 62), ('west', 37)]
    """
    total = sum(demand.get(zone, 0.0) for zone in zones)
    targets = {}
    for zone in zones:
        even = 1.0 / len(zones)
        share = demand.get(zone, 0.0) / total if total else even
        part = settings.even_part * even + (1.0 - settings.even_part) * share
        targets[zone] = int(unspent * part)
    return targets


def deal(
    holder: str,
    free: int,
    budget: BudgetState,
    holders: Mapping[str, HolderState],
    demand: Mapping[str, float],
    settings: DealSettings,
) -> Deal:
    """Return what `holder` should claim and return, of one budget.

    Parameters
    ----------
    free : int
        Tokens that the holder could return.
    demand : mapping
        Tokens asked for lately, by zone.
    """
    if holder not in holders or holders[holder].fenced:
        return Deal()
    zone = holders[holder].zone
    view = _view(holder, zone, budget, holders)
    available = budget.available
    unspent = max(0, available) + view.held
    target = zone_targets(unspent, frozenset(view.zones), demand, settings)[zone]
    if available > 0 and view.own_short:
        return Deal(want=view.own_short)
    missing = min(target - view.zone_held, available - view.others_short)
    if missing > 0 and missing >= settings.slack_part * unspent:
        return Deal(claim=-(-missing // view.zones[zone]))
    excess = view.zone_held - target
    part = excess / view.zone_held if excess > settings.slack_part * unspent else 0.0
    if settings.recall:
        part = max(part, _recalled_part(view, available))
    return Deal(give_back=min(free, math.ceil(free * part)))


def tokens_to_send(free: int, needed: int) -> int:
    """Return how much a holder sends to a peer that needs `needed` tokens.

    >>> tokens_to_send(100, 20), tokens_to_send(10, 20)
    (60, 10)
    """
    if free <= needed:
        return max(0, free)
    return needed + (free - needed) // 2


def _view(holder: str, zone: str, budget: BudgetState, holders: Mapping[str, HolderState]) -> _View:
    view = _View({})
    for name, state in holders.items():
        if state.fenced:
            continue
        view.zones[state.zone] = view.zones.get(state.zone, 0) + 1
        if share := budget.shares.get(name):
            _add_share(view, share, name == holder, state.zone == zone)
    return view


def _add_share(view: _View, share: Share, own: bool, same_zone: bool) -> None:
    view.held += share.held
    if same_zone:
        view.zone_held += share.held
    if own:
        view.own_short = share.short
    elif not same_zone:
        view.others_short += share.short
    if not share.short:
        view.giving += max(0, share.held)


def _recalled_part(view: _View, available: int) -> float:
    """Return the part of its free tokens that each holder returns for other zones' claims."""
    wanted = view.others_short - max(0, available)
    if wanted <= 0:
        return 0.0
    return min(1.0, wanted / view.giving) if view.giving else 1.0
