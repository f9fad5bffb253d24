"""Commands that publish: ``publish``, ``step-back`` and ``drain``."""

from __future__ import annotations

import json
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from result import Err, Ok, Result

from mulberrycleat.cli.changes import Published, current_state, describe, publish_difference
from mulberrycleat.cli.confirm import Confirmation, confirm_everywhere, zones_without
from mulberrycleat.cli.session import (
    EXIT_BAD_INPUT,
    EXIT_NOT_CONFIRMED,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
    Session,
    fail,
    json_option,
    read_text,
    timeout_option,
    wait_option,
)
from mulberrycleat.core import PeerError, new_id
from mulberrycleat.core.process import value_or_exit
from mulberrycleat.eventlog import EventLog
from mulberrycleat.manifest import (
    Accepted,
    ManifestState,
    Refused,
    difference,
    parse_manifest,
    split,
    state_at,
)
from mulberrycleat.manifest.sections import Difference
from mulberrycleat.rpc import RpcClient

__all__ = ["drain", "publish", "step_back"]

Make = Callable[[ManifestState], Difference]
Prepare = Callable[[EventLog], Awaitable[Result[Make, PeerError]]]

id_option = click.option(
    "--id", "record_id", help="Publish under this id; a repeat with it changes nothing."
)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--base", type=int, help="Version that FILE builds on; by default the one in force.")
@id_option
@wait_option
@timeout_option
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
    """Publish the manifest in FILE.

    FILE holds the whole wanted state, in TOML or JSON; only what differs from the manifest in
    force goes to the log. If another manifest took effect since --base, nothing changes and the
    command tells what did (exit 1). Give --base from your pipeline, so that a manifest generated
    from an older one is never published over a newer one.
    """
    wanted = split(value_or_exit(file, parse_manifest(read_text(file))))

    async def prepare(event_log: EventLog) -> Result[Make, PeerError]:
        return Ok(lambda state: difference(state.sections, wanted))

    _run(settings_file, prepare, base, record_id, wait, timeout_s, as_json)


@click.command("step-back")
@click.option("--to", "version", type=int, help="Version to go back to; by default the one before.")
@id_option
@wait_option
@timeout_option
@json_option
@click.pass_obj
def step_back(
    settings_file: Path,
    version: int | None,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Publish an earlier manifest as a new version.

    Versions never go back: version 7 stepped back to version 5 becomes version 8 with the content
    of 5. The log has to hold the earlier version still.
    """

    async def prepare(event_log: EventLog) -> Result[Make, PeerError]:
        current = await current_state(event_log)
        if isinstance(current, Err):
            return current
        target = current.ok_value.version - 1 if version is None else version
        earlier = await state_at(event_log, target)
        if isinstance(earlier, Err):
            return earlier
        if target < 1 or earlier.ok_value is None:
            fail(EXIT_BAD_INPUT, f"version {target} is not in the log")
        sections = earlier.ok_value.sections
        return Ok(lambda state: difference(state.sections, sections))

    _run(settings_file, prepare, None, record_id, wait, timeout_s, as_json)


@click.command()
@click.argument("endpoint")
@click.option("--undo", is_flag=True, help="Take the plan back instead.")
@id_option
@wait_option
@timeout_option
@json_option
@click.pass_obj
def drain(
    settings_file: Path,
    endpoint: str,
    undo: bool,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Give ENDPOINT no new work, by publishing a plan to drain it.

    What runs there ends undisturbed; `status` shows when it has.
    """

    def make(state: ManifestState) -> Difference:
        if endpoint not in state.sections["endpoints"]:
            fail(EXIT_BAD_INPUT, f"no endpoint named {endpoint!r}")
        if undo:
            return Difference({}, {"plans": [endpoint]})
        return Difference({"plans": [{"endpoint": endpoint, "action": "drain"}]}, {})

    async def prepare(event_log: EventLog) -> Result[Make, PeerError]:
        return Ok(make)

    _run(settings_file, prepare, None, record_id, wait, timeout_s, as_json)


def _run(
    settings_file: Path,
    prepare: Prepare,
    base: int | None,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    session = Session(settings_file)
    settings = session.settings

    async def work(event_log: EventLog) -> Result[Any, PeerError]:
        prepared = await prepare(event_log)
        if isinstance(prepared, Err):
            return prepared
        outcome = await publish_difference(
            event_log, prepared.ok_value, settings.operator, record_id or new_id(), base
        )
        if isinstance(outcome, Err):
            return outcome
        hosts: list[Confirmation] = []
        verdict = outcome.ok_value.verdict
        if wait and isinstance(verdict, Accepted):
            show = _ignore if as_json else _show_host
            hosts = await confirm_everywhere(
                settings,
                lambda address: RpcClient(address, session.fleet_key),
                verdict.version,
                timeout_s,
                show,
            )
        return Ok((outcome.ok_value, hosts))

    match session.run(work):
        case Err(error):
            fail(EXIT_UNAVAILABLE, str(error))
        case Ok((published, hosts)):
            _finish(published, hosts, as_json)


def _finish(published: Published, hosts: list[Confirmation], as_json: bool) -> None:
    missing = [host for host in hosts if host.missing]
    if as_json:
        click.echo(json.dumps(_as_json(published, hosts)))
    else:
        _print(published, missing)
    if isinstance(published.verdict, Refused):
        sys.exit(EXIT_REFUSED)
    if missing:
        sys.exit(EXIT_NOT_CONFIRMED)


def _as_json(published: Published, hosts: list[Confirmation]) -> dict[str, Any]:
    verdict = published.verdict
    result = {
        "accepted": isinstance(verdict, Accepted),
        "version": verdict.version,
        "id": published.id,
        "not_confirmed": [host.address for host in hosts if host.missing],
        "zones_not_confirmed": zones_without(hosts),
        "hosts": [asdict(host) for host in hosts],
    }
    if isinstance(verdict, Refused):
        result |= {"reason": verdict.reason, "by": verdict.by, "won": list(published.won)}
    return result


def _print(published: Published, missing: list[Confirmation]) -> None:
    click.echo(describe(published.verdict))
    for text in published.won:
        click.echo(f"in force instead: {text}", err=True)
    for host in missing:
        name = host.host or "host"
        zone = host.zone or "unknown"
        click.echo(f"not confirmed: {name} {host.address} in zone {zone}: {host.why}", err=True)
    if missing:
        click.echo(f"zones not confirmed: {', '.join(zones_without(missing))}", err=True)


def _show_host(host: Confirmation) -> None:
    click.echo(f"{host.zone} {host.host}: version {host.version} in force, {host.after_s:.2f} s")


def _ignore(host: Confirmation) -> None:
    pass
