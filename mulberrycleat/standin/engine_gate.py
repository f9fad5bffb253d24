"""Semaphore that admits waiters by priority."""

from __future__ import annotations

import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count

import trio

__all__ = ["PriorityGate"]


class PriorityGate:
    """Semaphore for `capacity` holders.

    A lower priority number is admitted first, and the same number in the order of arrival.

    Parameters
    ----------
    capacity : int
        Number of holders at once.
    """

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._held = 0
        self._arrivals = count()
        self._waiters: list[tuple[int, int, trio.Event]] = []

    @property
    def held(self) -> int:
        """Number of holders."""
        return self._held

    @property
    def waiting(self) -> int:
        """Number of waiters."""
        return len(self._waiters)

    @asynccontextmanager
    async def hold(self, priority: int) -> AsyncIterator[None]:
        """Hold one slot during the block."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self._release()

    async def _acquire(self, priority: int) -> None:
        if self._free:
            self._free -= 1
            self._held += 1
            return
        waiter = (priority, next(self._arrivals), trio.Event())
        heapq.heappush(self._waiters, waiter)
        try:
            await waiter[2].wait()
        except trio.Cancelled:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
            raise

    def _release(self) -> None:
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()
            return
        self._free += 1
        self._held -= 1
