"""Operator of a fleet under test: publishing manifests, top-ups and the controllers' state."""

from __future__ import annotations

from typing import Any

import msgspec
import trio
from result import Ok, Result

from mulberrycleat.budget import TopUp
from mulberrycleat.cli import operations
from mulberrycleat.cli.changes import current_state, publish_difference
from mulberrycleat.controller.messages import STATUS, StatusRequest
from mulberrycleat.core import PeerError, new_id
from mulberrycleat.core.ports import Ports
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.manifest import (
    Accepted,
    Verdict,
    check_manifest,
    difference,
    state_at,
    to_sections,
)
from mulberrycleat.manifest.sections import Sections
from mulberrycleat.settings import OperatorSettings

__all__ = ["Operator"]

POLL_S = 0.2
STATUS_TIMEOUT_S = 1.5


class Operator:
    """One operator of a fleet under test.

    Parameters
    ----------
    settings : OperatorSettings
        Name of the operator, addresses of the log and of the controllers.
    fleet_key : str
        Key that authenticates calls between the fleet's processes.
    ports : Ports
        Clients for HTTP and RPC.
    """

    def __init__(self, settings: OperatorSettings, fleet_key: str, ports: Ports) -> None:
        self._settings = settings
        self._fleet_key = fleet_key
        self._ports = ports
        self._event_log = HttpEventLog(settings.platform, ports.http)

    @property
    def event_log(self) -> HttpEventLog:
        """Client of the platform's log."""
        return self._event_log

    async def publish(
        self, content: dict[str, Any], base: int | None = None, by: str = ""
    ) -> Result[Verdict, PeerError]:
        """Publish a manifest.

        Parameters
        ----------
        content : mapping
            The manifest as plain data.
        base : int, optional
            Version that the manifest is based on; by default the active one.
        by : str
            Name of the operator; by default the one in the settings.
        """
        wanted = to_sections(check_manifest(content).unwrap())
        return await self._publish_sections(wanted, base, by)

    async def roll_back(self) -> Result[Verdict, PeerError]:
        """Publish again the version before the active one."""
        current = (await current_state(self._event_log)).unwrap()
        earlier = (await state_at(self._event_log, current.version - 1)).unwrap()
        return await self._publish_sections(earlier.sections)

    async def _publish_sections(
        self, wanted: Sections, base: int | None = None, by: str = ""
    ) -> Result[Verdict, PeerError]:
        outcome = await publish_difference(
            self._event_log,
            lambda state: difference(state.sections, wanted),
            by or self._settings.operator,
            new_id(),
            base,
        )
        return outcome.map(lambda published: published.verdict)

    async def top_up(
        self, budget: str, tokens: int, record_id: str = ""
    ) -> Result[None, PeerError]:
        """Add prepaid tokens to a budget, once for each `record_id` (by default a new one)."""
        record = TopUp(record_id or new_id(), budget, tokens, self._settings.operator)
        return await operations.top_up(self._event_log, record)

    async def statuses(self) -> dict[str, dict[str, Any]]:
        """Return the status of each controller that answers in `STATUS_TIMEOUT_S`, by host."""
        found: dict[str, dict[str, Any]] = {}

        async def ask(address: str) -> None:
            client = self._ports.connect_rpc(address, self._fleet_key)
            match await client.call(STATUS, StatusRequest(), STATUS_TIMEOUT_S):
                case Ok(reply):
                    state = msgspec.json.decode(reply.body)
                    found[state["host"]] = state
            client.close()

        async with trio.open_nursery() as nursery:
            for address in self._settings.controllers:
                nursery.start_soon(ask, address)
        return found

    async def wait_until_active(self, version: int, hosts: int | None = None) -> None:
        """Wait until `hosts` controllers (all if None) have activated `version` or a later one."""
        wanted = len(self._settings.controllers) if hosts is None else hosts
        while True:
            states = await self.statuses()
            if sum(state["manifest_version"] >= version for state in states.values()) >= wanted:
                return
            await trio.sleep(POLL_S)

    async def publish_and_wait(self, content: dict[str, Any]) -> int:
        """Publish a manifest, wait until it is active on every host, and return its version."""
        match await self.publish(content):
            case Ok(Accepted(version)):
                await self.wait_until_active(version)
                return version
            case other:
                raise RuntimeError(f"manifest not accepted: {other}")
