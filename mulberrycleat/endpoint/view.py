"""What a router knows of an endpoint, and the choice among several."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from mulberrycleat.manifest.model import Endpoint

__all__ = ["EndpointView", "choose"]

OTHER_ZONE_PENALTY_S = 0.05
FIRST_GUESS_TOKENS_PER_S = 50.0


@dataclass(frozen=True, slots=True)
class EndpointView:
    """One endpoint as a router sees it.

    Attributes
    ----------
    own_tokens : int
        Tokens of this router's own requests in flight there.
    reported_tokens : int
        Tokens waiting or running there as of its last load report.
    tokens_per_s : float
        Estimated speed.
    failures : int
        Failures since the last success.
    """

    endpoint: Endpoint
    own_tokens: int = 0
    reported_tokens: int = 0
    tokens_per_s: float = FIRST_GUESS_TOKENS_PER_S
    failures: int = 0
    leaving: bool = False

    def expected_s(self, tokens: int, zone: str) -> float:
        """Return the expected time to completion of `tokens` more, in seconds."""
        queued = max(self.own_tokens, self.reported_tokens)
        away = 0.0 if self.endpoint.zone == zone else OTHER_ZONE_PENALTY_S
        return (queued + tokens) / self.tokens_per_s * (1 + self.failures) + away

    def started(self, tokens: int) -> EndpointView:
        """Return the view with one more request of `tokens` in flight."""
        return replace(self, own_tokens=self.own_tokens + tokens)

    def ended(self, tokens: int, failed: bool) -> EndpointView:
        """Return the view after a request of `tokens` ended."""
        failures = self.failures + 1 if failed else 0
        return replace(self, own_tokens=self.own_tokens - tokens, failures=failures)


def choose(views: Iterable[EndpointView], tokens: int, zone: str) -> EndpointView | None:
    """Return the endpoint with the earliest expected completion, or None when there is none."""
    staying = [view for view in views if not view.leaving]
    return min(staying, key=lambda view: view.expected_s(tokens, zone), default=None)
