"""Following one stream, with retries during outages of the log."""

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
    """Read `stream` from its earliest record on, until cancelled.

    Parameters
    ----------
    on_page : callable
        Called with each page, also with empty ones. When a page's ``earliest`` is greater than
        the requested offset, records expired before they were read.
    wait_s : float
        Longest wait of a read for the next record, in seconds. Reads do not wait until the end of
        the stream has been reached once.

    Notes
    -----
    ``task_status.started`` is called when the end of the stream is reached for the first time.
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
                log.warning("log read failed", extra={"step": "read", "peer": error.peer})
                await trio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(2 * backoff_s, BACKOFF_LARGEST_S)
