"""Tests of placement by expected completion time, shared prompt parts and past outcomes."""

from __future__ import annotations

from collections import Counter
from random import Random

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.placer import MAX_COMPARED, Part, Placer, PlacerSettings, Work
from mulberrycleat.testing import fixture
from mulberrycleat.testing.held_memory import held_bytes, no_collections

NO_PROMPT = Work()
# Prompts of so many short parts fit into a head of 16 KB.
MANY_PARTS = 1_360


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


def send_requests(
    placer, found, work=NO_PROMPT, failing=(), now=0.0, count=40, step_s=0.1, took_s=0.03
):
    """Send `count` requests, one every `step_s` seconds; return how many each endpoint got.

    Each request is answered after `took_s` seconds; it fails at the endpoints in `failing`.
    """
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


def test_all_hosts_compute_the_same_preferred_endpoint_for_a_session():
    found = entries(9)
    for number in range(20):
        work = session(f"s{number}")
        chosen = {new_placer(seed=seed).choose(found, work, 0.0).entry.id for seed in range(6)}
        assert len(chosen) == 1


def test_sessions_are_spread_over_the_endpoints():
    found = entries(9)
    preferred = Counter(
        new_placer().choose(found, session(f"s{n}"), 0.0).entry.id for n in range(900)
    )
    assert len(preferred) == 9
    assert max(preferred.values()) < 150


def test_leaving_endpoint_moves_only_its_own_sessions():
    found = entries(9)
    works = [session(f"s{n}") for n in range(60)]
    before = [new_placer().choose(found, work, 0.0).entry.id for work in works]
    after = [new_placer().choose(found[1:], work, 0.0).entry.id for work in works]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) <= {"e0"}


def test_session_leaves_its_preferred_endpoint_when_the_queue_is_long(placer):
    found, work = entries(4), session("s1")
    home = placer.choose(found, work, 0.0)
    for number in range(12):
        placer.sent(home._replace(cached_tokens=0), f"r{number}", Work(20_000), 0.0)
    assert placer.choose(found, work, 0.0).entry.id != home.entry.id


def test_requests_go_to_the_least_busy_endpoint(placer):
    found = entries(3)
    counts = Counter()
    for number in range(12):
        placement = placer.choose(found, NO_PROMPT, 0.0)
        counts[placement.entry.id] += 1
        placer.sent(placement, f"r{number}", NO_PROMPT, 0.0)
    assert set(counts.values()) == {4}


def test_load_report_includes_requests_of_other_hosts(placer):
    found = entries(2)
    send_requests(placer, found, count=4)
    placer.apply_load_report("e0", running=8, waiting=6, now=1.0)
    assert placer.choose(found, NO_PROMPT, 1.1).entry.id == "e1"


def test_failing_endpoint_gets_few_requests(placer):
    counts = send_requests(placer, entries(4), failing={"e2"}, count=80)
    assert counts["e2"] <= 8


def test_endpoint_gets_requests_again_after_failures(placer):
    found = entries(2)
    send_requests(placer, found, failing={"e1"}, count=40)
    assert send_requests(placer, found, now=40.0, count=40)["e1"] > 10


def test_slow_endpoints_get_fewer_requests(placer):
    found = entries(2)
    now = 0.0
    for number in range(20):
        now += 0.1
        for entry, took_s in zip(found, (0.03, 0.4), strict=True):
            placement = placer.choose([entry], NO_PROMPT, now)
            placer.sent(placement, f"{entry.id}-{number}", NO_PROMPT, now)
            placer.heard(entry.id, f"{entry.id}-{number}", now + took_s)
            placer.ended(entry.id, f"{entry.id}-{number}", now + took_s, False)
    assert placer.choose(found, NO_PROMPT, now + 1).entry.id == "e0"


def test_unreachable_endpoint_is_ejected(placer):
    found = entries(3)
    placement = placer.choose(found, NO_PROMPT, 0.0)
    placer.note_unreachable(placement.entry.id, 0.0)
    chosen = {placer.choose(found, NO_PROMPT, 0.5).entry.id for _ in range(30)}
    assert placement.entry.id not in chosen


def test_remaining_endpoint_gets_requests_when_most_are_unreachable(placer):
    found = entries(3)
    placer.choose(found, NO_PROMPT, 0.0)
    for entry_id in ("e0", "e1"):
        placer.note_unreachable(entry_id, 0.0)
    assert placer.choose(found, NO_PROMPT, 0.1).entry.id == "e2"


