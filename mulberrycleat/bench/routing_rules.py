"""Rules for choosing an endpoint that the routing bench compares."""

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
DEFAULT_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class RuleSpec:
    """Named rule with the features that it uses.

    Attributes
    ----------
    kind : str
        ``round_robin``, ``least_outstanding``, ``two_choices`` or ``expected`` (:class:`Chooser`).
    priorities, reports, events : bool
        Whether requests carry priorities, and whether load reports and cache events are used.
    choice : ChoiceSettings
        Settings of the :class:`Chooser`; other kinds don't use them.
    admission : AdmissionSettings or None
        Settings by which requests wait or are refused at the router; None to send all at once.
    baseline : bool
        Whether the chosen rule is compared with this rule.
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
    """Endpoint choice at one router."""

    def choose(
        self, endpoints: list[Endpoint], demand: Demand, now: float, tried: Collection[str]
    ) -> Choice | None:
        """Return the choice for a request, or None if every endpoint was tried."""
        ...

    def sent(self, endpoint: Endpoint, request_id: str, demand: Demand, now: float) -> None:
        """Record a request sent to an endpoint."""
        ...

    def first_token(self, name: str, request_id: str, cached_tokens: int, now: float) -> None:
        """Record the first token of an answer."""
        ...

    def ended(
        self, name: str, request_id: str, generated: int, now: float, failed: bool | None
    ) -> None:
        """Record the end of a request at an endpoint.

        `failed` is None if the end says nothing about the endpoint.
        """
        ...


class CountingRule:
    """Round robin, least outstanding and two choices, from this router's own request counts."""

    def __init__(self, kind: str, random: Random) -> None:
        self._kind = kind
        self._random = random
        self._next_index = random.randrange(100)
        self._outstanding: dict[str, int] = {}

    def choose(
        self, endpoints: list[Endpoint], demand: Demand, now: float, tried: Collection[str]
    ) -> Choice | None:
        """Return the choice for a request, or None if every endpoint was tried."""
        left = [endpoint for endpoint in endpoints if endpoint.name not in tried]
        if not left:
            return None
        if self._kind == "round_robin":
            self._next_index += 1
            return Choice(left[self._next_index % len(left)], NO_ESTIMATE, 0)
        if self._kind == "two_choices":
            left = self._random.sample(left, min(2, len(left)))
        self._random.shuffle(left)
        best = min(left, key=lambda endpoint: self._outstanding.get(endpoint.name, 0))
        return Choice(best, NO_ESTIMATE, 0)

    def sent(self, endpoint: Endpoint, request_id: str, demand: Demand, now: float) -> None:
        """Record a request sent to an endpoint."""
        self._outstanding[endpoint.name] = self._outstanding.get(endpoint.name, 0) + 1

    def first_token(self, name: str, request_id: str, cached_tokens: int, now: float) -> None:
        """Record the first token of an answer."""

    def ended(
        self, name: str, request_id: str, generated: int, now: float, failed: bool | None
    ) -> None:
        """Record the end of a request at an endpoint."""
        self._outstanding[name] -= 1


def make_rule(spec: RuleSpec, zone: str, random: Random) -> Rule:
    """Return the rule for one router."""
    if spec.kind == "expected":
        return Chooser(spec.choice, zone, random)
    return CountingRule(spec.kind, random)


_ALL_FEATURES = {
    "priorities": True,
    "reports": True,
    "events": True,
    "admission": AdmissionSettings(),
}

RULES = (
    RuleSpec("round_robin", "round_robin", baseline=True),
    RuleSpec("least_outstanding", "least_outstanding", baseline=True),
    RuleSpec("two_choices", "two_choices", baseline=True),
    RuleSpec("least_outstanding+priorities", "least_outstanding", priorities=True),
    RuleSpec("chosen", "expected", **_ALL_FEATURES),
)
