"""Tests of fair shares among client accounts, queues at the router and refusals."""

from __future__ import annotations

from collections import Counter
from random import Random

from mulberrycleat.endpoint import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Demand,
    Estimate,
    Queued,
    Refuse,
    Send,
)
from mulberrycleat.endpoint.fairness import FairQueue
from mulberrycleat.testing import fixture

SHORT = Demand(60, 40)
LONG = Demand(6000, 300)
IDLE_ESTIMATE = Estimate(0.0, 0.2, 4.0, 1.0)
BUSY_ESTIMATE = Estimate(8.0, 8.2, 12.0, 1.0)


@fixture
def admission():
    return Admission(AdmissionSettings(), Random(1))


def applicant(account="client", demand=LONG, deadline=60.0, weight=1.0, item=None):
    return AdmissionRequest(account, weight, demand, deadline, item)


def drain(admission, count, step_s=0.5):
    """Release `count` long requests, one every `step_s` seconds.

    Return their accounts in order of release, and the time of the last release.
    """
    accounts, now = [], 0.0
    for _ in range(count):
        now += step_s
        accounts.append(admission.lanes[1].head.account)
        assert isinstance(admission.try_release(admission.lanes[1], IDLE_ESTIMATE, now), Send)
    return accounts, now


def test_request_is_sent_at_once_when_the_pool_is_idle(admission):
    assert admission.offer(applicant(), IDLE_ESTIMATE, 0.0) == Send()


def test_flood_of_one_account_does_not_delay_another(admission):
    for _ in range(40):
        admission.offer(applicant("flood"), BUSY_ESTIMATE, 0.0)
    for _ in range(10):
        admission.offer(applicant("quiet"), BUSY_ESTIMATE, 0.0)
    accounts, _ = drain(admission, 20)
    assert Counter(accounts) == {"flood": 10, "quiet": 10}
    first_come_first_served = ["flood"] * 20
    assert accounts != first_come_first_served


def test_shares_are_proportional_to_weights(admission):
    for _ in range(30):
        admission.offer(applicant("heavy", weight=3.0), BUSY_ESTIMATE, 0.0)
        admission.offer(applicant("light", weight=1.0), BUSY_ESTIMATE, 0.0)
    accounts, _ = drain(admission, 20)
    assert Counter(accounts)["heavy"] == 15


def test_idle_account_accumulates_no_share():
    queue = FairQueue()
    for number in range(20):
        queue.push("busy", 1.0, 100, number)
    for _ in range(10):
        queue.pop()
    for number in range(10):
        queue.push("back", 1.0, 100, number)
    accounts = Counter(queue.pop().account for _ in range(10))
    assert accounts["back"] <= 6


def test_short_request_does_not_wait_behind_long_ones(admission):
    for _ in range(10):
        assert isinstance(admission.offer(applicant(), BUSY_ESTIMATE, 0.0), Queued)
    assert admission.offer(applicant("other", SHORT, 8.0), IDLE_ESTIMATE, 0.0) == Send()


def test_request_that_would_miss_its_deadline_is_refused_at_once(admission):
    for _ in range(60):
        admission.offer(applicant(), BUSY_ESTIMATE, 0.0)
    _, now = drain(admission, 20)
    decision = admission.offer(applicant(deadline=now + 10.0), BUSY_ESTIMATE, now)
    assert isinstance(decision, Refuse)
    assert 1.0 <= decision.retry_after_s <= 60.0
    assert isinstance(admission.offer(applicant(deadline=now + 300.0), BUSY_ESTIMATE, now), Queued)


def test_waiting_request_is_refused_after_its_deadline(admission):
    admission.offer(applicant(deadline=20.0), BUSY_ESTIMATE, 0.0)
    assert isinstance(admission.try_release(admission.lanes[1], IDLE_ESTIMATE, 25.0), Refuse)
    assert len(admission) == 0


def test_withdrawn_request_is_not_released(admission):
    hold = admission.offer(applicant(), BUSY_ESTIMATE, 0.0)
    admission.withdraw(hold.entry)
    assert admission.try_release(admission.lanes[1], IDLE_ESTIMATE, 1.0) is None


def test_retry_after_of_refused_requests_is_jittered(admission):
    for _ in range(60):
        admission.offer(applicant(), BUSY_ESTIMATE, 0.0)
    _, now = drain(admission, 20)
    times = {admission.offer(applicant(deadline=now + 5.0), BUSY_ESTIMATE, now) for _ in range(10)}
    assert len(times) == 10
