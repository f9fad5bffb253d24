"""Restart of background loops after unexpected errors."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from mulberrycleat.core.logs import exception_origin
from mulberrycleat.entry.decisions import DecisionLog

__all__ = ["keep_running"]

# Pause before a loop is started again, in seconds: short against the times after which missing
# updates are noticed, and long enough for a loop that fails at once to take little processor time.
RESTART_PAUSE_S = 0.2


async def keep_running(loop: Callable[[], Awaitable[None]], step: str, log: DecisionLog) -> None:
    """Run a loop until it returns, and start it again after each unexpected error.

    An error in one loop must not end the process, and with it all requests in flight. The state
    that a loop keeps outside of the function, such as the active route map, stays as it was.

    Parameters
    ----------
    loop : callable
        The loop; it is started anew, so it must not keep state in local variables.
    step : str
        Name of the loop for the log.
    log : DecisionLog
        Log of the errors.
    """
    while True:
        try:
            await loop()
            return
        except Exception as error:
            log.warning("internal error", step=step, why=exception_origin(error))
            await trio.sleep(RESTART_PAUSE_S)
