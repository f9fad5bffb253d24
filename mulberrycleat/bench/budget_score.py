"""Score of a replay: overspend, false refusals, billing errors."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from mulberrycleat.bench.budget_traces import TraceRequest

__all__ = ["Score"]


class Score:
    """Counts of one replay, over the requests of all hosts.

    Parameters
    ----------
    prepaid : mapping
        Prepaid tokens by budget.

    Notes
    -----
    A refusal is false if, at that time, the prepaid tokens minus all tokens spent and minus the
    bounds of all requests in flight covered the bound of the refused request.
    """

    def __init__(self, prepaid: Mapping[str, int]) -> None:
        self._prepaid = prepaid
        self._spent: Counter[str] = Counter()
        self._committed: Counter[str] = Counter()
        self.served = 0
        self.refused = 0
        self.false_refusals = 0
        self.billing_errors = 0
        self.appends = 0

    @property
    def requests(self) -> int:
        """Number of requests, served or refused."""
        return self.served + self.refused

    @property
    def false_refusal_rate(self) -> float:
        """Share of false refusals among all requests."""
        return self.false_refusals / max(1, self.requests)

    @property
    def overspend(self) -> int:
        """Tokens spent beyond the prepaid totals, summed over all budgets."""
        over = (spent - self._prepaid[name] for name, spent in self._spent.items())
        return sum(max(0, tokens) for tokens in over)

    def spent(self, budget: str) -> int:
        """Return the tokens of a budget spent by all requests sent to endpoints."""
        return self._spent[budget]

    def dispatched(self, request: TraceRequest) -> None:
        """Count a request sent to an endpoint; its full cost counts as spent from then on."""
        self.served += 1
        self._spent[request.budget] += request.cost
        self._committed[request.budget] += request.bound

    def ended(self, request: TraceRequest) -> None:
        """Count the end of a request; the unused part of its bound is available again."""
        self._committed[request.budget] += request.cost - request.bound

    def turned_away(self, request: TraceRequest) -> None:
        """Count a refusal, and whether it is false."""
        self.refused += 1
        left = self._prepaid[request.budget] - self._committed[request.budget]
        self.false_refusals += left >= request.bound
