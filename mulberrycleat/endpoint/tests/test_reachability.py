"""Which paths are lost, and in which order other hosts are asked to help."""

from __future__ import annotations

from random import Random

from mulberrycleat.endpoint.reachability import (
    GONE_S,
    OPEN_TTL_S,
    TRIAL_INTERVAL_S,
    Helper,
    Reachability,
)
from mulberrycleat.testing import fixture

FIRST, SECOND, THIRD = "10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80"


@fixture
def paths():
    found = Reachability()
    found.note_open(THIRD, now=0.0)
    return found


def test_other_paths_are_suspect_only_while_none_was_found_open(paths):
    paths.note_lost(FIRST, now=1.0)
    paths.note_lost(SECOND, now=1.0)
    assert not paths.is_suspect(now=OPEN_TTL_S - 0.1)
    assert paths.is_suspect(now=OPEN_TTL_S)
    assert not paths.is_lost(THIRD)
    paths.note_open(THIRD, now=OPEN_TTL_S)
    assert not paths.is_suspect(now=OPEN_TTL_S + 0.1)
    assert paths.is_lost(FIRST)


def test_lost_paths_are_tried_again_and_at_once_when_another_is_back(paths):
    paths.note_lost(FIRST, now=1.0)
    paths.note_lost(SECOND, now=1.2)
    assert paths.due_trials(now=1.0 + TRIAL_INTERVAL_S) == [FIRST]
    assert not paths.due_trials(now=1.1 + TRIAL_INTERVAL_S)
    assert paths.note_open(FIRST, now=1.6)
    assert paths.due_trials(now=1.6) == [SECOND]


def test_an_endpoint_is_gone_for_a_while_and_its_path_not_lost(paths):
    paths.note_lost(FIRST, now=1.0)
    paths.note_gone(FIRST, now=2.0)
    assert not paths.is_lost(FIRST)
    assert paths.is_gone(FIRST, now=1.9 + GONE_S)
    assert not paths.is_gone(FIRST, now=2.0 + GONE_S)


def test_the_path_to_an_endpoint_that_has_left_is_forgotten(paths):
    paths.note_lost(FIRST, now=1.0)
    paths.retain({SECOND})
    assert not paths.lost


def test_hosts_with_fewer_connections_for_their_capacity_are_asked_first(paths):
    small, large = Helper("small:5", "small:3", 1.0), Helper("large:5", "large:3", 4.0)
    order = paths.order_helpers([small, large], {"small:5": 1, "large:5": 3}, Random(1), 0.0)
    assert order == ["large:5", "small:5"]


def test_a_host_that_does_not_help_is_asked_less_and_less(paths):
    helper, other = Helper("a:5", "a:3", 1.0), Helper("b:5", "b:3", 1.0)

    def is_asked(now: float) -> bool:
        order = paths.order_helpers([helper, other], {"b:5": 1}, Random(1), now)
        return order[0] == helper.address

    assert is_asked(0.0)
    paths.pause_helper(helper.address, now=0.0)
    assert not is_asked(0.9)
    assert is_asked(1.1)
    paths.pause_helper(helper.address, now=1.1)
    assert not is_asked(3.0)
    assert is_asked(3.2)
    paths.resume_helper(helper.address)
    paths.pause_helper(helper.address, now=3.2)
    assert is_asked(4.3)
