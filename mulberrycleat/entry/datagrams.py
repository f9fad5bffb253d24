"""UDP datagrams between entry hosts."""

from __future__ import annotations

import socket
from typing import NamedTuple, Protocol

import trio

__all__ = ["Datagram", "DatagramPort", "bind_datagrams"]

# Largest datagram that is read, in bytes; longer ones are cut off and then can't be decoded.
MAX_DATAGRAM_BYTES = 2048


class Datagram(NamedTuple):
    """A received datagram and the address of its sender, as ``ip:port``."""

    data: bytes
    source: str


class DatagramPort(Protocol):
    """A bound UDP port; a datagram may be lost, and no error reports that."""

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram without waiting; raises OSError if it can't be sent at all."""
        ...

    def receive(self) -> Datagram | None:
        """Return the next datagram that has arrived, or None."""
        ...

    async def wait(self) -> None:
        """Wait until a datagram has arrived."""
        ...

    def close(self) -> None:
        """Close the port."""
        ...


class UdpPort:
    """A UDP socket bound to an address, given as ``ip:port``."""

    def __init__(self, address: str) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind(_parse(address))
        except OSError:
            self._socket.close()
            raise

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram; it is lost if the socket's buffer is full."""
        try:
            self._socket.sendto(data, _parse(address))
        except BlockingIOError:
            return
        except (ValueError, OverflowError, TypeError) as error:
            # The address is what another host's entry in the store states.
            raise OSError(f"{address!r} is no address: {error}") from error

    def receive(self) -> Datagram | None:
        """Return the next datagram that has arrived, or None."""
        try:
            data, (ip, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return None
        except ConnectionError:
            # An earlier datagram found no receiver, which says nothing about the next one.
            return None
        return Datagram(data, f"{ip}:{port}")

    async def wait(self) -> None:
        """Wait until a datagram has arrived."""
        await trio.lowlevel.wait_readable(self._socket)

    def close(self) -> None:
        """Close the socket."""
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()


def bind_datagrams(address: str) -> DatagramPort:
    """Return the UDP port at an address; raises OSError if it can't be bound."""
    return UdpPort(address)


def _parse(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)
