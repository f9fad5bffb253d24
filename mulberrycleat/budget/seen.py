"""Compact set of sequence numbers for the detection of duplicates."""

from __future__ import annotations

__all__ = ["SeenNumbers"]


class SeenNumbers:
    """A set of sequence numbers from 1 on, for numbers that arrive nearly in order.

    Memory is used only for numbers above the first gap.

    Examples
    --------
    >>> seen = SeenNumbers()
    >>> [seen.add(number) for number in (1, 3, 1, 2, 3)]
    [True, True, False, True, False]
    """

    def __init__(self) -> None:
        self._contiguous_up_to = 0
        self._above_gap: set[int] = set()

    def __contains__(self, number: int) -> bool:
        return number <= self._contiguous_up_to or number in self._above_gap

    def add(self, number: int) -> bool:
        """Add a number; return whether it is new."""
        if number in self:
            return False
        self._above_gap.add(number)
        while self._contiguous_up_to + 1 in self._above_gap:
            self._contiguous_up_to += 1
            self._above_gap.remove(self._contiguous_up_to)
        return True
