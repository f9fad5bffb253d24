"""Seeded histories of endpoints that come and leave while hosts lose the store by turns."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec
import trio

from mulberrycleat.entry.explanation import WHERE_PATH, PlacementQuery
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import HostHarness, PeerApps, PeerClient, entry_hosts

# Seeds of histories without and with hosts that are killed and start again.
SEEDS, RESTART_SEEDS = range(20), range(20, 30)
HOSTS = ("a1", "a2", "a3", "a4")
ENTRIES = "keyed.servers"
QUERY = msgspec.json.encode(PlacementQuery("a.example", "/find/x"))
# Intervals of heartbeats and checks, in seconds, and the longest one between changes of what is in
# reach.
HEARTBEAT_S, CHECK_S, CHANGE_S = 1.2, 0.5, 3.0
# Length of a history, and of its end, in which everything is in reach, in seconds.
TROUBLE_S, CALM_S = 24.0, 6.0
# A host is in touch after this time without trouble; from then on, and this time after an endpoint
# has left, it sends it nothing. In seconds, as on the deployment sheets.
CONTACT_S, DRAIN_S = 3.0, 2.0


class Fault(NamedTuple):
    """What a host in touch does at a time, in seconds, that it should not do."""

    at: float
    host: str
    text: str


@dataclass
class History:
    """What has happened so far.

    Attributes
    ----------
    left_at, listed_at : dict of str to float
        When each endpoint that leaves had its state or its removal written, and when each was
        listed for the first time.
    restarts : bool
        Whether hosts are killed and start again.
    silent : set of str
        Endpoints that leave without stating it.
    troubled_at : dict of str to float
        When each host was last out of reach of the store or of other hosts, or the store dropped
        records.
    """

    random: Random
    store: StoreStandin
    apps: PeerApps
    servers: dict[str, ServerStandin]
    restarts: bool
    left_at: dict[str, float] = field(default_factory=dict)
    listed_at: dict[str, float] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    troubled_at: dict[str, float] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)

    @property
    def _cut(self) -> set[str]:
        """Hosts that don't reach the store, or no other host."""
        return self.store.turned_away | self.apps.cut_off

    async def send_heartbeats(self, server: ServerStandin) -> None:
        """Write an endpoint's entry at intervals, until it leaves without stating it."""
        await trio.sleep(self.random.uniform(0, HEARTBEAT_S))
        while server.id not in self.silent:
            self._write_entry(server)
            await trio.sleep(HEARTBEAT_S)

    def _write_entry(self, server: ServerStandin) -> None:
        state = "draining" if server.id in self.left_at else "ready"
        self.store.put_endpoint(server.id, server.entry(state))
        self.listed_at.setdefault(server.id, trio.current_time())

    async def replace_endpoints(self, start: trio.Nursery, harness: HostHarness) -> None:
        """Let endpoints leave, half of them without stating it, and start others."""
        while True:
            await trio.sleep(self.random.uniform(0.5, 2.0))
            staying = [i for i in self.servers if i not in self.left_at]
            if len(staying) > 2 and self.random.random() < 0.6:
                self._leave(self.random.choice(staying))
                continue
            number = len(self.servers) + 1
            new = ServerStandin(f"h{number}", f"10.2.0.{number}:80", "bookings")
            self.servers[new.id] = new
            harness.servers.add(new)
            start.start_soon(self.send_heartbeats, new)

    def _leave(self, endpoint: str) -> None:
        self.left_at[endpoint] = trio.current_time()
        if self.random.random() < 0.5:
            self._write_entry(self.servers[endpoint])
            return
        self.silent.add(endpoint)
        self.store.put_endpoint(endpoint, None)

    async def cut_hosts(self, harnesses: list[HostHarness]) -> None:
        """Put hosts out of reach of the store, and of other hosts, by turns.

        At times, the store drops records. With `restarts`, hosts are killed, and start again.
        """
        while True:
            self.store.turned_away = {h for h in HOSTS if self.random.random() < 0.5}
            self.apps.cut_off.clear()
            self.apps.cut_off.update(h for h in HOSTS if self.random.random() < 0.2)
            if self.random.random() < 0.15:
                self._drop_records()
            if self.restarts and self.random.random() < 0.15:
                number = self.random.randrange(len(HOSTS))
                harnesses[number] = harnesses[number].restart(HOSTS[number])
                self.troubled_at[HOSTS[number]] = trio.current_time()
            cut = self._cut
            await trio.sleep(self.random.uniform(0.3, CHANGE_S))
            self.troubled_at |= dict.fromkeys(cut, trio.current_time())

    def _drop_records(self) -> None:
        """Drop the store's history, and some entries until their endpoints' next heartbeats."""
        for endpoint in self.servers:
            if endpoint not in self.left_at and self.random.random() < 0.3:
                self.store.put_endpoint(endpoint, None)
        self.store.expire_history(ENTRIES)
        self.troubled_at = dict.fromkeys(HOSTS, trio.current_time())

    def end_trouble(self) -> None:
        """Put everything into reach."""
        self.store.turned_away.clear()
        self.apps.cut_off.clear()
        self.troubled_at = dict.fromkeys(HOSTS, trio.current_time())

    async def check_hosts(self) -> None:
        """Ask the hosts in touch at intervals which endpoints a request may be sent to."""
        client = PeerClient(self.apps)
        while True:
            await trio.sleep(CHECK_S)
            now = trio.current_time()
            for host in HOSTS:
                if host in self._cut or now < self.troubled_at.get(host, 0.0) + CONTACT_S:
                    continue
                answer = await client.request("POST", f"http://{host}:3{WHERE_PATH}", QUERY)
                found = msgspec.json.decode(answer.unwrap().body)
                self._check(host, {c["endpoint"] for c in found["pools"]["bookings"]["candidates"]})

    def _check(self, host: str, candidates: set[str]) -> None:
        now = trio.current_time()
        for endpoint in self.servers:
            left_at = self.left_at.get(endpoint, now)
            if endpoint in candidates and now > left_at + DRAIN_S:
                self.faults.append(Fault(now, host, f"{endpoint} left at {left_at:.3f}"))
            is_listed = now > self.listed_at.get(endpoint, now) + DRAIN_S
            if endpoint not in candidates and endpoint not in self.left_at and is_listed:
                self.faults.append(Fault(now, host, f"{endpoint} is not known"))


