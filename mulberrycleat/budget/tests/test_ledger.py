"""Tests of the ledger: duplicates have no effect, grants never exceed the prepaid tokens."""

from __future__ import annotations

from mulberrycleat.budget import Bill, Fence, Join, Ledger, Release, Settle, TopUp
from mulberrycleat.testing import fixture


@fixture
def ledger() -> Ledger:
    """Return a ledger with 100 tokens in one budget and five holders."""
    found = Ledger()
    found.apply(TopUp("t1", "huts", 100))
    for number in range(5):
        found.apply(Join(f"h{number}/1", "east"))
    return found


def test_repeated_top_up_counts_once(ledger):
    ledger.apply(TopUp("t1", "huts", 100))
    assert ledger.budgets["huts"].prepaid == 100


def test_grants_never_exceed_the_prepaid_tokens(ledger):
    for number in range(5):
        ledger.apply(Settle(f"h{number}/1", 1, wants={"huts": 30}))
    assert ledger.budgets["huts"].held == 100
    assert ledger.share("h4/1", "huts").held == 0
    assert ledger.share("h4/1", "huts").short == 30


def test_repeated_settlement_bills_once(ledger):
    ledger.apply(Settle("h0/1", 1, claims={"huts": 50}))
    record = Settle("h0/1", 2, (Bill("r1", "huts", 20, 1),), {"huts": 5})
    ledger.apply(record)
    ledger.apply(record)
    budget = ledger.budgets["huts"]
    assert (budget.spent, budget.held, budget.available) == (20, 25, 55)


def test_holder_that_has_not_joined_is_granted_nothing(ledger):
    ledger.apply(Settle("x/1", 1, claims={"huts": 50}))
    assert ledger.budgets["huts"].available == 100


def test_ledger_restored_from_a_checkpoint_has_the_same_state(ledger):
    ledger.apply(Settle("h0/1", 1, claims={"huts": 50}))
    restored = Ledger.from_checkpoint(ledger.checkpoint(7))
    late = Settle("h0/1", 2, (Bill("r1", "huts", 20, 1),))
    for one in (ledger, restored):
        one.apply(late)
        one.apply(TopUp("t1", "huts", 100))
    assert restored.checkpoint(9) == ledger.checkpoint(9)


def test_release_counts_all_held_tokens_as_spent(ledger):
    ledger.apply(Settle("h0/1", 1, claims={"huts": 50}))
    for number in range(1, 5):
        ledger.apply(Settle(f"h{number}/1", 1, acks=("h0/1",)))
    ledger.apply(Release("h0/1", "ann"))
    ledger.apply(Release("h0/1", "ann"))
    for number in range(1, 5):
        ledger.apply(Settle(f"h{number}/1", 2, acks=("h0/1",)))
    budget = ledger.budgets["huts"]
    assert (budget.spent, budget.held, budget.available) == (50, 0, 50)


def test_release_that_states_the_spent_tokens_frees_the_rest(ledger):
    ledger.apply(Settle("h0/1", 1, claims={"huts": 50}))
    ledger.apply(Release("h0/1", "ann", {"huts": 20}))
    for number in range(1, 5):
        ledger.apply(Settle(f"h{number}/1", 1, acks=("h0/1",)))
    budget = ledger.budgets["huts"]
    assert (budget.spent, budget.held, budget.available) == (20, 0, 80)


def test_fence_without_endpoints_frees_no_tokens(ledger):
    ledger.apply(Settle("h0/1", 1, claims={"huts": 50}))
    ledger.apply(Fence("h0/1", ()))
    for number in range(1, 5):
        ledger.apply(Settle(f"h{number}/1", 1, acks=("h0/1",)))
    assert ledger.budgets["huts"].available == 50
