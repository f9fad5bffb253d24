"""Accept connections, several in one pass of the event loop.

trio's own ``serve_listeners`` accepts one connection in each pass of the event loop. A pass of a
busy host takes long, since it runs each task that can run; callers then waited longer to be
accepted than they wait for an answer, and the host accepted only those that had given up.
"""

from __future__ import annotations

import errno
import logging
import os
import socket
from collections.abc import Awaitable, Callable

import trio

from mulberrycleat.web.stream import DirectStream

__all__ = ["Handler", "accept_connections"]

log = logging.getLogger(__name__)

Handler = Callable[[DirectStream], Awaitable[None]]

# Most connections that are accepted in one pass, so that the open ones have their turn.
MAX_PER_PASS = 32
# From this number of connections in one pass on, a line is logged, at most one in each interval,
# in seconds: callers arrive faster than the event loop comes round.
LOGGED_PER_PASS = 8
LOG_INTERVAL_S = 1.0
# The process or the system has no room for a connection, which stays in the queue.
NO_ROOM_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NO_ROOM_PAUSE_S = 0.1
# The listening socket itself can't be used; any other error is one of the connection in the queue.
LISTENER_ERRORS = (errno.EBADF, errno.EFAULT, errno.EINVAL, errno.ENOTSOCK)


async def accept_connections(
    listener: socket.socket, handler: Handler, handlers: trio.Nursery
) -> None:
    """Start `handler` for each connection, until cancelled.

    Parameters
    ----------
    listener : socket.socket
        Listening socket; it is made non-blocking.
    handler : callable
        Serves a connection, which is closed when it returns.
    handlers : trio.Nursery
        Nursery for the handlers.
    """
    listener.setblocking(False)
    log_at = trio.current_time()
    while True:
        await trio.lowlevel.wait_readable(listener)
        accepted = 0
        for _ in range(MAX_PER_PASS):
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in LISTENER_ERRORS:
                    raise
                log.warning("connection not accepted", extra={"why": os.strerror(error.errno)})
                if error.errno in NO_ROOM_ERRORS:
                    await trio.sleep(NO_ROOM_PAUSE_S)
                    break
                continue
            handlers.start_soon(_handle, handler, DirectStream(connection))
            accepted += 1
        now = trio.current_time()
        if accepted >= LOGGED_PER_PASS and now >= log_at:
            log_at = now + LOG_INTERVAL_S
            log.warning("callers have waited", extra={"accepted": accepted})


async def _handle(handler: Handler, stream: DirectStream) -> None:
    try:
        await handler(stream)
    finally:
        stream.socket.close()
