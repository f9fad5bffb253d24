"""``bin/test``: unit tests, doctests and scenarios; passes over what KNOWN-RED.txt lists."""

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
RED_FIELD = "test:"


class TimedResult(unittest.TextTestResult):
    """A result that keeps how long each test took."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.times: list[tuple[float, str]] = []
        self._began = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note the start of a test."""
        self._began = time.monotonic()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Note the end of a test."""
        super().stopTest(test)
        self.times.append((time.monotonic() - self._began, test.id()))


@click.command()
@click.argument("pattern", default="")
@click.option("--style-faults", default=0, help="Faults that formatter and linter found before.")
@click.option("--slowest", default=0, help="Name so many of the slowest tests.")
@click.option("--verbose", "-v", is_flag=True, help="Name each test.")
def main(pattern: str, style_faults: int, slowest: int, verbose: bool) -> None:
    """Run the tests whose dotted name contains PATTERN, and end with `N passed, N failed`."""
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
    passed_over = [name for name in failed if name in known]
    new = len(failed) - len(passed_over) + style_faults
    print(f"ran in {time.monotonic() - started:.1f} s")
    for name in passed_over:
        print(f"known red, passed over: {name}: {known[name]}")
    for name in sorted(set(known) - set(failed)):
        if pattern in name:
            print(f"listed in {KNOWN_RED} but not failing: {name}")
    print(f"{result.testsRun - len(failed)} passed, {new} failed")
    sys.exit(1 if new or not result.testsRun else 0)


def _known_red() -> dict[str, str]:
    """Return the listed tests: lines `test: NAME`, each followed by lines that tell about it."""
    if not KNOWN_RED.exists():
        return {}
    known: dict[str, str] = {}
    name = ""
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.startswith(RED_FIELD):
            name = line[len(RED_FIELD) :].strip()
            known[name] = ""
        elif name and line.strip():
            known[name] = f"{known[name]} {line.strip()}".strip()
    return known


if __name__ == "__main__":
    main()
