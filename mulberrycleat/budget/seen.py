"""Numbers that have been taken in, counted from 1, in little memory."""

from __future__ import annotations

__all__ = ["SeenNumbers"]


class SeenNumbers:
    """A set of numbers of which nearly all up to some number are in it.

    Examples
    --------
    >>> seen = SeenNumbers()
    >>> [seen.add(number) for number in (1, 3, 1, 2, 3)]
    [True, True, False, True, False]
    """

    def __init__(self) -> None:
        self._all_up_to = 0
        self._above: set[int] = set()

    def __contains__(self, number: int) -> bool:
        return number <= self._all_up_to or number in self._above

    def add(self, number: int) -> bool:
        """Take in a number; return whether it is new."""
        if number in self:
            return False
        self._above.add(number)
        while self._all_up_to + 1 in self._above:
            self._all_up_to += 1
            self._above.remove(self._all_up_to)
        return True
