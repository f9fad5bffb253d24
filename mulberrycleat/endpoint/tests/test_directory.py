"""Endpoints' announcements, and what a missing one means."""

from __future__ import annotations

from mulberrycleat.endpoint.directory import Directory, Entry, EntryState
from mulberrycleat.testing import fixture


def entry(name, state=EntryState.READY, address="10.0.0.1:80"):
    return Entry(name, "huts", address, "a", state)


@fixture
def directory():
    found = Directory()
    for name in ("e1", "e2"):
        found.put(entry(name), 0.0)
    return found


def ready(directory, now):
    return sorted(found.id for found in directory.ready("huts", now))


def test_a_leaving_endpoint_takes_no_new_work(directory):
    directory.put(entry("e1", EntryState.LEAVING), 1.0)
    assert ready(directory, 1.0) == ["e2"]


def test_an_entry_that_disappears_from_a_sound_store_is_gone_at_once(directory):
    directory.drop("e1", 1.0)
    assert ready(directory, 1.0) == ["e2"]


def test_entries_that_lapsed_during_an_outage_are_kept_for_two_seconds(directory):
    directory.store_returned(10.0)
    directory.replace([entry("e2")], 10.0)
    assert ready(directory, 11.9) == ["e1", "e2"]
    assert ready(directory, 12.0) == ["e2"]


def test_an_endpoint_that_announces_itself_again_stays(directory):
    directory.store_returned(10.0)
    directory.replace([], 10.0)
    directory.put(entry("e1"), 11.0)
    assert ready(directory, 13.0) == ["e1"]


def test_an_endpoint_that_leaves_within_the_doubtful_time_leaves(directory):
    directory.store_returned(10.0)
    directory.put(entry("e1", EntryState.LEAVING), 10.5)
    assert ready(directory, 10.6) == ["e2"]


def test_other_pools_are_apart(directory):
    assert directory.ready("other", 0.0) == []


def test_an_unknown_entry_may_be_dropped(directory):
    directory.drop("never", 1.0)
    assert ready(directory, 1.0) == ["e1", "e2"]
