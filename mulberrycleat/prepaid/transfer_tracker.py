"""Tokens that a host donated to other hosts, by request. Free of I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["OutstandingTransfer", "TransferTracker"]


class OutstandingTransfer(NamedTuple):
    """Tokens of an account that were donated for one request."""

    account: str
    tokens: int


@dataclass(slots=True)
class _Recipient:
    transfers: dict[int, OutstandingTransfer] = field(default_factory=dict)
    unreported: Counter[str] = field(default_factory=Counter)
    closed_to: int = 0
    last_report: int = 0


class TransferTracker:
    """A donor's transfers whose reply may be lost on the way to the recipient.

    Each recipient, one incarnation of a host, numbers its requests and its usage reports. A report
    states up to which number all requests have ended, and which of these got no reply: the tokens
    donated for those were never received. A report that arrives twice counts once.

    Examples
    --------
    >>> book = TransferTracker()
    >>> book.record_transfer("b", 1, OutstandingTransfer("huts", 50))
    >>> book.record_transfer("b", 2, OutstandingTransfer("huts", 70))
    >>> book.accept_report("b", 1)
    True
    >>> book.close_requests("b", 2, lost=[2])
    [OutstandingTransfer(account='huts', tokens=70)]
    >>> book.accept_report("b", 1), book.is_request_closed("b", 2), book.is_request_closed("b", 3)
    (False, True, False)
    """

    def __init__(self) -> None:
        self._recipients: dict[str, _Recipient] = {}

    def is_request_closed(self, taker: str, number: int) -> bool:
        """Whether the recipient no longer waits for a reply to a request."""
        return number <= self._recipient(taker).closed_to

    def record_transfer(self, taker: str, number: int, transfer: OutstandingTransfer) -> None:
        """Record the tokens donated for a request."""
        found = self._recipient(taker)
        found.transfers[number] = transfer
        found.unreported[transfer.account] += transfer.tokens

    def record_usage(self, taker: str, account: str, tokens: int) -> None:
        """Count tokens as used or returned by the recipient."""
        self._recipient(taker).unreported[account] -= tokens

    def unreported(self, account: str, is_counted: Callable[[str], bool]) -> int:
        """Return the donated tokens whose usage some recipients have not reported."""
        return sum(
            max(0, found.unreported[account])
            for taker, found in self._recipients.items()
            if is_counted(taker)
        )

    def accept_report(self, taker: str, number: int) -> bool:
        """Return whether a report is newer than all received ones, and mark it as received."""
        found = self._recipient(taker)
        if number <= found.last_report:
            return False
        found.last_report = number
        return True

    def close_requests(
        self, taker: str, closed_to: int, lost: list[int]
    ) -> list[OutstandingTransfer]:
        """Close all requests up to `closed_to`; return the transfers of the `lost` ones.

        Lost requests are those to which the recipient got no reply.
        """
        found = self._recipient(taker)
        not_received = [found.transfers[number] for number in lost if number in found.transfers]
        found.transfers = {n: transfer for n, transfer in found.transfers.items() if n > closed_to}
        found.closed_to = max(found.closed_to, closed_to)
        return not_received

    def _recipient(self, name: str) -> _Recipient:
        return self._recipients.setdefault(name, _Recipient())
