"""How the hosts share the rate that an endpoint states, and when a limit ends."""

from __future__ import annotations

from random import Random

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.rate_limits import (
    PROBE_INTERVAL_S,
    PROBE_STEP_S,
    RENEWAL_INTERVAL_S,
    EndpointLimits,
    HostPlace,
)
from mulberrycleat.endpoint.reports import LimitReport
from mulberrycleat.testing import fixture

# The platform's limit: in any window, this multiple of what the limit allows, and so many more.
WINDOW_S, MAX_RATIO, SLACK = 4.0, 1.5, 5


@fixture
def entry() -> Entry:
    return Entry("e1", "huts", "10.0.0.1:80", "a")


def hosts_with_limit(entry: Entry, count: int, limit_per_s: float) -> list[EndpointLimits]:
    hosts = [
        EndpointLimits(lambda endpoint, zone, rank=rank: HostPlace(rank, count))
        for rank in range(count)
    ]
    for host in hosts:
        host.apply(LimitReport(entry.incarnation, limit_per_s), 0.0)
    return hosts


def test_all_hosts_together_stay_within_the_bound_in_every_window(entry):
    for count in (1, 9, 370):
        for limit_per_s in (0.0, 0.2, 1.0, 2.3, 40.0):
            random = Random(f"{count} {limit_per_s}")
            hosts = hosts_with_limit(entry, count, limit_per_s)
            sent = []
            for step in range(800):
                now = step / 100
                # Callers are idle for three seconds and then all press at once.
                for host in hosts if now >= 3.0 else ():
                    while random.random() < 0.9 and host.wait_s(entry, now) <= 0:
                        host.record_send(entry, now)
                        sent.append(now)
            most = max((sum(at <= t < at + WINDOW_S for t in sent) for at in set(sent)), default=0)
            assert most <= MAX_RATIO * WINDOW_S * limit_per_s + SLACK, (count, limit_per_s, most)


def test_the_hosts_use_the_rate(entry):
    for count in (1, 9, 40):
        for limit_per_s in (0.5, 2.3, 20.0):
            hosts = hosts_with_limit(entry, count, limit_per_s)
            sent = 0
            for step in range(6000):
                for host in hosts:
                    if host.wait_s(entry, step / 100) <= 0:
                        host.record_send(entry, step / 100)
                        sent += 1
            assert sent / 60.0 >= 0.95 * limit_per_s, (count, limit_per_s, sent)


def test_most_of_the_rate_is_used_when_requests_come_at_random(entry):
    """Callers ask each sharing host for one and a half times its part of the rate."""
    for count in (1, 3, 9):
        hosts, random, sent = hosts_with_limit(entry, count, 2.0), Random(count), 0
        sharing = min(count, 3)
        for step in range(20_000):
            for host in hosts[:sharing]:
                asked = random.random() < 1.5 * 2.0 / sharing / 100
                if asked and host.wait_s(entry, step / 100) <= 0:
                    host.record_send(entry, step / 100)
                    sent += 1
        assert sent / 200.0 >= 0.7 * 2.0, (count, sent)


def test_an_answer_without_a_limit_ends_it_only_if_its_request_was_sent_later(entry):
    limits = hosts_with_limit(entry, 1, 2.0)[0]
    assert limits.observe(entry.incarnation, None, True, sent_at=-0.1, now=0.2) is None
    assert limits.observe(entry.incarnation, None, False, sent_at=0.1, now=0.2) is None
    assert limits.stated == {entry.incarnation: 2.0}
    ended = limits.observe(entry.incarnation, None, True, sent_at=0.1, now=0.3)
    assert ended == LimitReport(entry.incarnation, None)
    assert limits.wait_s(entry, 0.3) == 0.0


def test_a_limit_that_is_still_stated_is_reported_again_at_intervals(entry):
    limits = hosts_with_limit(entry, 1, 2.0)[0]
    name = entry.incarnation
    assert limits.observe(name, 2.0, True, 1.0, RENEWAL_INTERVAL_S - 1) is None
    assert limits.observe(name, 2.0, True, 1.0, RENEWAL_INTERVAL_S) == LimitReport(name, 2.0)
    assert limits.observe(name, 2.0, True, 1.0, RENEWAL_INTERVAL_S + 1) is None


def test_a_limit_that_varies_a_little_is_not_reported_with_each_answer(entry):
    limits = hosts_with_limit(entry, 1, 2.0)[0]
    name = entry.incarnation
    stated = [2.0 + 0.01 * number for number in range(-15, 16)]
    assert {limits.observe(name, limit, True, 1.0, 2.0) for limit in stated} == {None}
    assert limits.observe(name, 1.5, True, 1.0, 2.0) == LimitReport(name, 1.5)


def test_hosts_without_a_part_probe_one_after_the_other_when_no_host_reports(entry):
    hosts = hosts_with_limit(entry, 9, 2.0)
    waits = [host.wait_s(entry, 1.0) for host in hosts]
    assert waits[5] == PROBE_INTERVAL_S + 5 * PROBE_STEP_S - 1.0
    assert sorted(waits[3:]) == waits[3:]
    due_at = PROBE_INTERVAL_S + 5 * PROBE_STEP_S
    assert hosts[5].wait_s(entry, due_at) == 0.0
    hosts[5].record_send(entry, due_at)
    assert hosts[5].wait_s(entry, due_at) == due_at


def test_the_limit_of_an_endpoint_that_has_left_is_forgotten(entry):
    limits = hosts_with_limit(entry, 1, 2.0)[0]
    limits.retain({entry.incarnation}, 1000.0)
    assert limits.stated
    limits.retain((), 1000.0)
    assert not limits.stated
