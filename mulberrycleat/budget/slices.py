"""A holder's slice of one budget."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["Slice"]


@dataclass(frozen=True, slots=True)
class Slice:
    """Tokens of one budget that a holder may spend.

    Attributes
    ----------
    granted : int
        Tokens granted by the ledger and not returned.
    spent : int
        Tokens billed, in the ledger or on the way to it.
    reserved : int
        Tokens set aside for requests in flight.

    Examples
    --------
    >>> Slice(granted=100).reserve(40).settle(reserved=40, cost=25).free
    75
    """

    granted: int = 0
    spent: int = 0
    reserved: int = 0

    @property
    def free(self) -> int:
        """Tokens that can be reserved."""
        return self.granted - self.spent - self.reserved

    def grant(self, tokens: int) -> Slice:
        """Return the slice with `tokens` more (or less, when negative)."""
        return replace(self, granted=self.granted + tokens)

    def reserve(self, tokens: int) -> Slice:
        """Return the slice with `tokens` set aside; raises ValueError when they are not free."""
        if tokens > self.free:
            raise ValueError(f"{tokens} tokens asked for, {self.free} free")
        return replace(self, reserved=self.reserved + tokens)

    def settle(self, reserved: int, cost: int) -> Slice:
        """Return the slice after a request that reserved `reserved` and cost `cost` tokens."""
        return replace(self, reserved=self.reserved - reserved, spent=self.spent + cost)
