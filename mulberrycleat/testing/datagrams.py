"""UDP ports in memory, for tests of hosts that run in one event loop."""

from __future__ import annotations

from collections import deque

import trio

from mulberrycleat.entry.datagrams import Datagram, DatagramPort

__all__ = ["MemoryDatagrams"]


class MemoryDatagrams:
    """UDP ports of several hosts.

    Attributes
    ----------
    sent : list of tuple
        Addresses of sender and receiver of each datagram so far.
    cut_off : set of str
        Addresses whose datagrams are lost, and those to them.
    """

    def __init__(self) -> None:
        self._ports: dict[str, _MemoryPort] = {}
        self.sent: list[tuple[str, str]] = []
        self.cut_off: set[str] = set()

    def bind(self, address: str) -> DatagramPort:
        """Return a port at an address, in place of an earlier one there."""
        self._ports[address] = _MemoryPort(self, address)
        return self._ports[address]

    def deliver(self, data: bytes, source: str, target: str) -> None:
        """Deliver a datagram at once, or lose it."""
        self.sent.append((source, target))
        port = self._ports.get(target)
        if port is not None and not self.cut_off & {source, target}:
            port.put(Datagram(data, source))


class _MemoryPort:
    """One port."""

    def __init__(self, network: MemoryDatagrams, address: str) -> None:
        self._network = network
        self._address = address
        self._arrived: deque[Datagram] = deque()
        self._event = trio.Event()

    def put(self, datagram: Datagram) -> None:
        self._arrived.append(datagram)
        self._event.set()

    def send(self, data: bytes, address: str) -> None:
        self._network.deliver(data, self._address, address)

    def receive(self) -> Datagram | None:
        return self._arrived.popleft() if self._arrived else None

    async def wait(self) -> None:
        while not self._arrived:
            self._event = trio.Event()
            await self._event.wait()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        self._arrived.clear()
