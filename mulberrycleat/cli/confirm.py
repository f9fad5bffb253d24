"""Waiting until a version is in force on every host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from result import Err, Ok

from mulberrycleat.controller.messages import CONFIRM, ConfirmReply, ConfirmRequest
from mulberrycleat.rpc import RpcClient
from mulberrycleat.settings import OperatorSettings

__all__ = ["Confirmation", "confirm_everywhere", "zones_without"]

ASK_WAIT_S = 2.0
ASK_SLACK_S = 1.5
RETRY_EVERY_S = 0.3
GONE = "dead"


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What is known of one host.

    Attributes
    ----------
    zone : str
        Its availability zone; empty until it or a host of its zone has answered.
    in_force : bool
        Whether the version is in force on its controller and its routers.
    after_s : float
        When it confirmed, in seconds after the start of the wait.
    gone : bool
        Whether a host of its zone calls it dead and it does not answer.
    why : str
        Why it has not confirmed.
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
        """Whether the wait is for this host."""
        return not self.in_force and not self.gone


class _Wait:
    def __init__(
        self,
        connect: Callable[[str], RpcClient],
        version: int,
        on_host: Callable[[Confirmation], None],
    ) -> None:
        self._connect = connect
        self._version = version
        self._on_host = on_host
        self._started = trio.current_time()
        self._hosts: dict[str, Confirmation] = {}

    @property
    def hosts(self) -> dict[str, Confirmation]:
        """What is known, by address."""
        return self._hosts

    async def run(self, addresses: tuple[str, ...]) -> None:
        """Ask hosts, and those that they know of, until each has confirmed."""
        async with trio.open_nursery() as nursery:
            for address in addresses:
                self._add(nursery, address, "", "")

    def _add(self, nursery: trio.Nursery, address: str, host: str, zone: str) -> None:
        if address not in self._hosts:
            self._hosts[address] = Confirmation(address, host, zone)
            nursery.start_soon(self._ask, nursery, address)
        elif not self._hosts[address].zone:
            self._hosts[address] = replace(self._hosts[address], host=host, zone=zone)

    async def _ask(self, nursery: trio.Nursery, address: str) -> None:
        client = self._connect(address)
        try:
            while self._hosts[address].missing:
                request = ConfirmRequest(self._version, ASK_WAIT_S)
                match await client.call(CONFIRM, request, ASK_WAIT_S + ASK_SLACK_S):
                    case Ok(reply):
                        self._take(nursery, address, reply)
                    case Err(error):
                        self._hosts[address] = replace(self._hosts[address], why=error.reason)
                        await trio.sleep(RETRY_EVERY_S)
        finally:
            client.close()

    def _take(self, nursery: trio.Nursery, address: str, reply: ConfirmReply) -> None:
        after_s = trio.current_time() - self._started
        late = [name for name, version in reply.routers.items() if version < self._version]
        why = f"routers behind: {', '.join(late)}" if late else f"at version {reply.version}"
        self._hosts[address] = Confirmation(
            address, reply.host, reply.zone, reply.version, reply.in_force, after_s, False, why
        )
        for member in reply.members:
            if member.contact != GONE and member.host:
                self._add(nursery, member.address, member.host, reply.zone)
            elif member.address in self._hosts and not self._hosts[member.address].version:
                known = self._hosts[member.address]
                self._hosts[member.address] = replace(known, zone=reply.zone, gone=True)
        if reply.in_force:
            self._on_host(self._hosts[address])


async def confirm_everywhere(
    settings: OperatorSettings,
    connect: Callable[[str], RpcClient],
    version: int,
    timeout_s: float,
    on_host: Callable[[Confirmation], None],
) -> list[Confirmation]:
    """Wait until `version` is in force on every host; return what is known of each.

    Hosts are those that the settings name and those that the answering ones know of in their
    zones. Needs an open trio-asyncio loop.

    Parameters
    ----------
    connect : callable
        Returns a client of the controller at an address.
    on_host : callable
        Gets each host as it confirms.
    """
    wait = _Wait(connect, version, on_host)
    with trio.move_on_after(timeout_s):
        await wait.run(settings.controllers)
    return list(wait.hosts.values())


def zones_without(hosts: list[Confirmation]) -> list[str]:
    """Return the zones in which a host has not confirmed; ``unknown`` where it is not known.

    >>> zones_without([Confirmation("10.0.0.1:1", zone="east"), Confirmation("10.0.0.2:1")])
    ['east', 'unknown']
    """
    return sorted({host.zone or "unknown" for host in hosts if host.missing})
