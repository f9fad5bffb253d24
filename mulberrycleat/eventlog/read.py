"""Reading a whole stream, for tools."""

from __future__ import annotations

from result import Err, Ok, Result

from mulberrycleat.core import PeerError
from mulberrycleat.eventlog.model import Entry, EventLog

__all__ = ["read_all"]


async def read_all(
    event_log: EventLog, stream: str, offset: int = 0
) -> Result[list[Entry], PeerError]:
    """Return every record of `stream` from `offset` on that has not expired."""
    entries: list[Entry] = []
    while True:
        match await event_log.read(stream, offset):
            case Err(error):
                return Err(error)
            case Ok(page):
                entries.extend(page.entries)
                offset = page.next
                if offset >= page.end:
                    return Ok(entries)
