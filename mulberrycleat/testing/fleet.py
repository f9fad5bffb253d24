"""A local fleet of real processes on loopback, for the demo, scenarios and the bench.

This module starts all processes of the fleet; routers and controllers start none.
"""

from __future__ import annotations

import json
import secrets
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import ExitStack, closing, contextmanager
from pathlib import Path
from typing import Any
from urllib.request import urlopen

import tomli_w

from mulberrycleat.testing.layout import HOST_KINDS, FleetPlan, Layout, Member

__all__ = ["FleetPlan", "LocalFleet", "Member", "local_fleet", "write_manifest"]

START_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.1


class LocalFleet:
    """Processes on loopback, with their settings, keys and logs.

    Parameters
    ----------
    plan : FleetPlan
        What the fleet consists of.
    directory : Path
        Directory for settings, keys and logs.
    """

    def __init__(self, plan: FleetPlan, directory: Path) -> None:
        self._directory = directory
        self._key_file = directory / "fleet.key"
        with closing(_free_addresses()) as addresses:
            self._layout = Layout(plan, addresses, str(self._key_file))
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._interrupted = threading.Event()
        self._operator_file = directory / "operator.toml"
        self._write()

    @property
    def members(self) -> dict[str, Member]:
        """Members by name."""
        return self._layout.members

    @property
    def keys(self) -> dict[str, str]:
        """API key of each account."""
        return self._layout.keys

    @property
    def operator_file(self) -> Path:
        """Settings file for the operator's command line."""
        return self._operator_file

    @property
    def layout(self) -> Layout:
        """Members, API keys and manifest."""
        return self._layout

    @property
    def fleet_key(self) -> str:
        """Key that authenticates calls between the fleet's processes."""
        return self._key_file.read_text()

    def is_running(self, name: str) -> bool:
        """Return whether a member was started and hasn't been stopped since."""
        return name in self._processes

    @property
    def interrupted(self) -> threading.Event:
        """Event that, once set, makes each wait for a member raise :class:`InterruptedError`."""
        return self._interrupted

    def of_kind(self, kind: str) -> list[Member]:
        """Return the members of one kind."""
        return self._layout.of_kind(kind)

    def settings_file(self, name: str) -> Path:
        """Return the settings file of a member."""
        return self._directory / f"{name}.toml"

    def pid(self, name: str) -> int:
        """Return the process id of a member."""
        return self._processes[name].pid

    def manifest(self) -> dict[str, Any]:
        """Return a manifest for this fleet as plain data."""
        return self._layout.manifest()

    def log_tail(self, name: str, size: int = 4000) -> str:
        """Return the last `size` characters that a member logged."""
        return (self._directory / f"{name}.log").read_text(encoding="utf-8")[-size:]

    def start(self, name: str) -> None:
        """Start one member."""
        member = self.members[name]
        program = "standin" if member.kind not in HOST_KINDS else member.kind
        with (self._directory / f"{name}.log").open("ab") as output:
            self._processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    f"mulberrycleat.{program}.main",
                    str(self.settings_file(name)),
                ],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_all(self) -> None:
        """Start every member."""
        for name in self.members:
            self.start(name)

    def wait_for_platform(self) -> None:
        """Wait until every stand-in answers."""
        for member in self.members.values():
            if member.kind not in HOST_KINDS:
                self._wait_for(f"http://{member.address}/faults", member.name)

    def wait_until_ready(self) -> None:
        """Wait until every router is ready."""
        for member in self.of_kind("router"):
            self._wait_for(f"http://{member.address}/readyz", member.name)

    def kill(self, name: str) -> None:
        """Kill a member with SIGKILL."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def freeze(self, name: str) -> None:
        """Suspend a member until :meth:`thaw`."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen member."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> subprocess.Popen[bytes]:
        """Send a member the stop signal, and return its process."""
        process = self._processes.pop(name)
        process.terminate()
        return process

    def stop(self) -> None:
        """Stop every member: routers, controllers, platform stand-ins, then endpoints and links."""
        for kinds in (("router",), ("controller",), ("log", "hosts", "weights")):
            self._stop_kinds(kinds)
        self._stop_kinds(("engine", "service", "link"))

    def _stop_kinds(self, kinds: tuple[str, ...]) -> None:
        names = [name for name in self._processes if self.members[name].kind in kinds]
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
            if self._interrupted.is_set():
                raise InterruptedError(f"interrupted while waiting for {name}")
            try:
                with urlopen(url, timeout=2) as answer:
                    if answer.status == 200:
                        return
            except OSError as error:
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{name} at {url} did not answer in time: {error}"
                    ) from error
            time.sleep(POLL_S)

    def _write(self) -> None:
        self._key_file.write_text(secrets.token_urlsafe(24))
        self._operator_file.write_text(tomli_w.dumps(self._layout.operator()))
        for member in self._layout.members.values():
            self.settings_file(member.name).write_text(tomli_w.dumps(member.settings))

    def description(self) -> dict[str, Any]:
        """Return the addresses, process ids, keys and files that another program needs."""
        standins = [m for m in self.members.values() if m.kind not in HOST_KINDS]
        return {
            "routers": {m.name: f"http://{m.address}" for m in self.of_kind("router")},
            "controllers": {m.name: m.address for m in self.of_kind("controller")},
            "standins": {m.name: f"http://{m.address}" for m in standins},
            "pids": {name: process.pid for name, process in self._processes.items()},
            "keys": self.keys,
            "settings": {m.name: str(self.settings_file(m.name)) for m in self.members.values()},
            "operator_settings": str(self._operator_file),
        }


@contextmanager
def local_fleet(
    plan: FleetPlan, directory: Path, stop_signals: tuple[signal.Signals, ...] = ()
) -> Iterator[LocalFleet]:
    """Start a fleet and stop it at the end of the block.

    Each of `stop_signals` sets :attr:`LocalFleet.interrupted`.
    """
    fleet = LocalFleet(plan, directory)
    for number in stop_signals:
        signal.signal(number, lambda *_: fleet.interrupted.set())
    try:
        fleet.start_all()
        fleet.wait_for_platform()
        yield fleet
    finally:
        fleet.stop()


def write_manifest(fleet: LocalFleet, path: Path, **changes: Any) -> Path:
    """Write the fleet's manifest as JSON; `changes` replace or add top-level fields."""
    path.write_text(json.dumps({**fleet.manifest(), **changes}, indent=2))
    return path


def _free_addresses() -> Iterator[str]:
    """Yield unused loopback addresses; each stays bound until the generator ends."""
    with ExitStack() as stack:
        while True:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            yield f"127.0.0.1:{listener.getsockname()[1]}"
