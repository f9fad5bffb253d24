"""Origins of streams, and the versions of a pool of which streams may be taken up."""

from __future__ import annotations

from mulberrycleat.endpoint.directory import Entry, EntryState
from mulberrycleat.endpoint.stream_origins import (
    MAX_ORIGINS,
    ORIGIN_TTL_S,
    OriginRecord,
    StreamOrigin,
    StreamOrigins,
)
from mulberrycleat.testing import fixture

FIRST, SECOND = StreamOrigin("engines", "v1"), StreamOrigin("engines", "v2")


@fixture
def origins():
    return StreamOrigins()


def test_a_version_counts_until_its_streams_have_ended(origins):
    leaving = Entry("e1", "engines", "10.0.0.1:80", "a", EntryState.LEAVING, version="v1")
    origins.observe([leaving], now=0.0)
    origins.add("r1", SECOND, now=1.0)
    assert origins.versions("engines", now=ORIGIN_TTL_S - 1) == {"v1", "v2"}
    assert origins.versions("engines", now=ORIGIN_TTL_S) == {"v2"}
    assert not origins.versions("bookings", now=1.0)


def test_a_read_record_does_not_make_a_streams_own_host_forget_it(origins):
    origins.add("r1", FIRST, now=0.0, own=True)
    origins.apply(OriginRecord("engines", "v1", ("r1", "r2")), now=1.0)
    assert origins.own_streams(now=2.0) == [("r1", FIRST)]
    assert origins.find("r2", now=2.0) == FIRST


def test_the_oldest_origins_are_forgotten(origins):
    for number in range(MAX_ORIGINS + 2):
        origins.add(f"r{number}", FIRST, now=0.0)
    assert origins.find("r1", now=0.0) is None
    assert origins.find("r2", now=0.0) == FIRST