def test_two_silent_endpoints_eject_their_whole_zone_for_a_while(placer):
    found = entries(9, zones="abc")
    placer.choose(found, NO_PROMPT, 0.0)
    for entry_id in ("e1", "e4"):
        placer.note_unreachable(entry_id, 0.0, silent=True)
    chosen = {placer.choose(found, session(f"s{n}"), 0.1).entry.zone for n in range(60)}
    assert chosen == {"a", "c"}
    later = {placer.choose(found, session(f"s{n}"), 9.0).entry.zone for n in range(60)}
    assert later == {"a", "b", "c"}


def test_expected_time_is_at_least_the_wait_of_requests_in_flight(placer):
    found = entries(1)
    for number in range(3):
        placer.sent(placer.choose(found, NO_PROMPT, 0.0), f"r{number}", NO_PROMPT, 0.1 * number)
    placer.heard("e0", "r0", 0.25)
    assert placer.choose(found, NO_PROMPT, 0.9).expected_s >= 0.8
    placer.heard("e0", "r1", 0.9)
    placer.heard("e0", "r2", 0.9)
    assert placer.choose(found, NO_PROMPT, 0.9).expected_s < 0.5


def test_lost_answer_does_not_raise_the_expected_time(placer):
    found = entries(1)
    for number, at in enumerate((0.0, 0.5, 1.0)):
        placer.sent(placer.choose(found, NO_PROMPT, at), f"r{number}", NO_PROMPT, at)
        if number:
            placer.heard("e0", f"r{number}", at + 0.05)
    assert placer.choose(found, NO_PROMPT, 2.0).expected_s < 0.5


def test_partitioned_zone_is_tried_by_one_request_at_a_time(placer):
    found = entries(9, zones="abc")
    placer.choose(found, NO_PROMPT, 0.0)
    for entry_id in ("e1", "e4"):
        placer.note_unreachable(entry_id, 0.0, silent=True)
    tried = [placer.choose(found, session(f"s{n}"), 2.0) for n in range(60)]
    in_zone_b = [placement for placement in tried if placement.entry.zone == "b"]
    assert len(in_zone_b) == 1
    placer.sent(in_zone_b[0], "r1", NO_PROMPT, 2.0)
    placer.heard(in_zone_b[0].entry.id, "r1", 2.01)
    zones = [placer.choose(found, session(f"s{n}"), 2.1).entry.zone for n in range(60)]
    assert zones.count("b") > 5


def test_silent_trial_prolongs_the_pause(placer):
    found = entries(9, zones="abc")
    placer.choose(found, NO_PROMPT, 0.0)
    for entry_id in ("e1", "e4"):
        placer.note_unreachable(entry_id, 0.0, silent=True)
    tried = [placer.choose(found, session(f"s{n}"), 2.0) for n in range(60)]
    (in_zone_b,) = (placement for placement in tried if placement.entry.zone == "b")
    placer.note_unreachable(in_zone_b.entry.id, 2.25, silent=True)
    zones = {placer.choose(found, session(f"s{n}"), 3.5).entry.zone for n in range(60)}
    assert zones == {"a", "c"}


def test_silent_endpoint_with_requests_in_flight_is_not_chosen(placer):
    found = entries(3)
    placement = placer.choose(found, NO_PROMPT, 0.0)
    placer.sent(placement, "r1", NO_PROMPT, 0.0)
    chosen = {placer.choose(found, NO_PROMPT, 2.0).entry.id for _ in range(30)}
    assert placement.entry.id not in chosen


def test_new_incarnation_with_the_same_id_is_a_new_endpoint(placer):
    found = entries(2)
    send_requests(placer, found, failing={"e0", "e1"}, count=20)
    placer.note_unreachable("e0", 2.0)
    restarted = [Entry("e0", "pool", "10.0.0.0:80", "a", born=5.0, slots=8), found[1]]
    assert placer.choose(restarted, NO_PROMPT, 2.1).entry.id == "e0"


def test_removed_endpoint_is_forgotten_after_its_requests_end(placer):
    found = entries(2)
    placement = placer.choose(found, NO_PROMPT, 0.0)
    placer.sent(placement, "r1", NO_PROMPT, 0.0)
    placer.retain([])
    assert placer.in_flight(placement.entry.id) == 1
    placer.ended(placement.entry.id, "r1", 1.0, False)
    placer.retain([])
    assert placer.in_flight(placement.entry.id) == 0


