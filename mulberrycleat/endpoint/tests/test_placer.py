"""Placement by expected completion, shared parts and outcomes."""

from __future__ import annotations

from collections import Counter
from random import Random

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.placer import Part, Placer, PlacerSettings, Work
from mulberrycleat.testing import fixture

PLAIN = Work()


def entries(count=4, zones="a", slots=8):
    return [
        Entry(f"e{n}", "pool", f"10.0.0.{n}:80", zones[n % len(zones)], slots=slots)
        for n in range(count)
    ]


def session(name):
    return Work(9000, (Part("common", 2500), Part(name, 3800)))


def new_placer(zone="a", seed=1):
    return Placer(PlacerSettings(), zone, Random(seed))


@fixture
def placer():
    return new_placer()


def serve(placer, found, work=PLAIN, failing=(), now=0.0, count=40, step_s=0.1, took_s=0.03):
    """Send requests one after the other; return how many went to each endpoint."""
    counts = Counter()
    for number in range(count):
        now += step_s
        placement = placer.choose(found, work, now)
        entry_id, request = placement.entry.id, f"{now}-{number}"
        counts[entry_id] += 1
        placer.sent(placement, request, work, now)
        placer.heard(entry_id, request, now + took_s)
        placer.ended(entry_id, request, now + took_s, entry_id in failing)
    return counts


def test_all_hosts_find_the_same_home_for_a_session():
    found = entries(9)
    for number in range(20):
        work = session(f"s{number}")
        chosen = {new_placer(seed=seed).choose(found, work, 0.0).entry.id for seed in range(6)}
        assert len(chosen) == 1


def test_sessions_are_spread_over_the_endpoints():
    found = entries(9)
    homes = Counter(new_placer().choose(found, session(f"s{n}"), 0.0).entry.id for n in range(900))
    assert len(homes) == 9
    assert max(homes.values()) < 150


def test_an_endpoint_that_leaves_moves_only_its_own_sessions():
    found = entries(9)
    works = [session(f"s{n}") for n in range(60)]
    before = [new_placer().choose(found, work, 0.0).entry.id for work in works]
    after = [new_placer().choose(found[1:], work, 0.0).entry.id for work in works]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) <= {"e0"}


def test_a_session_leaves_its_home_when_that_has_a_long_queue(placer):
    found, work = entries(4), session("s1")
    home = placer.choose(found, work, 0.0)
    for number in range(12):
        placer.sent(home._replace(cached_tokens=0), f"r{number}", Work(20_000), 0.0)
    assert placer.choose(found, work, 0.0).entry.id != home.entry.id


def test_work_goes_to_the_least_busy(placer):
    found = entries(3)
    counts = Counter()
    for number in range(12):
        placement = placer.choose(found, PLAIN, 0.0)
        counts[placement.entry.id] += 1
        placer.sent(placement, f"r{number}", PLAIN, 0.0)
    assert set(counts.values()) == {4}


def test_the_load_that_an_endpoint_tells_is_that_of_other_hosts_too(placer):
    found = entries(2)
    serve(placer, found, count=4)
    placer.take_load("e0", running=8, waiting=6, now=1.0)
    assert placer.choose(found, PLAIN, 1.1).entry.id == "e1"


def test_an_endpoint_that_fails_part_of_its_requests_gets_few(placer):
    counts = serve(placer, entries(4), failing={"e2"}, count=80)
    assert counts["e2"] <= 8


def test_an_endpoint_that_failed_comes_back(placer):
    found = entries(2)
    serve(placer, found, failing={"e1"}, count=40)
    assert serve(placer, found, now=40.0, count=40)["e1"] > 10


def test_slow_endpoints_get_fewer_requests(placer):
    found = entries(2)
    now = 0.0
    for number in range(20):
        now += 0.1
        for entry, took_s in zip(found, (0.03, 0.4), strict=True):
            placement = placer.choose([entry], PLAIN, now)
            placer.sent(placement, f"{entry.id}-{number}", PLAIN, now)
            placer.heard(entry.id, f"{entry.id}-{number}", now + took_s)
            placer.ended(entry.id, f"{entry.id}-{number}", now + took_s, False)
    assert placer.choose(found, PLAIN, now + 1).entry.id == "e0"


def test_an_unreachable_endpoint_is_left_alone_for_a_while(placer):
    found = entries(3)
    placement = placer.choose(found, PLAIN, 0.0)
    placer.unreachable(placement.entry.id, 0.0)
    chosen = {placer.choose(found, PLAIN, 0.5).entry.id for _ in range(30)}
    assert placement.entry.id not in chosen


