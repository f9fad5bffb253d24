"""Rules that decide how a budget is dealt: pure functions of the fold and of the demand.

All unspent tokens are dealt, because what lies in the ledger is out of reach of an availability
zone that is cut off. A part is dealt evenly to all zones, as insurance for those that are quiet
now; the rest by demand. Inside a zone, holders send tokens to one another. When a zone runs short,
the others return in proportion to what they have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.budget.accounts import BudgetState, HolderState

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

    even_part: float = 0.5
    slack_part: float = 0.02
    recall: bool = True


class Deal(NamedTuple):
    """What a holder does now: tokens to claim and tokens to return."""

    claim: int = 0
    give_back: int = 0


class _View(NamedTuple):
    """Open holders of one budget."""

    holders: dict[str, str]
    held: dict[str, int]
    short: dict[str, int]
    available: int

    def zone_sum(self, values: Mapping[str, int], zone: str) -> int:
        return sum(values[name] for name, there in self.holders.items() if there == zone)


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
    view = _view(budget, holders)
    if holder not in view.holders:
        return Deal()
    zone = view.holders[holder]
    zones = frozenset(view.holders.values())
    unspent = max(0, view.available) + sum(view.held.values())
    target = zone_targets(unspent, zones, demand, settings)[zone]
    held = view.zone_sum(view.held, zone)
    peers = sum(1 for there in view.holders.values() if there == zone)
    wanted_by_others = sum(
        short for name, short in view.short.items() if view.holders[name] != zone
    )
    claim = _claim(holder, view, target - held, peers, wanted_by_others)
    if claim:
        return Deal(claim=claim)
    excess = held - target if held - target > settings.slack_part * unspent else 0
    part = excess / held if excess > 0 and held > 0 else 0.0
    if settings.recall:
        part = max(part, _recalled_part(view, zone, wanted_by_others))
    return Deal(give_back=min(free, int(free * part)))


def tokens_to_send(free: int, needed: int) -> int:
    """Return how much a holder sends to a peer that needs `needed` tokens.

    >>> tokens_to_send(100, 20), tokens_to_send(10, 20)
    (60, 10)
    """
    if free <= needed:
        return max(0, free)
    return needed + (free - needed) // 2


def _view(budget: BudgetState, holders: Mapping[str, HolderState]) -> _View:
    alive = {name: state.zone for name, state in holders.items() if not state.fenced}
    shares = {name: budget.shares.get(name) for name in alive}
    return _View(
        alive,
        {name: share.held if share else 0 for name, share in shares.items()},
        {name: share.short if share else 0 for name, share in shares.items()},
        budget.available,
    )


def _claim(holder: str, view: _View, missing: int, peers: int, wanted_by_others: int) -> int:
    """Claim what was asked for in vain before, else this holder's part of the zone's target."""
    if view.available <= 0:
        return 0
    if view.short[holder]:
        return view.short[holder]
    left = view.available - wanted_by_others
    return max(0, min(-(-missing // peers), left))


def _recalled_part(view: _View, zone: str, wanted: int) -> float:
    """Return the part of its free tokens that each holder of `zone` returns to those short."""
    wanted -= max(0, view.available)
    if wanted <= 0:
        return 0.0
    elsewhere = [name for name in view.holders if not view.short[name]]
    held = sum(max(0, view.held[name]) for name in elsewhere)
    return min(1.0, wanted / held) if held else 1.0
