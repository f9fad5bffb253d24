"""State that :class:`~mulberrycleat.prepaid.Allowance` is made of. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from mulberrycleat.core import Position
from mulberrycleat.prepaid.demand import LARGEST_REQUEST_DECAY, TokenRate
from mulberrycleat.prepaid.grants import Donor
from mulberrycleat.prepaid.ledger import AccountShare, HolderRecord

__all__ = ["AccountState", "DemandReports", "Draft"]

# A report of another host's demand counts for this time, in seconds: longer than an outage of the
# store, in which the reserve for that demand is needed.
DEMAND_REPORT_TTL_S = 15.0


@dataclass(slots=True)
class AccountState:
    """State of one client account at this host; numbers are in tokens.

    Attributes
    ----------
    past_limit, past_spent : int
        Upper and lower bound on what earlier incarnations of the host have spent.
    spent, reserved, donated : int
        Parts of the slice that were spent, that are reserved for requests, and that were donated
        to other hosts which have not yet reported their usage.
    lost : int
        Part of the donated tokens whose recipients have ended without a report on them.
    received, used : dict
        Unused and used tokens received from each donor, since the last report to it.
    share : AccountShare
        Share in the newest record of this incarnation in the store.
    pending : list of int
        Tokens of each waiting request, in the order of arrival.
    largest_pending : int
        Tokens of the largest request that was waiting recently.
    demand, served : TokenRate
        Rate of tokens granted to this host's own callers, from any source; and rate of tokens taken
        from the slice, by own callers or other hosts.
    """

    past_limit: int = 0
    past_spent: int = 0
    spent: int = 0
    reserved: int = 0
    donated: int = 0
    lost: int = 0
    received: dict[Donor, int] = field(default_factory=dict)
    used: dict[Donor, int] = field(default_factory=dict)
    share: AccountShare = AccountShare()
    pending: list[int] = field(default_factory=list)
    largest_pending: int = 0
    demand: TokenRate = field(default_factory=TokenRate)
    served: TokenRate = field(default_factory=TokenRate)

    def add_pending(self, tokens: int) -> None:
        """Count a waiting request."""
        self.pending.append(tokens)
        self.largest_pending = max(tokens, int(self.largest_pending * LARGEST_REQUEST_DECAY))


@dataclass(slots=True)
class Draft:
    """A record that can be appended to the store at position `at` only.

    `unconfirmed` is set once an append of the record got no answer; the answer to a later attempt
    does not change that. `drafted_at` is in seconds on trio's clock.
    """

    record: HolderRecord
    at: Position
    drafted_at: float
    unconfirmed: bool = False


class DemandReports:
    """Demand of hosts that write no records, as each of them reported it last.

    Examples
    --------
    >>> reports = DemandReports()
    >>> reports.add("a", {"huts": 3.0}, now=0.0)
    >>> reports.add("b", {"huts": 4.0}, now=1.0)
    >>> reports.total("huts", now=2.0), reports.total("huts", now=15.5)
    (7.0, 4.0)
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, dict[str, float]]] = {}

    def add(self, host: str, rates: Mapping[str, float], now: float) -> None:
        """Replace a host's report; `rates` are in tokens per second, by account."""
        self._reports = {h: found for h, found in self._reports.items() if _is_recent(found, now)}
        self._reports[host] = (now, dict(rates))

    def total(self, account: str, now: float) -> float:
        """Return the demand for an account in all recent reports, in tokens per second."""
        recent = [found for found in self._reports.values() if _is_recent(found, now)]
        return sum(rates.get(account, 0.0) for _, rates in recent)


def _is_recent(report: tuple[float, dict[str, float]], now: float) -> bool:
    return now - report[0] < DEMAND_REPORT_TTL_S
