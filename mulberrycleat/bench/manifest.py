"""``bin/bench manifest``: time until a manifest is active, and cost of a controller per host."""

from __future__ import annotations

import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click
import trio
import trio_asyncio
from result import Ok

from mulberrycleat.bench.manifest_cost import Cost, cost_between, read_usage, resident_mib
from mulberrycleat.cli.changes import publish_difference
from mulberrycleat.controller.messages import CONFIRM, ConfirmRequest
from mulberrycleat.core import new_id
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.manifest import Accepted, ManifestState
from mulberrycleat.manifest.sections import Difference
from mulberrycleat.rpc import RpcClient
from mulberrycleat.settings import OperatorSettings, load_settings, read_fleet_key
from mulberrycleat.testing.fleet import FleetPlan, LocalFleet
from mulberrycleat.web import HttpClient

__all__ = ["command"]

ZONES = 3
START_TIMEOUT_S = 240.0
START_BATCH_SIZE = 6
BATCH_INTERVAL_S = 2.0
ACTIVE_TIMEOUT_S = 30.0
CHANGE_INTERVAL_S = 1.0
SETTLING_TIME_S = 20.0


class FleetResult(NamedTuple):
    """Results of one fleet.

    Attributes
    ----------
    active_s : list of float
        Time from the start of each publication until it was active on the last host, in seconds;
        infinite if that took longer than ``ACTIVE_TIMEOUT_S``.
    publish_s : list of float
        Time from the start of each publication until the publisher had the verdict, in seconds.
    log_reads_s : float
        Reads per second that the log answered during the idle time, without changes.
    idle, busy : Cost
        Mean cost of a controller, without changes and while changes are published one after
        another, with a pause of ``CHANGE_INTERVAL_S`` after each.
    resident_mib : float
        Largest resident memory of a controller, in MiB.
    reverts : int
        Number of answers with a lower version than in an earlier answer of the same host.
    """

    hosts: int
    active_s: list[float]
    publish_s: list[float]
    log_reads_s: float
    idle: Cost
    busy: Cost
    resident_mib: float
    reverts: int


