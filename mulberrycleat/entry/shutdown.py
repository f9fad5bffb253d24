"""Graceful shutdown of an entry host."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

from mulberrycleat.entry.settings import EntryTimes, FleetRequirements

__all__ = ["GracefulShutdown"]

CLOSE_HEADER = (b"connection", b"close")
# Time from the stop signal until the host is out of rotation, in seconds: callers open new
# connections to other hosts after two failed readiness checks, one each second.
OUT_OF_ROTATION_S = 2.5
# Requests are accepted for this time after the stop signal, in seconds. A later request might not
# end in time, so it is refused without being run; by then, callers have been directed to other
# hosts.
ACCEPT_PERIOD_S = 3.0
# Requests in flight are aborted this time before the process would be killed, in seconds.
ABORT_MARGIN_S = 0.7


class GracefulShutdown:
    """Graceful shutdown: the host is unready at once, but serves until callers use other hosts.

    From the stop signal on, each answer closes its connection. Requests are accepted for
    `ACCEPT_PERIOD_S`. The process ends when it is out of rotation and has had no request for
    `EntryTimes.shutdown_idle_s`, or `ABORT_MARGIN_S` before the end of its grace period.

    Parameters
    ----------
    bounds : FleetRequirements
        Grace period between stop signal and end of the process.
    times : EntryTimes
        Time without requests after which the process can end.
    """

    def __init__(self, bounds: FleetRequirements, times: EntryTimes) -> None:
        self._bounds = bounds
        self._times = times
        self._stopping = False
        self._accept_until = float("inf")
        self._running = 0
        self._last_request_ended_at = float("-inf")

    def apply_bounds(self, bounds: FleetRequirements) -> None:
        """Use another grace period, if the shutdown has not begun."""
        self._bounds = bounds

    @property
    def stopping(self) -> bool:
        """Whether the stop signal has been received."""
        return self._stopping

    @property
    def refuses_requests(self) -> bool:
        """Whether new requests are refused, because they could not end in time."""
        return trio.current_time() >= self._accept_until

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while the block runs."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            self._last_request_ended_at = trio.current_time()

    def closing(
        self, send: Callable[[dict[str, Any]], Awaitable[None]]
    ) -> Callable[[dict[str, Any]], Awaitable[None]]:
        """Wrap `send` so that answers close their connection once the host is stopping."""

        async def send_closing(message: dict[str, Any]) -> None:
            if self._stopping and message["type"] == "http.response.start":
                message = {**message, "headers": [*message.get("headers", ()), CLOSE_HEADER]}
            await send(message)

        return send_closing

    async def run(self) -> None:
        """Begin the shutdown, and return when the process is to end.

        Requests are refused from then on, or from `ACCEPT_PERIOD_S` after the start if that is
        earlier.
        """
        self._stopping = True
        signalled_at = trio.current_time()
        self._accept_until = signalled_at + ACCEPT_PERIOD_S
        with trio.move_on_at(signalled_at + self._bounds.grace_s - ABORT_MARGIN_S):
            await trio.sleep_until(signalled_at + OUT_OF_ROTATION_S)
            while self._running or not self._is_idle():
                await trio.sleep(0.05)
        self._accept_until = trio.current_time()

    def _is_idle(self) -> bool:
        return trio.current_time() - self._last_request_ended_at >= self._times.shutdown_idle_s
