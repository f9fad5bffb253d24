"""``mulberrycleat``: the operators' command line."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click
from result import Err, Ok, Result

from mulberrycleat.budget import Release, TopUp
from mulberrycleat.cli import operations
from mulberrycleat.cli.publishing import drain, publish, roll_back
from mulberrycleat.cli.session import (
    EXIT_BAD_INPUT,
    EXIT_UNAVAILABLE,
    Session,
    fail,
    json_option,
    read_text,
    settings_option,
)
from mulberrycleat.cli.where import where
from mulberrycleat.core import PeerError, new_id
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.explain import explain_request, read_lines
from mulberrycleat.manifest import parse_manifest
from mulberrycleat.platform.check import check_config, check_settings
from mulberrycleat.settings import (
    ControllerSettings,
    OperatorSettings,
    RouterSettings,
    load_settings,
)
from mulberrycleat.standin.settings import StandinSettings

__all__ = ["main"]

SETTINGS_KINDS = {
    "router": RouterSettings,
    "controller": ControllerSettings,
    "operator": OperatorSettings,
    "standin": StandinSettings,
}
PLATFORM_CHECKS = {"entry-host": check_settings, "routes": check_config}


@click.group()
@settings_option
@click.pass_context
def main(context: click.Context, settings_file: Path) -> None:
    """Operate a mulberrycleat fleet.

    To change the fleet, publish a manifest: `check` it, `publish` it with --wait, look at `status`,
    and use `step-back` to return to an earlier version.

    Exit codes: 0 success; 1 refused (another manifest took effect first); 2 bad input; 3 the
    platform or a host is unreachable; 4 published, but not yet confirmed by every host.
    """
    context.obj = settings_file


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option(
    "--as",
    "kind",
    type=click.Choice(["manifest", *SETTINGS_KINDS, *PLATFORM_CHECKS]),
    default="manifest",
    show_default=True,
    help="Kind of FILE.",
)
@json_option
def check(file: Path, kind: str, as_json: bool) -> None:
    """Report all faults in a manifest or settings FILE without publishing it."""
    if kind == "manifest":
        outcome = parse_manifest(read_text(file))
    elif kind in PLATFORM_CHECKS:
        outcome = PLATFORM_CHECKS[kind](read_text(file))
    else:
        outcome = load_settings(file, SETTINGS_KINDS[kind])
    faults = outcome.err_value if isinstance(outcome, Err) else []
    if as_json:
        click.echo(json.dumps({"ok": not faults, "faults": [f._asdict() for f in faults]}))
    else:
        for fault in faults:
            click.echo(f"{file}: {fault}", err=True)
        click.echo(f"{file}: {_fault_count(len(faults))}")
    sys.exit(EXIT_BAD_INPUT if faults else 0)


@main.command()
@click.argument("request")
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@json_option
def explain(request: str, logs: tuple[Any, ...], as_json: bool) -> None:
    """Show what happened to REQUEST, according to the LOGS of the entry hosts.

    Exit code 2 if no line names the request.
    """
    trace = explain_request(request, (line for log in logs for line in read_lines(log)))
    if as_json:
        lines = [{"at": line.at, **line.fields} for line in (*trace.lines, *trace.host_state)]
        click.echo(json.dumps({"request": request, "cause": trace.cause, "lines": lines}))
    else:
        click.echo(str(trace))
    sys.exit(0 if trace.lines else EXIT_BAD_INPUT)


@main.command("top-up")
@click.argument("budget")
@click.argument("tokens", type=click.IntRange(min=1))
@click.option(
    "--id", "record_id", help="Id of this payment; a retry with the same id changes nothing."
)
@json_option
@click.pass_obj
def top_up(
    settings_file: Path, budget: str, tokens: int, record_id: str | None, as_json: bool
) -> None:
    """Prepay TOKENS into BUDGET.

    Give the payment's own number as --id, so that a retry, by hand or by a pipeline, counts once.
    """
    session = Session(settings_file)
    record = TopUp(record_id or new_id(), budget, tokens, session.settings.operator)
    match session.run(lambda event_log: operations.top_up(event_log, record)):
        case Err(error):
            fail(EXIT_UNAVAILABLE, f"{error} (retry with --id {record.id})")
    result = {"id": record.id, "budget": budget, "tokens": tokens}
    click.echo(json.dumps(result) if as_json else f"{tokens} tokens into {budget} ({record.id})")


@main.command()
@click.argument("holder")
@click.option(
    "--spent",
    "spent",
    type=(str, click.IntRange(min=0)),
    multiple=True,
    help="BUDGET and the number of its tokens spent but not billed; may be given several times.",
)
@json_option
@click.pass_obj
def release(
    settings_file: Path, holder: str, spent: tuple[tuple[str, int], ...], as_json: bool
) -> None:
    """State that HOLDER (host/incarnation) has ended and that none of its requests still runs.

    For a budget that --spent does not name, all tokens held by HOLDER count as spent.
    """
    session = Session(settings_file)
    record = Release(holder, session.settings.operator, dict(spent))
    match session.run(lambda event_log: operations.release(event_log, record)):
        case Err(error):
            fail(EXIT_UNAVAILABLE, str(error))
    result = {"holder": holder, "spent": record.spent}
    click.echo(json.dumps(result) if as_json else f"released {holder}")


@main.command()
@json_option
@click.pass_obj
def status(settings_file: Path, as_json: bool) -> None:
    """Show the active manifest, the progress of plans, and the budgets."""
    session = Session(settings_file)

    async def read_all(event_log: HttpEventLog) -> Any:
        return await operations.read_statuses(session.settings, session.fleet_key)

    statuses: dict[str, Result[dict[str, Any], PeerError]] = session.run(read_all)
    hosts = {
        address: outcome.unwrap() if isinstance(outcome, Ok) else {"error": str(outcome.err_value)}
        for address, outcome in statuses.items()
    }
    if as_json:
        click.echo(json.dumps({"hosts": hosts}))
    else:
        _print_status(hosts)
    if any("error" in state for state in hosts.values()):
        sys.exit(EXIT_UNAVAILABLE)


def _fault_count(faults: int) -> str:
    if not faults:
        return "ok"
    return "1 fault" if faults == 1 else f"{faults} faults"


def _print_status(hosts: dict[str, dict[str, Any]]) -> None:
    """Print each host's version, and plans and budgets as the first answering host states them."""
    for address, state in hosts.items():
        if "error" in state:
            click.echo(f"{address}: {state['error']}")
            continue
        label = f"{state['zone']} {state['host']} {address}"
        click.echo(f"{label}: version {state['manifest_version']} by {state['published_by']}")
    first_state = next((state for state in hosts.values() if "error" not in state), None)
    if first_state is None:
        return
    for name, progress in sorted(first_state.get("plans", {}).items()):
        click.echo(f"plan {name}: {progress}")
    click.echo(
        f"{'budget':<24}{'prepaid':>12}{'spent':>12}{'held':>12}{'stranded':>12}{'available':>12}"
    )
    for name, budget in sorted(first_state["budgets"].items()):
        numbers = [budget[field] for field in ("prepaid", "spent", "held", "stranded", "available")]
        click.echo(f"{name:<24}" + "".join(f"{number:>12}" for number in numbers))


for command in (publish, roll_back, drain, where):
    main.add_command(command)


if __name__ == "__main__":
    main()
