"""Operator actions on the ledger and the hosts, without the command-line interface."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.budget import STREAM as LEDGER_STREAM
from mulberrycleat.budget import Release, TopUp
from mulberrycleat.controller.messages import STATUS, StatusRequest
from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog import EventLog
from mulberrycleat.rpc import RpcClient
from mulberrycleat.settings import OperatorSettings

__all__ = ["read_statuses", "top_up"]

MAX_ATTEMPTS = 20
RETRY_EVERY_S = 0.3
STATUS_TIMEOUT_S = 1.5


async def top_up(event_log: EventLog, record: TopUp) -> Result[None, PeerError]:
    """Append a top-up to the ledger; safe to retry with the same record."""
    return await _append(event_log, record)


async def release(event_log: EventLog, record: Release) -> Result[None, PeerError]:
    """Record in the ledger that a holder has ended; safe to retry with the same record."""
    return await _append(event_log, record)


async def read_statuses(
    settings: OperatorSettings, fleet_key: str
) -> dict[str, Result[dict[str, Any], PeerError]]:
    """Return the state of each controller, or the error of the call, by the controller's address.

    Requires an open trio-asyncio loop.
    """
    found: dict[str, Result[dict[str, Any], PeerError]] = {}

    async def read_status(address: str) -> None:
        client = RpcClient(address, fleet_key)
        outcome = await client.call(STATUS, StatusRequest(), STATUS_TIMEOUT_S)
        found[address] = outcome.map(lambda reply: msgspec.json.decode(reply.body))
        client.close()

    async with trio.open_nursery() as nursery:
        for address in settings.controllers:
            nursery.start_soon(read_status, address)
    return {address: found[address] for address in settings.controllers}


async def _append(event_log: EventLog, record: TopUp | Release) -> Result[None, PeerError]:
    error = PeerError(Step.APPEND, "log", "not attempted")
    for _ in range(MAX_ATTEMPTS):
        match await event_log.append(LEDGER_STREAM, (msgspec.to_builtins(record),)):
            case Ok(_):
                return Ok(None)
            case Err(append_error):
                error = append_error
        await trio.sleep(RETRY_EVERY_S)
    return Err(error)
