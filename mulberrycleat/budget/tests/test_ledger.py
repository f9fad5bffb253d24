"""The ledger's fold: repeats change nothing, grants never pass what is prepaid."""

from __future__ import annotations

from mulberrycleat.budget import Bill, Claim, Ledger, Settle, TopUp
from mulberrycleat.testing import fixture


@fixture
def ledger() -> Ledger:
    """Return a ledger with 100 tokens in one budget."""
    found = Ledger()
    found.apply(TopUp("t1", "huts", 100))
    return found


def test_repeated_top_up_counts_once(ledger):
    ledger.apply(TopUp("t1", "huts", 100))
    assert ledger.budgets["huts"].prepaid == 100


def test_claims_never_pass_what_is_prepaid(ledger):
    for number in range(5):
        ledger.apply(Claim(f"c{number}", "huts", f"h{number}/1", 30))
    assert ledger.budgets["huts"].granted == 100
    assert ledger.granted("c4") == 0


def test_repeated_settlement_bills_once(ledger):
    ledger.apply(Claim("c1", "huts", "h/1", 50))
    record = Settle("h/1", 1, (Bill("r1", "huts", 20),), {"huts": 5})
    ledger.apply(record)
    ledger.apply(record)
    budget = ledger.budgets["huts"]
    assert (budget.spent, budget.granted, budget.available) == (20, 45, 55)
