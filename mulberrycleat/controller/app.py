"""The controller process: the controllers of one host, and the RPC calls that they answer."""

from __future__ import annotations

import logging
from collections.abc import Mapping

import msgspec
import trio

from mulberrycleat.controller import messages as m
from mulberrycleat.controller.budget_closing import FenceRunner
from mulberrycleat.controller.budget_orphans import OrphanSettler
from mulberrycleat.controller.budget_peers import PeerTransfers
from mulberrycleat.controller.budget_status import describe_budgets
from mulberrycleat.controller.budgets import BudgetController
from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.engines import HttpEngines
from mulberrycleat.controller.hosts import HostController
from mulberrycleat.controller.loads import LoadController
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.controller.once import OnceController
from mulberrycleat.controller.orders import OrderController
from mulberrycleat.controller.plans import (
    moved,
    plan_progress,
    planned_leaving,
    without_new_requests,
)
from mulberrycleat.core import Holder, new_id
from mulberrycleat.core.ports import Ports
from mulberrycleat.eventlog import HttpEventLog, RelayedLog
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
        Content of the settings file.
    fleet_key : str
        Key that authenticates calls between the processes of the fleet.
    ports : Ports, optional
        Clients and servers of the process; real connections if not given.
    """

    def __init__(
        self, settings: ControllerSettings, fleet_key: str, ports: Ports | None = None
    ) -> None:
        self._settings = settings
        self._fleet_key = fleet_key
        self._holder = Holder(settings.host.name, settings.host.zone, new_id())
        self._ports = ports or Ports()
        self._changes = Changes()
        self._hosts = HostController(settings, self._holder, self._ports, fleet_key, self._changes)
        event_log = RelayedLog(
            HttpEventLog(settings.platform, self._ports.http),
            self._hosts.choose_reader,
            self._hosts.ask_reader,
        )
        self._relay = event_log
        self._manifests = ManifestController(
            settings, self._holder, event_log, self._hosts, self._changes
        )
        self._engines = HttpEngines(self._ports.http)
        self._orders = OrderController(
            self._holder,
            event_log,
            self._engines,
            lambda: self._manifests.state.manifest,
            self._leaving_without_orders,
            lambda task: self._hosts.rank(task) == 0,
            self._changes,
        )
        peers = [self._ports.connect_rpc(address, fleet_key) for address in settings.peers]
        fences = FenceRunner(self._holder, self._manifests, self._ports.http, event_log)
        orphans = OrphanSettler(self._manifests, self._ports.http)
        self._budgets = BudgetController(
            settings, self._holder, event_log, PeerTransfers(peers), fences, orphans
        )
        self._once = OnceController(self._holder, event_log, settings.platform.checkpoint_every_s)
        self._loads = LoadController(self._holder, self._manifests, self._hosts, self._ports)

    @property
    def loads(self) -> LoadController:
        """The controller of load reports."""
        return self._loads

    @property
    def budgets(self) -> BudgetController:
        """The controller of budgets."""
        return self._budgets

    async def run(self, stop: trio.Event) -> None:
        """Run until `stop` is set, then shut down gracefully.

        The shutdown waits until the router's reservations are settled and writes the remaining
        records. Needs an open trio-asyncio loop.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_controllers)
            await stop.wait()
            await self._wait_for_router()
            with trio.move_on_after(STOP_TIMEOUT_S):
                while not (await self._budgets.flush() and await self._once.flush()):
                    await trio.sleep(STOP_POLL_S)
            nursery.cancel_scope.cancel()

    async def _wait_for_router(self) -> None:
        """Wait until this host's router has no reservations, for up to ``drain_timeout_s``."""
        with trio.move_on_after(self._settings.drain_timeout_s):
            while self._budgets.manager.reservations:
                await trio.sleep(STOP_POLL_S)

    async def _run_controllers(self) -> None:
        async with trio.open_nursery() as nursery:
            for controller in (
                self._hosts,
                self._manifests,
                self._orders,
                self._budgets,
                self._once,
                self._loads,
            ):
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
            m.GUARD: self._budgets.guard,
            m.PULL: self._budgets.pull,
            m.RECALL: self._once.recall,
            m.BEGIN: self._once.begin,
            m.FINISH: self._once.finish,
            m.ABANDON: self._once.abandon,
            m.ANSWER: self._once.keep_answer,
            m.HEARTBEAT: self._hosts.heartbeat,
            m.LOADS: self._loads.loads,
            m.READ_STREAM: self._read_stream,
            m.CATCH_UP: self._manifests.catch_up,
            m.CONFIRM: self._manifests.confirm,
            m.STATUS: self._status,
        }

    async def _sync(self, request: m.SyncRequest) -> m.SyncReply:
        self._budgets.record_router_call(request.router)
        self._manifests.record_router_version(request)
        await self._changes.wait_until(
            lambda: self._changes.version != request.seen, request.wait_s
        )
        moves = moved(self._orders.state.out())
        return self._manifests.sync(request, tuple(sorted(self._leaving())), moves)

    async def _read_stream(self, request: m.ReadStreamRequest) -> m.ReadStreamReply:
        answer = await self._relay.serve(request.stream, request.offset, request.wait_s)
        if answer.page is None:
            return m.ReadStreamReply(answer.state.value)
        return m.ReadStreamReply(answer.state.value, *answer.page)

    def _leaving(self) -> frozenset[str]:
        return self._leaving_without_orders() | without_new_requests(self._orders.state.out())

    def _leaving_without_orders(self) -> frozenset[str]:
        return planned_leaving(self._manifests.state.manifest) | self._hosts.leaving

    async def _status(self, request: m.StatusRequest) -> m.StatusReply:
        state = self._manifests.state
        body = {
            "host": self._holder.host,
            "zone": self._holder.zone,
            "incarnation": self._holder.incarnation,
            "manifest_version": state.version,
            "published_by": state.by,
            "leaving": sorted(self._leaving()),
            "plans": await plan_progress(
                state.manifest, self._orders.state, self._engines, self._holder.zone
            ),
            "routers": self._manifests.routers,
            "peers": {
                peer.address: {"host": peer.host, "state": peer.contact, "version": peer.version}
                for peer in self._hosts.versions()
            },
            "log_reads": self._relay.log_reads,
            "holder": self._budgets.manager.holder,
            "budgets": describe_budgets(self._budgets.ledger, self._budgets.manager),
        }
        return m.StatusReply(msgspec.json.encode(body))
