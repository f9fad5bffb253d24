"""Faults injected into a replay, and their times."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.bench.budget_traces import HOUR_S

__all__ = ["SCENARIOS", "FaultPlan", "HostEvent", "make_faults"]

PARTITIONED_ZONES = {"cut_busy": 0, "cut_middle": 1, "cut_quiet": 2}
SCENARIOS = ("calm", *PARTITIONED_ZONES, "log_down", "rolling", "deaths", "deaths_fenced")
PARTITION_START_S = 0.75 * HOUR_S
PARTITION_END_S = 1.75 * HOUR_S
ROLLING_START_S = 0.5 * HOUR_S
ROLLING_INTERVAL_S = 600.0
REPLACEMENT_DELAY_S = 30.0
KILLED_HOSTS = 4


class HostEvent(NamedTuple):
    """Kill (``kill``), graceful shutdown (``stop``) or start (``start``) of a host.

    `at` is in seconds from the start of the trace; `host` is the index of the host in its zone.
    """

    at: float
    action: str
    zone: int
    host: int


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """Faults of one replay.

    Attributes
    ----------
    partitioned_zone : int or None
        The zone that is partitioned from the platform and the other zones for an hour.
    log_down : bool
        Whether the log is unreachable for all zones during that hour.
    fencing : bool
        Whether all endpoints check fencing numbers.
    events : tuple of HostEvent
        Kills, shutdowns and starts of hosts, in order of time.
    """

    partitioned_zone: int | None = None
    log_down: bool = False
    fencing: bool = False
    events: tuple[HostEvent, ...] = ()

    def is_isolated(self, now: float, zone: int) -> bool:
        """Return whether a zone can reach neither the log nor the other zones at time `now`."""
        is_during_fault = PARTITION_START_S <= now < PARTITION_END_S
        return is_during_fault and (self.log_down or zone == self.partitioned_zone)


def make_faults(scenario: str, seed: int) -> FaultPlan:
    """Return the faults of a scenario; raises ValueError for an unknown one."""
    rng = random.Random(seed)
    match scenario:
        case "calm":
            return FaultPlan()
        case _ if scenario in PARTITIONED_ZONES:
            return FaultPlan(partitioned_zone=PARTITIONED_ZONES[scenario])
        case "log_down":
            return FaultPlan(log_down=True)
        case "rolling":
            return FaultPlan(events=tuple(_rolling_restart()))
        case "deaths" | "deaths_fenced":
            return FaultPlan(fencing=scenario == "deaths_fenced", events=tuple(_kills(rng)))
    raise ValueError(f"no scenario {scenario!r}")


def _rolling_restart() -> list[HostEvent]:
    events = []
    at = ROLLING_START_S
    for zone in range(3):
        for host in range(3):
            events.append(HostEvent(at, "stop", zone, host))
            events.append(HostEvent(at + REPLACEMENT_DELAY_S, "start", zone, host))
            at += ROLLING_INTERVAL_S
    return events


def _kills(rng: random.Random) -> list[HostEvent]:
    events = []
    hosts = rng.sample([(zone, host) for zone in range(3) for host in range(3)], KILLED_HOSTS)
    for zone, host in hosts:
        at = rng.uniform(0.2 * HOUR_S, 2.2 * HOUR_S)
        events.append(HostEvent(at, "kill", zone, host))
        events.append(HostEvent(at + REPLACEMENT_DELAY_S, "start", zone, host))
    return sorted(events)
