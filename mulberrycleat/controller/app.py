"""The controller process: its controllers and the calls that they answer."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec
import trio

from mulberrycleat.controller import messages as m
from mulberrycleat.controller.budgets import BudgetController
from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.hosts import HostController
from mulberrycleat.controller.loads import LoadController
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.controller.once import OnceController
from mulberrycleat.core import Holder, new_id
from mulberrycleat.core.ports import Ports
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.rpc import Method, RpcHandler
from mulberrycleat.settings import ControllerSettings

__all__ = ["Controller"]

log = logging.getLogger(__name__)

STOP_TIMEOUT_S = 5.0
STOP_POLL_S = 0.1


class Controller:
    """All controllers of one host.

    Parameters
    ----------
    settings : ControllerSettings
        The settings file, whole.
    fleet_key : str
        Key that calls between the fleet's processes carry.
    ports : Ports, optional
        Ways out of and into the process.
    """

    def __init__(
        self, settings: ControllerSettings, fleet_key: str, ports: Ports | None = None
    ) -> None:
        self._settings = settings
        self._fleet_key = fleet_key
        self._holder = Holder(settings.host.name, settings.host.zone, new_id())
        self._ports = ports or Ports()
        self._changes = Changes()
        event_log = HttpEventLog(settings.platform, self._ports.http)
        self._manifests = ManifestController(event_log, self._changes)
        self._budgets = BudgetController(settings, self._holder, event_log)
        self._once = OnceController(self._holder, event_log)
        self._hosts = HostController(
            settings, self._holder, self._manifests, self._ports, fleet_key, self._changes
        )
        self._loads = LoadController(
            settings, self._holder, self._manifests, self._hosts, self._ports, fleet_key
        )

    @property
    def loads(self) -> LoadController:
        """Load reports."""
        return self._loads

    async def run(self, stop: trio.Event) -> None:
        """Run until `stop` is set, then settle and end. Needs an open trio-asyncio loop."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_controllers)
            await stop.wait()
            await self._wait_for_router()
            with trio.move_on_after(STOP_TIMEOUT_S):
                while not (await self._budgets.flush() and await self._once.flush()):
                    await trio.sleep(STOP_POLL_S)
            nursery.cancel_scope.cancel()

    async def _wait_for_router(self) -> None:
        """Go on serving until no request of the router beside holds a reservation."""
        with trio.move_on_after(self._settings.drain_timeout_s):
            while any(part.reserved for part in self._budgets.slices.values()):
                await trio.sleep(STOP_POLL_S)

    async def _run_controllers(self) -> None:
        async with trio.open_nursery() as nursery:
            controllers = (self._manifests, self._budgets, self._once, self._hosts, self._loads)
            for controller in controllers:
                await nursery.start(controller.run)
            await nursery.start(
                self._ports.serve_rpc, self._handlers(), self._settings.listen, self._fleet_key
            )
            log.info("ready", extra={"listen": self._settings.listen})

    def _handlers(self) -> Mapping[Method, RpcHandler]:
        return {
            m.SYNC: self._sync,
            m.RESERVE: self._budgets.reserve,
            m.SETTLE: self._budgets.settle,
            m.RECALL: self._once.recall,
            m.BEGIN: self._once.begin,
            m.FINISH: self._once.finish,
            m.ABANDON: self._once.abandon,
            m.HEARTBEAT: self._hosts.heartbeat,
            m.LOADS: self._loads.loads,
            m.STATUS: self._status,
        }

    async def _sync(self, request: m.SyncRequest) -> m.SyncReply:
        await self._changes.wait_until(
            lambda: self._changes.version != request.seen, request.wait_s
        )
        return m.SyncReply(
            version=self._changes.version,
            manifest_version=self._manifests.state.version,
            manifest=self._manifests.encoded,
            leaving=tuple(sorted(self._leaving())),
        )

    def _leaving(self) -> set[str]:
        planned = {plan.endpoint for plan in self._manifests.state.manifest.plans}
        return planned | self._hosts.leaving

    async def _status(self, request: m.StatusRequest) -> m.StatusReply:
        state = self._manifests.state
        budgets = {
            name: {
                "prepaid": budget.prepaid,
                "spent": budget.spent,
                "held": budget.granted - budget.spent,
                "available": budget.available,
                "shares": {
                    holder: {"granted": share.granted, "spent": share.spent}
                    for holder, share in budget.shares.items()
                },
            }
            for name, budget in self._budgets.ledger.budgets.items()
        }
        body = {
            "host": self._holder.host,
            "zone": self._holder.zone,
            "incarnation": self._holder.incarnation,
            "manifest_version": state.version,
            "published_by": state.by,
            "leaving": sorted(self._leaving()),
            "peers": {address: reply.holder for address, reply in self._hosts.alive.items()},
            "budgets": budgets,
            "reserved": {name: part.reserved for name, part in self._budgets.slices.items()},
        }
        return m.StatusReply(msgspec.json.encode(body))
