"""The platform's log: the only place where things are agreed or kept."""

from mulberrycleat.eventlog.client import HttpEventLog
from mulberrycleat.eventlog.follow import follow
from mulberrycleat.eventlog.memory import MemoryStreams
from mulberrycleat.eventlog.model import Entry, EventLog, Page
from mulberrycleat.eventlog.read import read_all

__all__ = ["Entry", "EventLog", "HttpEventLog", "MemoryStreams", "Page", "follow", "read_all"]
