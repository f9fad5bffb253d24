"""Endpoints that fail if they have to turn away too many requests in a second. Free of I/O.

Brittle endpoints state in their answers how many requests a second they can turn away for want of
room, from all entry hosts together. The hosts share the places of an endpoint without asking each
other: all of them know the same order of hosts for it. As long as each keeps to its part, the
endpoint turns nobody away. The last hosts of the order, which may have no part, may exceed it,
but so few of them and so seldom that the endpoint can turn all excess requests away.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.rate_limits import HostPlace

__all__ = ["BrittleEndpoints"]

# What an endpoint has stated holds for this time without another answer of it, in seconds, and for
# the endpoints of its pool that have not answered since.
STATEMENT_TTL_S = 20.0
# After this time without a statement of any endpoint of a pool, in seconds, the next one begins
# another period in which they are brittle.
PERIOD_GAP_S = 2.0
# Share of the rejections of one second that excess requests may cause at once, and by their mean
# rate. The rest is for hosts that have not learned of it.
EXCESS_SHARE = 0.4


@dataclass(slots=True)
class _Excess:
    """Requests beyond its part that this host may send to an endpoint; as of `at`, in seconds."""

    requests: float
    at: float


class _Statement(NamedTuple):
    """Rejections a second that an endpoint can bear, None if it is not brittle; as of `at`."""

    rejections_per_s: float | None
    at: float


class BrittleEndpoints:
    """Pools whose endpoints are brittle, and this host's part of their places.

    Times `now` are in seconds, on any clock that does not go back.

    Parameters
    ----------
    place : callable
        Returns this host's place in the order of all hosts for an endpoint, given its incarnation
        and its availability zone. The order is the same at all hosts.

    Examples
    --------
    >>> entry = Entry("e1", "huts", "10.0.0.1:80", "a", slots=6)
    >>> brittle = BrittleEndpoints(lambda endpoint, zone: HostPlace(rank=0, hosts=3))
    >>> brittle.observe(entry, 3.0, sent_at=0.0, now=0.1)
    True
    >>> brittle.takes(entry, in_flight=1, now=0.1), brittle.takes(entry, in_flight=2, now=0.1)
    (True, False)
    """

    def __init__(self, place: Callable[[str, str], HostPlace]) -> None:
        self._place = place
        self._by_endpoint: dict[str, _Statement] = {}
        self._by_pool: dict[str, _Statement] = {}
        self._period_began: dict[str, float] = {}
        self._excess: dict[str, _Excess] = {}

    @property
    def pools(self) -> tuple[str, ...]:
        """Pools of which an endpoint has stated that it is brittle."""
        return tuple(self._by_pool)

    def observe(
        self, entry: Entry, rejections_per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Apply what an answer of an endpoint states; return whether that is news.

        Parameters
        ----------
        rejections_per_s : float or None
            Requests a second that the endpoint can turn away; None if it does not state that it is
            brittle.
        sent_at : float
            When the request was sent, in seconds. An answer without the statement may be older than
            the statement that is known, unless its request was sent later.
        """
        known = self._by_endpoint.get(entry.incarnation)
        was_brittle = known is not None and known.rejections_per_s is not None
        if rejections_per_s is None:
            if entry.pool not in self._by_pool or (was_brittle and sent_at <= known.at):
                return False
            self._by_endpoint[entry.incarnation] = _Statement(None, now)
            self._excess.pop(entry.incarnation, None)
            self._drop_expired(now)
            return was_brittle
        of_pool = self._by_pool.get(entry.pool)
        if of_pool is None or now - of_pool.at >= PERIOD_GAP_S:
            self._period_began[entry.pool] = now
        statement = _Statement(rejections_per_s, now)
        self._by_endpoint[entry.incarnation] = self._by_pool[entry.pool] = statement
        return not was_brittle

    def takes(self, entry: Entry, in_flight: int, now: float) -> bool:
        """Whether this host may send a request to an endpoint where `in_flight` of its own run."""
        statement = self._statement(entry, now)
        if statement is None or in_flight < self._part(entry):
            return True
        return self._excess_of(entry, statement, now).requests >= 1.0

    def record_send(self, entry: Entry, in_flight: int, now: float) -> None:
        """Record a request that is sent to an endpoint where `in_flight` of this host's run."""
        statement = self._statement(entry, now)
        if statement is not None and in_flight >= self._part(entry):
            self._excess_of(entry, statement, now).requests -= 1.0

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget the endpoints that are not in `endpoints`."""
        self._excess = {e: found for e, found in self._excess.items() if e in endpoints}
        self._by_endpoint = {e: found for e, found in self._by_endpoint.items() if e in endpoints}

    def _statement(self, entry: Entry, now: float) -> _Statement | None:
        """Return the statement that holds for an endpoint, None if it is not taken to be brittle.

        The endpoints of a pool become brittle together, so that one that has not answered since is
        taken to be brittle, too.
        """
        own, of_pool = self._by_endpoint.get(entry.incarnation), self._by_pool.get(entry.pool)
        if of_pool is None or now - of_pool.at >= STATEMENT_TTL_S:
            return None
        if own is None or own.at < self._period_began[entry.pool]:
            return of_pool
        return None if own.rejections_per_s is None else own

    def _drop_expired(self, now: float) -> None:
        """Forget pools without a statement for a while."""
        for pool, statement in list(self._by_pool.items()):
            if now - statement.at >= STATEMENT_TTL_S:
                del self._by_pool[pool]

    def _part(self, entry: Entry) -> int:
        """Return the number of an endpoint's places that are for this host alone."""
        place = self._place(entry.incarnation, entry.zone)
        hosts = max(1, place.hosts)
        if place.rank >= hosts:
            return 0
        return entry.slots // hosts + (place.rank < entry.slots % hosts)

    def _excess_of(self, entry: Entry, statement: _Statement, now: float) -> _Excess:
        place = self._place(entry.incarnation, entry.zone)
        rate = EXCESS_SHARE * statement.rejections_per_s
        sharing = min(place.hosts, int(rate))
        excess = self._excess.setdefault(entry.incarnation, _Excess(0.0, now))
        if place.rank >= place.hosts - sharing:
            gained = (now - excess.at) * rate / max(1, sharing)
            excess.requests = min(1.0, excess.requests + gained)
        excess.at = now
        return excess
