"""Which endpoints this host can't reach although other hosts can. Free of I/O.

A connection that can't be opened tells either that the endpoint is gone or that this host has lost
its path to it. Another host that opens a connection to the same endpoint tells the two apart.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from random import Random
from typing import NamedTuple

__all__ = ["Helper", "Reachability"]

# A lost path is tried again after this time, in seconds.
TRIAL_INTERVAL_S = 0.5
# When this many paths are lost, and none was found open for this time, in seconds, the others are
# likely to be lost, too.
MIN_LOST, OPEN_TTL_S = 2, 2.0
# A host that could not open a connection is asked last for this time, in seconds; the time doubles
# with each such answer in a row.
HELPER_PAUSE_S, MAX_HELPER_PAUSE_S = 1.0, 8.0
# An endpoint that other hosts can't reach either is taken to be gone for this time, in seconds.
GONE_S = 1.0


class Helper(NamedTuple):
    """Another host that may open connections.

    Attributes
    ----------
    address, peer_address : str
        Where it opens connections, and where it serves calls of other hosts, as ``ip:port``.
    cores : float
        Processor capacity, as a multiple of a standard core.
    """

    address: str
    peer_address: str
    cores: float


class _Pause(NamedTuple):
    """A host is asked last until a time; the pause was `length_s` long. Both are in seconds."""

    until: float
    length_s: float


class Reachability:
    """Paths from this host to endpoints, by the endpoints' addresses.

    Times `now` are in seconds, on any clock that does not go back.

    Examples
    --------
    >>> paths = Reachability()
    >>> paths.note_lost("10.0.0.1:80", now=0.0), paths.note_lost("10.0.0.1:80", now=0.1)
    (True, False)
    >>> paths.is_lost("10.0.0.1:80"), paths.is_lost("10.0.0.2:80"), paths.is_suspect(now=2.1)
    (True, False, False)
    >>> paths.note_lost("10.0.0.2:80", now=0.2), paths.is_suspect(now=2.1)
    (True, True)
    """

    def __init__(self) -> None:
        self._trial_at: dict[str, float] = {}
        self._opened_at = 0.0
        self._gone_until: dict[str, float] = {}
        self._pauses: dict[str, _Pause] = {}

    @property
    def lost(self) -> tuple[str, ...]:
        """Addresses to which this host has lost its path."""
        return tuple(self._trial_at)

    def is_lost(self, address: str) -> bool:
        """Whether a connection to an endpoint has to be opened by another host."""
        return address in self._trial_at

    def is_suspect(self, now: float) -> bool:
        """Whether the paths that are not known to be lost are likely to be."""
        return len(self._trial_at) >= MIN_LOST and now - self._opened_at >= OPEN_TTL_S

    def note_open(self, address: str, now: float) -> bool:
        """Record that this host opened a connection; return whether the path was lost before."""
        self._opened_at = now
        self._gone_until.pop(address, None)
        if self._trial_at.pop(address, None) is None:
            return False
        # The other paths are likely to be open again, too.
        self._trial_at = dict.fromkeys(self._trial_at, now)
        return True

    def note_lost(self, address: str, now: float) -> bool:
        """Record that only another host opened a connection; return whether that is news."""
        self._gone_until.pop(address, None)
        if address in self._trial_at:
            return False
        self._trial_at[address] = now + TRIAL_INTERVAL_S
        return True

    def note_gone(self, address: str, now: float) -> None:
        """Record that neither this host nor others could open a connection."""
        self._gone_until = {a: until for a, until in self._gone_until.items() if now < until}
        self._gone_until[address] = now + GONE_S
        self._trial_at.pop(address, None)

    def is_gone(self, address: str, now: float) -> bool:
        """Whether other hosts could not reach an endpoint a short time ago."""
        return now < self._gone_until.get(address, now)

    def due_trials(self, now: float) -> list[str]:
        """Return the lost paths to try, which then are due again after ``TRIAL_INTERVAL_S``."""
        due = [address for address, at in self._trial_at.items() if now >= at]
        self._trial_at |= dict.fromkeys(due, now + TRIAL_INTERVAL_S)
        return due

    def retain(self, addresses: Collection[str]) -> None:
        """Forget the paths to endpoints that are not in `addresses`."""
        self._trial_at = {a: at for a, at in self._trial_at.items() if a in addresses}

    def pause_helper(self, helper: str, now: float) -> None:
        """Record that another host could not open a connection."""
        known = self._pauses.get(helper)
        length_s = HELPER_PAUSE_S
        if known is not None:
            length_s = known.length_s if now < known.until else 2 * known.length_s
            length_s = min(length_s, MAX_HELPER_PAUSE_S)
        self._pauses[helper] = _Pause(now + length_s, length_s)

    def resume_helper(self, helper: str) -> None:
        """Record that another host has answered as asked."""
        self._pauses.pop(helper, None)

    def order_helpers(
        self, helpers: Sequence[Helper], in_use: dict[str, int], random: Random, now: float
    ) -> list[str]:
        """Return the addresses of the other hosts in the order in which to ask them.

        Those with the fewest of this host's connections for their capacity come first, and those
        that could not open one a short time ago last.

        Parameters
        ----------
        in_use : dict of str to int
            Open connections of this host through the others, by address.
        """

        known = {helper.address for helper in helpers}
        self._pauses = {a: pause for a, pause in self._pauses.items() if a in known}

        def cost(helper: Helper) -> tuple[bool, float, float]:
            load = in_use.get(helper.address, 0) / max(helper.cores, 0.1)
            pause = self._pauses.get(helper.address)
            return pause is not None and now < pause.until, load, random.random()

        return [helper.address for helper in sorted(helpers, key=cost)]
