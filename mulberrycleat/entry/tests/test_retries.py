"""The fleet's retry budget, divided among hosts."""

from __future__ import annotations

from random import Random

from mulberrycleat.entry.retries import FleetRetryBudget
from mulberrycleat.entry.settings import FleetRequirements

BOUNDS = FleetRequirements(retry_share=0.2, retry_slack=58.0, retry_window_s=10.0)


def test_retries_of_all_hosts_stay_within_the_fleet_budget_in_every_window():
    random = Random(4)
    hosts = [FleetRetryBudget(BOUNDS) for _ in range(9)]
    for host in hosts:
        host.set_hosts(9)
    requests, retries = [], []
    now = 0.0
    while now < 60.0:
        now += random.expovariate(80.0)
        host = random.choice(hosts)
        host.record_request("huts", now)
        requests.append(now)
        while host.try_take("huts", now):
            retries.append(now)
    for start in range(50):
        window = [at for at in retries if start <= at < start + 10.0]
        asked = sum(start <= at < start + 10.0 for at in requests)
        before = sum(start - 5.0 <= at < start + 5.0 for at in requests)
        assert len(window) <= 0.2 * max(asked, before) + 58.0


def test_each_pool_has_its_own_budget():
    budget = FleetRetryBudget(BOUNDS)
    budget.set_hosts(1)
    while budget.try_take("huts", 0.0):
        pass
    assert budget.try_take("engines", 0.0)


def test_retries_are_allowed_again_after_the_window():
    budget = FleetRetryBudget(BOUNDS)
    budget.set_hosts(1)
    while budget.try_take("huts", 0.0):
        pass
    assert not budget.try_take("huts", 9.9)
    assert budget.try_take("huts", 10.1)


def test_slack_per_host_decreases_with_the_number_of_hosts():
    budget = FleetRetryBudget(BOUNDS)
    budget.set_hosts(60)
    assert not budget.try_take("huts", 0.0)


def test_a_host_that_does_not_know_the_number_of_hosts_uses_no_slack():
    budget = FleetRetryBudget(BOUNDS)
    assert not budget.try_take("huts", 0.0)
    for _ in range(20):
        budget.record_request("huts", 0.0)
    assert [budget.try_take("huts", 0.0) for _ in range(4)] == [True, True, True, False]
    budget.set_hosts(1)
    assert budget.left("huts", 0.0) > 40
