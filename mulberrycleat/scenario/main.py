"""``bin/scenario``: runs scenario files in one event loop or against real processes."""

from __future__ import annotations

import sys
import tempfile
from functools import partial
from pathlib import Path

import click
import trio_asyncio
from result import Err, Ok, Result

from mulberrycleat.scenario import model as m
from mulberrycleat.scenario.check import check_for_processes, check_scenario, plan_of
from mulberrycleat.scenario.drivers import in_process_driver, local_driver
from mulberrycleat.scenario.parse import parse_scenario
from mulberrycleat.scenario.run import Failure, run_scenario
from mulberrycleat.settings import Fault
from mulberrycleat.testing import run_virtual

__all__ = ["load_scenario", "main", "run_in_process"]

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def load_scenario(path: Path) -> Result[m.Scenario, list[Fault]]:
    """Read, parse and check a scenario file."""
    return parse_scenario(path.read_text(encoding="utf-8"), path.stem).and_then(check_scenario)


def run_in_process(scenario: m.Scenario, seed: int = 0) -> list[Failure]:
    """Run a scenario in one event loop under a virtual clock."""

    async def run() -> list[Failure]:
        async with in_process_driver(plan_of(scenario), seed) as driver:
            return await run_scenario(scenario, driver)

    return run_virtual(run, seed)


def run_local(scenario: m.Scenario, directory: Path) -> list[Failure]:
    """Run a scenario against real processes on loopback."""

    async def run() -> list[Failure]:
        async with local_driver(plan_of(scenario), directory) as driver:
            return await run_scenario(scenario, driver)

    return trio_asyncio.run(run)


@click.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    "--real", is_flag=True, help="Run the fleet as real processes instead of in one event loop."
)
@click.option("--check", is_flag=True, help="Only check the files for faults; run nothing.")
@click.option("--seed", default=0, show_default=True, help="Seed of task order and link jitter.")
def main(files: tuple[Path, ...], real: bool, check: bool, seed: int) -> None:
    """Run scenario FILES.

    Exit codes: 0 everything held; 1 an expectation or invariant did not hold; 2 a file has faults.
    """
    status = 0
    for path in files:
        loaded = load_scenario(path)
        match loaded.and_then(check_for_processes) if real else loaded:
            case Err(faults):
                status = EXIT_BAD_INPUT
                for fault in faults:
                    click.echo(f"{path}:{fault.line}: {fault.reason}", err=True)
            case Ok(scenario) if not check:
                run = _run_in_temporary_directory if real else partial(run_in_process, seed=seed)
                status = max(status, _report_failures(path, run(scenario)))
            case _:
                click.echo(f"{path}: ok")
    sys.exit(status)


def _run_in_temporary_directory(scenario: m.Scenario) -> list[Failure]:
    with tempfile.TemporaryDirectory(prefix="mulberrycleat-") as directory:
        return run_local(scenario, Path(directory))


def _report_failures(path: Path, failures: list[Failure]) -> int:
    for failure in failures:
        click.echo(f"{path}: {failure}")
    if not failures:
        click.echo(f"{path}: held")
    return EXIT_FAILED if failures else 0


if __name__ == "__main__":
    main()
