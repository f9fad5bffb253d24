"""Fault injection into a fleet that runs in one event loop or as real processes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, Protocol

import trio

from mulberrycleat.core.ports import Ports
from mulberrycleat.scenario.check import PLATFORM
from mulberrycleat.settings import OperatorSettings, convert_all
from mulberrycleat.testing.caller import Caller
from mulberrycleat.testing.fleet import LocalFleet, local_fleet
from mulberrycleat.testing.inprocess import InProcessFleet, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan, Layout, Member
from mulberrycleat.testing.operator import Operator

__all__ = ["Driver", "InProcessDriver", "LocalDriver", "in_process_driver", "local_driver"]


class Driver(Protocol):
    """A fleet with fault injection.

    A place is the name of a member, a host or a zone.
    """

    @property
    def layout(self) -> Layout:
        """Members, keys and manifest of the fleet."""
        ...

    @property
    def ports(self) -> Ports:
        """Network ports of a client outside all zones."""
        ...

    def operator(self, name: str = "demo", zone: str = "") -> Operator:
        """Return an operator who reaches the log from `zone`, or directly if it is empty."""
        ...

    async def change(self, action: str, place: str) -> None:
        """Kill, start, stop, freeze or thaw the processes of a place."""
        ...

    async def cut(self, one: str, other: str) -> None:
        """Cut the links between two places."""
        ...

    async def heal(self, one: str, other: str) -> None:
        """Restore the links between two places."""
        ...

    async def slow(self, one: str, other: str, delay_s: float) -> None:
        """Add a delay to the links between two places."""
        ...

    async def recover(self) -> None:
        """Heal all links and thaw all processes."""
        ...


class InProcessDriver:
    """A fleet in one event loop."""

    def __init__(self, fleet: InProcessFleet) -> None:
        self._fleet = fleet

    @property
    def layout(self) -> Layout:
        """Members, keys and manifest of the fleet."""
        return self._fleet.layout

    @property
    def ports(self) -> Ports:
        """Network ports of a client outside all zones."""
        return self._fleet.caller_ports

    def operator(self, name: str = "demo", zone: str = "") -> Operator:
        """Return an operator who reaches the log from `zone`, or directly if it is empty."""
        return self._fleet.make_operator(zone or "outside", name)

    async def change(self, action: str, place: str) -> None:
        """Kill, start, stop, freeze or thaw the processes of a place."""
        network = self._fleet.network
        match action:
            case "kill":
                network.kill(place)
            case "start":
                await self._fleet.start(place)
            case "stop":
                await network.stop(place)
            case "freeze":
                network.freeze(place)
            case "thaw":
                network.thaw(place)

    async def cut(self, one: str, other: str) -> None:
        """Cut the links between two places."""
        self._fleet.network.cut(one, other)

    async def heal(self, one: str, other: str) -> None:
        """Restore the links between two places."""
        self._fleet.network.heal(one, other)

    async def slow(self, one: str, other: str, delay_s: float) -> None:
        """Add a delay to the links between two places."""
        self._fleet.network.slow(one, other, delay_s)

    async def recover(self) -> None:
        """Heal all links and thaw all processes."""
        self._fleet.network.heal_all()
        for name in self.layout.members:
            self._fleet.network.thaw(name)


class LocalDriver:
    """A fleet of real processes.

    Only links between a zone and the platform's log can be cut or slowed. Each of `cut`, `heal` and
    `slow` replaces the earlier faults of the link.
    """

    def __init__(self, fleet: LocalFleet, fleet_key: str) -> None:
        self._fleet = fleet
        self._fleet_key = fleet_key
        self._ports = Ports()
        self._frozen: set[str] = set()

    @property
    def layout(self) -> Layout:
        """Members, keys and manifest of the fleet."""
        return self._fleet.layout

    @property
    def ports(self) -> Ports:
        """Network ports of a client outside all zones."""
        return self._ports

    def operator(self, name: str = "demo", zone: str = "") -> Operator:
        """Return an operator who reaches the log from `zone`, or directly if it is empty."""
        data = self.layout.operator(name)
        if zone:
            link = self.layout.members[f"link-{zone}"]
            data["platform"] = {"log": link.settings["listen"]}
        settings = convert_all(data, OperatorSettings).unwrap()
        return Operator(settings, self._fleet_key, self._ports)

    async def change(self, action: str, place: str) -> None:
        """Kill, start, stop, freeze or thaw the processes of a place."""
        async with trio.open_nursery() as nursery:
            for member in self._members(place):
                nursery.start_soon(trio.to_thread.run_sync, self._change, action, member.name)

    async def cut(self, one: str, other: str) -> None:
        """Cut the link between a zone and the platform."""
        await self._set_link_faults(one, other, cut=True)

    async def heal(self, one: str, other: str) -> None:
        """Restore the links between two places."""
        await self._set_link_faults(one, other)

    async def slow(self, one: str, other: str, delay_s: float) -> None:
        """Add a delay to the link between a zone and the platform."""
        await self._set_link_faults(one, other, delay_s=delay_s)

    async def recover(self) -> None:
        """Heal all links and thaw all processes."""
        for name in sorted(self._frozen):
            self._fleet.thaw(name)
        for member in self.layout.of_kind("link"):
            await self._put_faults(member, {})

    def _members(self, place: str) -> list[Member]:
        members = self.layout.members.values()
        return [m for m in members if place in (m.name, m.host, m.zone) and m.kind != "link"]

    def _change(self, action: str, name: str) -> None:
        match action:
            case "kill" if self._fleet.is_running(name):
                self._fleet.kill(name)
            case "start" if not self._fleet.is_running(name):
                self._fleet.start(name)
            case "stop" if self._fleet.is_running(name):
                self._fleet.terminate(name).wait()
            case "freeze":
                self._fleet.freeze(name)
                self._frozen.add(name)
            case "thaw":
                self._fleet.thaw(name)
                self._frozen.discard(name)

    async def _set_link_faults(self, one: str, other: str, **faults: Any) -> None:
        zone = other if one == PLATFORM else one
        link = self.layout.members.get(f"link-{zone}")
        if link is None or PLATFORM not in (one, other):
            raise ValueError(
                f"with real processes, links from {one} to {other} cannot be cut or slowed"
            )
        await self._put_faults(link, faults)

    async def _put_faults(self, link: Member, faults: dict[str, Any]) -> None:
        url = f"http://{link.address}/faults"
        (await self._ports.http.send_json("PUT", url, faults)).unwrap()


@asynccontextmanager
async def in_process_driver(plan: FleetPlan, seed: int = 0) -> AsyncIterator[InProcessDriver]:
    """Run a fleet in this event loop."""
    async with in_process_fleet(plan, seed, set_up=False) as fleet:
        yield InProcessDriver(fleet)


@asynccontextmanager
async def local_driver(plan: FleetPlan, directory: Path) -> AsyncIterator[LocalDriver]:
    """Run a fleet of real processes; requires an open trio-asyncio loop."""
    with local_fleet(plan, directory) as fleet:
        driver = LocalDriver(fleet, fleet.fleet_key)
        yield driver
        await driver.ports.http.aclose()


def caller_of(driver: Driver, account: str) -> Caller:
    """Return a caller that uses the API key of an account."""
    return Caller(driver.ports.http, driver.layout.keys[account])