async def play(seed: int, restarts: bool) -> list[Fault]:
    """Play a history, and return its faults; hosts are killed in it if `restarts` is set."""
    servers = [ServerStandin(f"h{n}", f"10.2.0.{n}:80", "bookings") for n in (1, 2, 3, 4)]
    async with entry_hosts(len(HOSTS), *servers) as harnesses:
        first = harnesses[0]
        by_id = {server.id: server for server in servers}
        history = History(Random(seed), first.store, first.apps, by_id, restarts)
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(history.send_heartbeats, server)
            nursery.start_soon(history.check_hosts)
            with trio.move_on_after(TROUBLE_S):
                async with trio.open_nursery() as trouble:
                    trouble.start_soon(history.cut_hosts, harnesses)
                    trouble.start_soon(history.replace_endpoints, nursery, first)
            history.end_trouble()
            await trio.sleep(CALM_S)
            nursery.cancel_scope.cancel()
    return history.faults


async def test_hosts_in_touch_use_the_endpoints_that_the_store_lists_after_any_cuts():
    faults = {seed: found for seed in SEEDS if (found := await play(seed, restarts=False))}
    assert not faults, {seed: found[:3] for seed, found in faults.items()}


async def test_hosts_that_start_in_a_cut_use_the_endpoints_that_the_store_lists_after_it():
    faults = {seed: found for seed in RESTART_SEEDS if (found := await play(seed, restarts=True))}
    assert not faults, {seed: found[:3] for seed, found in faults.items()}
