"""Random interleavings of the slice protocol.

Mutants of the protocol, each without one of its safeguards, check that the interleavings detect a
fault.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mulberrycleat.budget import HolderState, SliceManager, TopUp, closing, ledger
from mulberrycleat.budget.seen import SeenNumbers
from mulberrycleat.budget.tests.simulation import BUDGET, Host, Simulation

ZONES = ("east", "east", "east", "west")
STEPS = st.lists(st.integers(0, 2**24 - 1), max_size=120)
MUTANT_RUNS = 3000


def act(simulation: Simulation, seed: int) -> None:
    """Perform one action, chosen by `seed`."""
    rng = random.Random(seed)
    host, other = rng.choice(simulation.hosts), rng.choice(simulation.hosts)
    kind = rng.choices(
        ("read", "write", "claim", "run", "settle", "send", "return", "rare"),
        (20, 20, 10, 15, 8, 12, 4, 6),
    )[0]
    if kind == "rare":
        do_rare_action(simulation, host, rng)
    elif simulation.is_running(host):
        do_usual_action(simulation, host, other, kind, rng)


def do_usual_action(
    simulation: Simulation, host: Host, other: Host, kind: str, rng: random.Random
) -> None:
    """Let a host perform a usual action."""
    match kind:
        case "read":
            simulation.read(host, rng.choice((1, 2, 1000)))
        case "write":
            simulation.write(host)
        case "claim":
            rng.choice((host.manager.claim, host.manager.claim_for_waiting))(
                BUDGET, rng.randint(1, 60)
            )
            if rng.random() < 0.1 and host.manager.open:
                host.manager.record_limit(BUDGET)
        case "run":
            bound = rng.randint(1, 30)
            simulation.request_limit(host, rng.choice(simulation.hosts), bound, rng.random() < 0.8)
            simulation.run_request(host, bound, rng.randint(0, bound))
        case "settle":
            simulation.settle(host)
        case "send":
            simulation.transfer(host, other, rng.randint(1, 40), rng.random() < 0.6)
            if rng.random() < 0.3:
                simulation.deliver_late(other)
        case "return":
            host.manager.return_tokens(BUDGET, rng.randint(1, 40))


def do_rare_action(simulation: Simulation, host: Host, rng: random.Random) -> None:
    """Inject a fault, recover from one, or add tokens or a host."""
    match rng.choice(("kill", "freeze", "thaw", "fence", "confirm", "confirm", "more", "start")):
        case "kill":
            host.alive = False
        case "freeze":
            host.frozen = True
        case "thaw":
            host.frozen = False
        case "fence":
            simulation.fence(host)
        case "confirm":
            simulation.confirm(host)
        case "more":
            simulation.log.append(TopUp(f"t{rng.randint(1, 3)}", BUDGET, 20))
        case "start" if len(simulation.hosts) < 6:
            simulation.start(host.manager.zone)


def run(steps: list[int]) -> None:
    """Check that the steps never overspend, and that each request is billed once in the end."""
    simulation = Simulation(ZONES, 100)
    for seed in steps:
        act(simulation, seed)
        simulation.check()
    simulation.quiesce()
    simulation.check_final_state()


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


def test_no_long_interleaving_overspends_or_bills_twice():
    for seed in range(150):
        rng = random.Random(seed)
        run([rng.getrandbits(24) for _ in range(150)])


def detects_fault() -> bool:
    """Return whether any long interleaving fails a check."""
    for seed in range(MUTANT_RUNS):
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


def test_closing_without_endpoint_confirmation_is_detected():
    fenced = property(lambda self: self.fenced)
    with replaced(HolderState, "is_spending_known", fenced):
        assert detects_fault()


def test_closing_without_peer_acknowledgements_is_detected():
    def mutant(holders):
        return frozenset(name for name, state in holders.items() if state.is_spending_known)

    assert closing.closable is ledger.closable
    with replaced(ledger, "closable", mutant):
        assert detects_fault()


def test_accepting_a_transfer_twice_is_detected():
    with replaced(SeenNumbers, "add", lambda self, number: True):
        assert detects_fault()


def test_taking_back_an_unanswered_transfer_is_detected():
    transfer = Simulation.transfer

    def mutant(self, sender, receiver, tokens, arrives):
        transfer(self, sender, receiver, tokens, arrives)
        if not arrives and receiver.lost:
            slices = sender.manager.slices
            slices[BUDGET] = slices[BUDGET].move(receiver.lost[-1].tokens)

    with replaced(Simulation, "transfer", mutant):
        assert detects_fault()


def test_raising_a_limit_without_a_peer_is_detected():
    def mutant(self, host, peer, tokens, arrives):
        limit = host.manager.limit_for(BUDGET, tokens)
        if limit is not None:
            host.manager.raise_limit(peer.manager.holder, BUDGET, limit)

    with replaced(Simulation, "request_limit", mutant):
        assert detects_fault()


def test_freeing_above_limits_without_peer_acknowledgements_is_detected():
    with replaced(ledger, "is_bounded", lambda name, holders: True):
        assert detects_fault()


def test_settling_without_sequence_numbers_is_detected():
    settle = ledger.Ledger._settle

    def mutant(self, record):
        settle(self, record)
        self._update_holder(record.holder, seq=record.seq - 1)

    with (
        replaced(ledger.Ledger, "_settle", mutant),
        replaced(SliceManager, "is_confirmed", lambda self, record: True),
    ):
        assert detects_fault()
