"""Checks the names in a scenario against its fleet plan."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator

from result import Err, Ok, Result

from mulberrycleat.scenario import model as m
from mulberrycleat.settings import Fault
from mulberrycleat.testing.layout import PLATFORM_ZONE, FleetPlan, Layout

__all__ = ["check_for_processes", "check_scenario", "plan_of"]

PLATFORM = "platform"


def plan_of(scenario: m.Scenario) -> FleetPlan:
    """Return the fleet plan of a scenario: the default plan with the scenario's counts."""
    counts: dict[str, int] = {}
    for _, statement in scenario.statements:
        if isinstance(statement, m.Fleet):
            counts |= statement.counts
    return dataclasses.replace(FleetPlan(), **counts)


def check_scenario(scenario: m.Scenario) -> Result[m.Scenario, list[Fault]]:
    """Return the scenario, or a fault for each unknown name in it."""
    faults = list(_plan_faults(scenario))
    if not faults:
        faults = list(_NameChecker(plan_of(scenario)).faults(scenario.statements))
    return Err(faults) if faults else Ok(scenario)


def check_for_processes(scenario: m.Scenario) -> Result[m.Scenario, list[Fault]]:
    """Return the scenario, or a fault for each statement that real processes can't execute.

    Between real processes, only the link from a zone to the platform can be cut or slowed.
    """
    addresses = (f"10.0.0.1:{port}" for port in itertools.count(1))
    links = {member.name for member in Layout(plan_of(scenario), addresses, "").of_kind("link")}
    faults = []
    for line, statement in _flattened(scenario.statements):
        match statement:
            case m.Cut(one, other) | m.Heal(one, other) | m.Slow(one, other):
                zone = other if one == PLATFORM else one
                if PLATFORM not in (one, other) or f"link-{zone}" not in links:
                    reason = f"links from {one} to {other} cannot be cut or slowed"
                    faults.append(Fault("", f"with real processes, {reason}", line))
    return Err(faults) if faults else Ok(scenario)


def _flattened(statements: tuple[m.Located, ...]) -> Iterator[m.Located]:
    for located in statements:
        match located.statement:
            case m.Concurrently(inner):
                yield from _flattened(inner)
            case m.Meanwhile(inner):
                yield m.Located(located.line, inner)
            case _:
                yield located


def _plan_faults(scenario: m.Scenario) -> Iterator[Fault]:
    known = {f.name for f in dataclasses.fields(FleetPlan) if f.type == "int"}
    for line, statement in scenario.statements:
        if isinstance(statement, m.Fleet):
            for name in sorted(set(statement.counts) - known):
                yield Fault("", f"unknown count {name!r}; known: {', '.join(sorted(known))}", line)


class _NameChecker:
    """Checks names against the fleet plan and the names defined in earlier lines."""

    def __init__(self, plan: FleetPlan) -> None:
        addresses = (f"10.0.0.1:{port}" for port in itertools.count(1))
        layout = Layout(plan, addresses, "")
        members = layout.members.values()
        self._routers = {member.host for member in layout.of_kind("router")}
        self._zones = {member.zone for member in members} | {PLATFORM_ZONE}
        self._members = {member.name for member in members}
        self._places = self._members | self._zones | {member.host for member in members}
        self._accounts = set(plan.accounts)
        self._pools = {pool["name"] for pool in layout.manifest()["pools"]}
        self._models = set(plan.models)
        self._defined: set[str] = set()

    def faults(self, statements: tuple[m.Located, ...]) -> Iterator[Fault]:
        """Yield a fault for each unknown name, in the order of the statements."""
        for line, statement in statements:
            match statement:
                case m.Concurrently(inner):
                    yield from self.faults(inner)
                case _:
                    for category, name, known in self._references(statement):
                        if name and name not in known:
                            yield Fault("", f"no {category} named {name!r}", line)

    def _references(self, statement: m.Statement) -> Iterator[tuple[str, str, set[str]]]:
        match statement:
            case m.Meanwhile(inner):
                yield from self._references(inner)
            case m.TopUp() as top_up:
                yield "budget", top_up.budget, self._accounts
                yield "zone", top_up.zone, self._zones
            case m.Publish() as publish:
                self._defined.add(publish.name)
                yield "zone", publish.zone, self._zones
                yield from (("endpoint", name, self._members) for name in publish.draining)
            case m.StepBack(name):
                self._defined.add(name)
            case m.Send() as send:
                self._defined.add(send.name)
                yield "account", send.account, self._accounts
                yield "host", send.host, self._routers
                yield "pool", send.pool, self._pools
                yield "model", send.model, self._models
            case m.Cut(one, other) | m.Heal(one, other) | m.Slow(one, other):
                yield "place", one, self._places
                yield "place", other, self._places | {"*"}
            case m.ProcessAction(_, target) | m.WaitReady(target):
                yield "place", target, self._places
            case m.WaitInForce(targets):
                yield from (("place", target, self._places) for target in targets)
            case (
                m.LoseAnswers(_, target)
                | m.BreakStreams(target)
                | m.RememberCounts(target)
                | m.ExpectUnchanged(target)
            ):
                yield "member", target, self._members
            case m.ExpectOutcome(name):
                yield "earlier request or manifest", name, self._defined
            case m.ExpectSameAnswer(name, other):
                yield "earlier request or manifest", name, self._defined
                yield "earlier request or manifest", other, self._defined
            case m.ExpectOutcomeCount(_, names):
                yield from (("earlier request or manifest", name, self._defined) for name in names)
            case m.ExpectBudget(budget):
                yield "budget", budget, self._accounts
