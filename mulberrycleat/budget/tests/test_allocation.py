"""Tests of the allocation rules.

All tokens are allocated, zones without demand keep their even part, and zones with a shortfall get
tokens returned by the others.
"""

from __future__ import annotations

from mulberrycleat.budget import (
    AllocationSettings,
    DemandTracker,
    Join,
    Ledger,
    SliceAllocator,
    SliceManager,
    TopUp,
)
from mulberrycleat.testing import fixture

ZONES = {"a/1": "east", "b/1": "east", "c/1": "west"}


class Cluster:
    """Holders that share one ledger."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.ledger.apply(TopUp("t1", "huts", 1200))
        self.managers: dict[str, SliceManager] = {}
        self.allocators: dict[str, SliceAllocator] = {}
        self.demand = DemandTracker()
        for name in ZONES:
            self.join(name)

    def join(self, name: str) -> None:
        """Add a holder."""
        self.ledger.apply(Join(name, ZONES[name]))
        self.managers[name] = SliceManager(name, ZONES[name], self.ledger)
        self.allocators[name] = SliceAllocator(AllocationSettings())

    def step(self) -> None:
        """Let every holder apply the rules, then write its settlement."""
        for name, manager in self.managers.items():
            self.allocators[name].adjust(manager, self.demand)
        for manager in self.managers.values():
            if record := manager.next_record():
                self.ledger.apply(record)
            manager.refresh()

    def free(self) -> dict[str, int]:
        """Return the free tokens of each holder."""
        return {name: manager.free("huts") for name, manager in self.managers.items()}


@fixture
def cluster() -> Cluster:
    """Return a cluster of two holders in one zone and one in another."""
    return Cluster()


def test_all_tokens_are_allocated_evenly_to_zones_without_demand(cluster):
    cluster.step()
    assert cluster.free() == {"a/1": 300, "b/1": 300, "c/1": 600}


def test_zone_without_demand_keeps_its_even_part(cluster):
    cluster.step()
    cluster.managers["a/1"].count_demand("huts", 500)
    cluster.step()
    cluster.demand.observe(0.0, cluster.ledger.budgets)
    for _ in range(3):
        cluster.step()
    assert cluster.free()["c/1"] == 450
    assert cluster.ledger.budgets["huts"].available <= 0.02 * 1200


def test_joining_holder_claims_tokens_of_a_budget_that_did_not_change(cluster):
    ledger = Ledger()
    ledger.apply(TopUp("t1", "huts", 1200))
    allocator = SliceAllocator(AllocationSettings())
    manager = SliceManager("a/1", "east", ledger)
    ledger.apply(Join("b/1", "west"))
    allocator.adjust(manager, cluster.demand)
    ledger.apply(Join("a/1", "east"))
    allocator.adjust(manager, cluster.demand)
    assert manager.next_record().claims == {"huts": 600}


def test_other_zones_return_tokens_to_a_zone_with_a_shortfall(cluster):
    cluster.step()
    cluster.managers["c/1"].claim_for_waiting("huts", 500)
    for _ in range(3):
        cluster.step()
    assert cluster.free()["c/1"] == 1100


def test_holder_claims_tokens_while_requests_keep_arriving(cluster):
    manager = cluster.managers["a/1"]
    manager.count_demand("huts", 5)
    cluster.allocators["a/1"].adjust(manager, cluster.demand)
    assert manager.next_record().claims == {"huts": 300}