def test_a_choice_compares_few_of_many_endpoints_and_keeps_the_preferred_one():
    found = entries(60, zones="abcde")
    for number in range(20):
        work = session(f"s{number}")
        chosen = [new_placer(seed=seed).choose(found, work, 0.0) for seed in range(6)]
        assert len({placement.entry.id for placement in chosen}) == 1
        assert {placement.candidates for placement in chosen} == {MAX_COMPARED}


def test_requests_without_a_prompt_stay_in_the_zone():
    found = entries(60, zones="abcde")
    counts = send_requests(new_placer(), found, count=400, step_s=0.05)
    near = {entry.id for entry in found if entry.zone == "a"}
    assert sum(counts[name] for name in near) > 0.9 * 400


def test_all_endpoints_are_tried_while_those_of_the_zone_fail():
    found = entries(60, zones="abcde")
    near = {entry.id for entry in found if entry.zone == "a"}
    counts = send_requests(new_placer(), found, failing=near, count=200, step_s=0.02)
    assert sum(counts[name] for name in near) < 0.4 * 200


def test_the_stated_slowness_is_used_only_while_it_is_fresh(placer):
    """It changes many times per second: after half a second it says nothing any more."""
    found = entries(2)
    send_requests(placer, found, count=10)
    for entry_id, slowness in (("e0", 2.5), ("e1", 1.0)):
        placer.apply_load_report(entry_id, 0, 0, 2.0, slowness)
    fresh = Counter(placer.choose(found, NO_PROMPT, 2.03).entry.id for _ in range(40))
    stale = Counter(placer.choose(found, NO_PROMPT, 2.2).entry.id for _ in range(40))
    assert fresh["e1"] == 40
    assert min(stale.values()) > 5


def test_a_passing_slowness_is_not_learned_as_the_speed_of_the_endpoint(placer):
    found = entries(1)
    send_requests(placer, found, count=20, took_s=0.04)
    before = placer.choose(found, NO_PROMPT, 4.0).slowness
    now = 4.0
    for number in range(20):
        now += 0.1
        placer.apply_load_report("e0", 0, 0, now, 2.5)
        placement = placer.choose(found, NO_PROMPT, now)
        placer.sent(placement, f"s{number}", NO_PROMPT, now)
        placer.heard("e0", f"s{number}", now + 0.1)
        placer.ended("e0", f"s{number}", now + 0.1, False)
    assert abs(placer.choose(found, NO_PROMPT, now + 1.0).slowness - before) < 0.15


def many_parts(first, count=MANY_PARTS):
    """Return work whose parts have numbers from `first` on."""
    return Work(count, tuple(Part(f"{first + n:08x}", 1) for n in range(count)))


def test_prompts_of_very_many_parts_take_little_memory(placer):
    """Each sequence of leading parts was kept as a text of all their ids, for each endpoint."""
    found = entries(15)
    with no_collections():
        before = held_bytes()
        for number in range(40):
            work = many_parts(number * MANY_PARTS)
            for entry in found:
                placement = placer.choose([entry], work, float(number))
                placer.sent(placement, f"{number}-{entry.id}", work, float(number))
                placer.ended(entry.id, f"{number}-{entry.id}", float(number), False)
        del work
        # A request may leave what is in its own head, 16 KB, for each endpoint at most, and all
        # endpoints together a fiftieth of the smallest host's memory.
        assert held_bytes() - before <= 3_500_000


def test_a_long_prompt_that_goes_on_is_taken_to_be_cached_where_its_begin_was_read(placer):
    found = entries(2)
    first, longer = many_parts(0, 1_000), many_parts(0, 1_100)
    home = placer.choose(found, longer, 0.0).entry.id
    other = next(entry for entry in found if entry.id != home)
    placer.sent(placer.choose([other], first, 0.0), "r1", first, 0.0)
    placer.ended(other.id, "r1", 0.1, False)
    cached = {c.entry.id: c.cached_tokens for c in placer.explain(found, longer, 0.2)}
    # One of eight prefixes for each doubling of the number of parts is remembered.
    assert 1_000 * 7 / 8 <= cached[other.id] <= 1_000
    unlike = {c.entry.id: c.cached_tokens for c in placer.explain(found, many_parts(7), 0.2)}
    assert unlike[other.id] in (0, MANY_PARTS)
