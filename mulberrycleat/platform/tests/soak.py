"""``bin/soak``: real host processes between callers and endpoints, with faults from a seed."""

from __future__ import annotations

import logging
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import click
import trio

from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests import crowds
from mulberrycleat.platform.tests.fixtures import CONFIG
from mulberrycleat.platform.tests.soak_callers import Caller
from mulberrycleat.platform.tests.soak_checks import Journal, broken_promises
from mulberrycleat.platform.tests.soak_endpoints import BEAT_S, FAULT_SHARES, Endpoint
from mulberrycleat.platform.tests.test_stop_sockets import free_addresses
from mulberrycleat.web import serve_app

MEMORY_MB = 235
MAX_FDS = 3075
# The deployment sheets' `grace_s`, after which SIGKILL comes, and `drain_ms`, both in seconds.
GRACE_S, DRAIN_S = 8.0, 2.0
STARTED_WITHIN_S = 20.0
# An entry without heartbeats is removed after three intervals.
EXPIRED_AFTER_S = 3 * BEAT_S
# After the last answer, endpoints are watched for this long for requests that run late: longer than
# a request waits in an endpoint's queue and than callers wait, in seconds.
WATCHED_S = 1.5
# Longest pause between the starts of two faults, and longest series of one fault, in seconds.
FAULT_INTERVAL_S = 0.5
SERIES_S = 2.5
# Interval at which a process is looked at, in seconds.
POLL_S = 0.05
# Longest freeze of a host, in seconds.
FROZEN_S = 2.0
SIGNALS = (signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP, signal.SIGHUP)
# Kinds of requests differ by service: plain ones, and those that stream.
SERVICES = ("bookings", "engines")


@dataclass(frozen=True)
class SoakSettings:
    """How large a soak is; `tree` is a check-out whose hosts run, None for the present one."""

    hosts: int = 3
    endpoints: int = 3
    callers: int = 8
    seconds: float = 8.0
    tree: Path | None = None
    logs: Path | None = None


