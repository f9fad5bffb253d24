"""Notification of changes of a state."""

from __future__ import annotations

from collections.abc import Callable

import trio

__all__ = ["Changes"]


class Changes:
    """Count changes and wake the tasks that wait for them."""

    def __init__(self) -> None:
        self._version = 0
        self._event = trio.Event()

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def notify(self) -> None:
        """Count a change and wake all waiting tasks."""
        self._version += 1
        event, self._event = self._event, trio.Event()
        event.set()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until `condition` holds, for up to `timeout_s` seconds; return whether it holds."""
        with trio.move_on_after(timeout_s):
            while not condition():
                await self._event.wait()
        return condition()
