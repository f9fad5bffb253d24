"""The dealing rule: everything is dealt, quiet zones are insured, short ones get tokens back."""

from __future__ import annotations

from mulberrycleat.budget import (
    Dealer,
    DealSettings,
    DemandTracker,
    Join,
    Ledger,
    SliceKeeper,
    TopUp,
)
from mulberrycleat.testing import fixture

ZONES = {"a/1": "east", "b/1": "east", "c/1": "west"}


class Site:
    """Holders that share one fold."""

    def __init__(self) -> None:
        self.ledger = Ledger()
        self.ledger.apply(TopUp("t1", "huts", 1200))
        self.keepers: dict[str, SliceKeeper] = {}
        self.dealers: dict[str, Dealer] = {}
        self.demand = DemandTracker()
        for name in ZONES:
            self.join(name)

    def join(self, name: str) -> None:
        """Add a holder."""
        self.ledger.apply(Join(name, ZONES[name]))
        self.keepers[name] = SliceKeeper(name, ZONES[name], self.ledger)
        self.dealers[name] = Dealer(DealSettings())

    def step(self) -> None:
        """Let every holder decide, then write."""
        for name, keeper in self.keepers.items():
            self.dealers[name].deal(keeper, self.demand)
        for keeper in self.keepers.values():
            if record := keeper.next_record():
                self.ledger.apply(record)
            keeper.refresh()

    def free(self) -> dict[str, int]:
        """Return what each holder has free."""
        return {name: keeper.free("huts") for name, keeper in self.keepers.items()}


@fixture
def site() -> Site:
    """Return two holders in one zone and one in another."""
    return Site()


def test_everything_is_dealt_evenly_to_zones_without_demand(site):
    site.step()
    assert site.free() == {"a/1": 300, "b/1": 300, "c/1": 600}


def test_quiet_zone_keeps_its_insurance(site):
    site.step()
    site.keepers["a/1"].note_asked("huts", 500)
    site.step()
    site.demand.observe(0.0, site.ledger.budgets)
    for _ in range(3):
        site.step()
    assert site.free()["c/1"] == 450
    assert site.ledger.budgets["huts"].available <= 0.02 * 1200


def test_budget_is_dealt_to_a_holder_that_joins_when_nothing_else_changes(site):
    ledger = Ledger()
    ledger.apply(TopUp("t1", "huts", 1200))
    dealer = Dealer(DealSettings())
    keeper = SliceKeeper("a/1", "east", ledger)
    ledger.apply(Join("b/1", "west"))
    dealer.deal(keeper, site.demand)
    ledger.apply(Join("a/1", "east"))
    dealer.deal(keeper, site.demand)
    assert keeper.next_record().claims == {"huts": 600}


def test_short_zone_gets_the_last_tokens_back(site):
    site.step()
    site.keepers["c/1"].want("huts", 500)
    for _ in range(3):
        site.step()
    assert site.free()["c/1"] == 1100


def test_holder_deals_while_requests_come_all_the_time(site):
    keeper = site.keepers["a/1"]
    keeper.note_asked("huts", 5)
    site.dealers["a/1"].deal(keeper, site.demand)
    assert keeper.next_record().claims == {"huts": 300}
