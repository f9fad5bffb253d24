"""Rules for closing fenced holders, so that their unspent tokens can be granted again."""

from __future__ import annotations

from collections.abc import Mapping

from mulberrycleat.budget.accounts import HolderState

__all__ = ["closable", "is_bounded"]


def closable(holders: Mapping[str, HolderState]) -> frozenset[str]:
    """Return the holders that can be closed together.

    A holder's spending is known once all endpoints have confirmed the fence or an operator has
    released the holder. Its tokens may also have been sent to another holder of the zone by a
    transfer that is not recorded yet. The other holder must either have stopped accepting these
    transfers and recorded those received before, or be closed in the same step: then the sum of
    both balances is correct, whichever of the two holds the tokens.

    Examples
    --------
    >>> dead = HolderState("east", fenced=True)
    >>> sorted(closable({"a/1": dead, "b/1": HolderState("east")}))
    []
    >>> sorted(closable({"a/1": dead, "b/1": dead, "c/1": HolderState("west")}))
    ['a/1', 'b/1']
    """
    found = {name for name, holder in holders.items() if holder.is_spending_known}
    while True:
        blocked = {name for name in found if _possible_receivers(name, holders) - found}
        if not blocked:
            return frozenset(found)
        found -= blocked


def is_bounded(name: str, holders: Mapping[str, HolderState]) -> bool:
    """Return whether all spending limits of a fenced holder are recorded and can't rise any more.

    A peer that acknowledges the fence records with it the limits that it granted to the holder. A
    peer whose own fence the holder has acknowledged need not do so: the holder recorded its limits
    with that acknowledgement and has accepted none from that peer since.

    Examples
    --------
    >>> dead = HolderState("east", fenced=True, acked=frozenset({"b/1"}))
    >>> is_bounded("a/1", {"a/1": dead, "b/1": HolderState("east")})
    True
    """
    not_asked = {other for other, state in holders.items() if name in state.acked}
    return not _possible_receivers(name, holders) - not_asked


def _possible_receivers(sender: str, holders: Mapping[str, HolderState]) -> set[str]:
    state = holders[sender]
    zone = {name for name, other in holders.items() if other.zone == state.zone}
    return zone - state.acked - {sender}
