"""``mulberrycleat``: the operators' command line."""

from __future__ import annotations

import json
import sys
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import trio_asyncio
from result import Err, Ok, Result

from mulberrycleat.budget import TopUp
from mulberrycleat.cli import operations
from mulberrycleat.core import PeerError, new_id
from mulberrycleat.core.logs import configure_logging
from mulberrycleat.core.process import settings_or_exit, value_or_exit
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.manifest import Accepted, Publish, Refused, parse_manifest
from mulberrycleat.settings import (
    ControllerSettings,
    OperatorSettings,
    RouterSettings,
    load_settings,
    read_fleet_key,
)
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import HttpClient

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3
EXIT_NOT_CONFIRMED = 4

KINDS = {
    "router": RouterSettings,
    "controller": ControllerSettings,
    "operator": OperatorSettings,
    "standin": StandinSettings,
}

json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


class Session:
    """One run of the command line: settings, key, log."""

    def __init__(self, settings_file: Path) -> None:
        self._settings = settings_or_exit(settings_file, OperatorSettings)
        self._fleet_key = value_or_exit(
            settings_file, read_fleet_key(self._settings.fleet_key_file)
        )
        configure_logging(self._settings.log)

    @property
    def settings(self) -> OperatorSettings:
        """The operator's settings."""
        return self._settings

    @property
    def fleet_key(self) -> str:
        """Key that calls between the fleet's processes carry."""
        return self._fleet_key

    def run(self, work: Callable[[HttpEventLog], Awaitable[Any]]) -> Any:
        """Run `work` with the log and return what it returns."""

        async def start() -> Any:
            client = HttpClient()
            try:
                return await work(HttpEventLog(self._settings.platform, client))
            finally:
                await client.aclose()

        return trio_asyncio.run(start)


@click.group()
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="MULBERRYCLEAT_SETTINGS",
    default="operator.toml",
    show_default=True,
    help="The operator's settings file.",
)
@click.pass_context
def main(context: click.Context, settings_file: Path) -> None:
    """Operate a mulberrycleat fleet.

    Changes are made by publishing manifests: `check` one, `publish` it with --wait, look at
    `status`, and `step-back` if need be. Exit codes: 0 done; 1 refused (another manifest won);
    2 bad input; 3 the platform or a host cannot be reached; 4 published, but not yet confirmed
    by every host.
    """
    context.obj = settings_file


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--as", "kind", type=click.Choice(["manifest", *KINDS]), default="manifest")
@json_option
def check(file: Path, kind: str, as_json: bool) -> None:
    """Find every fault in a manifest or settings FILE without publishing it."""
    if kind == "manifest":
        outcome = parse_manifest(_read(file))
    else:
        outcome = load_settings(file, KINDS[kind])
    faults = outcome.err_value if isinstance(outcome, Err) else []
    if as_json:
        click.echo(json.dumps({"ok": not faults, "faults": [f._asdict() for f in faults]}))
    else:
        for fault in faults:
            click.echo(f"{file}: {fault}", err=True)
        click.echo(f"{file}: {'ok' if not faults else f'{len(faults)} faults'}")
    sys.exit(EXIT_BAD_INPUT if faults else 0)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--base", type=int, help="Version that FILE builds on; by default the one in force.")
