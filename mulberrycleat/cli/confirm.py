"""Waiting until a manifest version is active on every host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from result import Err, Ok

from mulberrycleat.controller.messages import CONFIRM, ConfirmReply, ConfirmRequest
from mulberrycleat.rpc import RpcClient
from mulberrycleat.settings import OperatorSettings

__all__ = ["Confirmation", "confirm_everywhere", "unconfirmed_zones"]

LONG_POLL_S = 2.0
REPLY_MARGIN_S = 1.5
RETRY_EVERY_S = 0.3
DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Confirmation:
    """State of one host during the wait for a manifest version.

    Attributes
    ----------
    address : str
        Address of the host's controller, as ``ip:port``.
    host : str
        Name of the host; empty until this or another host of the zone has answered.
    zone : str
        Availability zone of the host; empty until this or another host of the zone has answered.
    version : int
        Version that is active on the controller; 0 until the controller has answered.
    in_force : bool
        Whether the awaited version is active on the controller and its routers.
    after_s : float
        Time of the controller's latest answer, in seconds after the start of the wait.
    gone : bool
        Whether another host of the zone reports the host as dead, and the controller has not
        answered. A host that no other host has heard from is not gone.
    why : str
        Why the host has not confirmed: the last error, or what its last answer reported.
    """

    address: str
    host: str = ""
    zone: str = ""
    version: int = 0
    in_force: bool = False
    after_s: float = 0.0
    gone: bool = False
    why: str = "not asked"

    @property
    def missing(self) -> bool:
        """Whether the host has yet to confirm."""
        return not self.in_force and not self.gone


class _ConfirmationWait:
    """Polls the controllers until each has confirmed the version or is gone."""

    def __init__(
        self,
        connect: Callable[[str], RpcClient],
        version: int,
        on_confirmed: Callable[[Confirmation], None],
    ) -> None:
        self._connect = connect
        self._version = version
        self._on_confirmed = on_confirmed
        self._started = trio.current_time()
        self._hosts: dict[str, Confirmation] = {}

    @property
    def hosts(self) -> dict[str, Confirmation]:
        """State of each known host, by address."""
        return self._hosts

    async def run(self, addresses: tuple[str, ...]) -> None:
        """Poll the hosts at `addresses` and those they report until none is missing."""
        async with trio.open_nursery() as nursery:
            for address in addresses:
                self._add_host(nursery, address, "", "")

    def _add_host(self, nursery: trio.Nursery, address: str, host: str, zone: str) -> None:
        if address not in self._hosts:
            self._hosts[address] = Confirmation(address, host, zone)
            nursery.start_soon(self._poll, nursery, address)
        elif not self._hosts[address].zone:
            self._hosts[address] = replace(self._hosts[address], host=host, zone=zone)

    async def _poll(self, nursery: trio.Nursery, address: str) -> None:
        client = self._connect(address)
        try:
            while self._hosts[address].missing:
                request = ConfirmRequest(self._version, LONG_POLL_S)
                match await client.call(CONFIRM, request, LONG_POLL_S + REPLY_MARGIN_S):
                    case Ok(reply):
                        self._handle_reply(nursery, address, reply)
                    case Err(error):
                        self._hosts[address] = replace(self._hosts[address], why=error.reason)
                        await trio.sleep(RETRY_EVERY_S)
        finally:
            client.close()

    def _handle_reply(self, nursery: trio.Nursery, address: str, reply: ConfirmReply) -> None:
        after_s = trio.current_time() - self._started
        behind = [name for name, version in reply.routers.items() if version < self._version]
        why = f"routers behind: {', '.join(behind)}" if behind else f"at version {reply.version}"
        self._hosts[address] = Confirmation(
            address, reply.host, reply.zone, reply.version, reply.in_force, after_s, False, why
        )
        for member in reply.members:
            if member.contact != DEAD and member.host:
                self._add_host(nursery, member.address, member.host, reply.zone)
            elif (
                member.contact == DEAD
                and member.address in self._hosts
                and not self._hosts[member.address].version
            ):
                dead_host = self._hosts[member.address]
                self._hosts[member.address] = replace(dead_host, zone=reply.zone, gone=True)
        if reply.in_force:
            self._on_confirmed(self._hosts[address])


async def confirm_everywhere(
    settings: OperatorSettings,
    connect: Callable[[str], RpcClient],
    version: int,
    timeout_s: float,
    on_confirmed: Callable[[Confirmation], None],
) -> list[Confirmation]:
    """Wait until `version` is active on every host that is not gone; return the state of each host.

    The hosts are those in the settings and those that an answering host reports as members of its
    zone. Requires an open trio-asyncio loop.

    Parameters
    ----------
    connect : callable
        Returns a client of the controller at an address.
    timeout_s : float
        Maximum wait, in seconds.
    on_confirmed : callable
        Called with the state of each host when it confirms.
    """
    wait = _ConfirmationWait(connect, version, on_confirmed)
    with trio.move_on_after(timeout_s):
        await wait.run(settings.controllers)
    return list(wait.hosts.values())


def unconfirmed_zones(hosts: list[Confirmation]) -> list[str]:
    """Return the zones with a host that has not confirmed; ``unknown`` stands for an unknown zone.

    >>> unconfirmed_zones([Confirmation("10.0.0.1:1", zone="east"), Confirmation("10.0.0.2:1")])
    ['east', 'unknown']
    """
    return sorted({host.zone or "unknown" for host in hosts if host.missing})
