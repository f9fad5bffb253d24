"""Controller of load reports: each endpoint is polled by one controller of a zone."""

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
    CacheNews,
    LoadNews,
    LoadsReply,
    LoadsRequest,
)
from mulberrycleat.core import Holder
from mulberrycleat.core.ports import Ports
from mulberrycleat.manifest import Endpoint

__all__ = ["LoadController"]

POLL_EVERY_S = 1.0
POLLS_TO_CACHE_POLL = 2
POLL_TIMEOUT_S = 1.0
RELAY_EVERY_S = 1.0
RELAY_PEERS = 3
SAME_REPORT_S = 0.1
RELAY_TIMEOUT_S = 1.0
MAX_AGE_S = 10.0
KEPT_CACHE_NEWS = 2000
MAX_KEYS_A_POLL = 2000


class _Load(NamedTuple):
    at: float
    news: LoadNews


class _Numbered(NamedTuple):
    number: int
    own: bool
    news: CacheNews


class LoadController:
    """Poll this host's share of the endpoints and take what peers of the zone know.

    The share goes by rendezvous hash over the controllers of the zone that answer, so that an
    endpoint is polled once a zone and another controller takes over when one is gone.

    Parameters
    ----------
    holder : Holder
        Named in requests to peers.
    manifests : ManifestController
        Endpoints.
    hosts : HostController
        Hosts of the zone that answer, and their order for a task.
    ports : Ports
        Ways to endpoints.
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
        self._loads: dict[str, _Load] = {}
        self._cache_news: deque[_Numbered] = deque(maxlen=KEPT_CACHE_NEWS)
        self._next = 1
        self._cache_from: dict[str, int] = {}
        self._peer_seen: dict[str, int] = {}

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Poll and relay for ever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_regularly)
            nursery.start_soon(self._relay_regularly)
            task_status.started()

    async def loads(self, request: LoadsRequest) -> LoadsReply:
        """Answer with every load that is known; a peer gets the cache news polled here only."""
        now = trio.current_time()
        loads = tuple(
            _aged(load.news, now - load.at)
            for load in self._loads.values()
            if now - load.at < MAX_AGE_S
        )
        news = tuple(
            one.news
            for one in self._cache_news
            if one.number >= request.seen and (one.own or not request.own_cache_only)
        )
        return LoadsReply(self._next, loads, news)

    def share(self) -> list[Endpoint]:
        """Return the engines that this controller polls."""
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
                    nursery.start_soon(self._poll, endpoint, number % POLLS_TO_CACHE_POLL == 0)
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
                news = LoadNews(
                    endpoint.name,
                    0.0,
                    requests,
                    _count(load, "waiting"),
                    _count(load, "prefill_tokens"),
                    _count(load, "decode_tokens"),
                )
                self._keep(news, trio.current_time() - float(age_s))

    async def _poll_cache(self, endpoint: Endpoint) -> None:
        first = self._cache_from.get(endpoint.name, 0)
        url = f"http://{endpoint.address}/cache-events?from={first}"
        match await self._http.send_json("GET", url, timeout_s=POLL_TIMEOUT_S):
            case Ok({"events": list(events), "next": int(following)}):
                self._cache_from[endpoint.name] = following
                left = MAX_KEYS_A_POLL
                for event in events:
                    keys = tuple(event["keys"])[:left]
                    left -= len(keys)
                    self._add_cache_news(CacheNews(endpoint.name, event["kind"], keys), own=True)

    async def _relay_regularly(self) -> None:
        while True:
            async with trio.open_nursery() as nursery:
                for address in self._asked():
                    nursery.start_soon(self._relay, address)
            await trio.sleep(RELAY_EVERY_S)

    def _asked(self) -> list[str]:
        """Return a few peers by chance: what one knows reaches all in a few rounds."""
        usable = [m.address for m in self._hosts.members.usable(trio.current_time())]
        return self._random.sample(usable, min(RELAY_PEERS, len(usable)))

    async def _relay(self, address: str) -> None:
        seen = self._peer_seen.get(address, 0)
        request = LoadsRequest(str(self._holder), seen, own_cache_only=True)
        match await self._hosts.call(address, LOADS, request, RELAY_TIMEOUT_S):
            case Ok(reply):
                self._take(address, reply)

    def _take(self, address: str, reply: LoadsReply) -> None:
        if reply.next < self._peer_seen.get(address, 0):
            self._peer_seen[address] = 0
            return
        self._peer_seen[address] = reply.next
        now = trio.current_time()
        for news in reply.loads:
            self._keep(news, now - news.age_s)
        for news in reply.cache_news:
            self._add_cache_news(news, own=False)

    def _keep(self, news: LoadNews, at: float) -> None:
        known = self._loads.get(news.endpoint)
        if known is None or at > known.at + SAME_REPORT_S:
            self._loads[news.endpoint] = _Load(at, news)

    def _add_cache_news(self, news: CacheNews, own: bool) -> None:
        if news.keys:
            self._cache_news.append(_Numbered(self._next, own, news))
            self._next += 1


def _aged(news: LoadNews, age_s: float) -> LoadNews:
    return LoadNews(news.endpoint, age_s, news.requests, news.waiting, news.prefill, news.decode)


def _count(load: Mapping[str, Any], name: str) -> int:
    value = load.get(name, 0)
    return value if isinstance(value, int) else 0
