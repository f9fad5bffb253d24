"""Which fenced holders can be closed, so that their unspent tokens may be granted again."""

from __future__ import annotations

from collections.abc import Mapping

from mulberrycleat.budget.accounts import HolderState

__all__ = ["closable", "is_bounded"]


def closable(holders: Mapping[str, HolderState]) -> frozenset[str]:
    """Return the holders that can be closed together.

    A holder's spending is known once its endpoints have confirmed the fence. Its tokens may also
    have gone to another holder of the zone by a transfer that is in no record yet. That one must
    have stopped accepting them (and recorded what it got before), or be closed in the same step:
    then the sum of both balances is right, whichever of them holds the tokens.

    Examples
    --------
    >>> dead = HolderState("east", fenced=True)
    >>> sorted(closable({"a/1": dead, "b/1": HolderState("east")}))
    []
    >>> sorted(closable({"a/1": dead, "b/1": dead, "c/1": HolderState("west")}))
    ['a/1', 'b/1']
    """
    found = {name for name, holder in holders.items() if holder.proved}
    while True:
        blocked = {name for name in found if _receivers(name, holders) - found}
        if not blocked:
            return frozenset(found)
        found -= blocked


def is_bounded(name: str, holders: Mapping[str, HolderState]) -> bool:
    """Return whether no peer can still let a fenced holder spend more, or know that it may.

    Each holder of the zone has told what limits it took in, or the fenced one had ceased to ask it.

    Examples
    --------
    >>> dead = HolderState("east", fenced=True, acked=frozenset({"b/1"}))
    >>> is_bounded("a/1", {"a/1": dead, "b/1": HolderState("east")})
    True
    """
    asked_no_more = {other for other, state in holders.items() if name in state.acked}
    return not _receivers(name, holders) - asked_no_more


def _receivers(sender: str, holders: Mapping[str, HolderState]) -> set[str]:
    state = holders[sender]
    zone = {name for name, other in holders.items() if other.zone == state.zone}
    return zone - state.acked - {sender}
