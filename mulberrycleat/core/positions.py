"""Positions in a log of the store."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["START", "Position"]


class Position(NamedTuple):
    """Position in a log of the store; positions of one log are ordered.

    After the store was restored from an older copy, it assigns offsets again that it had assigned
    before. An offset is therefore valid only together with the number of restorations.

    Attributes
    ----------
    era : int
        Number that the store raises with each restoration; 0 if it states none.
    offset : int
        Number of the record in its log, from 0.

    Examples
    --------
    >>> Position(0, 120) < Position(1, 90) < Position(1, 90).after(2)
    True
    """

    era: int
    offset: int

    def after(self, records: int = 1) -> Position:
        """Return the position `records` records later."""
        return self._replace(offset=self.offset + records)


# Position of the first record of a log whose store was never restored.
START = Position(0, 0)
