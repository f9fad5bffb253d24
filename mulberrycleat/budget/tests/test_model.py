"""Exhaustive check of the slice protocol in a small world.

Covers every order of up to `DEPTH` actions out of `ACTIONS` from two openings: two hosts of one
zone that hold 3 of 6 tokens each, and the same after one of them ran a request, froze and was
fenced. One endpoint, requests that reserve 2 and cost 2, transfers and limits whose answer arrives
or is lost, deaths, freezes with waking, late confirmations, a host that starts. After each order
everything settles down and the bills are checked.

Not covered: more than one budget or endpoint, top-ups, returns, expiry (other tests have these),
and longer orders (the random ones have them).
"""

from __future__ import annotations

import copy
import pickle
from collections.abc import Callable

from mulberrycleat.budget import HolderState, ledger
from mulberrycleat.budget.tests.test_protocol import replaced
from mulberrycleat.budget.tests.world import BUDGET, World

DEPTH = 3
NAIVE_DEPTH = 5
Action = Callable[[World], None]


def opening() -> World:
    """Return the world from which all orders start."""
    world = World(("east", "east"), 6)
    for host in world.hosts:
        world.read(host)
        host.keeper.claim(BUDGET, 3)
        world.write(host)
    for host in world.hosts:
        world.read(host)
    return world


def fenced_opening() -> World:
    """Return the world after the first host ran a request, froze and was fenced."""
    world = opening()
    ACTIONS[0](world)
    freeze_and_fence(world)
    start(world)
    return world


def on(index: int, action: Callable[..., None]) -> Action:
    """Return an action of the host at `index` with the other as its peer."""

    def act(world: World) -> None:
        host, other = world.hosts[index], world.hosts[1 - index]
        if world.acts(host):
            action(world, host, other)

    return act


def run_request(world, host, other):
    """Run a request, with the peer's consent if need be."""
    world.ask_peer(host, other, 2, arrives=True)
    world.run_request(host, 2, 2)


def ask_in_vain(world, host, other):
    """Lose the answer to a rise of the limit."""
    world.ask_peer(host, other, 2, arrives=False)


def read_and_write(world, host, other):
    """Read the whole log, then write."""
    world.read(host)
    world.write(host)


def kill_and_fence(world: World) -> None:
    """Kill the first host and declare it gone."""
    world.hosts[0].alive = False
    world.fence(world.hosts[0])


def freeze_and_fence(world: World) -> None:
    """Freeze the first host and declare it gone."""
    world.hosts[0].frozen = True
    world.fence(world.hosts[0])


def wake(world: World) -> None:
    """Let the first host go on."""
    world.hosts[0].frozen = False


def start(world: World) -> None:
    """Start a third host that claims all it can get."""
    if len(world.hosts) == 2:
        world.start("west")
        world.hosts[2].keeper.claim(BUDGET, 6)


def third_runs(world: World) -> None:
    """Let the third host read, claim and spend."""
    if len(world.hosts) == 3:
        host = world.hosts[2]
        world.read(host)
        host.keeper.claim(BUDGET, 6)
        world.write(host)
        world.read(host)
        world.write(host)
        world.read(host)
        world.run_request(host, max(1, host.keeper.free(BUDGET)), host.keeper.free(BUDGET))


ACTIONS: tuple[Action, ...] = (
    on(0, run_request),
    on(1, run_request),
    on(0, ask_in_vain),
    on(0, lambda world, host, other: world.transfer(host, other, 2, arrives=True)),
    on(0, lambda world, host, other: world.transfer(host, other, 2, arrives=False)),
    on(1, lambda world, host, other: world.transfer(host, other, 2, arrives=True)),
    on(1, lambda world, host, other: world.deliver_late(host)),
    on(0, read_and_write),
    on(1, read_and_write),
    kill_and_fence,
    freeze_and_fence,
    wake,
    lambda world: world.confirm(world.hosts[0]),
    start,
    third_runs,
)


def explore(first: World, depth: int) -> int:
    """Check every order of `depth` actions; return the number of distinct states."""
    seen: set[bytes] = set()
    layer = [first]
    for _ in range(depth):
        following = []
        for world in layer:
            for action in ACTIONS:
                after = copy.deepcopy(world)
                action(after)
                after.check()
                key = pickle.dumps(after)
                if key not in seen:
                    seen.add(key)
                    check_end(after)
                    following.append(after)
        layer = following
    return len(seen)


def check_end(world: World) -> None:
    """Check what holds when everything has settled down."""
    world = copy.deepcopy(world)
    world.settle_down()
    world.check_in_the_end()


def finds_fault() -> bool:
    """Return whether the exploration shows a fault."""
    try:
        explore(fenced_opening(), NAIVE_DEPTH)
    except AssertionError:
        return True
    return False


def test_every_short_order_keeps_the_budget():
    assert explore(opening(), DEPTH) > 500


def test_every_short_order_after_a_fence_keeps_the_budget():
    assert explore(fenced_opening(), DEPTH) > 300


def test_freeing_without_the_endpoints_is_caught():
    with replaced(HolderState, "is_spending_known", property(lambda self: self.fenced)):
        assert finds_fault()


def test_freeing_above_limits_without_the_peers_is_caught():
    with replaced(ledger, "is_bounded", lambda name, holders: True):
        assert finds_fault()
