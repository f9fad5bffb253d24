"""Test cases for the files in ``scenarios/``."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from pathlib import Path

from result import Err, Ok

from mulberrycleat.scenario.main import load_scenario, run_in_process

__all__ = ["ScenarioCase", "scenario_cases"]

DIRECTORY = Path(__file__).parents[2] / "scenarios"


class ScenarioCase(unittest.TestCase):
    """Runs one scenario file in one event loop; its test ID is ``scenario.FILE``."""

    def __init__(self, path: Path) -> None:
        super().__init__("run_file")
        self._path = path

    def id(self) -> str:
        """Return ``scenario.`` and the file's name without its suffix."""
        return f"scenario.{self._path.stem}"

    def __str__(self) -> str:
        return self.id()

    def run_file(self) -> None:
        """Run the file; fail with its faults, or with all failed expectations and invariants."""
        match load_scenario(self._path):
            case Err(faults):
                self.fail("\n".join(str(fault) for fault in faults))
            case Ok(scenario):
                failures = run_in_process(scenario)
                self.assertFalse(failures, "\n".join(map(str, failures)))


def scenario_cases(directory: Path = DIRECTORY) -> Iterator[ScenarioCase]:
    """Yield a test case for each scenario file in a directory."""
    for path in sorted(directory.glob("*.scn")):
        yield ScenarioCase(path)
