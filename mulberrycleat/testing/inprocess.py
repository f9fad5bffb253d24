"""A fleet in one event loop: real controllers and routers, stand-ins, and a simulated network.

Meant for tests under trio's ``MockClock``::

    async def test_example():
        async with in_process_fleet() as fleet:
            fleet.network.cut("zone-a", "platform")
            answer = await fleet.chat("zone-a-1", "dolerite", "survey-large", "Open?")
            assert answer.outcome == "served"
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from mulberrycleat.controller.app import Controller
from mulberrycleat.core.ports import Ports
from mulberrycleat.router.app import Router
from mulberrycleat.settings import (
    ControllerSettings,
    OperatorSettings,
    RouterSettings,
    convert_all,
)
from mulberrycleat.standin.main import make_standin
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.testing.caller import Answer, Caller
from mulberrycleat.testing.layout import FleetPlan, Layout, Member
from mulberrycleat.testing.network import Network, Process
from mulberrycleat.testing.network_ports import make_ports
from mulberrycleat.testing.operator import Operator
from mulberrycleat.web import App

__all__ = ["InProcessFleet", "in_process_fleet"]

FLEET_KEY = "fleet-key-of-a-test"
PREPAID_TOKENS = 200_000
OUTSIDE = "outside"
READY_POLL_S = 0.1


class InProcessFleet:
    """Fleet of controllers, routers and stand-ins on a simulated network.

    Parameters
    ----------
    plan : FleetPlan
        What the fleet consists of; ``log_links`` has no effect, since the network cuts links.
    network : Network
        Carries all requests between the members.
    """

    def __init__(self, plan: FleetPlan, network: Network) -> None:
        self._network = network
        plan_without_links = dataclasses.replace(plan, log_links=False)
        self._layout = Layout(plan_without_links, _addresses(), "fleet.key")
        self._apps: dict[str, Any] = {}
        self._caller_ports: Ports | None = None
        self._operator: Operator | None = None

    @property
    def network(self) -> Network:
        """The simulated network, which also injects faults."""
        return self._network

    @property
    def layout(self) -> Layout:
        """Members, API keys and manifest."""
        return self._layout

    @property
    def operator(self) -> Operator:
        """Operator outside of all zones."""
        if self._operator is None:
            raise RuntimeError("the fleet does not run")
        return self._operator

    def make_operator(self, zone: str, name: str) -> Operator:
        """Return another operator, in `zone` and so subject to the zone's network faults."""
        settings = _settings(self._layout.operator(name), OperatorSettings)
        process = Process(f"operator-{name}", zone, f"operator-{name}")
        return Operator(settings, FLEET_KEY, make_ports(self._network, process))

    def controller(self, host: str) -> Controller:
        """Return the controller of a host."""
        return self._apps[f"controller-{host}"]

    def router(self, host: str) -> Router:
        """Return the router of a host."""
        return self._apps[f"router-{host}"]

    def standin(self, name: str) -> Any:
        """Return the stand-in of that name."""
        return self._apps[name]

    def ports(self, name: str) -> Ports:
        """Return new ports of a running process; they are subject to the faults of that process."""
        return make_ports(self._network, self._network.process(name))

    async def start(self, name: str) -> None:
        """Start a member, or the members of a host or zone, except those that are running."""
        for member in self._layout.members.values():
            if name in (member.name, member.host, member.zone) and not self._is_running(member):
                await self._start(member)

    async def start_all(self) -> None:
        """Start every member, and create an operator and ports for callers outside of all zones."""
        outside = Process(OUTSIDE, OUTSIDE, OUTSIDE)
        self._caller_ports = make_ports(self._network, outside)
        settings = _settings(self._layout.operator(), OperatorSettings)
        self._operator = Operator(settings, FLEET_KEY, self._caller_ports)
        for member in self._layout.members.values():
            await self._start(member)

    async def set_up(self) -> None:
        """Prepay every budget, publish the manifest and wait until every router is ready."""
        for account in self._layout.keys:
            (await self.operator.top_up(account, PREPAID_TOKENS, f"first-{account}")).unwrap()
        await self.operator.publish_and_wait(self._layout.manifest())
        for member in self._layout.of_kind("router"):
            await self.wait_until_ready(member.host)

    async def wait_until_ready(self, host: str) -> None:
        """Wait until the router of a host is ready."""
        url = f"http://{self.address(host)}/readyz"
        while True:
            answer = await self.caller_ports.http.request("GET", url)
            if answer.is_ok() and answer.ok_value.status == 200:
                return
            await trio.sleep(READY_POLL_S)

    @property
    def caller_ports(self) -> Ports:
        """Ports of the callers, which are outside of all zones."""
        if self._caller_ports is None:
            raise RuntimeError("the fleet does not run")
        return self._caller_ports

    def address(self, host: str) -> str:
        """Return the address of a host's router, or of another member."""
        members = self._layout.members
        return (members.get(f"router-{host}") or members[host]).address

    def caller(self, account: str) -> Caller:
        """Return a caller with the key of an account."""
        return Caller(self.caller_ports.http, self._layout.keys[account])

    async def chat(self, host: str, account: str, model: str, text: str, **options: Any) -> Answer:
        """Request a completion from a host's router; `options` as for :meth:`Caller.chat`."""
        return await self.caller(account).chat(self.address(host), model, text, **options)

    async def book(
        self, host: str, account: str, pool: str, key: str, path: str = "slots", body: Any = None
    ) -> Answer:
        """Request a plain service from the router of a host."""
        return await self.caller(account).book(self.address(host), pool, path, key, body)

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of a stand-in; those that aren't given are reset."""
        url = f"http://{self.address(name)}/faults"
        (await self.caller_ports.http.send_json("PUT", url, faults)).unwrap()

    async def stats(self, name: str) -> dict[str, Any]:
        """Return the counters of a stand-in."""
        url = f"http://{self.address(name)}/stats"
        return (await self.caller_ports.http.send_json("GET", url)).unwrap()

    def _is_running(self, member: Member) -> bool:
        return not self._network.process(member.name).dead.is_set()

    async def _start(self, member: Member) -> None:
        main = _RUNNERS.get(member.kind, _run_standin)

        async def run(process: Process, stop: trio.Event) -> None:
            await main(self._apps, member, make_ports(self._network, process), stop)

        await self._network.start(member.name, member.zone, member.host, run)