class VersionWatcher:
    """Asks every controller for its active manifest version."""

    def __init__(self, settings: OperatorSettings, fleet_key: str) -> None:
        self._clients = [RpcClient(address, fleet_key) for address in settings.controllers]
        self._highest: dict[str, int] = {}
        self._reverts = 0

    @property
    def reverts(self) -> int:
        """Number of answers with a lower version than in an earlier answer, version 0 left out."""
        return self._reverts

    async def wait(self, version: int, timeout_s: float) -> bool:
        """Wait until `version` is active on every host; return False after `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                for client in self._clients:
                    nursery.start_soon(self._wait_for, client, version)
            return True
        return False

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients:
            client.close()

    async def _wait_for(self, client: RpcClient, version: int) -> None:
        while True:
            match await client.call(CONFIRM, ConfirmRequest(version, 5.0), 10.0):
                case Ok(reply):
                    self._record_version(client.address, reply.version)
                    if reply.in_force:
                        return
                case _:
                    await trio.sleep(0.2)

    def _record_version(self, address: str, version: int) -> None:
        highest = self._highest.get(address, 0)
        self._reverts += 0 < version < highest
        self._highest[address] = max(highest, version)


@click.command()
@click.option(
    "--many",
    default=60,
    show_default=True,
    help="Hosts of the second fleet; 0 for no second fleet.",
)
@click.option("--changes", default=15, show_default=True, help="Changes published to each fleet.")
@click.option("--idle", "idle_s", default=15.0, show_default=True, help="Idle time, in seconds.")
def command(many: int, changes: int, idle_s: float) -> None:
    """Measure publishing changes to 9 hosts with routers, then to many controllers."""
    small_fleet = _measure_fleet(9, True, changes, idle_s)
    _print_result(small_fleet)
    results = {
        "in_force_s_median_9": round(statistics.median(small_fleet.active_s), 3),
        "in_force_s_max_9": round(max(small_fleet.active_s), 3),
    }
    last = small_fleet
    if many:
        last = _measure_fleet(many, False, changes, idle_s)
        _print_result(last)
    results |= {
        "in_force_s_median_many": round(statistics.median(last.active_s), 3),
        "in_force_s_max_many": round(max(last.active_s), 3),
        "hosts_many": last.hosts,
        "bytes_per_host_s": _round(last.busy.bytes_s),
        "core_percent_idle": round(max(small_fleet.idle.core_percent, last.idle.core_percent), 2),
        "reverts": small_fleet.reverts + (last.reverts if many else 0),
    }
    print(json.dumps(results))


def _measure_fleet(hosts: int, routers: bool, changes: int, idle_s: float) -> FleetResult:
    with tempfile.TemporaryDirectory(prefix="mulberrycleat-") as directory:
        zones = tuple(f"zone-{letter}" for letter in "abc")
        plan = FleetPlan(zones, hosts // ZONES, log_links=False)
        fleet = LocalFleet(plan, Path(directory))
        try:
            _start_fleet(fleet, routers)
            return trio_asyncio.run(_publish_and_measure, fleet, changes, idle_s)
        finally:
            fleet.stop()


def _start_fleet(fleet: LocalFleet, routers: bool) -> None:
    for name in ("log", "hosts"):
        fleet.start(name)
    time.sleep(BATCH_INTERVAL_S)
    names = [member.name for member in fleet.of_kind("controller")]
    if routers:
        names += [member.name for member in fleet.of_kind("router")]
    for first in range(0, len(names), START_BATCH_SIZE):
        for name in names[first : first + START_BATCH_SIZE]:
            fleet.start(name)
        time.sleep(BATCH_INTERVAL_S)


async def _publish_and_measure(fleet: LocalFleet, changes: int, idle_s: float) -> FleetResult:
    settings = load_settings(fleet.operator_file, OperatorSettings).unwrap()
    fleet_key = read_fleet_key(settings.fleet_key_file).unwrap()
    watcher = VersionWatcher(settings, fleet_key)
    http = HttpClient()
    event_log = HttpEventLog(settings.platform, http)
    pids = [fleet.pid(member.name) for member in fleet.of_kind("controller")]
    try:
        if not await watcher.wait(0, START_TIMEOUT_S):
            raise TimeoutError(f"not every host was ready within {START_TIMEOUT_S:g} s")
        await _publish(event_log, watcher, 0)
        await trio.sleep(SETTLING_TIME_S)
        reads_before = await _count_log_reads(settings, http)
        start = read_usage(pids)
        await trio.sleep(idle_s)
        after_idle = read_usage(pids)
        log_reads_s = (await _count_log_reads(settings, http) - reads_before) / idle_s
        times = []
        for number in range(1, changes + 1):
            times.append(await _publish(event_log, watcher, number))
            await trio.sleep(CHANGE_INTERVAL_S)
        done = read_usage(pids)
        resident = max(resident_mib(pids))
    finally:
        watcher.close()
        await http.aclose()
    idle, busy = cost_between(start, after_idle), cost_between(after_idle, done)
    publish_s, active_s = map(list, zip(*times, strict=True))
    return FleetResult(
        len(pids), active_s, publish_s, log_reads_s, idle, busy, resident, watcher.reverts
    )


async def _count_log_reads(settings: OperatorSettings, http: HttpClient) -> int:
    answer = await http.send_json("GET", f"http://{settings.platform.log}/stats")
    return answer.unwrap()["reads"]


async def _publish(
    event_log: HttpEventLog, watcher: VersionWatcher, number: int
) -> tuple[float, float]:
    """Publish one change; return the seconds until its verdict and until all hosts use it.

    The second time is infinite if not all hosts use the change within ``ACTIVE_TIMEOUT_S``.
    """

    def make_difference(state: ManifestState) -> Difference:
        return Difference({"accounts": [{"name": f"account-{number}"}]}, {})

    started = time.monotonic()
    outcome = await publish_difference(event_log, make_difference, "bench", new_id())
    published_s = time.monotonic() - started
    match outcome:
        case Ok(published) if isinstance(published.verdict, Accepted):
            in_force = await watcher.wait(published.verdict.version, ACTIVE_TIMEOUT_S)
            return published_s, time.monotonic() - started if in_force else float("inf")
        case _:
            raise RuntimeError(f"change {number} was not published: {outcome}")


def _print_result(result: FleetResult) -> None:
    times = sorted(result.active_s)
    print(f"{result.hosts} hosts")
    print(f"  active: median {statistics.median(times):.3f} s, largest {times[-1]:.3f} s")
    print(f"  verdict: median {statistics.median(result.publish_s):.3f} s", end="")
    print(f", largest {max(result.publish_s):.3f} s; log reads {result.log_reads_s:.1f}/s idle")
    for name, cost in (("idle", result.idle), ("with changes", result.busy)):
        print(f"  {name}: {_round(cost.bytes_s)} B/s, {cost.core_percent:.2f}% of a core per host")
    print(f"  controller: {result.resident_mib:.1f} MiB at most; reverts {result.reverts}")


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 1)
