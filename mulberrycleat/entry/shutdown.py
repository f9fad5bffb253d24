"""Stages of a planned stop of an entry host."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

from mulberrycleat.entry.settings import EntryTimes, FleetBounds

__all__ = ["GracefulShutdown"]

CLOSE_HEADER = (b"connection", b"close")
# Callers' new connections go elsewhere after two questions for readiness, one each second.
OUT_OF_ROTATION_S = 2.5
# A request that arrives later than this after the stop signal might not end in time: callers were
# sent elsewhere by then, and whoever still comes is sent away at once, with nothing run.
ACCEPT_S = 3.0
# Requests that still run are broken off this long before the process would be killed.
END_MARGIN_S = 0.7


class GracefulShutdown:
    """A host that stops is unready at once, and closes its connections in step with answers.

    It serves what comes on open connections until it is out of rotation, and ends when no request
    has been there for a while, or when its time is up.

    Parameters
    ----------
    bounds : FleetBounds
        Time to the end.
    times : EntryTimes
        Time without a request that counts as quiet.
    """

    def __init__(self, bounds: FleetBounds, times: EntryTimes) -> None:
        self._bounds = bounds
        self._times = times
        self._stopping = False
        self._accept_until = float("inf")
        self._running = 0
        self._last_end = float("-inf")

    @property
    def stopping(self) -> bool:
        """Whether the stop signal has come."""
        return self._stopping

    @property
    def sends_away(self) -> bool:
        """Whether new requests are refused, because they could not end in time."""
        return trio.current_time() >= self._accept_until

    @property
    def running(self) -> int:
        """Requests in flight."""
        return self._running

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while the block runs."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            self._last_end = trio.current_time()

    def closing(
        self, send: Callable[[dict[str, Any]], Awaitable[None]]
    ) -> Callable[[dict[str, Any]], Awaitable[None]]:
        """Return `send` with answers that close their connection once the host stops."""

        async def send_closing(message: dict[str, Any]) -> None:
            if self._stopping and message["type"] == "http.response.start":
                message = {**message, "headers": [*message.get("headers", ()), CLOSE_HEADER]}
            await send(message)

        return send_closing

    async def run(self) -> None:
        """Go through the stages; returns when the process is to end, and takes no request then."""
        self._stopping = True
        began = trio.current_time()
        self._accept_until = began + ACCEPT_S
        with trio.move_on_at(began + self._bounds.grace_s - END_MARGIN_S):
            await trio.sleep_until(began + OUT_OF_ROTATION_S)
            while self._running or not self._is_quiet():
                await trio.sleep(0.05)
        self._accept_until = trio.current_time()

    def _is_quiet(self) -> bool:
        return trio.current_time() - self._last_end >= self._times.stop_quiet_s
