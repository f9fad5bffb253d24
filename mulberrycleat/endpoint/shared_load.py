"""Load of endpoints as all hosts together know it. Free of I/O.

Hosts that all send to the endpoint with the shortest queue of half a second ago overload it until
they hear of that. The requests that are sent since the load was known are therefore assumed to have
gone where they level the queues (Dahlin, "Interpreting Stale Load Information", 1999); endpoints
below that level are equally good.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["EndpointShare", "LoadSeen", "SharedLoads", "filled_share"]


class LoadSeen(NamedTuple):
    """A load report of an endpoint, and when it came, in seconds on trio's clock."""

    busy: int
    waiting: int
    at: float


class EndpointShare(NamedTuple):
    """An endpoint at the time when its load was known.

    Attributes
    ----------
    zone : str
        Its availability zone.
    slots : int
        Requests that it processes at the same time.
    others : float
        Requests of other hosts there.
    busy : float
        All requests there.
    """

    zone: str
    slots: int
    others: float
    busy: float


class SharedLoads(NamedTuple):
    """Load of a pool's endpoints, by the incarnation of each.

    Attributes
    ----------
    endpoints : mapping
        The endpoints; those without any known request are included.
    rates : mapping
        Requests per second that hosts send, by the zone of the hosts.
    at : float
        When this was known, in seconds on trio's clock.
    """

    endpoints: Mapping[str, EndpointShare]
    rates: Mapping[str, float]
    at: float

    def levels(self, now: float) -> dict[str, float]:
        """Return the share of the slots to which requests have filled the endpoints, by zone."""
        found = {}
        for zone in {share.zone for share in self.endpoints.values()}:
            busy = [(s.busy, s.slots) for s in self.endpoints.values() if s.zone == zone]
            found[zone] = filled_share(busy, self.rates.get(zone, 0.0) * max(0.0, now - self.at))
        return found


def filled_share(endpoints: Iterable[tuple[float, int]], added: float) -> float:
    """Return the share of slots to which `added` requests fill the least busy endpoints.

    Parameters
    ----------
    endpoints : iterable of tuple
        Requests and slots of each endpoint.

    Examples
    --------
    >>> filled_share([(0, 10), (4, 10), (9, 10)], added=6)
    0.5
    >>> filled_share([(0, 10), (4, 10), (9, 10)], added=0)
    0.0
    """
    slots = requests = 0.0
    level = 0.0
    order = sorted((busy / size, busy, size) for busy, size in endpoints)
    for number, (share, busy, size) in enumerate(order):
        slots += size
        requests += busy
        level = (requests + added) / slots
        is_last = number + 1 == len(order)
        if is_last or level <= order[number + 1][0]:
            return max(level, share)
    return level
