"""What goes wrong during a replay, and when."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.bench.budget_traces import HOUR_S

__all__ = ["SCENARIOS", "FaultPlan", "HostEvent", "make_faults"]

CUTS = {"cut_busy": 0, "cut_middle": 1, "cut_quiet": 2}
SCENARIOS = ("calm", *CUTS, "log_down", "rolling", "deaths", "deaths_fenced")
CUT_FROM_S = 0.75 * HOUR_S
CUT_TO_S = 1.75 * HOUR_S
ROLLING_FROM_S = 0.5 * HOUR_S
ROLLING_EVERY_S = 600.0
REPLACED_AFTER_S = 30.0
DEATHS = 4


class HostEvent(NamedTuple):
    """A host is killed, told to stop, or started again."""

    at: float
    action: str
    zone: int
    host: int


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults of one replay.

    Attributes
    ----------
    cut_zone : int or None
        The zone that is cut off from the platform and the other zones for an hour.
    log_down : bool
        Whether the log is down for that hour.
    fencing : bool
        Whether all endpoints check fencing numbers.
    """

    cut_zone: int | None = None
    log_down: bool = False
    fencing: bool = False
    events: tuple[HostEvent, ...] = ()

    def is_apart(self, now: float, zone: int) -> bool:
        """Return whether a zone reaches neither the log nor the other zones."""
        during = CUT_FROM_S <= now < CUT_TO_S
        return during and (self.log_down or zone == self.cut_zone)


def make_faults(scenario: str, seed: int) -> FaultPlan:
    """Return the faults of a scenario; raises ValueError for an unknown one."""
    rng = random.Random(seed)
    match scenario:
        case "calm":
            return FaultPlan()
        case _ if scenario in CUTS:
            return FaultPlan(cut_zone=CUTS[scenario])
        case "log_down":
            return FaultPlan(log_down=True)
        case "rolling":
            return FaultPlan(events=tuple(_rolling()))
        case "deaths" | "deaths_fenced":
            return FaultPlan(fencing=scenario == "deaths_fenced", events=tuple(_deaths(rng)))
    raise ValueError(f"no scenario {scenario!r}")


def _rolling() -> list[HostEvent]:
    events = []
    at = ROLLING_FROM_S
    for zone in range(3):
        for host in range(3):
            events.append(HostEvent(at, "stop", zone, host))
            events.append(HostEvent(at + REPLACED_AFTER_S, "start", zone, host))
            at += ROLLING_EVERY_S
    return events


def _deaths(rng: random.Random) -> list[HostEvent]:
    events = []
    hosts = rng.sample([(zone, host) for zone in range(3) for host in range(3)], DEATHS)
    for zone, host in hosts:
        at = rng.uniform(0.2 * HOUR_S, 2.2 * HOUR_S)
        events.append(HostEvent(at, "kill", zone, host))
        events.append(HostEvent(at + REPLACED_AFTER_S, "start", zone, host))
    return sorted(events)
