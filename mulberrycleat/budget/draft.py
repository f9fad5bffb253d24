"""Contents of a holder's next settlement."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from mulberrycleat.budget.records import Bill, Settle, Transfer

__all__ = ["SettleDraft"]


@dataclass(slots=True)
class SettleDraft:
    """Collects the fields of a settlement; see :class:`~mulberrycleat.budget.Settle`."""

    bills: list[Bill] = field(default_factory=list)
    returned: Counter[str] = field(default_factory=Counter)
    claims: dict[str, int] = field(default_factory=dict)
    wants: dict[str, int] = field(default_factory=dict)
    asked: Counter[str] = field(default_factory=Counter)
    refused: defaultdict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    transfers: list[Transfer] = field(default_factory=list)
    acks: list[str] = field(default_factory=list)
    limits: dict[str, int] = field(default_factory=dict)
    guarded: dict[str, dict[str, int]] = field(default_factory=dict)

    @property
    def empty(self) -> bool:
        """Whether there is nothing to settle."""
        return not (
            self.bills
            or self.returned
            or self.claims
            or self.wants
            or self.asked
            or self.refused
            or self.transfers
            or self.acks
            or self.limits
        )

    def record(self, holder: str, seq: int, floor: int, final: bool) -> Settle:
        """Return the settlement record with the collected fields."""
        return Settle(
            holder,
            seq,
            tuple(self.bills),
            dict(self.returned),
            dict(self.claims),
            dict(self.wants),
            dict(self.asked),
            {budget: dict(codes) for budget, codes in self.refused.items()},
            tuple(self.transfers),
            tuple(self.acks),
            dict(self.limits),
            dict(self.guarded),
            floor,
            final,
        )
