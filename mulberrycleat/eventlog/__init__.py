"""Access to the platform's log, the only place where hosts store state and agree on it."""

from mulberrycleat.eventlog.client import HttpEventLog
from mulberrycleat.eventlog.fake import FakeEventLog
from mulberrycleat.eventlog.follow import follow
from mulberrycleat.eventlog.memory import MemoryStreams
from mulberrycleat.eventlog.model import Entry, EventLog, Page
from mulberrycleat.eventlog.read import read_all
from mulberrycleat.eventlog.relay import RelayedLog, RelayReply, RelayState

__all__ = [
    "Entry",
    "EventLog",
    "FakeEventLog",
    "HttpEventLog",
    "MemoryStreams",
    "Page",
    "RelayReply",
    "RelayState",
    "RelayedLog",
    "follow",
    "read_all",
]
