"""Rate limits that endpoints state for the requests of all entry hosts together. Free of I/O.

An endpoint in need states in its answers how many requests a second it takes. The hosts share that
rate without asking each other: all of them know the same limits, from reports in one log, and the
same order of hosts for an endpoint. The first hosts of the order have equal parts of the rate; the
others send nothing. There are so few first hosts, and each saves up so few requests, that all of
them together can't send more at once than the endpoint takes in `BURST_S`, and `BURST_REQUESTS`
more.

The rate that a cold endpoint takes (see :mod:`mulberrycleat.endpoint.cold`) is shared alike. Hosts
that don't know how many others there are send nothing to it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from itertools import islice
from typing import NamedTuple

from mulberrycleat.endpoint.cold import ColdBound, ColdEndpoints
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.reports import LimitReport

__all__ = ["EndpointLimits", "HostPlace", "LimitChange"]

# Requests that all hosts together may send at once: those of the endpoint's rate in this time, in
# seconds, and so many more. Endpoints tolerate half of the limit more over four seconds, and five
# requests more.
BURST_S, BURST_REQUESTS = 1.5, 3
# A stated limit that differs by no more than this share from the known one changes nothing, so that
# an endpoint that recomputes it for each answer causes no report for each.
CHANGE_SHARE = 0.1
# A limit that is still stated is reported again after this time, in seconds.
RENEWAL_INTERVAL_S = 10.0
# A host without a part of the rate sends one request if the limit has not been reported for this
# time, in seconds; each next host in the order waits longer by the step.
PROBE_INTERVAL_S, PROBE_STEP_S = 30.0, 2.0


class HostPlace(NamedTuple):
    """A host's place in the order of the active hosts, from 0, and the number of these hosts."""

    rank: int
    hosts: int


class LimitChange(NamedTuple):
    """A limit that is known from now on, in requests per second; None if there is none any more."""

    endpoint: str
    limit_per_s: float | None


@dataclass(slots=True)
class _Part:
    """This host's part of a rate that all hosts share; times are in seconds.

    Attributes
    ----------
    requests : float
        Requests that this host may send now; grows with its part of the rate.
    updated_at : float
        Time that `requests` is for.
    """

    requests: float
    updated_at: float

    def wait_s(self, rate_per_s: float, burst: float, sharing: int, now: float) -> float:
        """Return the time until a request may be sent; `sharing` hosts have equal parts."""
        rate = rate_per_s / sharing
        most = max(1.0, burst / sharing)
        self.requests = min(most, self.requests + rate * (now - self.updated_at))
        self.updated_at = now
        return max(0.0, (1.0 - self.requests) / rate)

    def take(self) -> None:
        """Count a request that was sent."""
        self.requests = max(0.0, self.requests - 1.0)


@dataclass(slots=True)
class _Limit:
    """A limit, and this host's part of it; times are in seconds.

    Attributes
    ----------
    limit_per_s : float
        Requests a second that the endpoint takes from all hosts together.
    learned_at : float
        When this host learned of the limit or of its latest change.
    reported_at : float
        When the limit was last reported by any host, or probed by this one.
    part : _Part
        This host's part.
    """

    limit_per_s: float
    learned_at: float
    reported_at: float
    part: _Part


