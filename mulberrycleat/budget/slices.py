"""A holder's slice of one budget, as the holder itself counts it."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["Slice"]


@dataclass(frozen=True, slots=True)
class Slice:
    """What a holder did with the tokens of one budget, apart from claiming them.

    Attributes
    ----------
    moved : int
        Tokens received from peers, less those sent to peers and returned to the ledger.
    spent : int
        Tokens billed, in the ledger or on the way to it.
    reserved : int
        Tokens set aside for requests in flight.

    Examples
    --------
    >>> Slice().set_aside(40).settle(reserved=40, cost=25).move(-5).free(claimed=100)
    70
    """

    moved: int = 0
    spent: int = 0
    reserved: int = 0

    def free(self, claimed: int) -> int:
        """Return the tokens that can be reserved, of `claimed` ones that the ledger granted."""
        return claimed + self.moved - self.spent - self.reserved

    def move(self, tokens: int) -> Slice:
        """Return the slice with `tokens` more (or less, when negative)."""
        return replace(self, moved=self.moved + tokens)

    def set_aside(self, tokens: int) -> Slice:
        """Return the slice with `tokens` reserved, which have to be free."""
        return replace(self, reserved=self.reserved + tokens)

    def settle(self, reserved: int, cost: int) -> Slice:
        """Return the slice after a request that reserved `reserved` and cost `cost` tokens."""
        return replace(self, reserved=self.reserved - reserved, spent=self.spent + cost)
