"""Tests of the choice among endpoints, including cases where simpler rules choose differently."""

from __future__ import annotations

from collections import Counter
from random import Random

from mulberrycleat.endpoint import ChoiceSettings, Chooser, Demand, LoadReport, priority_of
from mulberrycleat.manifest.model import Endpoint
from mulberrycleat.testing import fixture

SHORT = Demand(60, 40)
LONG = Demand(6000, 300)
DETERMINISTIC = ChoiceSettings(near_share=0.0, near_s=0.0)
BLOCK_TOKENS = 64


@fixture
def endpoints():
    return [Endpoint(name, "pool", "zone-a", f"127.0.0.1:{i}") for i, name in enumerate("abc", 1)]


def make_chooser(settings=DETERMINISTIC, seed=1):
    return Chooser(settings, "zone-a", Random(seed))


def record_request(
    chooser, endpoint, number, first_s, full_response_s, demand=LONG, at=0.0, failed=False
):
    """Record a request sent at `at`, with its times to the first token and the full response."""
    chooser.sent(endpoint, f"{endpoint.name}-{number}", demand, at)
    chooser.first_token(endpoint.name, f"{endpoint.name}-{number}", 0, at + first_s)
    chooser.ended(endpoint.name, f"{endpoint.name}-{number}", 150, at + full_response_s, failed)


def least_outstanding(counts, endpoints):
    return min(endpoints, key=lambda endpoint: counts[endpoint.name])


def test_faster_endpoint_is_chosen_despite_more_outstanding_requests(endpoints):
    chooser = make_chooser()
    for number in range(10):
        record_request(chooser, endpoints[0], number, 0.5, 2.0, at=number * 10.0)
        record_request(chooser, endpoints[1], number, 6.0, 18.0, at=number * 10.0)
    chooser.sent(endpoints[0], "open", LONG, 200.0)
    chosen = chooser.choose(endpoints[:2], LONG, 200.1)
    assert chosen.endpoint.name == "a"
    assert least_outstanding({"a": 1, "b": 0}, endpoints[:2]).name == "b"


def test_own_requests_in_a_load_report_are_not_counted_twice(endpoints):
    chooser = make_chooser()
    chooser.choose(endpoints, LONG, 0.0)
    for number in range(4):
        chooser.sent(endpoints[0], f"r{number}", LONG, 1.0)
    state = chooser.state(endpoints[0])
    before = state.estimate(LONG, 0, 100, 1.0, 2.0)
    chooser.record_load_report("a", LoadReport(1.5, 4, 0, 24_000, 1200))
    assert state.estimate(LONG, 0, 100, 1.0, 2.0) == before
    chooser.record_load_report("a", LoadReport(1.8, 6, 0, 36_000, 1800))
    assert state.estimate(LONG, 0, 100, 1.0, 2.0).queue_s > before.queue_s


def test_observed_latency_outweighs_a_report_of_no_load(endpoints):
    chooser = make_chooser()
    for number in range(10):
        at = number * 5.0
        record_request(chooser, endpoints[0], number, 9.0, 20.0, at=at)
        record_request(chooser, endpoints[1], number, 2.0, 5.0, at=at)
        chooser.record_load_report("a", LoadReport(at, 0, 0, 0, 0))
        chooser.record_load_report("b", LoadReport(at, 3, 0, 6000, 300))
    assert chooser.choose(endpoints[:2], LONG, 51.0).endpoint.name == "b"


def test_endpoint_with_cached_prefix_is_chosen_until_it_is_busy(endpoints):
    chooser = make_chooser()
    shared_prompt = LONG._replace(keys=tuple(range(90)))
    chooser.sent(endpoints[2], "first", shared_prompt, 0.0)
    chooser.first_token("c", "first", 0, 1.0)
    chooser.ended("c", "first", 150, 3.0, False)
    chosen = chooser.choose(endpoints, shared_prompt, 4.0)
    assert (chosen.endpoint.name, chosen.cached_tokens) == ("c", 90 * BLOCK_TOKENS)
    for number in range(6):
        chooser.sent(endpoints[2], f"other-{number}", LONG, 4.0)
    assert chooser.choose(endpoints, shared_prompt, 4.1).endpoint.name != "c"


def test_cached_tokens_reported_by_engines_correct_for_lost_evictions(endpoints):
    chooser = make_chooser()
    chooser.choose(endpoints, LONG, 0.0)
    for number in range(30):
        keys = tuple(range(number * 100, number * 100 + 90))
        chooser.apply_cache_event("c", "stored", keys)
        demand = LONG._replace(keys=keys)
        chooser.sent(endpoints[2], f"r{number}", demand, number * 10.0)
        chooser.first_token("c", f"r{number}", 0, number * 10.0 + 1.5)
        chooser.ended("c", f"r{number}", 150, number * 10.0 + 4.0, False)
    assert chooser.state(endpoints[2]).cache_accuracy < 0.1
    chooser.apply_cache_event("c", "stored", (1, 2, 3) * 30)
    assumed_cached = LONG._replace(keys=(1, 2, 3) * 30)
    expected = [
        chooser.choose(endpoints[2:], d, 400.0).estimate.first_s for d in (assumed_cached, LONG)
    ]
    assert expected[0] > 0.9 * expected[1]


