"""Simulated network: processes in one event loop and their links, for tests under a virtual clock.

There are no sockets: :mod:`~mulberrycleat.testing.exchange` carries HTTP requests and RPCs between
processes. Messages on a cut link arrive after it has healed, as with TCP; the timeout of the
waiting side is not extended. A frozen process neither sends nor receives, but its timers continue,
so that it acts on stale state as soon as it is thawed.
"""

from __future__ import annotations

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, NamedTuple

import trio

__all__ = ["ANYWHERE", "KilledError", "Listener", "Network", "Process"]

EPOCH_S = 1_800_000_000.0
SAME_ZONE_DELAY_S = 0.0002
OTHER_ZONE_DELAY_S = 0.0015
ANYWHERE = "*"


class KilledError(BaseException):
    """Ends a killed process's tasks, including shielded ones, when they next send or receive."""


class Listener(NamedTuple):
    """What a process serves at an address: an ASGI application or RPC handlers."""

    process: Process
    served: Any


class Process:
    """One simulated process: its location, its tasks, and whether it is alive or frozen."""

    def __init__(self, name: str, zone: str, host: str) -> None:
        self._name = name
        self._tags = frozenset({name, zone, host})
        self._zone = zone
        self._nursery: trio.Nursery | None = None
        self._stop = trio.Event()
        self._dead = trio.Event()
        self._ended = trio.Event()
        self._running = trio.Event()
        self._running.set()
        self._in_flight = 0
        self._request_ended = trio.Event()

    @property
    def name(self) -> str:
        """Name, unique among the running processes."""
        return self._name

    @property
    def zone(self) -> str:
        """Availability zone, or another place such as ``platform``."""
        return self._zone

    @property
    def tags(self) -> frozenset[str]:
        """Names that faults can select the process by: its own, its host's and its zone's."""
        return self._tags

    @property
    def nursery(self) -> trio.Nursery:
        """Nursery of the process's tasks."""
        if self._nursery is None:
            raise RuntimeError(f"{self._name} does not run")
        return self._nursery

    @property
    def dead(self) -> trio.Event:
        """Event that is set when the process was killed or has ended."""
        return self._dead

    @property
    def ended(self) -> trio.Event:
        """Event that is set when the last task has ended."""
        return self._ended

    async def run(
        self,
        main: Callable[[trio.Event], Awaitable[None]],
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run `main` until it returns or the process is killed; it gets the stop event."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await main(self._stop)
                nursery.cancel_scope.cancel()
        except* KilledError:
            pass
        finally:
            self._dead.set()
            self._ended.set()

    def request_stop(self) -> None:
        """Send the stop signal."""
        self._stop.set()

    def kill(self) -> None:
        """End the process at once."""
        self._dead.set()
        self._running.set()
        self.nursery.cancel_scope.cancel()

    def freeze(self) -> None:
        """Block everything that the process sends or receives until :meth:`thaw`."""
        self._running = trio.Event()

    def thaw(self) -> None:
        """Let a frozen process send and receive again, including what was blocked."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Wait while the process is frozen; raises :class:`KilledError` if it was killed."""
        await self._running.wait()
        if self._dead.is_set():
            raise KilledError(self._name)

    def request_began(self) -> None:
        """Count one more request in flight."""
        self._in_flight += 1

    def request_finished(self) -> None:
        """Count one request in flight less."""
        self._in_flight -= 1
        event, self._request_ended = self._request_ended, trio.Event()
        event.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._in_flight:
            await self._request_ended.wait()


class Network:
    """Simulated processes, their addresses, links and faults.

    Each end of a fault is the name of a process, host or zone. The second end of :meth:`cut`,
    :meth:`heal` and :meth:`slow` can also be :data:`ANYWHERE`.

    Parameters
    ----------
    seed : int
        Seed of the jitter of link delays.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._listeners: dict[str, Listener] = {}
        self._processes: dict[str, Process] = {}
        self._cuts: set[tuple[str, str]] = set()
        self._added_delays: dict[tuple[str, str], float] = {}
        self._lost_answers: dict[tuple[str, str], int] = {}
        self._order_locks: dict[tuple[Process, Process], trio.Lock] = {}
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator[Network]:
        """Allow processes to run inside the block; all are killed at its end."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                yield self
            finally:
                for name in list(self._processes):
                    self.kill(name)
                self.heal_all()
                nursery.cancel_scope.cancel()

    def now(self) -> float:
        """Return the virtual Unix time in seconds."""
        return EPOCH_S + trio.current_time()

    async def start(
        self,
        name: str,
        zone: str,
        host: str,
        main: Callable[[Process, trio.Event], Awaitable[None]],
    ) -> Process:
        """Start a process that runs `main`, which gets the process and its stop event."""
        if self._nursery is None:
            raise RuntimeError("the network does not run")
        if name in self._processes and not self._processes[name].dead.is_set():
            raise ValueError(f"{name} is already running")
        process = Process(name, zone, host)
        self._processes[name] = process
        await self._nursery.start(process.run, partial(main, process))
        return process

    def process(self, name: str) -> Process:
        """Return the process that was started last under `name`."""
        return self._processes[name]

    def matching(self, tag: str) -> list[Process]:
        """Return the live processes of a process, host or zone name."""
        return [p for p in self._processes.values() if tag in p.tags and not p.dead.is_set()]

    def kill(self, tag: str) -> None:
        """Kill a process, or all processes of a host or zone."""
        for process in self.matching(tag):
            process.kill()
            self.unlisten(process)

    async def stop(self, tag: str) -> None:
        """Send the stop signal to the matching processes and wait until they have ended."""
        stopping = self.matching(tag)
        for process in stopping:
            process.request_stop()
        for process in stopping:
            await process.ended.wait()
            self.unlisten(process)

    def freeze(self, tag: str) -> None:
        """Freeze a process, or all processes of a host or zone."""
        for process in self.matching(tag):
            process.freeze()

    def thaw(self, tag: str) -> None:
        """Thaw a process, or all processes of a host or zone."""
        for process in self.matching(tag):
            process.thaw()

    def cut(self, one: str, other: str = ANYWHERE) -> None:
        """Cut the links between two ends; links inside one end are not cut."""
        self._cuts.add((one, other))
        self._notify()

    def heal(self, one: str, other: str = ANYWHERE) -> None:
        """Undo a :meth:`cut` between the same two ends, given in either order."""
        self._cuts.discard((one, other))
        self._cuts.discard((other, one))
        self._notify()

    def heal_all(self) -> None:
        """Restore all links."""
        self._cuts.clear()
        self._notify()

    def slow(self, one: str, other: str, delay_s: float) -> None:
        """Set the delay in seconds that is added to each message between two ends; 0 for none."""
        self._added_delays[one, other] = delay_s

    def lose_answers(self, source: str, target: str, count: int = 1) -> None:
        """Lose the next `count` answers of `target` to `source`; the requests take effect."""
        self._lost_answers[source, target] = count

    def consume_lost_answer(self, source: Process, target: Process) -> bool:
        """Return whether to lose an answer of `target` to `source`; if so, count it as lost."""
        for (one, other), count in self._lost_answers.items():
            if count and one in source.tags and other in target.tags:
                self._lost_answers[one, other] = count - 1
                return True
        return False

    def listen(self, address: str, process: Process, served: Any) -> None:
        """Serve an application or RPC handlers at an address."""
        self._listeners[address] = Listener(process, served)

    def unlisten(self, process: Process) -> None:
        """Remove all listeners of a process."""
        for address, listener in list(self._listeners.items()):
            if listener.process is process:
                del self._listeners[address]

    def listener(self, address: str) -> Listener | None:
        """Return the listener at an address, or None."""
        return self._listeners.get(address)

    def is_cut(self, source: Process, target: Process) -> bool:
        """Return whether the link between two processes is cut."""
        return any(
            _matches_ends(one, other, source, target) or _matches_ends(one, other, target, source)
            for one, other in self._cuts
        )

    def delay_s(self, source: Process, target: Process) -> float:
        """Return the link delay of the next message, in seconds."""
        same_zone = source.zone == target.zone
        base = SAME_ZONE_DELAY_S if same_zone else OTHER_ZONE_DELAY_S
        added = sum(
            delay
            for (one, other), delay in self._added_delays.items()
            if _matches_ends(one, other, source, target)
            or _matches_ends(one, other, target, source)
        )
        return base * self._random.uniform(1.0, 1.5) + added

    async def wait_until_link_up(self, source: Process, target: Process) -> None:
        """Wait while the link is cut; messages from `source` to `target` keep their order."""
        async with self._order_locks.setdefault((source, target), trio.Lock()):
            while self.is_cut(source, target):
                await self._changed.wait()

    def _notify(self) -> None:
        event, self._changed = self._changed, trio.Event()
        event.set()


def _matches_ends(one: str, other: str, source: Process, target: Process) -> bool:
    if one not in source.tags or one in target.tags:
        return False
    return other == ANYWHERE or (other in target.tags and other not in source.tags)