def test_when_most_endpoints_are_unreachable_the_rest_still_gets_work(placer):
    found = entries(3)
    placer.choose(found, PLAIN, 0.0)
    for entry_id in ("e0", "e1"):
        placer.unreachable(entry_id, 0.0)
    assert placer.choose(found, PLAIN, 0.1).entry.id == "e2"


def test_two_silent_endpoints_of_a_zone_stand_for_all_of_it(placer):
    found = entries(9, zones="abc")
    placer.choose(found, PLAIN, 0.0)
    for entry_id in ("e1", "e4"):
        placer.unreachable(entry_id, 0.0, silent=True)
    chosen = {placer.choose(found, session(f"s{n}"), 0.1).entry.zone for n in range(60)}
    assert chosen == {"a", "c"}
    later = {placer.choose(found, session(f"s{n}"), 9.0).entry.zone for n in range(60)}
    assert later == {"a", "b", "c"}


def test_an_endpoint_is_expected_to_take_as_long_as_requests_have_waited_there(placer):
    found = entries(1)
    for number in range(3):
        placer.sent(placer.choose(found, PLAIN, 0.0), f"r{number}", PLAIN, 0.1 * number)
    placer.heard("e0", "r0", 0.25)
    assert placer.choose(found, PLAIN, 0.9).expected_s >= 0.8
    placer.heard("e0", "r1", 0.9)
    placer.heard("e0", "r2", 0.9)
    assert placer.choose(found, PLAIN, 0.9).expected_s < 0.5


def test_a_lost_answer_is_not_taken_for_load(placer):
    found = entries(1)
    for number, at in enumerate((0.0, 0.5, 1.0)):
        placer.sent(placer.choose(found, PLAIN, at), f"r{number}", PLAIN, at)
        if number:
            placer.heard("e0", f"r{number}", at + 0.05)
    assert placer.choose(found, PLAIN, 2.0).expected_s < 0.5


def test_a_zone_that_was_cut_off_is_tried_by_one_request_at_a_time(placer):
    found = entries(9, zones="abc")
    placer.choose(found, PLAIN, 0.0)
    for entry_id in ("e1", "e4"):
        placer.unreachable(entry_id, 0.0, silent=True)
    tried = [placer.choose(found, session(f"s{n}"), 2.0) for n in range(60)]
    there = [placement for placement in tried if placement.entry.zone == "b"]
    assert len(there) == 1
    placer.sent(there[0], "r1", PLAIN, 2.0)
    placer.heard(there[0].entry.id, "r1", 2.01)
    zones = [placer.choose(found, session(f"s{n}"), 2.1).entry.zone for n in range(60)]
    assert zones.count("b") > 5


def test_a_trial_that_meets_silence_prolongs_the_pause(placer):
    found = entries(9, zones="abc")
    placer.choose(found, PLAIN, 0.0)
    for entry_id in ("e1", "e4"):
        placer.unreachable(entry_id, 0.0, silent=True)
    tried = [placer.choose(found, session(f"s{n}"), 2.0) for n in range(60)]
    (there,) = (placement for placement in tried if placement.entry.zone == "b")
    placer.unreachable(there.entry.id, 2.25, silent=True)
    zones = {placer.choose(found, session(f"s{n}"), 3.5).entry.zone for n in range(60)}
    assert zones == {"a", "c"}


def test_a_silent_endpoint_with_requests_out_is_passed_over(placer):
    found = entries(3)
    placement = placer.choose(found, PLAIN, 0.0)
    placer.sent(placement, "r1", PLAIN, 0.0)
    chosen = {placer.choose(found, PLAIN, 2.0).entry.id for _ in range(30)}
    assert placement.entry.id not in chosen


def test_another_start_under_the_same_id_is_another_endpoint(placer):
    found = entries(2)
    serve(placer, found, failing={"e0", "e1"}, count=20)
    placer.unreachable("e0", 2.0)
    reborn = [Entry("e0", "pool", "10.0.0.0:80", "a", born=5.0, slots=8), found[1]]
    assert placer.choose(reborn, PLAIN, 2.1).entry.id == "e0"


def test_endpoints_that_are_gone_are_forgotten(placer):
    found = entries(2)
    placement = placer.choose(found, PLAIN, 0.0)
    placer.sent(placement, "r1", PLAIN, 0.0)
    placer.retain([])
    assert placer.in_flight(placement.entry.id) == 1
    placer.ended(placement.entry.id, "r1", 1.0, False)
    placer.retain([])
    assert placer.in_flight(placement.entry.id) == 0
