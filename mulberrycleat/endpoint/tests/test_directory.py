"""Tests of the endpoint directory: heartbeats, leaving endpoints and missing entries."""

from __future__ import annotations

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
