"""How the hosts share the places of endpoints that can turn away few requests."""

from __future__ import annotations

from random import Random

from mulberrycleat.endpoint.brittleness import STATEMENT_TTL_S, BrittleEndpoints
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.rate_limits import HostPlace
from mulberrycleat.testing import fixture


@fixture
def entry() -> Entry:
    return Entry("e1", "huts", "10.0.0.1:80", "a", slots=6)


def hosts_of(count: int, rejections_per_s: float) -> list[BrittleEndpoints]:
    hosts = [
        BrittleEndpoints(lambda endpoint, zone, rank=rank: HostPlace(rank, count))
        for rank in range(count)
    ]
    for host in hosts:
        host.observe("huts", rejections_per_s, 0.0)
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
                    host.observe("huts", rate, now)
                    if now >= 2.0 and random.random() < 0.9 and host.takes(entry, 6, now):
                        host.record_send(entry, 6, now)
                        sent.append(now)
            most = max((sum(at <= t < at + 1.0 for t in sent) for at in set(sent)), default=0)
            assert most <= rate, (count, rate, most)


def test_a_statement_ends_with_answers_that_do_not_repeat_it(entry):
    (host,) = hosts_of(1, 1.0)
    assert not host.observe("huts", None, STATEMENT_TTL_S / 2)
    assert host.pools == ("huts",)
    assert host.observe("huts", None, STATEMENT_TTL_S)
    assert not host.pools
    assert host.takes(entry, 100, STATEMENT_TTL_S)


def test_other_pools_are_not_concerned(entry):
    (host,) = hosts_of(1, 0.0)
    other = Entry("e2", "desks", "10.0.0.2:80", "a", slots=1)
    assert host.takes(other, 5, 0.0)
    assert not host.takes(entry, 6, 0.0)