class SoakedHost:
    """A host process, with what the platform does to it."""

    def __init__(self, name: str, ip: str, folder: Path, journal: Journal) -> None:
        self.name, self.path = name, folder / f"{name}.toml"
        self.addresses = crowds.Addresses(ip, *free_addresses(3, ip))
        self.is_disturbed = False
        self.own_ends: list[int] = []
        self._journal = journal
        self._process: subprocess.Popen | None = None

    def start(self, tree: Path | None) -> None:
        with self.path.with_suffix(".log").open("ab") as output:
            self._process = crowds.start_process(self.path, output, tree)
        self._journal.note("start", self.name, "pid", self._process.pid)

    async def wait_until_it_serves(self) -> None:
        """Wait until the process accepts connections; before then, SIGHUP may end it."""
        ip, _, port = self.addresses.front.rpartition(":")
        with trio.move_on_after(STARTED_WITHIN_S), socket.socket() as probe:
            while self._process.poll() is None and probe.connect_ex((ip, int(port))):
                await trio.sleep(POLL_S)

    def send_signal(self, number: signal.Signals) -> None:
        self._journal.note("signal", self.name, number.name)
        self.note_end()
        self._process.send_signal(number)

    def note_end(self) -> None:
        """Note whether the process has ended though nothing ended it."""
        if self._process.poll() is not None:
            self.own_ends.append(self._process.returncode)

    async def wait_for_end(self) -> None:
        """Wait for the end of the process; kill it after the grace period."""
        with trio.move_on_after(GRACE_S):
            while self._process.poll() is None:
                await trio.sleep(POLL_S)
        self.end()

    def end(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()


class Soak:
    """One soak, whose faults are drawn from a seed."""

    def __init__(self, settings: SoakSettings, seed: int, folder: Path) -> None:
        self._settings, self._rng = settings, Random(seed)
        self.journal, self.faults = Journal(), Counter()
        self.broken: list[str] = []
        # Loopback addresses that other soaks hardly use.
        draw = SystemRandom()
        self._net = f"127.{draw.randint(16, 250)}.{draw.randint(1, 250)}"
        self._store = StoreStandin(seed)
        self._store_address = free_addresses(1, f"{self._net}.201")[0]
        self._store_scope, self._store_trouble = trio.CancelScope(), ""
        self._version, self._started = CONFIG["version"], 0
        self._endpoints: dict[str, Endpoint] = {}
        self._nursery: trio.Nursery | None = None
        self._tunnel_port = free_addresses(1, f"{self._net}.11")[0].rpartition(":")[2]
        self._hosts = [
            SoakedHost(f"a{number}", f"{self._net}.{10 + number}", folder, self.journal)
            for number in range(1, settings.hosts + 1)
        ]

    async def play(self) -> None:
        """Play the soak; `broken` then has a line for each promise that was broken."""
        settings, closing = self._settings, trio.Event()
        fronts = [host.addresses.front for host in self._hosts]
        try:
            async with trio.open_nursery() as self._nursery:
                await self._fault_config()
                await self._nursery.start(self._serve_store)
                for number in range(settings.endpoints):
                    for service in SERVICES:
                        await self._start_endpoint(service, f"{self._net}.{101 + number}")
                for host in self._hosts:
                    self._write_settings(host)
                    host.start(settings.tree)
                    await host.wait_until_it_serves()
                async with trio.open_nursery() as callers:
                    for _ in range(settings.callers):
                        rng = Random(self._rng.getrandbits(32))
                        callers.start_soon(Caller(fronts, self.journal, rng).call, closing)
                    await self._draw_faults(settings.seconds)
                    closing.set()
                await trio.sleep(WATCHED_S)
                self._nursery.cancel_scope.cancel()
        finally:
            for host in self._hosts:
                host.end()
        self.broken = broken_promises(self.journal)
        for host in self._hosts:
            self.broken += [f"{host.name} ended by itself: {code}" for code in host.own_ends]

    async def _draw_faults(self, seconds: float) -> None:
        """Begin faults, which last and overlap, and wait for the end of the last one."""
        # What endpoints do, and what is done to hosts, comes more often than the others.
        faults = [
            *[self._fault_mood] * 8, *[self._fault_host] * 4, self._fault_crash, self._fault_crash,
            self._fault_leave, self._fault_reset, self._fault_config, self._fault_store,
        ]  # fmt: skip
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                while True:
                    await trio.sleep(self._rng.uniform(0, FAULT_INTERVAL_S))
                    nursery.start_soon(self._rng.choice(faults))
        for host in self._hosts:
            host.note_end()

    def _note(self, fault: str, *words: object) -> None:
        self.faults[fault] += 1
        self.journal.note("fault:", fault, *words)

    async def _start_endpoint(self, service: str, ip: str, address: str = "") -> None:
        """Start an endpoint at an address, or at a free one of an IP address."""
        self._started += 1
        place = (f"i-{self._started}", service, address or free_addresses(1, ip)[0])
        rng = Random(self._rng.getrandbits(32))
        endpoint = Endpoint(place, self._store, self.journal, rng)
        self._endpoints[endpoint.address] = endpoint
        self.journal.note("endpoint", *place)
        await self._nursery.start(endpoint.live)

    async def _expire(self, endpoint: Endpoint) -> None:
        await trio.sleep(EXPIRED_AFTER_S)
        self._store.put_endpoint(endpoint.id, None)

    async def _fault_mood(self) -> None:
        """Let an endpoint, or all, do one thing often for some time."""
        name = self._rng.choice(list(FAULT_SHARES))
        share = self._rng.choice((0.2, 0.5, 0.9))
        found = list(self._endpoints.values())
        chosen = found if self._rng.random() < 0.3 else [self._rng.choice(found)]
        self._note(name, share, *(endpoint.id for endpoint in chosen))
        for endpoint in chosen:
            endpoint.fault_shares[name] = share
        await trio.sleep(self._rng.uniform(0, SERIES_S))
        for endpoint in chosen:
            endpoint.fault_shares[name] = FAULT_SHARES[name]

    async def _fault_crash(self) -> None:
        """Crash an endpoint; it is back under a new id while the old entry is still listed."""
        endpoint = self._rng.choice(list(self._endpoints.values()))
        if endpoint.is_leaving:
            return
        self._note("crash", endpoint.id)
        endpoint.is_leaving = True
        endpoint.crash()
        await trio.sleep(self._rng.choice((0.0, self._rng.uniform(0, 1.0))))
        self._nursery.start_soon(self._expire, endpoint)
        await self._start_endpoint(endpoint.service, "", endpoint.address)

    async def _fault_leave(self) -> None:
        """Let an endpoint say that it leaves, and end; another starts at another port."""
        endpoint = self._rng.choice(list(self._endpoints.values()))
        if endpoint.is_leaving:
            return
        self._note("leave", endpoint.id)
        endpoint.is_leaving = True
        if self._rng.random() < 0.7:
            endpoint.register()
        await self._start_endpoint(endpoint.service, endpoint.address.rpartition(":")[0])
        await trio.sleep(DRAIN_S)
        del self._endpoints[endpoint.address]
        self._store.put_endpoint(endpoint.id, None)
        endpoint.crash()

    async def _fault_reset(self) -> None:
        endpoint = self._rng.choice(list(self._endpoints.values()))
        self._note("reset connections", endpoint.id)
        endpoint.reset_connections()

    def _write_settings(self, host: SoakedHost) -> None:
        seeds = ", ".join(f'"{found.addresses.control}"' for found in self._hosts)
        more = f"seeds = [{seeds}]\nport_range = [{self._tunnel_port}, {self._tunnel_port}]\n"
        more += f'manages_overload = "{self._rng.choice(("auto", "on"))}"'
        settings = (host.name, host.addresses, self._store_address, MEMORY_MB, MAX_FDS, more)
        host.path.write_text(crowds.settings_text(*settings), encoding="utf-8")

    async def _fault_host(self) -> None:
        """Send a signal to a host, and let it go on or start again."""
        host = self._rng.choice(self._hosts)
        if host.is_disturbed:
            return
        host.is_disturbed = True
        number = self._rng.choice(SIGNALS)
        self._note(number.name, host.name)
        if number is signal.SIGHUP:
            await host.wait_until_it_serves()
            self._write_settings(host)
        host.send_signal(number)
        match number:
            case signal.SIGTERM | signal.SIGKILL:
                await host.wait_for_end()
                host.start(self._settings.tree)
            case signal.SIGSTOP:
                await trio.sleep(self._rng.uniform(0.05, FROZEN_S))
                host.send_signal(signal.SIGCONT)
        host.is_disturbed = False

    async def _fault_config(self) -> None:
        """Write a new version of the configuration."""
        self._version += self._rng.randint(1, 5)
        self._note("config", self._version)
        drawn = {
            "timeout_ms": self._rng.choice((1000, 2500, 4000)),
            "max_attempts": self._rng.randint(1, 3),
            "anonymous": True,
        }
        routes = [{**route, **drawn} for route in CONFIG["routes"]]
        chat = {**routes[0], "name": "chat", "path_prefix": "/chat/", "stream_resume": False}
        config = {**CONFIG, "version": self._version, "routes": [*routes, chat]}
        config["limits"] = {**CONFIG["limits"], "idle_timeout_ms": self._rng.choice((300, 15000))}
        self._store.put_route_map(config)

    async def _serve_store(self, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        app = crowds.store_app(self._store)
        with trio.CancelScope() as self._store_scope:
            await serve_app(app, self._store_address, trio.Event(), task_status=task_status)

    async def _fault_store(self) -> None:
        """Let the store accept no connections, answer 503 or lose answers, for a moment."""
        how = self._rng.choice(("away", "answers 503", "loses answers"))
        if self._store_trouble:
            return
        self._store_trouble = how
        self._note("store", how)
        if how == "away":
            self._store_scope.cancel()
        self._store.turned_away = {crowds.STORE_CALLER} if how == "answers 503" else set()
        self._store.lose_answers = 0.7 if how == "loses answers" else 0.0
        await trio.sleep(self._rng.uniform(0.1, SERIES_S))
        self._store.turned_away, self._store.lose_answers = set(), 0.0
        if how == "away":
            await self._nursery.start(self._serve_store)
        self._store_trouble = ""


async def soak(settings: SoakSettings, seed: int) -> Soak:
    """Play the soak of a seed; keep the journal and the hosts' logs if a promise was broken."""
    with tempfile.TemporaryDirectory() as directory:
        played = Soak(settings, seed, Path(directory))
        await played.play()
        if played.broken and settings.logs is not None:
            lines = [*played.journal.lines, *played.broken]
            Path(directory, "journal.log").write_text("\n".join(lines))
            shutil.copytree(directory, settings.logs / f"seed-{seed}", dirs_exist_ok=True)
    return played


@click.command()
@click.option("--seeds", default="1", help="A seed, or the first and the last as in 1-50.")
@click.option("--hosts", default=SoakSettings.hosts, help="Number of host processes.")
@click.option("--seconds", default=SoakSettings.seconds, help="How long faults are drawn.")
@click.option("--tree", type=click.Path(path_type=Path), help="Check-out whose hosts run.")
@click.option("--logs", type=click.Path(path_type=Path), help="Folder for the logs of failures.")
def main(seeds: str, **options: Any) -> None:
    """Play the soak of each seed, and exit with 1 if a promise was broken."""
    logging.getLogger().addHandler(logging.NullHandler())
    # A soak that is stopped ends its hosts, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    (first, _, last), failed = seeds.partition("-"), []
    for seed in range(int(first), int(last or first) + 1):
        found = trio.run(soak, SoakSettings(**options), seed)
        statuses = Counter(sorted(attempt.status for attempt in found.journal.attempts))
        print(f"seed {seed}: {dict(statuses)}, {dict(found.faults)}")
        print(*(f"  BROKEN {line}\n" for line in found.broken), sep="", end="", flush=True)
        failed += [seed] if found.broken else []
    print(f"failed seeds: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
