"""State that a host takes from others while none of them reaches the store."""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from urllib.parse import urlsplit

import msgspec
import trio
from result import Err

from mulberrycleat.core import START, PeerError, Position, Step
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.relay import RelayedStore
from mulberrycleat.entry.store import MapUpdate
from mulberrycleat.routes import RouteMap
from mulberrycleat.web.client import BaseHttpClient, StreamedAnswer


class UnreachableStore:
    """A store that never answers."""

    def __init__(self) -> None:
        self.waits: list[float] = []

    async def read_map(self, position, wait_s):
        """Return an error."""
        return Err(PeerError(Step.READ, "store", "no answer", sent=False))

    async def read_reports(self, position, wait_s):
        """Note how long the call may wait, and return an error."""
        self.waits.append(wait_s)
        return Err(PeerError(Step.READ, "store", "no answer", sent=False))


class RememberingPeers(BaseHttpClient):
    """Hosts that answer reads of the route map with given updates, by address."""

    def __init__(self, updates: dict[str, MapUpdate]) -> None:
        self._updates = updates

    @asynccontextmanager
    async def stream(self, method, url, body=b"", headers=None, timeout_s=5.0):
        """Answer with the update of the host."""
        data = msgspec.msgpack.encode(self._updates[urlsplit(url).netloc])

        async def chunks():
            yield data

        yield StreamedAnswer(200, {}, chunks())


async def read_map(updates: dict[str, MapUpdate], seed: int) -> MapUpdate:
    store = RelayedStore(
        UnreachableStore(),
        RememberingPeers(updates),
        lambda: tuple(updates),
        DecisionLog(trio.current_time),
        Random(seed),
    )
    return (await store.read_map(None, 0.0)).unwrap()


async def test_the_newest_remembered_route_map_is_used():
    """One host was cut off for longer than the others, and remembers an older route map."""
    updates = {f"a{n}:3": MapUpdate(None, RouteMap(9)) for n in (1, 2)}
    updates |= {f"a{n}:3": MapUpdate(None, RouteMap(7)) for n in (3, 4)}
    versions = {(await read_map(updates, seed)).route_map.version for seed in range(20)}
    assert versions == {9}


async def test_an_answer_of_a_host_that_reaches_the_store_goes_before_remembered_ones():
    updates = {
        "a1:3": MapUpdate(None, RouteMap(9)),
        "a2:3": MapUpdate(None, RouteMap(9)),
        "a3:3": MapUpdate(Position(0, 12), RouteMap(11)),
    }
    found = [await read_map(updates, seed) for seed in range(20)]
    assert {update.next for update in found} == {Position(0, 12)}


async def test_reports_are_not_waited_for_while_the_store_is_out_of_reach():
    """A call that the store holds back would show only later that the store answers again."""
    inner = UnreachableStore()
    store = RelayedStore(
        inner, RememberingPeers({}), lambda: (), DecisionLog(trio.current_time), Random(0)
    )
    for _ in range(3):
        await store.read_reports(START, 2.0)
        await trio.sleep(1.0)
    assert inner.waits == [2.0, 0.0, 0.0]
