"""Exhaustive check of the slice protocol in a small simulation.

Covers every sequence of up to `DEPTH` actions of `ACTIONS` from two initial states: two hosts of
one zone that hold 3 of 6 tokens each, and the same after one of them ran a request, froze and was
fenced. There is one endpoint; requests reserve 2 tokens and cost 2. The actions include transfers
and limit requests whose reply arrives or is lost, deaths, freezing and unfreezing, late
confirmations, and the start of a host. After each sequence the simulation is brought to quiescence
and the bills are checked.

Not covered: more than one budget or endpoint, top-ups, returns and expiry, which other tests cover,
and longer sequences, which the random tests cover.
"""

from __future__ import annotations

import copy
import pickle
from collections.abc import Callable

from mulberrycleat.budget import HolderState, ledger
from mulberrycleat.budget.tests.simulation import BUDGET, Simulation
from mulberrycleat.budget.tests.test_protocol import replaced

DEPTH = 3
MUTANT_DEPTH = 5
Action = Callable[[Simulation], None]


def initial_state() -> Simulation:
    """Return two hosts of one zone that hold 3 of 6 tokens each."""
    simulation = Simulation(("east", "east"), 6)
    for host in simulation.hosts:
        simulation.read(host)
        host.manager.claim(BUDGET, 3)
        simulation.write(host)
    for host in simulation.hosts:
        simulation.read(host)
    return simulation


def fenced_initial_state() -> Simulation:
    """Return the simulation after the first host ran a request, froze and was fenced."""
    simulation = initial_state()
    ACTIONS[0](simulation)
    freeze_and_fence(simulation)
    start(simulation)
    return simulation


def on(index: int, action: Callable[..., None]) -> Action:
    """Return an action of the host at `index` with the other as its peer."""

    def act(simulation: Simulation) -> None:
        host, other = simulation.hosts[index], simulation.hosts[1 - index]
        if simulation.is_running(host):
            action(simulation, host, other)

    return act


def run_request(simulation, host, other):
    """Run a request, after requesting a higher limit from the peer if necessary."""
    simulation.request_limit(host, other, 2, arrives=True)
    simulation.run_request(host, 2, 2)


def lose_limit_reply(simulation, host, other):
    """Lose the reply to a request for a higher limit."""
    simulation.request_limit(host, other, 2, arrives=False)


def read_and_write(simulation, host, other):
    """Read the whole log, then write."""
    simulation.read(host)
    simulation.write(host)


def kill_and_fence(simulation: Simulation) -> None:
    """Kill the first host and declare it dead."""
    simulation.hosts[0].alive = False
    simulation.fence(simulation.hosts[0])


def freeze_and_fence(simulation: Simulation) -> None:
    """Freeze the first host and declare it dead."""
    simulation.hosts[0].frozen = True
    simulation.fence(simulation.hosts[0])


def unfreeze(simulation: Simulation) -> None:
    """Let the first host continue."""
    simulation.hosts[0].frozen = False


def start(simulation: Simulation) -> None:
    """Start a third host that claims all 6 tokens."""
    if len(simulation.hosts) == 2:
        simulation.start("west")
        simulation.hosts[2].manager.claim(BUDGET, 6)


def run_third_host(simulation: Simulation) -> None:
    """Let the third host read, claim and spend."""
    if len(simulation.hosts) == 3:
        host = simulation.hosts[2]
        simulation.read(host)
        host.manager.claim(BUDGET, 6)
        simulation.write(host)
        simulation.read(host)
        simulation.write(host)
        simulation.read(host)
        simulation.run_request(host, max(1, host.manager.free(BUDGET)), host.manager.free(BUDGET))


ACTIONS: tuple[Action, ...] = (
    on(0, run_request),
    on(1, run_request),
    on(0, lose_limit_reply),
    on(0, lambda simulation, host, other: simulation.transfer(host, other, 2, arrives=True)),
    on(0, lambda simulation, host, other: simulation.transfer(host, other, 2, arrives=False)),
    on(1, lambda simulation, host, other: simulation.transfer(host, other, 2, arrives=True)),
    on(1, lambda simulation, host, other: simulation.deliver_late(host)),
    on(0, read_and_write),
    on(1, read_and_write),
    kill_and_fence,
    freeze_and_fence,
    unfreeze,
    lambda simulation: simulation.confirm(simulation.hosts[0]),
    start,
    run_third_host,
)


def explore(first: Simulation, depth: int) -> int:
    """Check every sequence of up to `depth` actions; return the number of distinct states."""
    seen: set[bytes] = set()
    frontier = [first]
    for _ in range(depth):
        next_frontier = []
        for simulation in frontier:
            for action in ACTIONS:
                after = copy.deepcopy(simulation)
                action(after)
                after.check()
                key = pickle.dumps(after)
                if key not in seen:
                    seen.add(key)
                    check_after_quiescence(after)
                    next_frontier.append(after)
        frontier = next_frontier
    return len(seen)


def check_after_quiescence(simulation: Simulation) -> None:
    """Check a copy of the simulation after quiescence."""
    simulation = copy.deepcopy(simulation)
    simulation.quiesce()
    simulation.check_final_state()


def detects_fault() -> bool:
    """Return whether the exploration fails a check."""
    try:
        explore(fenced_initial_state(), MUTANT_DEPTH)
    except AssertionError:
        return True
    return False


def test_no_short_sequence_overspends_or_bills_wrongly():
    assert explore(initial_state(), DEPTH) > 500


def test_no_short_sequence_after_a_fence_overspends_or_bills_wrongly():
    assert explore(fenced_initial_state(), DEPTH) > 300


def test_freeing_without_endpoint_confirmation_is_detected():
    with replaced(HolderState, "is_spending_known", property(lambda self: self.fenced)):
        assert detects_fault()


def test_freeing_above_limits_without_peer_acknowledgements_is_detected():
    with replaced(ledger, "is_bounded", lambda name, holders: True):
        assert detects_fault()
