"""A local fleet of real processes on loopback, for the demo, scenarios and the bench.

Only this tool starts processes; the product's own processes start none.
"""

from __future__ import annotations

import hashlib
import json
import secrets
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple
from urllib.request import urlopen

import tomli_w

__all__ = ["FleetPlan", "LocalFleet", "Member", "local_fleet"]

START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """What to start.

    Attributes
    ----------
    zones : tuple of str
        Availability zones.
    hosts_per_zone : int
        Entry hosts in each.
    engines_per_zone, services_per_zone : int
        Endpoints of each pool in each zone.
    accounts : tuple of str
        Client accounts; each gets one budget of its name and one key.
    models, services : tuple of str
        Pools of engines and of plain services; the services are not idempotent.
    standin : mapping
        Fields of the stand-ins' settings, by kind.
    log_links : bool
        Whether each zone reaches the log through a link that can be cut.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    hosts_per_zone: int = 1
    engines_per_zone: int = 1
    services_per_zone: int = 1
    accounts: tuple[str, ...] = ("dolerite", "swan-coastal")
    models: tuple[str, ...] = ("survey-large",)
    services: tuple[str, ...] = ("bookings",)
    standin: dict[str, dict[str, Any]] = field(default_factory=dict)
    controller: dict[str, Any] = field(default_factory=dict)
    router: dict[str, Any] = field(default_factory=dict)
    log_links: bool = True


class Member(NamedTuple):
    """One process of the fleet: its name, kind, zone, address and settings file."""

    name: str
    kind: str
    zone: str
    address: str
    settings_file: Path


class LocalFleet:
    """Processes on loopback and the files that they run with.

    Parameters
    ----------
    plan : FleetPlan
        What to start.
    directory : Path
        Where settings, keys and logs go.
    """

    def __init__(self, plan: FleetPlan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._members: dict[str, Member] = {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._keys = {account: secrets.token_urlsafe(18) for account in plan.accounts}
        self._endpoints: list[dict[str, Any]] = []
        self._key_file = directory / "fleet.key"
        self._operator_file = directory / "operator.toml"
        self._write()

    @property
    def members(self) -> dict[str, Member]:
        """Members by name."""
        return self._members

    @property
    def keys(self) -> dict[str, str]:
        """A caller's key for each account."""
        return self._keys

    @property
    def operator_file(self) -> Path:
        """Settings of the operators' command line."""
        return self._operator_file

    def of_kind(self, kind: str) -> list[Member]:
        """Return the members of one kind."""
        return [member for member in self._members.values() if member.kind == kind]

    def pid(self, name: str) -> int:
        """Return the process id of a member."""
        return self._processes[name].pid

    def manifest(self) -> dict[str, Any]:
        """Return a manifest for this fleet as plain data."""
        accounts = [
            {"name": name, "keys": [{"sha256": _sha256(key), "budget": name}]}
            for name, key in self._keys.items()
        ]
        models = [
            {"name": f"pool-{model}", "kind": "model", "model": model, "max_generated": 256}
            for model in self._plan.models
        ]
        services = [
            {"name": name, "kind": "service", "idempotent": False, "price": {"fixed": 5000}}
            for name in self._plan.services
        ]
        return {
            "accounts": accounts,
            "budgets": [{"name": name, "account": name} for name in self._keys],
            "pools": models + services,
            "endpoints": self._endpoints,
        }

    def start(self, name: str) -> None:
        """Start one member."""
        member = self._members[name]
        program = "standin" if member.kind not in ("router", "controller") else member.kind
        with (self._directory / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", f"mulberrycleat.{program}.main", str(member.settings_file)],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_all(self) -> None:
        """Start every member."""
        for name in self._members:
            self.start(name)

    def wait_for_platform(self) -> None:
        """Wait until the stand-ins answer."""
        for member in self._members.values():
            if member.kind not in ("router", "controller"):
                self._wait_for(f"http://{member.address}/faults", member.name)

    def wait_until_ready(self) -> None:
        """Wait until every router is ready."""
        for member in self.of_kind("router"):
            self._wait_for(f"http://{member.address}/readyz", member.name)

    def kill(self, name: str) -> None:
        """Kill a member at once."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Stop a member's execution until :meth:`thaw`."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen member go on."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> subprocess.Popen[bytes]:
        """Ask a member to stop; return its process."""
        process = self._processes.pop(name)
        process.terminate()
        return process

    def stop(self) -> None:
        """Stop every member, routers first."""
        for kinds in (("router",), ("controller",), ("log", "hosts", "weights")):
            self._stop_kinds(kinds)
        self._stop_kinds(("engine", "service", "link"))

    def _stop_kinds(self, kinds: tuple[str, ...]) -> None:
        names = [name for name in self._processes if self._members[name].kind in kinds]
        for name in names:
            self._processes[name].terminate()
        for name in names:
            process = self._processes.pop(name)
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _wait_for(self, url: str, name: str) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                with urlopen(url, timeout=2) as answer:
                    if answer.status == 200:
                        return
            except OSError as error:
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} at {url}: {error}") from error
            time.sleep(POLL_S)

    def _write(self) -> None:
        self._key_file.write_text(secrets.token_urlsafe(24))
        ports = _free_ports(self._count())
        self._write_platform(ports)
        for zone in self._plan.zones:
            self._write_zone(zone, ports)
        controllers = [member.address for member in self.of_kind("controller")]
        operator = {
            "operator": "demo",
            "platform": {"log": self._members["log"].address},
            "controllers": controllers,
            "fleet_key_file": str(self._key_file),
        }
        self._operator_file.write_text(tomli_w.dumps(operator))

    def _count(self) -> int:
        plan = self._plan
        endpoints = plan.engines_per_zone * len(plan.models)
        endpoints += plan.services_per_zone * len(plan.services)
        return 3 + len(plan.zones) * (2 + 2 * plan.hosts_per_zone + endpoints)

    def _write_platform(self, ports: Iterator[int]) -> None:
        for kind in ("log", "hosts", "weights"):
            self._write_standin(kind, kind, "", next(ports))

    def _write_standin(self, name: str, kind: str, zone: str, port: int, target: str = "") -> str:
        address = f"127.0.0.1:{port}"
        settings = {"kind": kind, "listen": address, **self._plan.standin.get(kind, {})}
        if target:
            settings["target"] = target
        self._add(name, kind, zone, address, settings)
        return address

    def _add(self, name: str, kind: str, zone: str, address: str, settings: dict) -> None:
        path = self._directory / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        self._members[name] = Member(name, kind, zone, address, path)

    def _write_zone(self, zone: str, ports: Iterator[int]) -> None:
        log_address = self._members["log"].address
        near, control = next(ports), next(ports)
        if self._plan.log_links:
            settings = {"kind": "link", "listen": f"127.0.0.1:{near}", "target": log_address}
            settings["control"] = f"127.0.0.1:{control}"
            self._add(f"link-{zone}", "link", zone, settings["control"], settings)
            log_address = f"127.0.0.1:{near}"
        self._write_endpoints(zone, ports)
        names = [f"{zone}-{number}" for number in range(1, self._plan.hosts_per_zone + 1)]
        listens = {name: f"127.0.0.1:{next(ports)}" for name in names}
        for name in names:
            peers = [address for other, address in listens.items() if other != name]
            self._write_host(name, zone, listens[name], peers, log_address, next(ports))

    def _write_endpoints(self, zone: str, ports: Iterator[int]) -> None:
        kinds = [(f"pool-{model}", "engine") for model in self._plan.models]
        kinds += [(service, "service") for service in self._plan.services]
        for pool, kind in kinds:
            per_zone = getattr(self._plan, f"{kind}s_per_zone")
            for number in range(1, per_zone + 1):
                name = f"{pool}-{zone}-{number}"
                address = self._write_standin(name, kind, zone, next(ports))
                self._endpoints.append(
                    {"name": name, "pool": pool, "zone": zone, "address": address}
                )

    def _write_host(
        self, name: str, zone: str, listen: str, peers: list[str], log_address: str, port: int
    ) -> None:
        host = {"name": name, "zone": zone}
        platform = {"log": log_address, "hosts": self._members["hosts"].address}
        common = {"host": host, "fleet_key_file": str(self._key_file)}
        controller = {**common, "listen": listen, "peers": peers, "platform": platform}
        controller |= self._plan.controller
        self._add(f"controller-{name}", "controller", zone, listen, controller)
        address = f"127.0.0.1:{port}"
        router = {**common, "listen": address, "controllers": [listen, *peers]}
        router |= self._plan.router
        self._add(f"router-{name}", "router", zone, address, router)

    def description(self) -> dict[str, Any]:
        """Return what another program needs to drive the fleet."""
        standins = [m for m in self._members.values() if m.kind not in ("router", "controller")]
        return {
            "routers": {m.name: f"http://{m.address}" for m in self.of_kind("router")},
            "controllers": {m.name: m.address for m in self.of_kind("controller")},
            "standins": {m.name: f"http://{m.address}" for m in standins},
            "pids": {name: process.pid for name, process in self._processes.items()},
            "keys": self._keys,
            "settings": {m.name: str(m.settings_file) for m in self._members.values()},
            "operator_settings": str(self._operator_file),
        }


@contextmanager
def local_fleet(plan: FleetPlan, directory: Path) -> Iterator[LocalFleet]:
    """Start a fleet and stop it at the end."""
    fleet = LocalFleet(plan, directory)
    try:
        fleet.start_all()
        fleet.wait_for_platform()
        yield fleet
    finally:
        fleet.stop()


def write_manifest(fleet: LocalFleet, path: Path, **changes: Any) -> Path:
    """Write the fleet's manifest, with `changes` in its top-level fields, as JSON."""
    path.write_text(json.dumps({**fleet.manifest(), **changes}, indent=2))
    return path


def _sha256(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _free_ports(count: int) -> Iterator[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return iter(ports)
