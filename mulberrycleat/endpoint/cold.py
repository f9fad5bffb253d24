"""Cold endpoints: which ones are cold, and how many requests they get meanwhile. Free of I/O.

An endpoint that has just started fails if it gets too many requests. It is cold for a time that the
route map states, and for as long as its entries state. Both count from when this host has read the
entry, never from a time that another clock shows, so that an error makes the time longer.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.endpoint.directory import Entry

__all__ = ["ColdBound", "ColdEndpoints", "ColdRule"]

# Share of the most requests in a second that the hosts plan to send to a cold endpoint. The rest is
# left to requests that are delayed on their way and then arrive together, and to one host that
# takes over a part before another has noticed that it has lost it.
PLANNED_SHARE = 0.75


class ColdRule(NamedTuple):
    """What a cold endpoint of a pool bears.

    Attributes
    ----------
    start_s : float
        Time for which an endpoint is cold after its start, in seconds.
    per_s : float
        Requests a second that it takes while it is cold.
    most_per_s : float
        Most requests that may reach it in any one second, from all hosts together.
    """

    start_s: float
    per_s: float
    most_per_s: float


class ColdBound(NamedTuple):
    """How long an endpoint stays cold, and what all hosts together may send to it meanwhile.

    Attributes
    ----------
    since, until : float
        When the cold time was read to have begun, and its end, in seconds.
    rate_per_s : float
        Requests a second; 0 or less if none may be sent.
    burst : float
        Requests at once.
    """

    since: float
    until: float
    rate_per_s: float
    burst: float


@dataclass(slots=True)
class _Seen:
    """The newest entry of an endpoint, and until when it is cold because of it.

    `since` is when the present cold time was read to have begun.
    `started_at` is when its start was read, None if it had started before this host did.
    """

    entry: Entry
    started_at: float | None
    stated_until: float
    since: float


class ColdEndpoints:
    """The endpoints that are cold. Times `now` are in seconds, on any clock that does not go back.

    Parameters
    ----------
    rule_of : callable
        Returns the rule of a pool, None if the deployment states no bound.

    Examples
    --------
    >>> cold = ColdEndpoints(lambda pool: ColdRule(3.0, 11.0, 21.5))
    >>> known, started = (Entry(name, "huts", "10.0.0.1:80", "a") for name in ("e1", "e2"))
    >>> len(cold.observe([known], now=0.0)), len(cold.observe([started], now=5.0))
    (0, 1)
    >>> cold.bound(known, now=5.0), cold.bound(started, now=5.0)
    (None, ColdBound(since=5.0, until=8.0, rate_per_s=11.0, burst=5.125))
    """

    def __init__(self, rule_of: Callable[[str], ColdRule | None]) -> None:
        self._rule_of = rule_of
        self._seen: dict[str, _Seen] = {}
        self._has_read = False

    def observe(self, entries: Iterable[Entry], now: float) -> list[Entry]:
        """Apply entries that were read; return those of endpoints that have turned cold."""
        turned = []
        for entry in entries:
            was_cold = self.bound(entry, now) is not None
            self._observe(entry, now)
            if not was_cold and self.bound(entry, now) is not None:
                turned.append(entry)
        self._has_read = True
        return turned

    def note_return(self, zone: str, now: float) -> None:
        """Take the endpoints of a zone that was evacuated as started now: they may be cold."""
        for seen in self._seen.values():
            if seen.entry.zone == zone:
                seen.started_at = seen.since = now

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget the endpoints whose ids are not in `endpoints`."""
        self._seen = {name: seen for name, seen in self._seen.items() if name in endpoints}

    def count(self, now: float) -> int:
        """Return the number of cold endpoints that get fewer requests."""
        return sum(self.bound(seen.entry, now) is not None for seen in self._seen.values())

    def bounds_pool(self, pool: str) -> bool:
        """Whether the deployment states a bound for the cold endpoints of a pool."""
        return self._rule_of(pool) is not None

    def bound(self, entry: Entry, now: float) -> ColdBound | None:
        """Return what a cold endpoint may get, None for one that is not cold."""
        seen = self._seen.get(entry.id)
        if seen is None or (now >= seen.stated_until and seen.started_at is None):
            return None
        rule = self._rule_of(entry.pool)
        if rule is None:
            return None
        until = seen.stated_until
        if seen.started_at is not None:
            until = max(until, seen.started_at + rule.start_s)
        if now >= until:
            return None
        planned = PLANNED_SHARE * rule.most_per_s
        # A host needs one whole request of the burst to send any.
        rate = min(rule.per_s, planned - 1.0)
        return ColdBound(seen.since, until, rate, planned - rate)

    def _observe(self, entry: Entry, now: float) -> None:
        seen = self._seen.get(entry.id)
        if seen is None or seen.entry.incarnation != entry.incarnation:
            started_at = now if self._has_read else None
            self._seen[entry.id] = _Seen(entry, started_at, now + entry.cold_s, now)
        elif entry.sequence > seen.entry.sequence:
            # An entry that is read once more, as from another host's memory, is no news.
            if self.bound(entry, now) is None:
                seen.since = now
            seen.entry, seen.stated_until = entry, now + entry.cold_s
