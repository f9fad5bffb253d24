"""Controller of membership: the platform's host list and the peers of this zone."""

from __future__ import annotations

import logging

import trio
from result import Err, Ok

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.controller.messages import HEARTBEAT, Heartbeat, HeartbeatReply
from mulberrycleat.core import Holder
from mulberrycleat.core.ports import Ports
from mulberrycleat.settings import ControllerSettings

__all__ = ["HostController"]

log = logging.getLogger(__name__)

LIST_EVERY_S = 1.0
HEARTBEAT_EVERY_S = 1.0


class HostController:
    """Keep the list of leaving endpoints and of the peers that answer.

    Parameters
    ----------
    settings : ControllerSettings
        Peers and the address of the list.
    changes : Changes
        Notified when the leaving endpoints change.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        holder: Holder,
        manifests: ManifestController,
        ports: Ports,
        fleet_key: str,
        changes: Changes,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._manifests = manifests
        self._client = ports.http
        self._changes = changes
        self._peers = [ports.connect_rpc(address, fleet_key) for address in settings.peers]
        self._alive: dict[str, HeartbeatReply] = {}
        self._leaving: frozenset[str] = frozenset()

    @property
    def leaving(self) -> frozenset[str]:
        """Endpoints that the platform's list calls leaving."""
        return self._leaving

    @property
    def alive(self) -> dict[str, HeartbeatReply]:
        """Last answers of the peers that answer, by address."""
        return self._alive

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Poll the list and the peers for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._send_heartbeats)
            task_status.started()

    async def heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Answer a peer's heartbeat."""
        return HeartbeatReply(str(self._holder), self._manifests.state.version)

    async def _poll_list(self) -> None:
        address = self._settings.platform.hosts
        while address:
            match await self._client.send_json("GET", f"http://{address}/v1/hosts"):
                case Ok({"hosts": list(hosts)}):
                    self._take_list(hosts)
                case Ok(other):
                    log.warning("odd host list", extra={"peer": address, "why": repr(other)[:100]})
                case Err(error):
                    log.warning("host list failed", extra={"peer": address, "why": error.reason})
            await trio.sleep(LIST_EVERY_S)

    def _take_list(self, hosts: list[dict[str, str]]) -> None:
        leaving = frozenset(h["name"] for h in hosts if h.get("state") == "leaving")
        if leaving != self._leaving:
            self._leaving = leaving
            self._changes.notify()

    async def _send_heartbeats(self) -> None:
        while self._peers:
            for peer in self._peers:
                message = Heartbeat(
                    str(self._holder), self._holder.zone, self._manifests.state.version
                )
                match await peer.call(HEARTBEAT, message):
                    case Ok(reply):
                        self._alive[peer.address] = reply
                    case Err(_):
                        self._alive.pop(peer.address, None)
            await trio.sleep(HEARTBEAT_EVERY_S)
