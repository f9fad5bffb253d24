"""A small language for scripted scenarios, run in one event loop or against real processes."""

from mulberrycleat.scenario.check import check_scenario, plan_of
from mulberrycleat.scenario.model import Scenario
from mulberrycleat.scenario.parse import parse_scenario

__all__ = ["Scenario", "check_scenario", "parse_scenario", "plan_of"]
