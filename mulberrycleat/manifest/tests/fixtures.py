"""Shared fixtures: a log whose records expire by a virtual clock."""

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
    """Return a log over the streams."""
    return FakeEventLog(streams)
