"""Reads that are shared by all that ask for one at the same time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

__all__ = ["SharedRead"]


class SharedRead:
    """Reads at most once for all that ask while another read is under way.

    Parameters
    ----------
    read : callable
        Reads, and returns whether that succeeded.
    min_interval_s : float
        Shortest time between the begins of two reads, in seconds.
    """

    def __init__(self, read: Callable[[], Awaitable[bool]], min_interval_s: float = 0.0) -> None:
        self._read = read
        self._min_interval_s = min_interval_s
        self._lock = trio.Lock()
        self._began_at = float("-inf")
        self._succeeded = False
        self._ever_succeeded = False

    @property
    def ever_succeeded(self) -> bool:
        """Whether any read has succeeded so far."""
        return self._ever_succeeded

    async def read(self) -> bool:
        """Return whether a read that began after this call, or with it, has succeeded."""
        asked_at = trio.current_time()
        async with self._lock:
            if self._began_at < asked_at:
                await trio.sleep_until(self._began_at + self._min_interval_s)
                began_at = trio.current_time()
                self._succeeded = await self._read()
                self._began_at = began_at
                self._ever_succeeded |= self._succeeded
            return self._succeeded
