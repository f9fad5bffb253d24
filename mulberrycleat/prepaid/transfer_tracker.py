"""What a host gave of its slices to others, by request for it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["OutstandingTransfer", "TransferTracker"]


class OutstandingTransfer(NamedTuple):
    """Tokens of an account that were given."""

    account: str
    tokens: int


@dataclass(slots=True)
class _Taker:
    given: dict[int, OutstandingTransfer] = field(default_factory=dict)
    closed_to: int = 0
    told: int = 0


class TransferTracker:
    """Gifts whose answer may be lost on its way to the taker.

    Each taker, one incarnation of a host, numbers its asks and its messages. A message says up to
    which ask all have been answered, and which of these it had no answer to: what was given for
    those was never received. A message that comes twice counts once.

    Examples
    --------
    >>> book = TransferTracker()
    >>> book.note("b", 1, OutstandingTransfer("huts", 50))
    >>> book.note("b", 2, OutstandingTransfer("huts", 70))
    >>> book.is_new("b", 1)
    True
    >>> book.close("b", 2, lost=[2])
    [OutstandingTransfer(account='huts', tokens=70)]
    >>> book.is_new("b", 1), book.is_closed("b", 2), book.is_closed("b", 3)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._takers: dict[str, _Taker] = {}

    def is_closed(self, taker: str, number: int) -> bool:
        """Whether the taker waits no longer for an answer to an ask."""
        return number <= self._taker(taker).closed_to

    def note(self, taker: str, number: int, given: OutstandingTransfer) -> None:
        """Note what is given for an ask."""
        self._taker(taker).given[number] = given

    def is_new(self, taker: str, number: int) -> bool:
        """Whether a message comes for the first time; it is taken as read then."""
        found = self._taker(taker)
        if number <= found.told:
            return False
        found.told = number
        return True

    def close(self, taker: str, closed_to: int, lost: list[int]) -> list[OutstandingTransfer]:
        """Close all asks up to one; return what was given for those without an answer."""
        found = self._taker(taker)
        back = [found.given[number] for number in lost if number in found.given]
        found.given = {n: given for n, given in found.given.items() if n > closed_to}
        found.closed_to = max(found.closed_to, closed_to)
        return back

    def _taker(self, name: str) -> _Taker:
        return self._takers.setdefault(name, _Taker())
