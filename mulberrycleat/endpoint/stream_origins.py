"""Which pool and software version began a stream, and which versions are in service. Free of I/O.

What endpoints of different versions write does not fit together, so a stream goes on only at the
version that began it. A caller that takes up a stream names its own attempt that brought the first
event; hosts know the origin of the stream by the id of that attempt.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Annotated, NamedTuple

import msgspec

from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.stream_bases import BaseStatement

__all__ = [
    "GIVEN_UP_VERSION",
    "MAX_NAME_LENGTH",
    "MAX_REQUESTS",
    "HostVersions",
    "OriginRecord",
    "StreamOrigin",
    "StreamOrigins",
    "unknown_version",
]

# An origin is remembered for this time after it was learned, and a version after it was last seen,
# in seconds. Callers wait for no stream that long.
ORIGIN_TTL_S = 120.0
# Most origins that are remembered; the oldest ones are forgotten first.
MAX_ORIGINS = 65_536
# Most requests in one record.
MAX_REQUESTS = 1024
# Longest id of a request, and longest name of a pool or a version, in a record, in characters.
MAX_NAME_LENGTH = 256

# Begin of the names that stand for versions that are not known.
UNKNOWN_PREFIX = "unknown/"
# Version of streams that were given up before their first event, as their origin could not be
# recorded in time.
GIVEN_UP_VERSION = f"{UNKNOWN_PREFIX}given-up"

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


def unknown_version(endpoint: str, born: float | None) -> str:
    """Return a name that no version has, for a start of an endpoint."""
    return f"{UNKNOWN_PREFIX}{born}/{endpoint}"[:MAX_NAME_LENGTH]


class StreamOrigin(NamedTuple):
    """Pool and software version of the endpoint that began a stream."""

    pool: str
    version: str

    @property
    def is_known(self) -> bool:
        """Whether the version is known."""
        return not self.version.startswith(UNKNOWN_PREFIX)


class OriginRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Streams that began at one version of a pool, by the ids of the callers' attempts.

    `base` is what the host that made the record has stated, or read, about the base of the pool.
    """

    pool: Name
    version: Name
    requests: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_REQUESTS)]
    base: BaseStatement | None = None

    @property
    def origin(self) -> StreamOrigin:
        """The pool and the version."""
        return StreamOrigin(self.pool, self.version)


class HostVersions(msgspec.Struct, frozen=True):
    """What one host knows of the versions in service, for another host.

    Attributes
    ----------
    origins : tuple of StreamOrigin
        Pools and versions of which streams may still be taken up.
    hosts : tuple of str
        Addresses of the hosts that it knows.
    """

    origins: tuple[StreamOrigin, ...]
    hosts: tuple[str, ...]


class _Known(NamedTuple):
    """An origin, when it was learned, in seconds, and whether the stream began at this host."""

    origin: StreamOrigin
    at: float
    own: bool


class StreamOrigins:
    """Origins of streams by request id, and the versions seen of each pool.

    Times `now` are in seconds, on any clock that does not go back.

    Examples
    --------
    >>> origins = StreamOrigins()
    >>> origins.add("r1", StreamOrigin("engines", "v1"), now=0.0)
    >>> origins.add("r2", StreamOrigin("engines", "v2"), now=1.0)
    >>> origins.find("r1", now=2.0), origins.find("r1", now=130.0)
    (StreamOrigin(pool='engines', version='v1'), None)
    >>> sorted(origins.versions("engines", now=2.0)), origins.versions("engines", now=120.5)
    (['v1', 'v2'], {'v2'})
    """

    def __init__(self) -> None:
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._seen_at: dict[StreamOrigin, float] = {}

    def add(self, request_id: str, origin: StreamOrigin, now: float, own: bool = False) -> None:
        """Remember the origin of a stream; `own` says whether this host has begun it.

        A stream whose version was found not to be known keeps that origin: the store may do an
        append that got no answer seconds later, after the records that correct it.
        """
        known = self._known.pop(request_id, None)
        if known is not None and not known.origin.is_known:
            origin = known.origin
        own = own or (known is not None and known.own)
        self._known[request_id] = _Known(origin, now, own)
        self._seen_at[origin] = now
        while len(self._known) > MAX_ORIGINS or self._is_expired(now):
            self._known.popitem(last=False)

    def apply(self, record: OriginRecord, now: float) -> None:
        """Remember the origins in a record of any host."""
        for request_id in record.requests:
            self.add(request_id, record.origin, now)
        if record.version:
            self._seen_at[record.origin] = now

    def observe(self, entries: Iterable[Entry], now: float) -> None:
        """Note the versions of endpoints that are in the directory."""
        for entry in entries:
            self._seen_at[StreamOrigin(entry.pool, entry.version)] = now

    def find(self, request_id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        known = self._known.get(request_id)
        return known.origin if known is not None and now - known.at < ORIGIN_TTL_S else None

    def versions(self, pool: str, now: float) -> set[str]:
        """Return the versions of a pool of which streams may still be taken up."""
        return {origin.version for origin in self.seen(now) if origin.pool == pool}

    def seen(self, now: float) -> tuple[StreamOrigin, ...]:
        """Return the pools and versions of which streams may still be taken up."""
        return tuple(o for o, at in self._seen_at.items() if now - at < ORIGIN_TTL_S)

    def own_streams(self, now: float) -> list[tuple[str, StreamOrigin]]:
        """Return the ids and origins of the streams that this host has begun, oldest first."""
        return [
            (request_id, known.origin)
            for request_id, known in self._known.items()
            if known.own and now - known.at < ORIGIN_TTL_S
        ]

    def _is_expired(self, now: float) -> bool:
        oldest = next(iter(self._known.values()), None)
        return oldest is not None and now - oldest.at >= ORIGIN_TTL_S
