"""The router's connection to the controller of its host."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import Any, NamedTuple

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.controller.messages import (
    SETTLE,
    SYNC,
    Settlement,
    SettleRequest,
    SyncReply,
    SyncRequest,
)
from mulberrycleat.core import PeerError, new_id
from mulberrycleat.core.ports import Ports
from mulberrycleat.manifest import Manifest, ManifestRecord, ManifestState, decode_snapshot
from mulberrycleat.router.call import View
from mulberrycleat.rpc import Method
from mulberrycleat.settings import RouterSettings

__all__ = ["ControllerLink"]

log = logging.getLogger(__name__)

SYNC_WAIT_S = 5.0
SYNC_TIMEOUT_S = 7.0
SETTLE_INTERVAL_S = 0.2
SETTLE_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.3


class Report(NamedTuple):
    """Outcome of a request, to be sent to the controller by an RPC method."""

    method: Method
    message: Any


class ControllerLink:
    """RPC client of this host's controller; keeps the current view and unconfirmed reports.

    Parameters
    ----------
    settings : RouterSettings
        Settings with the addresses of the controllers.
    fleet_key : str
        Key that authenticates calls between the processes of the fleet.
    ports : Ports
        Network access of the process.
    """

    def __init__(self, settings: RouterSettings, fleet_key: str, ports: Ports) -> None:
        self._router = f"{settings.host.name}/{new_id()}"
        self._client = ports.connect_rpc(settings.controllers[0], fleet_key)
        self._view = View()
        self._state = ManifestState()
        self._unsettled: dict[str, int] = {}
        self._unreported: dict[str, Report] = {}
        self._view_received = trio.Event()

    @property
    def router(self) -> str:
        """Name of this incarnation of the router."""
        return self._router

    @property
    def view(self) -> View:
        """The latest view received from the controller."""
        return self._view

    @property
    def view_received(self) -> trio.Event:
        """Event that is set once a view with a manifest has been received."""
        return self._view_received

    async def call(self, method: Method, message: Any, timeout_s: float) -> Result[Any, PeerError]:
        """Call the controller of this host."""
        return await self._client.call(method, message, timeout_s)

    def settle_later(self, request: str, tokens: int) -> None:
        """Settle the reservation of a request at a cost of `tokens`, with the next batch."""
        self._unsettled[request] = tokens

    def report_later(self, method: Method, message: Any) -> None:
        """Send a report to the controller with the next batch; otherwise like :meth:`report`."""
        self._unreported[message.id] = Report(method, message)

    async def report(self, method: Method, message: Any) -> bool:
        """Report the outcome of a request to the controller.

        The report is sent at once, and by :meth:`run` again until the controller confirms it.

        Parameters
        ----------
        message : FinishRequest, AbandonRequest or AnswerRequest
            Outcome of the request.

        Returns
        -------
        bool
            Whether the controller has confirmed this report and all other pending ones.
        """
        self._unreported[message.id] = Report(method, message)
        return await self._send_reports()

    async def run(self) -> None:
        """Keep the view up to date and send settlements; runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sync_regularly)
            nursery.start_soon(self._settle_regularly)

    async def flush(self) -> bool:
        """Send all settlements and reports; return whether the controller confirmed them."""
        reported = await self._send_reports()
        return await self._send_settlements() and reported

    async def _send_reports(self) -> bool:
        for request, report in list(self._unreported.items()):
            match await self.call(report.method, report.message, SETTLE_TIMEOUT_S):
                case Ok(_):
                    self._unreported.pop(request, None)
                case Err(error):
                    log.warning("report failed", extra={"step": "settle", "peer": error.peer})
                    return False
        return not self._unreported

    async def _send_settlements(self) -> bool:
        batch = dict(self._unsettled)
        if not batch:
            return True
        settlements = tuple(Settlement(request, tokens) for request, tokens in batch.items())
        message = SettleRequest(self._router, settlements)
        match await self.call(SETTLE, message, SETTLE_TIMEOUT_S):
            case Ok(_):
                for request in batch:
                    self._unsettled.pop(request, None)
                return True
            case Err(error):
                log.warning("settlement failed", extra={"step": "settle", "peer": error.peer})
                return False

    async def _settle_regularly(self) -> None:
        while True:
            await trio.sleep(SETTLE_INTERVAL_S)
            await self.flush()

    async def _sync_regularly(self) -> None:
        while True:
            wait_s = SYNC_WAIT_S if self._view.version >= 0 else 0.0
            message = SyncRequest(self._router, self._view.version, wait_s, self._state.version)
            match await self.call(SYNC, message, SYNC_TIMEOUT_S):
                case Ok(reply):
                    if not self._update_view(reply):
                        await trio.sleep(RETRY_INTERVAL_S)
                case Err(error):
                    log.warning("sync failed", extra={"step": "call", "peer": error.peer})
                    await trio.sleep(RETRY_INTERVAL_S)

    def _update_view(self, reply: SyncReply) -> bool:
        """Update the view from a reply; return False if its manifest version can't be reached.

        If the manifest of the reply is older than that of the view, the view keeps its manifest and
        its leaving endpoints, and the leaving endpoints of the reply are added.
        """
        is_older = reply.manifest_version < self._view.manifest_version
        if not is_older and not self._update_manifest(reply):
            return False
        leaving = frozenset(reply.leaving)
        manifest = _with_moved_endpoints(self._state.manifest, reply.moved)
        version = self._state.version
        if is_older:
            leaving |= self._view.leaving
            manifest, version = self._view.manifest, self._view.manifest_version
        self._view = replace(
            self._view,
            version=reply.version,
            manifest_version=version,
            manifest=manifest,
            leaving=leaving,
        )
        if version:
            self._view_received.set()
        return True

    def _update_manifest(self, reply: SyncReply) -> bool:
        """Bring the manifest state to the version of a reply.

        If that fails, resets the state and returns False; the next sync then requests a snapshot.
        """
        state = self._state
        if reply.snapshot:
            match decode_snapshot(reply.snapshot):
                case Ok(decoded):
                    state = decoded
                case Err(faults):
                    log.error("manifest refused", extra={"faults": [str(f) for f in faults]})
        for encoded in reply.changes:
            state = state.apply(msgspec.msgpack.decode(encoded, type=ManifestRecord))
        reached = state.version == reply.manifest_version
        self._state = state if reached else ManifestState()
        if not reached:
            log.error("manifest out of step", extra={"version": reply.manifest_version})
        return reached


def _with_moved_endpoints(manifest: Manifest, moved: dict[str, str]) -> Manifest:
    """Return the manifest with moved endpoints assigned to the pools that they serve now."""
    if not moved:
        return manifest
    endpoints = tuple(replace(e, pool=moved.get(e.name, e.pool)) for e in manifest.endpoints)
    return replace(manifest, endpoints=endpoints)
