"""What operators do, free of the command line."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.budget import STREAM as LEDGER_STREAM
from mulberrycleat.budget import TopUp
from mulberrycleat.controller.messages import STATUS, StatusRequest
from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog import EventLog, read_all
from mulberrycleat.manifest import STREAM, Accepted, ManifestState, Publish, Refused, Verdict
from mulberrycleat.rpc import RpcClient
from mulberrycleat.settings import OperatorSettings

__all__ = [
    "History",
    "describe",
    "publish",
    "read_history",
    "read_statuses",
    "top_up",
    "wait_in_force",
]

TRIES = 20
RETRY_EVERY_S = 0.3
STATUS_TIMEOUT_S = 1.5


class History(NamedTuple):
    """The manifest in force and the contents of the versions that the log still holds."""

    state: ManifestState
    contents: dict[int, dict[str, Any]]


async def read_history(event_log: EventLog) -> Result[History, PeerError]:
    """Fold the manifest stream."""
    match await read_all(event_log, STREAM):
        case Err(error):
            return Err(error)
        case Ok(entries):
            state = ManifestState()
            contents: dict[int, dict[str, Any]] = {}
            for entry in entries:
                state = state.apply(msgspec.convert(entry.data, Publish))
                contents[state.version] = state.content
            return Ok(History(state, contents))


async def publish(event_log: EventLog, record: Publish) -> Result[Verdict, PeerError]:
    """Publish a manifest and return the verdict; safe to repeat with the same record."""
    error = PeerError(Step.APPEND, "log", "not tried")
    for _ in range(TRIES):
        match await event_log.append(STREAM, (msgspec.to_builtins(record),)):
            case Err(failed):
                error = failed
        match await read_history(event_log):
            case Ok(History(state=state)) if record.id in state.verdicts:
                return Ok(state.verdicts[record.id])
        await trio.sleep(RETRY_EVERY_S)
    return Err(error)


async def top_up(event_log: EventLog, record: TopUp) -> Result[None, PeerError]:
    """Prepay tokens; safe to repeat with the same record."""
    error = PeerError(Step.APPEND, "log", "not tried")
    for _ in range(TRIES):
        match await event_log.append(LEDGER_STREAM, (msgspec.to_builtins(record),)):
            case Ok(_):
                return Ok(None)
            case Err(failed):
                error = failed
        await trio.sleep(RETRY_EVERY_S)
    return Err(error)


async def read_statuses(
    settings: OperatorSettings, fleet_key: str
) -> dict[str, Result[dict[str, Any], PeerError]]:
    """Return the state of each controller, by address. Needs an open trio-asyncio loop."""
    found: dict[str, Result[dict[str, Any], PeerError]] = {}

    async def ask(address: str) -> None:
        client = RpcClient(address, fleet_key)
        outcome = await client.call(STATUS, StatusRequest(), STATUS_TIMEOUT_S)
        found[address] = outcome.map(lambda reply: msgspec.json.decode(reply.body))
        client.close()

    async with trio.open_nursery() as nursery:
        for address in settings.controllers:
            nursery.start_soon(ask, address)
    return {address: found[address] for address in settings.controllers}


async def wait_in_force(
    settings: OperatorSettings, fleet_key: str, version: int, timeout_s: float
) -> list[str]:
    """Wait until every controller has `version` in force; return those that have not."""
    missing = list(settings.controllers)
    deadline = trio.current_time() + timeout_s
    while missing and trio.current_time() < deadline:
        statuses = await read_statuses(settings, fleet_key)
        missing = [address for address, status in statuses.items() if _older(status, version)]
        if missing:
            await trio.sleep(RETRY_EVERY_S)
    return missing


def _older(status: Result[dict[str, Any], PeerError], version: int) -> bool:
    match status:
        case Ok(state):
            return state["manifest_version"] < version
        case _:
            return True


def describe(verdict: Verdict) -> str:
    """Return a verdict as a sentence."""
    match verdict:
        case Accepted(version):
            return f"accepted as version {version}"
        case Refused(reason, version, by):
            return f"refused: {reason} (version {version} by {by or 'nobody'})"