class EndpointLimits:
    """The limits that endpoints state, and this host's part of them.

    Times `now` are in seconds, on any clock that does not go back.

    Parameters
    ----------
    place : callable
        Returns this host's place in the order of all hosts for an endpoint, given its incarnation
        and its availability zone. The order is the same at all hosts.
    cold : ColdEndpoints, optional
        The endpoints that are cold, and what they take.
    knows_hosts : callable, optional
        Whether the order is known to have all active hosts, of which none has it otherwise.

    Examples
    --------
    >>> entry = Entry("e1", "huts", "10.0.0.1:80", "a")
    >>> limits = EndpointLimits(lambda endpoint, zone: HostPlace(rank=0, hosts=2))
    >>> limits.observe(entry.incarnation, 4.0, has_run=True, sent_at=0.0, now=0.0)
    LimitReport(endpoint='e1/0.000', limit_per_s=4.0)
    >>> limits.wait_s(entry, now=0.0), limits.wait_s(entry, now=0.5)
    (0.5, 0.0)
    """

    def __init__(
        self,
        place: Callable[[str, str], HostPlace],
        cold: ColdEndpoints | None = None,
        knows_hosts: Callable[[], bool] = lambda: True,
    ) -> None:
        self._place = place
        self._cold = cold
        self._knows_hosts = knows_hosts
        # This host's parts of the rates of cold endpoints, by incarnation.
        self._cold_parts: dict[str, _Part] = {}
        self._limits: dict[str, _Limit] = {}

    @property
    def stated(self) -> dict[str, float]:
        """The limits, in requests per second, by the endpoint's incarnation."""
        return {endpoint: limit.limit_per_s for endpoint, limit in self._limits.items()}

    def sendable(self, entries: Collection[Entry], now: float) -> list[Entry]:
        """Return the endpoints of a pool to which this host may send a request now."""
        if not self._limits and not self.bounds_cold(entries):
            return list(entries)
        return [entry for entry in entries if self.wait_s(entry, now) <= 0]

    def wait_s(self, entry: Entry, now: float) -> float:
        """Return the time until this host may send a request to an endpoint, in seconds."""
        return max(self._stated_wait_s(entry, now), self._cold_wait_s(entry, now))

    def bounds_cold(self, entries: Collection[Entry]) -> bool:
        """Whether there is a bound for cold endpoints of the pool to which `entries` belong.

        Without one, no request costs a look at each endpoint.
        """
        if self._cold is None:
            return False
        return any(self._cold.bounds_pool(entry.pool) for entry in islice(entries, 1))

    def is_cold(self, entry: Entry, now: float) -> bool:
        """Whether an endpoint gets fewer requests because it is cold."""
        return self._cold is not None and self._cold.bound(entry, now) is not None

    def _cold_wait_s(self, entry: Entry, now: float) -> float:
        """Return the time until a cold endpoint takes a request of this host, in seconds."""
        bound = self._cold.bound(entry, now) if self._cold is not None else None
        if bound is None:
            return 0.0
        part = self._cold_parts.get(entry.incarnation)
        if part is None or part.updated_at < bound.since:
            part = self._cold_parts[entry.incarnation] = _Part(0.0, bound.since)
        sharing = self._cold_sharing(entry, bound)
        if sharing is None:
            # What a host saves up is for the time in which it has a part.
            part.requests, part.updated_at = 0.0, now
            return bound.until - now
        wait_s = part.wait_s(bound.rate_per_s, bound.burst, sharing, now)
        return min(wait_s, bound.until - now)

    def _cold_sharing(self, entry: Entry, bound: ColdBound) -> int | None:
        """Return how many hosts share the rate of a cold endpoint; None if this one has no part."""
        if bound.rate_per_s <= 0 or not self._knows_hosts():
            return None
        place = self._place(entry.incarnation, entry.zone)
        sharing = max(1, min(place.hosts, int(bound.burst)))
        return sharing if place.rank < sharing else None

    def _stated_wait_s(self, entry: Entry, now: float) -> float:
        limit = self._limits.get(entry.incarnation)
        if limit is None:
            return 0.0
        place = self._place(entry.incarnation, entry.zone)
        sharing = _sharing_hosts(limit, place)
        if place.rank >= sharing or limit.limit_per_s <= 0:
            probe_at = limit.reported_at + PROBE_INTERVAL_S + PROBE_STEP_S * place.rank
            return max(0.0, probe_at - now)
        burst = BURST_S * limit.limit_per_s + BURST_REQUESTS
        return limit.part.wait_s(limit.limit_per_s, burst, sharing, now)

    def record_send(self, entry: Entry, now: float) -> None:
        """Record that a request was sent to an endpoint."""
        if entry.incarnation in self._cold_parts:
            self._cold_parts[entry.incarnation].take()
        limit = self._limits.get(entry.incarnation)
        if limit is None:
            return
        limit.part.take()
        place = self._place(entry.incarnation, entry.zone)
        if place.rank >= _sharing_hosts(limit, place) or limit.limit_per_s <= 0:
            limit.reported_at = now

    def observe(
        self, endpoint: str, limit_per_s: float | None, has_run: bool, sent_at: float, now: float
    ) -> LimitReport | None:
        """Apply what an answer states; return what to report to the other hosts, if anything.

        Parameters
        ----------
        endpoint : str
            Incarnation of the endpoint.
        limit_per_s : float or None
            The limit that the answer states, if it states one.
        has_run : bool
            Whether the endpoint has run the request. Only such an answer without a limit ends one.
        sent_at : float
            When the request was sent, in seconds. An answer without a limit may be older than the
            limit that is known, unless its request was sent later.
        """
        known = self._limits.get(endpoint)
        if limit_per_s is None:
            if known is None or not has_run or sent_at <= known.learned_at:
                return None
            del self._limits[endpoint]
            return LimitReport(endpoint, None)
        if known is not None and _is_same(known.limit_per_s, limit_per_s):
            if now - known.reported_at < RENEWAL_INTERVAL_S:
                return None
            known.limit_per_s, known.reported_at = limit_per_s, now
            return LimitReport(endpoint, limit_per_s)
        self._learn(endpoint, limit_per_s, now)
        return LimitReport(endpoint, limit_per_s)

    def apply(self, report: LimitReport, now: float) -> LimitChange | None:
        """Apply a report of any host; return the change that it makes here, if any."""
        known = self._limits.get(report.endpoint)
        if report.limit_per_s is None:
            if known is None:
                return None
            del self._limits[report.endpoint]
            return LimitChange(report.endpoint, None)
        if known is not None and _is_same(known.limit_per_s, report.limit_per_s):
            known.limit_per_s, known.reported_at = report.limit_per_s, now
            return None
        self._learn(report.endpoint, report.limit_per_s, now)
        return LimitChange(report.endpoint, report.limit_per_s)

    def retain(self, endpoints: Collection[str], now: float) -> None:
        """Forget the limits of endpoints that are not in `endpoints`.

        A limit learned a short time ago is kept: reports may arrive before the endpoint's entry.
        """
        for endpoint, limit in list(self._limits.items()):
            if endpoint not in endpoints and now - limit.reported_at >= PROBE_INTERVAL_S:
                del self._limits[endpoint]
        self._cold_parts = {e: part for e, part in self._cold_parts.items() if e in endpoints}

    def _learn(self, endpoint: str, limit_per_s: float, now: float) -> None:
        known = self._limits.get(endpoint)
        if known is None:
            self._limits[endpoint] = _Limit(limit_per_s, now, now, _Part(0.0, now))
            return
        known.limit_per_s = limit_per_s
        known.learned_at = known.reported_at = now


def _is_same(known_per_s: float, stated_per_s: float) -> bool:
    return abs(stated_per_s - known_per_s) <= CHANGE_SHARE * known_per_s


def _sharing_hosts(limit: _Limit, place: HostPlace) -> int:
    """Return the number of hosts that share the rate of an endpoint."""
    return max(1, min(place.hosts, int(BURST_S * limit.limit_per_s)))
