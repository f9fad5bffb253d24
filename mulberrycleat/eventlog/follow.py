"""Following of one stream through outages."""

from __future__ import annotations

import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from result import Err, Ok

from mulberrycleat.eventlog.model import EventLog, Page

__all__ = ["follow"]

log = logging.getLogger(__name__)

WAIT_S = 5.0
BACKOFF_FIRST_S = 0.1
BACKOFF_LARGEST_S = 2.0


async def follow(
    event_log: EventLog,
    stream: str,
    on_page: Callable[[Page], Awaitable[None]],
    wait_s: float = WAIT_S,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Read `stream` from its earliest record on, for ever.

    Parameters
    ----------
    on_page : callable
        Gets each page, empty ones too; a page whose ``earliest`` is past the offset asked for
        tells that records expired unread.

    Notes
    -----
    ``task_status.started`` is called once all that the stream held has been read.
    """
    offset = 0
    caught_up = False
    backoff_s = BACKOFF_FIRST_S
    while True:
        match await event_log.read(stream, offset, wait_s if caught_up else 0.0):
            case Ok(page):
                backoff_s = BACKOFF_FIRST_S
                await on_page(page)
                offset = page.next
                if offset >= page.end and not caught_up:
                    caught_up = True
                    task_status.started()
            case Err(error):
                log.warning("read failed", extra={"step": "read", "peer": error.peer})
                await trio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, BACKOFF_LARGEST_S)
