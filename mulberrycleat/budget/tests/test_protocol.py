"""Random interleavings of the slice protocol, and naive versions of it that they catch."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mulberrycleat.budget import HolderState, SliceKeeper, TopUp, closing, ledger
from mulberrycleat.budget.seen import SeenNumbers
from mulberrycleat.budget.tests.world import BUDGET, Host, World

ZONES = ("east", "east", "east", "west")
STEPS = st.lists(st.integers(0, 2**24 - 1), max_size=120)
NAIVE_RUNS = 3000


def act(world: World, seed: int) -> None:
    """Do one thing that `seed` picks."""
    rng = random.Random(seed)
    host, other = rng.choice(world.hosts), rng.choice(world.hosts)
    kind = rng.choices(
        ("read", "write", "claim", "run", "settle", "send", "return", "rare"),
        (20, 20, 10, 15, 8, 12, 4, 6),
    )[0]
    if kind == "rare":
        do_rare(world, host, rng)
    elif world.acts(host):
        do_often(world, host, other, kind, rng)


def do_often(world: World, host: Host, other: Host, kind: str, rng: random.Random) -> None:
    """Let a host do one of its usual things."""
    match kind:
        case "read":
            world.read(host, rng.choice((1, 2, 1000)))
        case "write":
            world.write(host)
        case "claim":
            rng.choice((host.keeper.claim, host.keeper.want))(BUDGET, rng.randint(1, 60))
            if rng.random() < 0.1 and host.keeper.open:
                host.keeper.record_limit(BUDGET)
        case "run":
            bound = rng.randint(1, 30)
            world.ask_peer(host, rng.choice(world.hosts), bound, rng.random() < 0.8)
            world.run_request(host, bound, rng.randint(0, bound))
        case "settle":
            world.settle(host)
        case "send":
            world.transfer(host, other, rng.randint(1, 40), rng.random() < 0.6)
            if rng.random() < 0.3:
                world.deliver_late(other)
        case "return":
            host.keeper.give_back(BUDGET, rng.randint(1, 40))


def do_rare(world: World, host: Host, rng: random.Random) -> None:
    """Let something go wrong, or be put right."""
    match rng.choice(("kill", "freeze", "thaw", "fence", "confirm", "confirm", "more", "start")):
        case "kill":
            host.alive = False
        case "freeze":
            host.frozen = True
        case "thaw":
            host.frozen = False
        case "fence":
            world.fence(host)
        case "confirm":
            world.confirm(host)
        case "more":
            world.log.append(TopUp(f"t{rng.randint(1, 3)}", BUDGET, 20))
        case "start" if len(world.hosts) < 6:
            world.start(host.keeper.zone)


def run(steps: list[int]) -> None:
    """Check that no interleaving overspends, and that all is billed once in the end."""
    world = World(ZONES, 100)
    for seed in steps:
        act(world, seed)
        world.check()
    world.settle_down()
    world.check_in_the_end()


@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(STEPS)
def _check_random_steps(steps: list[int]) -> None:
    run(steps)


def test_no_interleaving_overspends_or_bills_twice():
    _check_random_steps()


def test_long_interleavings_by_seed():
    for seed in range(150):
        rng = random.Random(seed)
        run([rng.getrandbits(24) for _ in range(150)])


def finds_fault() -> bool:
    """Return whether long interleavings show a fault."""
    for seed in range(NAIVE_RUNS):
        rng = random.Random(seed)
        try:
            run([rng.getrandbits(24) for _ in range(150)])
        except AssertionError:
            return True
    return False


@contextlib.contextmanager
def replaced(target: object, name: str, value: object) -> Iterator[None]:
    """Replace an attribute inside the block."""
    with mock.patch.object(target, name, value):
        yield


def test_closing_without_endpoints_proof_is_caught():
    fenced = property(lambda self: self.fenced)
    with replaced(HolderState, "is_spending_known", fenced):
        assert finds_fault()


def test_closing_without_peers_acks_is_caught():
    def naive(holders):
        return frozenset(name for name, state in holders.items() if state.is_spending_known)

    assert closing.closable is ledger.closable
    with replaced(ledger, "closable", naive):
        assert finds_fault()


def test_taking_a_transfer_twice_is_caught():
    with replaced(SeenNumbers, "add", lambda self, number: True):
        assert finds_fault()


def test_restoring_an_unanswered_transfer_is_caught():
    transfer = World.transfer

    def naive(self, sender, receiver, tokens, arrives):
        transfer(self, sender, receiver, tokens, arrives)
        if not arrives and receiver.lost:
            slices = sender.keeper.slices
            slices[BUDGET] = slices[BUDGET].move(receiver.lost[-1].tokens)

    with replaced(World, "transfer", naive):
        assert finds_fault()


def test_raising_a_limit_without_a_peer_is_caught():
    def naive(self, host, peer, tokens, arrives):
        limit = host.keeper.limit_for(BUDGET, tokens)
        if limit is not None:
            host.keeper.raise_limit(peer.keeper.holder, BUDGET, limit)

    with replaced(World, "ask_peer", naive):
        assert finds_fault()


def test_freeing_above_limits_without_the_peers_is_caught():
    with replaced(ledger, "is_bounded", lambda name, holders: True):
        assert finds_fault()


def test_settling_without_numbers_is_caught():
    settle = ledger.Ledger._settle

    def naive(self, record):
        settle(self, record)
        self._update_holder(record.holder, seq=record.seq - 1)

    with (
        replaced(ledger.Ledger, "_settle", naive),
        replaced(SliceKeeper, "is_confirmed", lambda self, record: True),
    ):
        assert finds_fault()