@click.option("--id", "record_id", help="Publish under this id, to repeat an earlier try.")
@click.option("--wait", is_flag=True, help="Wait until every host has it in force.")
@click.option("--timeout", "timeout_s", type=float, default=30.0, show_default=True)
@json_option
@click.pass_obj
def publish(
    settings_file: Path,
    file: Path,
    base: int | None,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Publish the manifest in FILE."""
    text = _read(file)
    value_or_exit(file, parse_manifest(text))
    content = _plain(text)

    def make(history: operations.History) -> dict[str, Any]:
        return content

    _publish(Session(settings_file), make, base, record_id, wait, timeout_s, as_json)


@main.command("step-back")
@click.option("--to", "version", type=int, help="Version to go back to; by default the one before.")
@click.option("--wait", is_flag=True, help="Wait until every host has it in force.")
@click.option("--timeout", "timeout_s", type=float, default=30.0, show_default=True)
@json_option
@click.pass_obj
def step_back(
    settings_file: Path, version: int | None, wait: bool, timeout_s: float, as_json: bool
) -> None:
    """Publish an earlier manifest as a new version."""

    def make(history: operations.History) -> dict[str, Any]:
        target = version if version is not None else history.state.version - 1
        if target not in history.contents or target < 1:
            known = ", ".join(map(str, sorted(history.contents)))
            _fail(EXIT_BAD_INPUT, f"version {target} is not in the log (it holds {known})")
        return history.contents[target]

    _publish(Session(settings_file), make, None, None, wait, timeout_s, as_json)


@main.command()
@click.argument("endpoint")
@click.option("--undo", is_flag=True, help="Take the plan back instead.")
@click.option("--wait", is_flag=True, help="Wait until every host has it in force.")
@click.option("--timeout", "timeout_s", type=float, default=30.0, show_default=True)
@json_option
@click.pass_obj
def drain(
    settings_file: Path, endpoint: str, undo: bool, wait: bool, timeout_s: float, as_json: bool
) -> None:
    """Give ENDPOINT no new work, by publishing the manifest in force with a plan to drain it."""

    def make(history: operations.History) -> dict[str, Any]:
        content = history.state.content
        plans = [plan for plan in content.get("plans", []) if plan["endpoint"] != endpoint]
        if not undo:
            plans.append({"endpoint": endpoint, "action": "drain"})
        return {**content, "plans": plans}

    _publish(Session(settings_file), make, None, None, wait, timeout_s, as_json)


@main.command("top-up")
@click.argument("budget")
@click.argument("tokens", type=click.IntRange(min=1))
@click.option("--id", "record_id", help="Name of this payment; a repeat with it changes nothing.")
@json_option
@click.pass_obj
def top_up(
    settings_file: Path, budget: str, tokens: int, record_id: str | None, as_json: bool
) -> None:
    """Prepay TOKENS into BUDGET."""
    session = Session(settings_file)
    record = TopUp(record_id or new_id(), budget, tokens, session.settings.operator)
    match session.run(lambda event_log: operations.top_up(event_log, record)):
        case Err(error):
            _fail(EXIT_UNAVAILABLE, f"{error} (repeat with --id {record.id})")
    result = {"id": record.id, "budget": budget, "tokens": tokens}
    click.echo(json.dumps(result) if as_json else f"{tokens} tokens into {budget} ({record.id})")


@main.command()
@json_option
@click.pass_obj
def status(settings_file: Path, as_json: bool) -> None:
    """Show the manifest in force and the budgets, host by host."""
    session = Session(settings_file)

    async def work(event_log: HttpEventLog) -> Any:
        return await operations.read_statuses(session.settings, session.fleet_key)

    statuses: dict[str, Result[dict[str, Any], PeerError]] = session.run(work)
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


def _publish(
    session: Session,
    make: Callable[[operations.History], dict[str, Any]],
    base: int | None,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    async def work(event_log: HttpEventLog) -> Result[Any, PeerError]:
        match await operations.read_history(event_log):
            case Err(error):
                return Err(error)
            case Ok(history):
                built_on = history.state.version if base is None else base
                by = session.settings.operator
                record = Publish(record_id or new_id(), built_on, by, make(history))
        match await operations.publish(event_log, record):
            case Ok(Accepted(version)) if wait:
                missing = await operations.wait_in_force(
                    session.settings, session.fleet_key, version, timeout_s
                )
                return Ok((Accepted(version), missing))
            case Ok(verdict):
                return Ok((verdict, []))
            case Err(error):
                return Err(PeerError(error.step, error.peer, f"{error.reason}, id {record.id}"))

    match session.run(work):
        case Err(error):
            _fail(EXIT_UNAVAILABLE, str(error))
        case Ok((verdict, missing)):
            _print_verdict(verdict, missing, as_json)


def _print_verdict(verdict: Any, missing: list[str], as_json: bool) -> None:
    accepted = isinstance(verdict, Accepted)
    if as_json:
        result = {"accepted": accepted, "version": verdict.version, "not_confirmed": missing}
        if isinstance(verdict, Refused):
            result |= {"reason": verdict.reason, "by": verdict.by}
        click.echo(json.dumps(result))
    else:
        click.echo(operations.describe(verdict))
        for address in missing:
            click.echo(f"not confirmed by {address}", err=True)
    if not accepted:
        sys.exit(EXIT_REFUSED)
    if missing:
        sys.exit(EXIT_NOT_CONFIRMED)


def _print_status(hosts: dict[str, dict[str, Any]]) -> None:
    for address, state in hosts.items():
        if "error" in state:
            click.echo(f"{address}: {state['error']}")
            continue
        where = f"{state['zone']} {state['host']} {address}"
        click.echo(f"{where}: version {state['manifest_version']} by {state['published_by']}")
    known = next((state for state in hosts.values() if "error" not in state), None)
    if known is None:
        return
    click.echo(f"{'budget':<24}{'prepaid':>12}{'spent':>12}{'held':>12}{'available':>12}")
    for name, budget in sorted(known["budgets"].items()):
        numbers = [budget[field] for field in ("prepaid", "spent", "held", "available")]
        click.echo(f"{name:<24}" + "".join(f"{number:>12}" for number in numbers))


def _read(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _fail(EXIT_BAD_INPUT, f"{file}: {error}")


def _plain(text: str) -> dict[str, Any]:
    return json.loads(text) if text.lstrip().startswith("{") else tomllib.loads(text)


def _fail(code: int, reason: str) -> NoReturn:
    click.echo(reason, err=True)
    sys.exit(code)


if __name__ == "__main__":
    main()
