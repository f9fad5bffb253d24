"""Controller of membership: the hosts of this zone and the platform's host list."""

from __future__ import annotations

import logging
from random import Random
from typing import Any

import trio
from result import Err, Ok, Result

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.hostlist import LeavingNames, hosts_of
from mulberrycleat.controller.messages import (
    HEARTBEAT,
    READ_STREAM,
    Heartbeat,
    HeartbeatReply,
    HostVersion,
    ReadStreamRequest,
)
from mulberrycleat.core import Holder, PeerError
from mulberrycleat.core.ports import Ports
from mulberrycleat.eventlog import Page, RelayReply, RelayState
from mulberrycleat.membership import Members, first_by_rank, ranked
from mulberrycleat.rpc import Method, RpcClient
from mulberrycleat.settings import ControllerSettings

__all__ = ["HostController"]

log = logging.getLogger(__name__)

LIST_EVERY_S = 1.0
HEARTBEAT_EVERY_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.0
RELAY_SLACK_S = 1.0


class HostController:
    """Track the other hosts of this zone, and the names that the host list marks as leaving.

    Parameters
    ----------
    settings : ControllerSettings
        Addresses of the peers and of the platform's host list.
    holder : Holder
        This incarnation of the host.
    ports : Ports
        Connections to the host list and to other controllers.
    fleet_key : str
        Key that authenticates calls between the processes of the fleet.
    changes : Changes
        Notified when the set of leaving names changes.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        holder: Holder,
        ports: Ports,
        fleet_key: str,
        changes: Changes,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._ports = ports
        self._client = ports.http
        self._fleet_key = fleet_key
        self._changes = changes
        self._members = Members(settings.listen, settings.peers)
        self._rng = Random(holder.incarnation)
        self._peers: dict[str, RpcClient] = {}
        self._leaving = LeavingNames()
        self._version = 0

    @property
    def leaving(self) -> frozenset[str]:
        """Names of hosts and endpoints that the platform's list marks as leaving."""
        return self._leaving.names

    @property
    def members(self) -> Members:
        """The other hosts of this zone."""
        return self._members

    def announce(self, version: int) -> None:
        """Report `version` as the active version of the manifest in the next heartbeats."""
        self._version = version

    def find_newer_peer(self, version: int) -> str | None:
        """Return the address of the usable member with the newest manifest, if above `version`."""
        usable = self._members.usable(trio.current_time())
        newest = max(usable, key=lambda member: member.version, default=None)
        return newest.address if newest and newest.version > version else None

    def rank(self, task: str) -> int:
        """Return this host's rank for `task` among the zone's usable hosts; 0 is the first."""
        names = [member.host for member in self._members.usable(trio.current_time())]
        return ranked(task, {*names, self._holder.host}).index(self._holder.host)

    def choose_reader(self, stream: str, avoided: frozenset[str]) -> str | None:
        """Return the address of the host to read `stream` from; None when this host reads it.

        Hosts at the `avoided` addresses are left out.
        """
        usable = self._members.usable(trio.current_time())
        addresses = {m.host: m.address for m in usable if m.address not in avoided}
        addresses[self._holder.host] = None
        return addresses[first_by_rank(stream, addresses)]

    async def ask_reader(
        self, address: str, stream: str, offset: int, wait_s: float
    ) -> Result[RelayReply, PeerError]:
        """Ask another host for records of a stream, from `offset` on."""
        request = ReadStreamRequest(stream, offset, wait_s)
        match await self.call(address, READ_STREAM, request, wait_s + RELAY_SLACK_S):
            case Ok(reply) if reply.state == RelayState.PAGE.value:
                page = Page(reply.earliest, reply.next, reply.end, reply.entries)
                return Ok(RelayReply(RelayState.PAGE, page))
            case Ok(reply):
                return Ok(RelayReply(RelayState(reply.state)))
            case Err(error):
                return Err(error)

    async def call(
        self, address: str, method: Method, message: Any, timeout_s: float
    ) -> Result[Any, PeerError]:
        """Call a method of the controller at `address`."""
        if address not in self._peers:
            self._peers[address] = self._ports.connect_rpc(address, self._fleet_key)
        return await self._peers[address].call(method, message, timeout_s)

    def versions(self) -> tuple[HostVersion, ...]:
        """Return the manifest version and contact state of each other host of the zone."""
        now = trio.current_time()
        return tuple(
            HostVersion(m.address, m.host, m.version, self._members.contact(m.address, now).value)
            for m in self._members.members.values()
        )

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Poll the host list and send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_list)
            nursery.start_soon(self._send_heartbeats)
            task_status.started()

    async def heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Record the heartbeat of a peer in this zone; return this host's state to any peer."""
        now = trio.current_time()
        gossip = self._members.gossip(now, self._rng)
        if message.zone == self._holder.zone:
            self._members.heartbeat_received(
                message.address, message.holder, message.manifest_version, now
            )
            self._members.merge_gossip(message.heard, now)
        return HeartbeatReply(str(self._holder), self._version, self._holder.zone, gossip)

    async def _poll_list(self) -> None:
        address = self._settings.platform.hosts
        while address:
            match await self._client.send_json("GET", f"http://{address}/v1/hosts"):
                case Ok({"hosts": list(hosts)}):
                    self._apply_list(hosts)
                case Ok(other):
                    log.warning(
                        "invalid host list", extra={"peer": address, "why": repr(other)[:100]}
                    )
                case Err(error):
                    log.warning(
                        "could not get the host list", extra={"peer": address, "why": error.reason}
                    )
            await trio.sleep(LIST_EVERY_S)

    def _apply_list(self, hosts: list[Any]) -> None:
        now = trio.current_time()
        before = self._leaving.names
        self._leaving.update(hosts, now)
        zone_hosts = hosts_of(hosts, self._holder.zone)
        leaving_addresses = [host.address for host in zone_hosts if host.state == "leaving"]
        self._members.apply_host_list([host.address for host in zone_hosts], leaving_addresses, now)
        if self._leaving.names != before:
            self._changes.notify()

    async def _send_heartbeats(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for address in self._members.targets(self._rng):
                    nursery.start_soon(self._send_heartbeat, address)
            await trio.sleep(HEARTBEAT_EVERY_S)

    async def _send_heartbeat(self, address: str) -> None:
        sent_at = trio.current_time()
        self._members.asked(address, sent_at)
        message = Heartbeat(
            str(self._holder),
            self._holder.zone,
            self._version,
            self._settings.listen,
            self._members.gossip(sent_at, self._rng),
        )
        match await self.call(address, HEARTBEAT, message, HEARTBEAT_TIMEOUT_S):
            case Ok(reply):
                self._apply_reply(address, reply, sent_at)
            case Err(error):
                self._members.heartbeat_failed(address, error.sent)

    def _apply_reply(self, address: str, reply: HeartbeatReply, sent_at: float) -> None:
        now = trio.current_time()
        if reply.zone != self._holder.zone:
            self._members.rejected(address, now)
            return
        self._members.answered(address, reply.holder, reply.manifest_version, now - sent_at, now)
        self._members.merge_gossip(reply.heard, now)
