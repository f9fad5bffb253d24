"""Messages between the controllers of a zone."""

from __future__ import annotations

import msgspec

from mulberrycleat.controller.messages.bounds import Count, WaitSeconds
from mulberrycleat.eventlog import Entry
from mulberrycleat.membership import GossipEntry
from mulberrycleat.rpc import Method

__all__ = [
    "HEARTBEAT",
    "LOADS",
    "READ_STREAM",
    "CacheUpdate",
    "Heartbeat",
    "HeartbeatReply",
    "LoadsReply",
    "LoadsRequest",
    "PeerLoadReport",
    "ReadStreamReply",
    "ReadStreamRequest",
]


class Heartbeat(msgspec.Struct, frozen=True):
    """A controller reports to a peer of its zone that it runs.

    Attributes
    ----------
    address : str
        Address that the sender listens on.
    heard : tuple of GossipEntry
        Some of the other hosts and what the sender knows about them.
    """

    holder: str
    zone: str
    manifest_version: int
    address: str = ""
    heard: tuple[GossipEntry, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The peer's own state, and what it knows about some of the other hosts."""

    holder: str
    manifest_version: int
    zone: str = ""
    heard: tuple[GossipEntry, ...] = ()


class ReadStreamRequest(msgspec.Struct, frozen=True):
    """Ask the host that reads `stream` for the zone for records from `offset` on.

    The host waits for the first of these records for up to `wait_s` seconds.
    """

    stream: str
    offset: Count
    wait_s: WaitSeconds


class ReadStreamReply(msgspec.Struct, frozen=True):
    """Records of the reader; `state` is a :class:`~mulberrycleat.eventlog.RelayState` value."""

    state: str
    earliest: int = 0
    next: int = 0
    end: int = 0
    entries: tuple[Entry, ...] = ()


class PeerLoadReport(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's load report, `age_s` seconds old.

    Attributes
    ----------
    requests, waiting : int
        Requests at the endpoint, and those of them that wait for a place in the batch.
    prefill, decode : int
        Prompt tokens still to be processed, and the maximum of tokens still to be generated.
    """

    endpoint: str
    age_s: float
    requests: int
    waiting: int
    prefill: int
    decode: int


class CacheUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Prefix keys that an endpoint has ``stored`` or ``evicted``."""

    endpoint: str
    kind: str
    keys: tuple[int, ...]


class LoadsRequest(msgspec.Struct, frozen=True):
    """Ask for load reports, and for cache updates from number `seen` on.

    With `own_cache_only`, which peers set, the reply has only the cache updates that the asked host
    polled itself.
    """

    asker: str
    seen: int
    own_cache_only: bool = False


class LoadsReply(msgspec.Struct, frozen=True):
    """Load reports and cache updates; the next request passes `next` as its `seen`."""

    next: int
    loads: tuple[PeerLoadReport, ...] = ()
    cache_news: tuple[CacheUpdate, ...] = ()


READ_STREAM = Method("ReadStream", ReadStreamRequest, ReadStreamReply)
HEARTBEAT = Method("Heartbeat", Heartbeat, HeartbeatReply)
LOADS = Method("Loads", LoadsRequest, LoadsReply)
