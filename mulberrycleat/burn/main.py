"""``mulberrycleat-burn``: burn of service-level objectives, from the routers' histograms."""

from __future__ import annotations

import json
import sys
import time
from itertools import chain
from pathlib import Path
from typing import TextIO

import click
import msgspec
import trio_asyncio
from result import Err, Ok

from mulberrycleat.burn.collect import Collected, add_to_file, collect, read_file
from mulberrycleat.burn.merge import latest_intervals
from mulberrycleat.burn.model import Interval
from mulberrycleat.burn.played import report_from_log
from mulberrycleat.burn.report import Report, as_data, as_text, make_report
from mulberrycleat.cli.changes import current_state
from mulberrycleat.cli.operations import read_statuses
from mulberrycleat.cli.session import EXIT_BAD_INPUT, EXIT_UNAVAILABLE, settings_option
from mulberrycleat.core.logs import configure_logging
from mulberrycleat.core.process import settings_or_exit, value_or_exit
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.explain import read_lines
from mulberrycleat.manifest import Manifest, ManifestState
from mulberrycleat.settings import OperatorSettings, read_fleet_key
from mulberrycleat.web import HttpClient

__all__ = ["exit_code", "main"]

EXIT_ALERT = 1


class _FleetReader:
    """Reads intervals, manifest and budgets of the fleet that a settings file describes."""

    def __init__(self, settings_file: Path) -> None:
        self.settings = settings_or_exit(settings_file, OperatorSettings)
        self.fleet_key = value_or_exit(settings_file, read_fleet_key(self.settings.fleet_key_file))
        configure_logging(self.settings.log)

    async def collect(self) -> Collected:
        """Fetch the intervals of all routers."""
        client = HttpClient()
        try:
            return await collect(client, self.settings.routers, self.fleet_key)
        finally:
            await client.aclose()

    async def read_manifest(self) -> Manifest:
        """Return the active manifest according to the platform's log."""
        client = HttpClient()
        try:
            match await current_state(HttpEventLog(self.settings.platform, client)):
                case Ok(ManifestState(manifest=manifest)):
                    return manifest
                case Err(error):
                    _exit_with(EXIT_UNAVAILABLE, str(error))
        finally:
            await client.aclose()

    async def read_spent(self) -> dict[str, tuple[int, int]]:
        """Return prepaid and spent tokens by budget.

        If hosts report different numbers for a budget, the pair with the largest sum is used, as
        that of the most up-to-date host.
        """
        found: dict[str, tuple[int, int]] = {}
        for status in (await read_statuses(self.settings, self.fleet_key)).values():
            if isinstance(status, Ok):
                for name, budget in status.ok_value["budgets"].items():
                    seen = (budget["prepaid"], budget["spent"])
                    found[name] = max(found.get(name, (0, 0)), seen, key=sum)
        return found


@click.group()
@settings_option
@click.pass_context
def main(context: click.Context, settings_file: Path) -> None:
    """Report how fast the error budgets of the manifest's objectives are used up.

    Routers retain their intervals for an hour by default, and lose them when they restart. Run
    `collect` every few minutes to store them in a file, and pass the file to `report`.

    Exit codes: 0 success; 1 an alert fires; 2 bad input; 3 a router or the platform is unreachable
    and no alert fires.
    """
    context.obj = settings_file


@main.command("collect")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def collect_command(settings_file: Path, file: Path) -> None:
    """Merge the routers' intervals into FILE, which stores each interval once."""
    reader = _FleetReader(settings_file)
    found = trio_asyncio.run(reader.collect)
    # Exits with status 2 if the existing file is invalid.
    _read_files((file,) if file.exists() else ())
    click.echo(f"{file}: {add_to_file(file, found.intervals)} intervals")
    _echo_errors(found)
    if found.errors:
        sys.exit(EXIT_UNAVAILABLE)


@main.command("report")
@click.option(
    "--file",
    "files",
    multiple=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="File of intervals kept by `collect`; may be given several times.",
)
@click.option(
    "--format", "output_format", type=click.Choice(["text", "json", "svg"]), default="text"
)
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def report_command(
    settings_file: Path, files: tuple[Path, ...], output_format: str, output: Path | None
) -> None:
    """Write the burn report of the fleet."""
    reader = _FleetReader(settings_file)
    kept = _read_files(files)

    async def read() -> tuple[Collected, Manifest, dict[str, tuple[int, int]]]:
        return await reader.collect(), await reader.read_manifest(), await reader.read_spent()

    found, manifest, spent = trio_asyncio.run(read)
    report = make_report(latest_intervals([*kept, *found.intervals]), manifest, spent, time.time())
    _write(_render(report, output_format), output)
    _echo_errors(found)
    sys.exit(exit_code(report, bool(found.errors)))


@main.command("played")
@click.argument("logs", nargs=-1, required=True, type=click.File(encoding="utf-8"))
@click.option(
    "--objective",
    "objectives",
    multiple=True,
    metavar="[ROUTE:]MEASURE:BOUND_S:TARGET",
    help="For example first_token:0.6:0.95; an objective without a route applies to every route.",
)
@click.option(
    "--format", "output_format", type=click.Choice(["text", "json", "svg"]), default="text"
)
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path))
def played_command(
    logs: tuple[TextIO, ...], objectives: tuple[str, ...], output_format: str, output: Path | None
) -> None:
    """Write the burn report of the decision LOGS of entry hosts.

    Needs neither settings nor a connection to the fleet.
    """
    try:
        report = report_from_log(read_lines(chain.from_iterable(logs)), objectives)
    except ValueError as error:
        _exit_with(EXIT_BAD_INPUT, str(error))
    _write(_render(report, output_format), output)
    sys.exit(exit_code(report, incomplete=False))


def exit_code(report: Report, incomplete: bool) -> int:
    """Return the exit code of a report; an alert goes before unreachable routers."""
    if any(burn.alerts for burn in report.burns):
        return EXIT_ALERT
    return EXIT_UNAVAILABLE if incomplete else 0


def _write(text: str, output: Path | None) -> None:
    if output is None:
        click.echo(text)
    else:
        output.write_text(text, encoding="utf-8")


def _render(report: Report, output_format: str) -> str:
    match output_format:
        case "json":
            return json.dumps(as_data(report))
        case "svg":
            # Imported here because only the SVG format needs the chart library.
            from mulberrycleat.burn.chart import as_svg

            return as_svg(report)
        case _:
            return as_text(report)


def _read_files(files: tuple[Path, ...]) -> list[Interval]:
    intervals: list[Interval] = []
    for path in files:
        try:
            intervals += read_file(path)
        except (OSError, msgspec.DecodeError) as error:
            _exit_with(EXIT_BAD_INPUT, f"{path}: {error}")
    return intervals


def _echo_errors(found: Collected) -> None:
    for error in found.errors:
        click.echo(str(error), err=True)


def _exit_with(code: int, reason: str) -> None:
    click.echo(reason, err=True)
    sys.exit(code)


if __name__ == "__main__":
    main()
