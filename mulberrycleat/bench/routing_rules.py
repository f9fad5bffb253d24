"""Rules of endpoint choice that the routing bench compares."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from typing import Protocol

from mulberrycleat.endpoint import AdmissionSettings, Choice, ChoiceSettings, Chooser, Demand
from mulberrycleat.endpoint.state import Estimate
from mulberrycleat.manifest.model import Endpoint

__all__ = ["RULES", "Rule", "RuleSpec", "make_rule"]

NO_ESTIMATE = Estimate(0.0, 0.0, 0.0, 0.0)
BASE_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class RuleSpec:
    """A rule by name.

    Attributes
    ----------
    kind : str
        ``round_robin``, ``least_outstanding``, ``two_choices`` or ``expected``.
    priorities, reports, events : bool
        Whether requests carry priorities, and whether load reports and cache events are used.
    admission : AdmissionSettings or None
        Whether requests wait and are shed at the router.
    """

    name: str
    kind: str
    priorities: bool = False
    reports: bool = False
    events: bool = False
    choice: ChoiceSettings = ChoiceSettings()
    admission: AdmissionSettings | None = None
    baseline: bool = False


class Rule(Protocol):
    """The choice at one router."""

    def choose(
        self, endpoints: list[Endpoint], demand: Demand, now: float, tried: Collection[str]
    ) -> Choice | None:
        """Return the endpoint for a request."""
        ...

    def sent(self, endpoint: Endpoint, request_id: str, demand: Demand, now: float) -> None:
        """Note a dispatch."""
        ...

    def first_token(self, name: str, request_id: str, cached_tokens: int, now: float) -> None:
        """Note a first token."""
        ...

    def ended(
        self, name: str, request_id: str, generated: int, now: float, failed: bool | None
    ) -> None:
        """Note an end."""
        ...


class CountingRule:
    """Round robin, least outstanding and two choices, by this router's own requests."""

    def __init__(self, kind: str, random: Random) -> None:
        self._kind = kind
        self._random = random
        self._turn = random.randrange(100)
        self._open: dict[str, int] = {}

    def choose(
        self, endpoints: list[Endpoint], demand: Demand, now: float, tried: Collection[str]
    ) -> Choice | None:
        """Return the endpoint for a request."""
        left = [endpoint for endpoint in endpoints if endpoint.name not in tried]
        if not left:
            return None
        if self._kind == "round_robin":
            self._turn += 1
            return Choice(left[self._turn % len(left)], NO_ESTIMATE, 0)
        if self._kind == "two_choices":
            left = self._random.sample(left, min(2, len(left)))
        self._random.shuffle(left)
        best = min(left, key=lambda endpoint: self._open.get(endpoint.name, 0))
        return Choice(best, NO_ESTIMATE, 0)

    def sent(self, endpoint: Endpoint, request_id: str, demand: Demand, now: float) -> None:
        """Note a dispatch."""
        self._open[endpoint.name] = self._open.get(endpoint.name, 0) + 1

    def first_token(self, name: str, request_id: str, cached_tokens: int, now: float) -> None:
        """Note a first token."""

    def ended(
        self, name: str, request_id: str, generated: int, now: float, failed: bool | None
    ) -> None:
        """Note an end."""
        self._open[name] -= 1


def make_rule(spec: RuleSpec, zone: str, random: Random) -> Rule:
    """Return the rule for one router."""
    if spec.kind == "expected":
        return Chooser(spec.choice, zone, random)
    return CountingRule(spec.kind, random)


_FULL = {"priorities": True, "reports": True, "events": True, "admission": AdmissionSettings()}

RULES = (
    RuleSpec("round_robin", "round_robin", baseline=True),
    RuleSpec("least_outstanding", "least_outstanding", baseline=True),
    RuleSpec("two_choices", "two_choices", baseline=True),
    RuleSpec("least_outstanding+priorities", "least_outstanding", priorities=True),
    RuleSpec("chosen", "expected", **_FULL),
)
