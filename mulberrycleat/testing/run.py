"""``bin/test``: run unit tests, doctests and scenarios; failures in KNOWN-RED.txt don't count."""

from __future__ import annotations

import logging
import sys
import time
import unittest
from pathlib import Path
from typing import Any

import click

from mulberrycleat.scenario.cases import scenario_cases
from mulberrycleat.testing.harness import collect

__all__ = ["main"]

KNOWN_RED = Path("KNOWN-RED.txt")
TEST_FIELD = "test:"


class TimedResult(unittest.TextTestResult):
    """Test result that records the run time of each test."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.times: list[tuple[float, str]] = []
        self._started_at = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the start time of a test."""
        self._started_at = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record the run time of a test, in seconds."""
        super().stopTest(test)
        self.times.append((time.monotonic() - self._started_at, test.id()))


@click.command()
@click.argument("pattern", default="")
@click.option(
    "--style-faults",
    default=0,
    help="Number of faults that formatter and linter found, added to the failures.",
)
@click.option(
    "--slowest", default=0, help="Print this many of the slowest tests with their run times."
)
@click.option("--verbose", "-v", is_flag=True, help="Print the name of each test.")
def main(pattern: str, style_faults: int, slowest: int, verbose: bool) -> None:
    """Run the tests whose dotted name contains PATTERN, and print `N passed, N failed` last."""
    logging.getLogger().addHandler(logging.NullHandler())
    suite = collect(pattern)
    suite.addTests(case for case in scenario_cases() if pattern in case.id())
    started = time.monotonic()
    runner = unittest.TextTestRunner(verbosity=2 if verbose else 1, resultclass=TimedResult)
    result = runner.run(suite)
    for seconds, name in sorted(result.times, reverse=True)[:slowest]:
        print(f"{seconds:7.2f} s  {name}")
    failed = [case.id() for case, _ in [*result.failures, *result.errors]]
    known = _known_red()
    known_failures = [name for name in failed if name in known]
    new = len(failed) - len(known_failures) + style_faults
    print(f"ran in {time.monotonic() - started:.1f} s")
    for name in known_failures:
        print(f"known red, not counted: {name}: {known[name]}")
    for name in sorted(set(known) - set(failed)):
        if pattern in name:
            print(f"listed in {KNOWN_RED} but not failing: {name}")
    print(f"{result.testsRun - len(failed)} passed, {new} failed")
    sys.exit(1 if new or not result.testsRun else 0)


def _known_red() -> dict[str, str]:
    """Return the notes on each listed test: a line `test: NAME`, then the lines of its notes."""
    if not KNOWN_RED.exists():
        return {}
    known: dict[str, str] = {}
    name = ""
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.startswith(TEST_FIELD):
            name = line[len(TEST_FIELD) :].strip()
            known[name] = ""
        elif name and line.strip():
            known[name] = f"{known[name]} {line.strip()}".strip()
    return known


if __name__ == "__main__":
    main()
