"""``bin/bench footprint``: resident size and start time of each process of a fleet."""

from __future__ import annotations

import json
import socket
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from mulberrycleat.demo.callers import chat
from mulberrycleat.demo.main import prepare_fleet
from mulberrycleat.testing.fleet import FleetPlan, LocalFleet
from mulberrycleat.testing.layout import HOST_KINDS

__all__ = ["command"]

KB_PER_MB = 1024
START_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.002
MODEL = "survey-large"
QUESTION = "Day 3, east track: two washouts, one fallen myrtle. " * 40
MAX_TOKENS = 64
ENGINE_STEP_S = 0.001


class Footprint(NamedTuple):
    """One process: time until it listens (s); resident size before and after the requests (MB)."""

    name: str
    kind: str
    start_s: float
    at_rest_mb: float
    after_work_mb: float


@click.command()
@click.option("--hosts-per-zone", default=1, show_default=True)
@click.option(
    "--requests",
    default=200,
    show_default=True,
    help="Chat requests sent before memory is read again.",
)
def command(hosts_per_zone: int, requests: int) -> None:
    """Print the footprint of each process.

    The last line is one JSON object: for each kind of process, the largest resident size after the
    requests, in MB.
    """
    standin = {"engine": {"step_s": ENGINE_STEP_S}}
    plan = FleetPlan(hosts_per_zone=hosts_per_zone, models=(MODEL,), standin=standin)
    with tempfile.TemporaryDirectory(prefix="mulberrycleat-") as directory:
        fleet = LocalFleet(plan, Path(directory))
        try:
            footprints = _measure(fleet, Path(directory), requests)
        finally:
            fleet.stop()
    click.echo(f"{'process':<34}{'start s':>9}{'at rest MB':>12}{'after work MB':>15}")
    for footprint in footprints:
        sizes = f"{footprint.at_rest_mb:>12.1f}{footprint.after_work_mb:>15.1f}"
        click.echo(f"{footprint.name:<34}{footprint.start_s:>9.2f}{sizes}")
    click.echo(json.dumps({f"{kind}_mb": _largest(footprints, kind) for kind in HOST_KINDS}))


def _measure(fleet: LocalFleet, directory: Path, requests: int) -> list[Footprint]:
    start_s = {name: _start_member(fleet, name) for name in fleet.members}
    prepare_fleet(fleet, directory)
    at_rest = _resident_sizes(fleet)
    routers = fleet.of_kind("router")
    keys = list(fleet.keys.values())
    for number in range(requests):
        router = routers[number % len(routers)]
        chat(router.address, keys[number % len(keys)], MODEL, QUESTION, MAX_TOKENS)
    after = _resident_sizes(fleet)
    return [
        Footprint(name, member.kind, start_s[name], at_rest[name], after[name])
        for name, member in fleet.members.items()
    ]


def _start_member(fleet: LocalFleet, name: str) -> float:
    """Start a member and return the time until its address takes connections, in seconds."""
    started_at = time.monotonic()
    fleet.start(name)
    host, _, port = fleet.members[name].address.rpartition(":")
    while time.monotonic() - started_at < START_TIMEOUT_S:
        try:
            socket.create_connection((host, int(port)), timeout=1.0).close()
        except OSError:
            time.sleep(POLL_INTERVAL_S)
        else:
            return time.monotonic() - started_at
    raise TimeoutError(f"{name} accepted no connection within {START_TIMEOUT_S:g} s")


def _resident_sizes(fleet: LocalFleet) -> dict[str, float]:
    return {name: _resident_mb(fleet.pid(name)) for name in fleet.members}


def _resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB
    raise LookupError(f"kernel reports no resident size of process {pid}")


def _largest(footprints: list[Footprint], kind: str) -> float:
    return round(
        max(footprint.after_work_mb for footprint in footprints if footprint.kind == kind), 1
    )
