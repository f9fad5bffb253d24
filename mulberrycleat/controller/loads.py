"""Controller of load reports: each endpoint is polled by one controller of each zone."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Mapping
from random import Random
from typing import Any, NamedTuple

import trio
from result import Ok

from mulberrycleat.controller.hosts import HostController
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.controller.messages import (
    LOADS,
    CacheUpdate,
    LoadsReply,
    LoadsRequest,
    PeerLoadReport,
)
from mulberrycleat.core import Holder
from mulberrycleat.core.ports import Ports
from mulberrycleat.manifest import Endpoint

__all__ = ["LoadController"]

POLL_EVERY_S = 1.0
POLLS_PER_CACHE_POLL = 2
POLL_TIMEOUT_S = 1.0
RELAY_EVERY_S = 1.0
RELAY_PEERS = 3
SAME_REPORT_WITHIN_S = 0.1
RELAY_TIMEOUT_S = 1.0
MAX_AGE_S = 10.0
MAX_CACHE_UPDATES = 2000
MAX_KEYS_PER_POLL = 2000


class _TimedReport(NamedTuple):
    """A load report, and when the endpoint made it, in seconds on trio's clock."""

    at: float
    report: PeerLoadReport


class _NumberedUpdate(NamedTuple):
    """A cache update; `own` if this host polled it, not a peer."""

    number: int
    own: bool
    update: CacheUpdate


class LoadController:
    """Poll this host's share of the engines and get the other engines' reports from peers.

    Endpoints are assigned by rendezvous hashing over the controllers of the zone that answer, so
    that one controller of a zone polls an endpoint and another takes over when it fails.

    Parameters
    ----------
    holder : Holder
        This incarnation of the host, named in requests to peers.
    manifests : ManifestController
        Endpoints.
    hosts : HostController
        Hosts of the zone that answer, and this host's rank for a task.
    ports : Ports
        Connections to endpoints.
    """

    def __init__(
        self,
        holder: Holder,
        manifests: ManifestController,
        hosts: HostController,
        ports: Ports,
    ) -> None:
        self._holder = holder
        self._random = Random(holder.incarnation)
        self._manifests = manifests
        self._hosts = hosts
        self._http = ports.http
        self._loads: dict[str, _TimedReport] = {}
        self._cache_updates: deque[_NumberedUpdate] = deque(maxlen=MAX_CACHE_UPDATES)
        self._next = 1
        self._next_cache_event: dict[str, int] = {}
        self._next_from_peer: dict[str, int] = {}

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Poll endpoints and get reports from peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_regularly)
            nursery.start_soon(self._relay_regularly)
            task_status.started()

    async def loads(self, request: LoadsRequest) -> LoadsReply:
        """Return the recent load reports, and the cache updates from number `seen` on.

        Load reports older than ``MAX_AGE_S`` seconds are left out. Peers get only the cache updates
        that this host polled itself.
        """
        now = trio.current_time()
        loads = tuple(
            _with_age(timed.report, now - timed.at)
            for timed in self._loads.values()
            if now - timed.at < MAX_AGE_S
        )
        updates = tuple(
            one.update
            for one in self._cache_updates
            if one.number >= request.seen and (one.own or not request.own_cache_only)
        )
        return LoadsReply(self._next, loads, updates)

    def share(self) -> list[Endpoint]:
        """Return the endpoints that this controller polls."""
        manifest = self._manifests.state.manifest
        models = {pool.name for pool in manifest.pools if pool.kind == "model"}
        return [
            endpoint
            for endpoint in manifest.endpoints
            if endpoint.pool in models and self._hosts.rank(f"load {endpoint.name}") == 0
        ]

    async def _poll_regularly(self) -> None:
        for number in itertools.count():
            async with trio.open_nursery() as nursery:
                for endpoint in self.share():
                    nursery.start_soon(self._poll, endpoint, number % POLLS_PER_CACHE_POLL == 0)
            await trio.sleep(POLL_EVERY_S)

    async def _poll(self, endpoint: Endpoint, with_cache: bool) -> None:
        with trio.move_on_after(POLL_TIMEOUT_S):
            await self._poll_load(endpoint)
            if with_cache:
                await self._poll_cache(endpoint)

    async def _poll_load(self, endpoint: Endpoint) -> None:
        url = f"http://{endpoint.address}/load"
        match await self._http.send_json("GET", url, timeout_s=POLL_TIMEOUT_S):
            case Ok({"age_s": age_s, "requests": int(requests)} as load):
                report = PeerLoadReport(
                    endpoint.name,
                    0.0,
                    requests,
                    _count(load, "waiting"),
                    _count(load, "prefill_tokens"),
                    _count(load, "decode_tokens"),
                )
                self._store(report, trio.current_time() - float(age_s))

    async def _poll_cache(self, endpoint: Endpoint) -> None:
        first = self._next_cache_event.get(endpoint.name, 0)
        url = f"http://{endpoint.address}/cache-events?from={first}"
        match await self._http.send_json("GET", url, timeout_s=POLL_TIMEOUT_S):
            case Ok({"events": list(events), "next": int(following)}):
                self._next_cache_event[endpoint.name] = following
                left = MAX_KEYS_PER_POLL
                for event in events:
                    keys = tuple(event["keys"])[:left]
                    left -= len(keys)
                    self._add_cache_update(
                        CacheUpdate(endpoint.name, event["kind"], keys), own=True
                    )

    async def _relay_regularly(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for address in self._choose_peers():
                    nursery.start_soon(self._relay, address)
            await trio.sleep(RELAY_EVERY_S)

    def _choose_peers(self) -> list[str]:
        """Return a few random peers; this way a report reaches all hosts in a few rounds."""
        usable = [m.address for m in self._hosts.members.usable(trio.current_time())]
        return self._random.sample(usable, min(RELAY_PEERS, len(usable)))

    async def _relay(self, address: str) -> None:
        seen = self._next_from_peer.get(address, 0)
        request = LoadsRequest(str(self._holder), seen, own_cache_only=True)
        match await self._hosts.call(address, LOADS, request, RELAY_TIMEOUT_S):
            case Ok(reply):
                self._apply_reply(address, reply)

    def _apply_reply(self, address: str, reply: LoadsReply) -> None:
        if reply.next < self._next_from_peer.get(address, 0):
            # The peer has restarted, so its updates are numbered from 1 again.
            self._next_from_peer[address] = 0
            return
        self._next_from_peer[address] = reply.next
        now = trio.current_time()
        for report in reply.loads:
            self._store(report, now - report.age_s)
        for update in reply.cache_news:
            self._add_cache_update(update, own=False)

    def _store(self, report: PeerLoadReport, at: float) -> None:
        """Keep a report unless it is older than the known one or the same, relayed again."""
        known = self._loads.get(report.endpoint)
        if known is None or at > known.at + SAME_REPORT_WITHIN_S:
            self._loads[report.endpoint] = _TimedReport(at, report)

    def _add_cache_update(self, update: CacheUpdate, own: bool) -> None:
        if update.keys:
            self._cache_updates.append(_NumberedUpdate(self._next, own, update))
            self._next += 1


def _with_age(report: PeerLoadReport, age_s: float) -> PeerLoadReport:
    return PeerLoadReport(
        report.endpoint, age_s, report.requests, report.waiting, report.prefill, report.decode
    )


def _count(load: Mapping[str, Any], name: str) -> int:
    value = load.get(name, 0)
    return value if isinstance(value, int) else 0
