"""The fleet's budget for repeats, shared out to hosts."""

from __future__ import annotations

from random import Random

from mulberrycleat.entry.retries import FleetRetryBudget
from mulberrycleat.entry.settings import FleetBounds

BOUNDS = FleetBounds(repeat_share=0.2, repeat_slack=58.0, repeat_window_s=10.0)


def test_the_budget_of_all_hosts_together_holds_in_every_window():
    random = Random(4)
    hosts = [FleetRetryBudget(BOUNDS) for _ in range(9)]
    for host in hosts:
        host.set_hosts(9)
    requests, repeats = [], []
    now = 0.0
    while now < 60.0:
        now += random.expovariate(80.0)
        host = random.choice(hosts)
        host.note_request("huts", now)
        requests.append(now)
        while host.take("huts", now):
            repeats.append(now)
    for start in range(50):
        window = [at for at in repeats if start <= at < start + 10.0]
        asked = sum(start <= at < start + 10.0 for at in requests)
        before = sum(start - 5.0 <= at < start + 5.0 for at in requests)
        assert len(window) <= 0.2 * max(asked, before) + 58.0


def test_pools_have_budgets_of_their_own():
    budget = FleetRetryBudget(BOUNDS)
    while budget.take("huts", 0.0):
        pass
    assert budget.take("engines", 0.0)


def test_repeats_are_allowed_again_once_the_window_has_passed():
    budget = FleetRetryBudget(BOUNDS)
    while budget.take("huts", 0.0):
        pass
    assert not budget.take("huts", 9.9)
    assert budget.take("huts", 10.1)


def test_more_hosts_mean_a_smaller_share():
    budget = FleetRetryBudget(BOUNDS)
    budget.set_hosts(60)
    assert not budget.take("huts", 0.0)
