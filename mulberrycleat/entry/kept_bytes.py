"""Budgets of what a host keeps of callers' requests and connections. Free of I/O."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple, Protocol

from mulberrycleat.web.asgi import NoRoomError

__all__ = [
    "BodyRoom",
    "CallerShare",
    "ConnectionBudget",
    "Holder",
    "KeptBytes",
    "NoRoomError",
    "caller_share",
    "limit_for",
]

# Memory of a process that keeps nothing, in bytes: interpreter, libraries, route map and slices.
BASE_MEMORY_BYTES = 64 * 2**20
# Fraction of the other memory that may be kept. A kept byte can exist twice for a moment, while it
# is received or sent.
KEPT_SHARE = 0.5
# Fraction of the same memory that connections may hold for heads, fields and unread answers. With
# bodies it leaves a quarter for the endpoints' side and for bodies that exist twice for a moment.
CONNECTIONS_SHARE = 0.25
# Fraction of the descriptors that connections of callers may use. Idle connections to endpoints and
# tunnels have a quarter each, busy ones to endpoints at most one for each caller.
CONNECTION_DESCRIPTOR_SHARE = 0.4
# Once a budget is exceeded, holders are closed until this fraction of it is in use, so that they
# aren't put in order for each further connection.
RELIEVED_SHARE = 0.9
# A connection isn't closed for its memory before it has made no progress for this time, in seconds:
# the retransmission of a lost packet. Callers that have just arrived are refused instead.
MIN_STALL_S = 0.25


class KeptBytes:
    """Bounds the bytes that are kept at the same time, and shares them among client accounts.

    An account may keep as much as is free, as with dynamic thresholds for shared packet buffers
    (Choudhury and Hahne, 1998): one heavy account gets half of the limit at most, two get a third
    each, and the rest stays free for others. While nothing is kept, one body of any size fits.

    Parameters
    ----------
    limit : int
        Most bytes kept, besides a single larger body.

    Examples
    --------
    >>> kept = KeptBytes(100)
    >>> kept.try_take("mill", 40), kept.try_take("mill", 20), kept.try_take("farm", 25)
    (True, False, True)
    >>> kept.give_back("mill", 40)
    >>> kept.kept
    25
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._by_account: Counter[str] = Counter()
        self._kept = 0
        self._refused = 0

    @property
    def kept(self) -> int:
        """Bytes that are kept now."""
        return self._kept

    @property
    def refused(self) -> int:
        """Number of times that there was no room."""
        return self._refused

    def apply_limit(self, limit: int) -> None:
        """Use another limit; what is kept already stays."""
        self._limit = limit

    def try_take(self, account: str, size: int) -> bool:
        """Count `size` further bytes of an account and return True, or return False if full."""
        free = self._limit - self._kept - size
        if self._kept and self._by_account[account] + size > free:
            self._refused += 1
            return False
        self._by_account[account] += size
        self._kept += size
        return True

    def give_back(self, account: str, size: int) -> None:
        """Return bytes that are kept no longer."""
        self._kept -= size
        self._by_account[account] -= size
        if not self._by_account[account]:
            del self._by_account[account]


class BodyRoom:
    """Room for the body of one request, to be closed when the body is kept no longer.

    Parameters
    ----------
    kept : KeptBytes
        The budget of the host.
    account : str
        Client account of the request; empty if it is not known.
    """

    def __init__(self, kept: KeptBytes, account: str) -> None:
        self._kept = kept
        self._account = account
        self._size = 0

    def cover(self, size: int) -> None:
        """Take room for a body of `size` bytes in all; raises :class:`NoRoomError`."""
        if size > self._size:
            if not self._kept.try_take(self._account, size - self._size):
                raise NoRoomError
            self._size = size

    def close(self) -> None:
        """Give the room back."""
        if self._size:
            self._kept.give_back(self._account, self._size)
            self._size = 0


def limit_for(memory_bytes: int) -> int:
    """Return the most bytes to keep, from the memory of the process, both in bytes.

    Examples
    --------
    >>> limit_for(160 * 2**20) // 2**20
    48
    """
    return max(0, int(KEPT_SHARE * (memory_bytes - BASE_MEMORY_BYTES)))


class CallerShare(NamedTuple):
    """What the connections of one address may use."""

    max_bytes: int
    max_connections: int


def caller_share(memory_bytes: int, descriptors: int) -> CallerShare:
    """Return what a process with these limits has for connections of callers.

    Examples
    --------
    >>> caller_share(160 * 2**20, 1000)
    CallerShare(max_bytes=25165824, max_connections=400)
    """
    size = CONNECTIONS_SHARE * (memory_bytes - BASE_MEMORY_BYTES)
    count = CONNECTION_DESCRIPTOR_SHARE * descriptors
    return CallerShare(max(0, int(size)), max(1, int(count)))


class Holder(Protocol):
    """A connection of a caller, as the budget sees it."""

    @property
    def held(self) -> int:
        """Bytes of memory that the host holds for it."""

    def stalled_s(self, now: float) -> float | None:
        """Time without progress of what the caller sends or reads, in seconds.

        None if the connection must not be closed to make room.
        """

    def close_for_room(self) -> None:
        """Close the connection soon."""


class ConnectionBudget:
    """Bounds the connections of one address and the memory held for them.

    When it is exceeded, those go first that have held the most for the longest without progress. A
    new connection has held nothing yet, so that a crowd that stays makes room for other callers.

    Parameters
    ----------
    share : CallerShare
        The bounds.
    """

    def __init__(self, share: CallerShare) -> None:
        self._share = share
        self._holders: set[Holder] = set()
        self._held = 0
        self._closed = 0

    @property
    def held(self) -> int:
        """Bytes held for all connections."""
        return self._held

    @property
    def closed(self) -> int:
        """Number of connections that were closed to make room."""
        return self._closed

    @property
    def is_full(self) -> bool:
        """Whether the connections hold as much memory as they may."""
        return self._held >= self._share.max_bytes

    def apply_share(self, share: CallerShare) -> None:
        """Use other bounds, from the next change on."""
        self._share = share

    def add(self, holder: Holder, now: float) -> None:
        """Count a new connection."""
        self._holders.add(holder)
        self._held += holder.held
        self._make_room(now)

    def change(self, difference: int, now: float) -> None:
        """Count what a connection holds more, or less, than before."""
        self._held += difference
        if difference > 0 and self._held > self._share.max_bytes:
            self._make_room(now)

    def remove(self, holder: Holder) -> None:
        """Count a connection no longer; closing it again does no harm."""
        if holder in self._holders:
            self._holders.remove(holder)
            self._held -= holder.held

    def _make_room(self, now: float) -> None:
        share = self._share
        if len(self._holders) <= share.max_connections and self._held <= share.max_bytes:
            return
        min_stall_s = 0.0 if len(self._holders) > share.max_connections else MIN_STALL_S
        ranked: list[tuple[float, int, Holder]] = []
        for number, holder in enumerate(self._holders):
            stalled_s = holder.stalled_s(now)
            if stalled_s is not None and stalled_s >= min_stall_s:
                ranked.append((holder.held * stalled_s, number, holder))
        ranked.sort(reverse=True)
        for _, _, holder in ranked:
            if (
                len(self._holders) <= RELIEVED_SHARE * share.max_connections
                and self._held <= RELIEVED_SHARE * share.max_bytes
            ):
                break
            self.remove(holder)
            holder.close_for_room()
            self._closed += 1