def test_routers_with_the_same_old_report_do_not_all_choose_one_endpoint(endpoints):
    def spread(settings):
        chosen = Counter()
        for router in range(30):
            chooser = make_chooser(settings, seed=router)
            for endpoint in endpoints:
                chooser.state(endpoint)
                chooser.record_load_report(endpoint.name, LoadReport(0.0, 2, 0, 100, 100))
            chosen[chooser.choose(endpoints, SHORT, 1.0).endpoint.name] += 1
        return max(chosen.values())

    assert spread(DETERMINISTIC) == 30
    assert spread(ChoiceSettings()) <= 15


def test_other_zone_is_used_only_when_it_saves_enough_time():
    near, far = Endpoint("near", "pool", "zone-a", "1"), Endpoint("far", "pool", "zone-b", "2")
    chooser = make_chooser()
    assert chooser.choose([far, near], SHORT, 0.0).endpoint is near
    for number in range(5):
        chooser.sent(near, f"r{number}", LONG, 0.0)
    assert chooser.choose([far, near], LONG, 0.1).endpoint is far


def test_unresponsive_endpoint_is_avoided_before_any_timeout(endpoints):
    chooser = make_chooser()
    for number in range(5):
        for endpoint in endpoints:
            record_request(chooser, endpoint, number, 0.05, 0.6, SHORT, at=float(number))
    chooser.sent(endpoints[0], "stuck", SHORT, 10.0)
    assert chooser.choose(endpoints, SHORT, 13.0).endpoint.name != "a"
    assert chooser.state(endpoints[0]).health.failures == 0


def test_failing_endpoint_is_ejected_and_returns_after_successful_trials(endpoints):
    chooser = make_chooser()
    for number in range(3):
        record_request(chooser, endpoints[0], number, 0.05, 0.1, SHORT, at=1.0, failed=True)
    names = {chooser.choose(endpoints[:3], SHORT, 1.2).endpoint.name for _ in range(20)}
    assert "a" not in names
    chooser.sent(endpoints[0], "trial", SHORT, 5.0)
    assert chooser.choose(endpoints[:1] + endpoints[1:], SHORT, 5.0).endpoint.name != "a"
    chooser.first_token("a", "trial", 0, 5.1)
    chooser.ended("a", "trial", 20, 5.5, False)
    for number in range(2):
        record_request(chooser, endpoints[0], f"t{number}", 0.05, 0.6, SHORT, at=6.0 + number)
    assert chooser.state(endpoints[0]).health.standing(9.0).value == "good"


def test_ejected_share_of_a_pool_is_limited(endpoints):
    chooser = make_chooser()
    for endpoint in endpoints:
        for number in range(3):
            record_request(chooser, endpoint, number, 0.05, 0.1, SHORT, at=1.0, failed=True)
    assert chooser.choose(endpoints, SHORT, 1.2) is not None


def test_short_requests_have_higher_priority_than_long_ones():
    assert priority_of(SHORT) < priority_of(LONG)


def test_short_request_waits_only_for_prompts_of_no_lower_priority(endpoints):
    chooser = make_chooser()
    for number in range(20):
        record_request(chooser, endpoints[0], number, 1.5, 5.0, at=float(number))
        record_request(chooser, endpoints[0], f"s{number}", 0.02, 0.6, SHORT, at=float(number))
    for number in range(4):
        chooser.sent(endpoints[0], f"open-{number}", LONG, 40.0)
    long = chooser.choose(endpoints[:1], LONG, 40.1).estimate
    short = chooser.choose(endpoints[:1], SHORT, 40.1).estimate
    assert short.queue_s < 0.1 < 2.0 < long.queue_s


def test_large_pool_is_compared_by_prefix_holders_and_a_random_sample():
    pool = [Endpoint(f"e{i}", "pool", "zone-a", f"127.0.0.1:{i}") for i in range(127)]
    chooser = make_chooser()
    shared_prompt = LONG._replace(keys=tuple(range(90)))
    for endpoint in pool:
        chooser.state(endpoint)
    chooser.apply_cache_event("e99", "stored", shared_prompt.keys)
    assert {chooser.choose(pool, shared_prompt, 1.0).endpoint.name for _ in range(20)} == {"e99"}
    spread = {chooser.choose(pool, SHORT, 1.0).endpoint.name for _ in range(100)}
    assert len(spread) > 30


def test_slow_half_of_a_large_pool_is_avoided():
    pool = [Endpoint(f"e{i}", "pool", "zone-a", f"127.0.0.1:{i}") for i in range(100)]
    chooser = make_chooser()
    for number, endpoint in enumerate(pool):
        slow = number % 2
        for repetition in range(3):
            record_request(
                chooser, endpoint, repetition, 4.0 if slow else 0.5, 12.0 if slow else 2.0
            )
    chosen = {chooser.choose(pool, LONG, 50.0).endpoint.name for _ in range(50)}
    assert all(int(name[1:]) % 2 == 0 for name in chosen)


def test_temporarily_slow_endpoint_is_tried_again(endpoints):
    chooser = make_chooser()
    for number in range(10):
        record_request(chooser, endpoints[0], number, 0.4, 2.0, at=number * 3.0)
        record_request(chooser, endpoints[1], number, 1.0, 4.0, at=number * 3.0)
    for number in range(3):
        record_request(chooser, endpoints[0], f"slow-{number}", 15.0, 18.0, at=30.0)
    assert chooser.choose(endpoints[:2], LONG, 49.0).endpoint.name == "b"
    assert chooser.choose(endpoints[:2], LONG, 90.0).endpoint.name == "a"
    chooser.sent(endpoints[0], "trial", LONG, 90.0)
    assert chooser.choose(endpoints[:2], LONG, 90.1).endpoint.name == "b"
