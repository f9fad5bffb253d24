"""Shared fixtures: an event log whose records expire on a virtual clock."""

from __future__ import annotations

import trio

from mulberrycleat.eventlog import FakeEventLog, MemoryStreams
from mulberrycleat.testing import fixture

RETENTION_S = 100.0


@fixture
def streams() -> MemoryStreams:
    """Return streams that keep records for ``RETENTION_S`` seconds of virtual time."""
    return MemoryStreams(lambda: trio.current_time(), RETENTION_S)


@fixture
def event_log(streams: MemoryStreams) -> FakeEventLog:
    """Return an event log that stores its records in `streams`."""
    return FakeEventLog(streams)
