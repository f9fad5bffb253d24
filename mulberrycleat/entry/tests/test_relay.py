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

    async def read_map(self, position, wait_s, on_answer):
        """Return an error."""
        return Err(PeerError(Step.READ, "store", "no answer", sent=False))

    async def read_reports(self, position, wait_s):
        """Note how long the call may wait, and return an error."""
        self.waits.append(wait_s)
        return Err(PeerError(Step.READ, "store", "no answer", sent=False))


class RememberingPeers(BaseHttpClient):
    """Hosts that answer reads of the route map with given updates, by address.

    Answers of the hosts in `pauses` arrive in single bytes, with these pauses in seconds.
    """

    def __init__(
        self, updates: dict[str, MapUpdate], pauses: dict[str, list[float]] | None = None
    ) -> None:
        self._updates = updates
        self._pauses = pauses or {}
        self.asked: list[str] = []

    @asynccontextmanager
    async def stream(self, method, url, body=b"", headers=None, timeout_s=5.0):
        """Answer with the update of the host."""
        peer = urlsplit(url).netloc
        data = msgspec.msgpack.encode(self._updates[peer])
        self.asked.append(peer)

        async def chunks():
            sent = 0
            for pause in self._pauses.get(peer, []):
                await trio.sleep(pause)
                yield data[sent : sent + 1]
                sent += 1
            yield data[sent:]

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


async def read_slowly(pauses: dict[str, list[float]]) -> tuple[MapUpdate, float, int]:
    """Read the route map through hosts; return it, the time taken, and how many were asked."""
    updates = {f"a{n}:3": MapUpdate(Position(0, 12), RouteMap(9)) for n in (1, 2)}
    peers = RememberingPeers(updates, pauses)
    store = RelayedStore(
        UnreachableStore(), peers, lambda: tuple(updates), DecisionLog(trio.current_time), Random(0)
    )
    began = trio.current_time()
    update = (await store.read_map(None, 0.0)).unwrap()
    return update, trio.current_time() - began, len(peers.asked)


async def test_an_answer_of_a_host_that_keeps_arriving_is_not_begun_again_at_another_one():
    slow = [0.3] * 5
    update, took, asked = await read_slowly({"a1:3": slow, "a2:3": slow})
    assert update.route_map.version == 9
    assert (round(took, 3), asked) == (1.5, 1)


async def test_another_host_is_asked_when_the_answer_of_one_stalls():
    first = first_peer()
    update, took, asked = await read_slowly({first: [0.1, 0.1, 100.0]})
    assert update.route_map.version == 9
    assert asked == 2
    assert took < 1.0


async def test_another_host_is_asked_when_the_answer_of_one_comes_byte_by_byte():
    first = first_peer()
    data = msgspec.msgpack.encode(MapUpdate(Position(0, 12), RouteMap(9)))
    update, took, asked = await read_slowly({first: [0.35] * len(data)})
    assert update.route_map.version == 9
    assert asked == 2
    assert took < 4.0


def first_peer() -> str:
    """Return the host that `read_slowly` asks first."""
    peers = ["a1:3", "a2:3"]
    Random(0).shuffle(peers)
    return peers[0]
