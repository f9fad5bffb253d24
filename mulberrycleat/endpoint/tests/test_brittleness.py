"""How the hosts share the places of endpoints that can turn away few requests."""

from __future__ import annotations

from random import Random

from mulberrycleat.endpoint.brittleness import STATEMENT_TTL_S, BrittleEndpoints
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.rate_limits import HostPlace
from mulberrycleat.testing import fixture

ENTRY = Entry("e1", "huts", "10.0.0.1:80", "a", slots=6)
# An endpoint of the same pool that has not answered yet.
SILENT = Entry("e2", "huts", "10.0.0.2:80", "a", slots=6)


@fixture
def entry() -> Entry:
    return ENTRY


def hosts_of(count: int, rejections_per_s: float) -> list[BrittleEndpoints]:
    hosts = [
        BrittleEndpoints(lambda endpoint, zone, rank=rank: HostPlace(rank, count))
        for rank in range(count)
    ]
    for host in hosts:
        host.observe(ENTRY, rejections_per_s, 0.0, 0.0)
    return hosts


def test_the_parts_of_all_hosts_are_the_places_of_the_endpoint(entry):
    for count in (1, 4, 9, 40):
        hosts = hosts_of(count, 0.0)
        places = 0
        for host in hosts:
            in_flight = 0
            while host.takes(entry, in_flight, 0.0):
                in_flight += 1
            places += in_flight
        assert places == entry.slots, count


def test_excess_requests_of_all_hosts_stay_below_the_stated_rate(entry):
    for count in (1, 9, 200):
        for rate in (1.0, 3.0, 20.0):
            hosts, random, sent = hosts_of(count, rate), Random(f"{count} {rate}"), []
            for step in range(600):
                now = step / 100
                for host in hosts:
                    host.observe(entry, rate, now, now)
                    if now >= 2.0 and random.random() < 0.9 and host.takes(entry, 6, now):
                        host.record_send(entry, 6, now)
                        sent.append(now)
            most = max((sum(at <= t < at + 1.0 for t in sent) for at in set(sent)), default=0)
            assert most <= rate, (count, rate, most)


def test_a_statement_ends_with_a_later_answer_that_does_not_repeat_it(entry):
    (host,) = hosts_of(1, 0.0)
    assert not host.observe(entry, None, sent_at=-1.0, now=0.1)
    assert not host.takes(entry, 6, 0.1)
    assert host.observe(entry, None, sent_at=0.1, now=0.2)
    assert host.takes(entry, 100, 0.2)


def test_an_endpoint_that_has_not_answered_is_brittle_like_the_others_of_its_pool(entry):
    (host,) = hosts_of(1, 0.0)
    assert not host.takes(SILENT, 6, 0.1)
    host.observe(SILENT, None, sent_at=0.1, now=0.2)
    assert host.takes(SILENT, 6, 0.2)
    assert not host.takes(entry, 6, 0.2)


def test_an_endpoint_that_was_not_brittle_before_is_brittle_in_the_next_period(entry):
    (host,) = hosts_of(1, 0.0)
    for endpoint in (entry, SILENT):
        host.observe(endpoint, None, sent_at=0.1, now=0.2)
    host.observe(entry, 0.0, sent_at=5.0, now=5.1)
    assert not host.takes(SILENT, 6, 5.2)
    host.observe(SILENT, None, sent_at=5.2, now=5.3)
    host.observe(entry, 0.0, sent_at=5.3, now=5.4)
    assert host.takes(SILENT, 6, 5.5)


def test_a_statement_is_forgotten_after_a_time_without_answers(entry):
    (host,) = hosts_of(1, 0.0)
    assert not host.takes(SILENT, 6, STATEMENT_TTL_S - 0.1)
    assert host.takes(SILENT, 6, STATEMENT_TTL_S)
    assert host.takes(entry, 6, STATEMENT_TTL_S)


def test_other_pools_are_not_concerned(entry):
    (host,) = hosts_of(1, 0.0)
    other = Entry("e2", "desks", "10.0.0.2:80", "a", slots=1)
    assert host.takes(other, 5, 0.0)
    assert not host.takes(entry, 6, 0.0)
