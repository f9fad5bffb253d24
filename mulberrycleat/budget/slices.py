"""A holder's slice of one budget, as counted by the holder itself."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["Slice"]


@dataclass(frozen=True, slots=True)
class Slice:
    """A holder's own counts of the tokens of one budget, without those that the ledger granted.

    Attributes
    ----------
    moved : int
        Tokens received from peers, less those sent to peers or returned to the ledger.
    spent : int
        Tokens billed, including bills that the ledger does not include yet.
    reserved : int
        Tokens reserved for requests in flight.

    Examples
    --------
    >>> Slice().set_aside(40).settle(reserved=40, cost=25).move(-5).free(claimed=100)
    70
    """

    moved: int = 0
    spent: int = 0
    reserved: int = 0

    def free(self, claimed: int) -> int:
        """Return the free tokens, given the `claimed` tokens that the ledger granted to claims."""
        return claimed + self.moved - self.spent - self.reserved

    def move(self, tokens: int) -> Slice:
        """Return the slice with `tokens` added (or removed, when negative)."""
        return replace(self, moved=self.moved + tokens)

    def set_aside(self, tokens: int) -> Slice:
        """Return the slice with `tokens` more reserved; the caller checks that they are free."""
        return replace(self, reserved=self.reserved + tokens)

    def settle(self, reserved: int, cost: int) -> Slice:
        """Return the slice after a request that reserved `reserved` and cost `cost` tokens."""
        return replace(self, reserved=self.reserved - reserved, spent=self.spent + cost)
