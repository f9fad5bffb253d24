"""Fair shares, holding and shedding."""

from __future__ import annotations

from collections import Counter
from random import Random

from mulberrycleat.endpoint import (
    Admission,
    AdmissionSettings,
    Applicant,
    Demand,
    Estimate,
    Hold,
    Refuse,
    Send,
)
from mulberrycleat.endpoint.fairness import FairQueue
from mulberrycleat.testing import fixture

SHORT = Demand(60, 40)
LONG = Demand(6000, 300)
FREE = Estimate(0.0, 0.2, 4.0, 1.0)
FULL = Estimate(8.0, 8.2, 12.0, 1.0)


@fixture
def admission():
    return Admission(AdmissionSettings(), Random(1))


def applicant(account="huts", demand=LONG, deadline=60.0, weight=1.0, item=None):
    return Applicant(account, weight, demand, deadline, item)


def drain(admission, count, step_s=0.5):
    """Release `count` long requests, one each `step_s`; return their accounts and the time."""
    accounts, now = [], 0.0
    for _ in range(count):
        now += step_s
        accounts.append(admission.lanes[1].head.account)
        assert isinstance(admission.try_release(admission.lanes[1], FREE, now), Send)
    return accounts, now


def test_a_free_pool_takes_requests_at_once(admission):
    assert admission.offer(applicant(), FREE, 0.0) == Send()


def test_a_flood_of_one_account_does_not_hold_up_another(admission):
    for _ in range(40):
        admission.offer(applicant("flood"), FULL, 0.0)
    for _ in range(10):
        admission.offer(applicant("quiet"), FULL, 0.0)
    accounts, _ = drain(admission, 20)
    assert Counter(accounts) == {"flood": 10, "quiet": 10}
    first_come_first_served = ["flood"] * 20
    assert accounts != first_come_first_served


def test_shares_follow_weights(admission):
    for _ in range(30):
        admission.offer(applicant("heavy", weight=3.0), FULL, 0.0)
        admission.offer(applicant("light", weight=1.0), FULL, 0.0)
    accounts, _ = drain(admission, 20)
    assert Counter(accounts)["heavy"] == 15


def test_an_account_saves_up_no_share_while_it_is_idle():
    queue = FairQueue()
    for number in range(20):
        queue.push("busy", 1.0, 100, number)
    for _ in range(10):
        queue.pop()
    for number in range(10):
        queue.push("back", 1.0, 100, number)
    accounts = Counter(queue.pop().account for _ in range(10))
    assert accounts["back"] <= 6


def test_short_requests_do_not_stand_behind_long_ones(admission):
    for _ in range(10):
        assert isinstance(admission.offer(applicant(), FULL, 0.0), Hold)
    assert admission.offer(applicant("other", SHORT, 8.0), FREE, 0.0) == Send()


def test_a_request_that_would_come_too_late_is_refused_at_once(admission):
    for _ in range(60):
        admission.offer(applicant(), FULL, 0.0)
    _, now = drain(admission, 20)
    verdict = admission.offer(applicant(deadline=now + 10.0), FULL, now)
    assert isinstance(verdict, Refuse)
    assert 1.0 <= verdict.retry_after_s <= 60.0
    assert isinstance(admission.offer(applicant(deadline=now + 300.0), FULL, now), Hold)


def test_what_waited_too_long_is_refused_and_not_sent(admission):
    admission.offer(applicant(deadline=20.0), FULL, 0.0)
    assert isinstance(admission.try_release(admission.lanes[1], FREE, 25.0), Refuse)
    assert len(admission) == 0


def test_a_withdrawn_request_is_not_released(admission):
    hold = admission.offer(applicant(), FULL, 0.0)
    admission.withdraw(hold.entry)
    assert admission.try_release(admission.lanes[1], FREE, 1.0) is None


def test_refused_callers_are_told_different_times(admission):
    for _ in range(60):
        admission.offer(applicant(), FULL, 0.0)
    _, now = drain(admission, 20)
    times = {admission.offer(applicant(deadline=now + 5.0), FULL, now) for _ in range(10)}
    assert len(times) == 10
