"""Commands that publish manifests: ``publish``, ``step-back`` and ``drain``."""

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
from mulberrycleat.cli.confirm import Confirmation, confirm_everywhere, unconfirmed_zones
from mulberrycleat.cli.session import (
    EXIT_NOT_CONFIRMED,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
    BadInputError,
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
    state_at,
    to_sections,
)
from mulberrycleat.manifest.sections import Difference
from mulberrycleat.rpc import RpcClient

__all__ = ["drain", "publish", "roll_back"]

MakeDifference = Callable[[ManifestState], Difference]
Prepare = Callable[[EventLog], Awaitable[Result[MakeDifference, PeerError]]]

id_option = click.option(
    "--id", "record_id", help="Id of the publication; a retry with the same id changes nothing."
)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--base", type=int, help="Version that FILE builds on; by default the active one.")
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

    FILE describes the full desired state, in TOML or JSON; only the differences from the active
    manifest are written to the log. If another manifest took effect after --base, nothing changes
    and the command shows what took effect (exit code 1). Give --base in a pipeline, so that a
    manifest generated from an older version never replaces a newer one.
    """
    desired = to_sections(value_or_exit(file, parse_manifest(read_text(file))))

    async def prepare(event_log: EventLog) -> Result[MakeDifference, PeerError]:
        return Ok(lambda state: difference(state.sections, desired))

    _publish(settings_file, prepare, base, record_id, wait, timeout_s, as_json)


@click.command("step-back")
@click.option(
    "--to",
    "version",
    type=int,
    help="Version to return to; by default the one before the active version.",
)
@id_option
@wait_option
@timeout_option
@json_option
@click.pass_obj
def roll_back(
    settings_file: Path,
    version: int | None,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Publish an earlier manifest as a new version.

    Version numbers never decrease: a rollback from version 7 to version 5 publishes version 8 with
    the content of 5. The earlier version must still be in the log.
    """

    async def prepare(event_log: EventLog) -> Result[MakeDifference, PeerError]:
        current = await current_state(event_log)
        if isinstance(current, Err):
            return current
        target = current.ok_value.version - 1 if version is None else version
        earlier = await state_at(event_log, target)
        if isinstance(earlier, Err):
            return earlier
        if target < 1 or earlier.ok_value is None:
            raise BadInputError(f"version {target} is not in the log")
        sections = earlier.ok_value.sections
        return Ok(lambda state: difference(state.sections, sections))

    _publish(settings_file, prepare, None, record_id, wait, timeout_s, as_json)


@click.command()
@click.argument("endpoint")
@click.option("--undo", is_flag=True, help="Remove the plan instead.")
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
    """Send no new requests to ENDPOINT, by publishing a plan to drain it.

    Requests in flight are completed; `status` shows when all have ended.
    """

    def make_difference(state: ManifestState) -> Difference:
        if endpoint not in state.sections["endpoints"]:
            raise BadInputError(f"no endpoint named {endpoint!r}")
        if undo:
            return Difference({}, {"plans": [endpoint]})
        return Difference({"plans": [{"endpoint": endpoint, "action": "drain"}]}, {})

    async def prepare(event_log: EventLog) -> Result[MakeDifference, PeerError]:
        return Ok(make_difference)

    _publish(settings_file, prepare, None, record_id, wait, timeout_s, as_json)


def _publish(
    settings_file: Path,
    prepare: Prepare,
    base: int | None,
    record_id: str | None,
    wait: bool,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Publish a change, wait for the hosts if `wait` is set, print the outcome, and exit.

    Parameters
    ----------
    prepare : callable
        Reads what the command needs from the log; returns the function that computes the changes
        from the active manifest.
    base : int or None
        Version that the change builds on; by default the active one.
    record_id : str or None
        Id of the publication; by default a new one.
    timeout_s : float
        Maximum wait for the hosts, in seconds.
    """
    session = Session(settings_file)
    settings = session.settings

    async def publish_and_wait(event_log: EventLog) -> Result[Any, PeerError]:
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
            on_confirmed = _ignore if as_json else _show_host
            hosts = await confirm_everywhere(
                settings,
                lambda address: RpcClient(address, session.fleet_key),
                verdict.version,
                timeout_s,
                on_confirmed,
            )
        return Ok((outcome.ok_value, hosts))

    match session.run(publish_and_wait):
        case Err(error):
            fail(EXIT_UNAVAILABLE, str(error))
        case Ok((published, hosts)):
            _report_outcome(published, hosts, as_json)


def _report_outcome(published: Published, hosts: list[Confirmation], as_json: bool) -> None:
    missing = [host for host in hosts if host.missing]
    if as_json:
        click.echo(json.dumps(_as_json(published, hosts)))
    else:
        _print_outcome(published, missing)
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
        "zones_not_confirmed": unconfirmed_zones(hosts),
        "hosts": [asdict(host) for host in hosts],
    }
    if isinstance(verdict, Refused):
        result |= {"reason": verdict.reason, "by": verdict.by, "won": list(published.won)}
    return result


def _print_outcome(published: Published, missing: list[Confirmation]) -> None:
    click.echo(describe(published.verdict))
    for text in published.won:
        click.echo(f"active instead: {text}", err=True)
    for host in missing:
        name = host.host or "host"
        zone = host.zone or "unknown"
        click.echo(f"not confirmed: {name} {host.address} in zone {zone}: {host.why}", err=True)
    if missing:
        click.echo(f"zones not confirmed: {', '.join(unconfirmed_zones(missing))}", err=True)


def _show_host(host: Confirmation) -> None:
    click.echo(f"{host.zone} {host.host}: version {host.version} active after {host.after_s:.2f} s")


def _ignore(host: Confirmation) -> None:
    pass
