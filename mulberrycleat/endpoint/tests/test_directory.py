"""Tests of the endpoint directory: heartbeats, leaving endpoints and missing entries."""

from __future__ import annotations

from dataclasses import replace

from mulberrycleat.endpoint.directory import Directory, Entry, EntryState
from mulberrycleat.testing import fixture


def entry(name, state=EntryState.READY, address="10.0.0.1:80"):
    return Entry(name, "bookings", address, "a", state)


@fixture
def directory():
    found = Directory()
    for name in ("e1", "e2"):
        found.put(entry(name), 0.0)
    return found


def ready(directory, now):
    return sorted(found.id for found in directory.ready("bookings", now))


def test_leaving_endpoint_gets_no_new_requests(directory):
    directory.put(entry("e1", EntryState.LEAVING), 1.0)
    assert ready(directory, 1.0) == ["e2"]


def test_entry_missing_from_a_reachable_store_is_removed_at_once(directory):
    directory.drop("e1", 1.0)
    assert ready(directory, 1.0) == ["e2"]


def test_entries_that_expired_in_an_outage_are_kept_for_two_seconds(directory):
    directory.store_reconnected(10.0)
    directory.replace([entry("e2")], 10.0)
    assert ready(directory, 11.9) == ["e1", "e2"]
    assert ready(directory, 12.0) == ["e2"]


def test_endpoint_with_a_heartbeat_after_an_outage_is_kept(directory):
    directory.store_reconnected(10.0)
    directory.replace([], 10.0)
    directory.put(entry("e1"), 11.0)
    assert ready(directory, 13.0) == ["e1"]


def test_endpoint_that_leaves_in_the_grace_period_gets_no_new_requests(directory):
    directory.store_reconnected(10.0)
    directory.put(entry("e1", EntryState.LEAVING), 10.5)
    assert ready(directory, 10.6) == ["e2"]


def test_endpoints_of_other_pools_are_not_returned(directory):
    assert directory.ready("other", 0.0) == []


def test_dropping_an_unknown_entry_has_no_effect(directory):
    directory.drop("never", 1.0)
    assert ready(directory, 1.0) == ["e1", "e2"]


def test_an_endpoint_that_leaves_is_known_to_have_been_ready_at_the_read_before():
    directory = Directory()
    ready = Entry("e1", "huts", "10.0.0.1:80", "a")
    leaving = replace(ready, state=EntryState.LEAVING)
    directory.put(ready, now=1.0)
    directory.record_read(1.0)
    directory.put(leaving, now=1.6)
    directory.record_read(1.6)
    directory.put(leaving, now=2.2)
    assert directory.leaving("huts", 2.7, 1.8) == [leaving]
    assert not directory.leaving("huts", 2.9, 1.8)
    assert not directory.leaving("desks", 1.7, 1.8)


def test_an_endpoint_that_was_leaving_when_it_was_first_read_may_have_left_long_ago():
    directory = Directory()
    directory.put(Entry("e1", "huts", "10.0.0.1:80", "a", EntryState.LEAVING), now=1.0)
    directory.record_read(1.0)
    assert not directory.leaving("huts", 1.0, 1.8)


def test_an_older_entry_of_the_same_start_does_not_go_before_a_newer_one():
    directory = Directory()
    leaving = replace(entry("e1", EntryState.LEAVING), born=5, sequence=9)
    directory.put(leaving, 1.0)
    directory.put(replace(entry("e1"), born=5, sequence=8), 2.0)
    directory.replace([replace(entry("e1"), born=5, sequence=7)], 3.0)
    assert directory.entries == {"e1": leaving}
    directory.drop("e1", 4.0)
    directory.put(replace(entry("e1"), born=5, sequence=8), 5.0)
    assert not directory.entries
    directory.put(replace(entry("e1"), born=5, sequence=10), 6.0)
    assert ready(directory, 6.0) == ["e1"]


def test_an_entry_of_an_earlier_start_does_not_go_before_that_of_a_later_one():
    directory = Directory()
    later = replace(entry("e1"), born=6, sequence=1, version="v2")
    directory.put(replace(entry("e1"), born=5, sequence=8, version="v1"), 1.0)
    directory.put(later, 2.0)
    directory.put(replace(entry("e1"), born=5, sequence=9, version="v1"), 3.0)
    assert directory.entries == {"e1": later}


def test_an_entry_of_another_writer_with_a_high_sequence_does_not_hide_an_endpoint_for_ever():
    directory = Directory()
    directory.put(replace(entry("e1", EntryState.LEAVING), born=5, sequence=10**9), 0.0)
    for second in range(20):
        directory.put(replace(entry("e1"), born=5, sequence=second), float(second))
    assert ready(directory, 20.0) == ["e1"]


def test_a_single_older_entry_does_not_bring_back_an_endpoint_that_left_long_ago():
    ready = [replace(entry(name), born=5, sequence=5) for name in ("e1", "e2")]
    directory = Directory()
    for found in ready:
        directory.put(replace(found, state=EntryState.LEAVING, sequence=6), 0.0)
    directory.drop("e2", 0.5)
    for second in (9.9, 10.1, 10.6, 30.0):
        for found in ready:
            directory.put(found, second)
    assert not directory.ready("bookings", 30.0)