async def _run_controller(
    apps: dict[str, Any], member: Member, ports: Ports, stop: trio.Event
) -> None:
    settings = _settings(member.settings, ControllerSettings)
    apps[member.name] = Controller(settings, FLEET_KEY, ports)
    await apps[member.name].run(stop)


async def _run_router(apps: dict[str, Any], member: Member, ports: Ports, stop: trio.Event) -> None:
    settings = _settings(member.settings, RouterSettings)
    apps[member.name] = Router(settings, FLEET_KEY, ports)
    await apps[member.name].run(stop)


async def _run_standin(
    apps: dict[str, Any], member: Member, ports: Ports, stop: trio.Event
) -> None:
    standin = make_standin(_settings(member.settings, StandinSettings), ports.now)
    apps[member.name] = standin
    await ports.serve_http(App(standin.routes()), member.address, stop)


_RUNNERS: dict[str, Callable[..., Any]] = {"controller": _run_controller, "router": _run_router}


@asynccontextmanager
async def in_process_fleet(
    plan: FleetPlan | None = None, seed: int = 0, set_up: bool = True
) -> AsyncIterator[InProcessFleet]:
    """Run a fleet inside the block.

    Parameters
    ----------
    plan : FleetPlan, optional
        What the fleet consists of; by default one host in each of three zones.
    seed : int
        Seed of the jitter of the network's delays.
    set_up : bool
        Whether to prepay the budgets, publish a manifest and wait for readiness.
    """
    async with Network(seed).running() as network:
        fleet = InProcessFleet(plan or FleetPlan(), network)
        await fleet.start_all()
        if set_up:
            await fleet.set_up()
        yield fleet


def _settings(data: dict[str, Any], kind: type) -> Any:
    return convert_all(data, kind).unwrap()


def _addresses() -> Iterator[str]:
    for number in itertools.count(1):
        yield f"10.0.{number // 250}.{number % 250 + 1}:8080"
