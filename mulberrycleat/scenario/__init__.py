"""Scenario language: scripts that drive a fleet in one event loop or as real processes."""

from mulberrycleat.scenario.check import check_scenario, plan_of
from mulberrycleat.scenario.model import Scenario
from mulberrycleat.scenario.parse import parse_scenario

__all__ = ["Scenario", "check_scenario", "parse_scenario", "plan_of"]
