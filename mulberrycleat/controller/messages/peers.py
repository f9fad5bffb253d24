"""Messages between the controllers of a zone."""

from __future__ import annotations

import msgspec

from mulberrycleat.controller.messages.bounds import Count, WaitSeconds
from mulberrycleat.eventlog import Entry
from mulberrycleat.membership import Heard
from mulberrycleat.rpc import Method

__all__ = [
    "HEARTBEAT",
    "LOADS",
    "READ_STREAM",
    "CacheNews",
    "Heartbeat",
    "HeartbeatReply",
    "LoadNews",
    "LoadsReply",
    "LoadsRequest",
    "ReadStreamReply",
    "ReadStreamRequest",
]


class Heartbeat(msgspec.Struct, frozen=True):
    """A controller tells a peer of its zone that it is there.

    Attributes
    ----------
    address : str
        Where the sender listens.
    heard : tuple of Heard
        Some of the other hosts that the sender heard from.
    """

    holder: str
    zone: str
    manifest_version: int
    address: str = ""
    heard: tuple[Heard, ...] = ()


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The peer's own state, and some of the other hosts that it heard from."""

    holder: str
    manifest_version: int
    zone: str = ""
    heard: tuple[Heard, ...] = ()


class ReadStreamRequest(msgspec.Struct, frozen=True):
    """Ask the zone's reader for records from `offset` on, waiting up to `wait_s` seconds."""

    stream: str
    offset: Count
    wait_s: WaitSeconds


class ReadStreamReply(msgspec.Struct, frozen=True):
    """What the reader keeps; `state` is a value of :class:`~mulberrycleat.eventlog.RelayState`."""

    state: str
    earliest: int = 0
    next: int = 0
    end: int = 0
    entries: tuple[Entry, ...] = ()


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's load, `age_s` seconds old.

    Attributes
    ----------
    requests, waiting : int
        Requests there, and those of them that wait for a place in the batch.
    prefill, decode : int
        Prompt tokens still to be read, and the most tokens still to be generated.
    """

    endpoint: str
    age_s: float
    requests: int
    waiting: int
    prefill: int
    decode: int


class CacheNews(msgspec.Struct, frozen=True, array_like=True):
    """Prefix keys that an endpoint has ``stored`` or ``evicted``."""

    endpoint: str
    kind: str
    keys: tuple[int, ...]


class LoadsRequest(msgspec.Struct, frozen=True):
    """Ask for loads, and for cache news from `seen` on; peers get those polled there only."""

    asker: str
    seen: int
    own_cache_only: bool = False


class LoadsReply(msgspec.Struct, frozen=True):
    """Loads and cache news; `next` is to be given as `seen` the next time."""

    next: int
    loads: tuple[LoadNews, ...] = ()
    cache_news: tuple[CacheNews, ...] = ()


READ_STREAM = Method("ReadStream", ReadStreamRequest, ReadStreamReply)
HEARTBEAT = Method("Heartbeat", Heartbeat, HeartbeatReply)
LOADS = Method("Loads", LoadsRequest, LoadsReply)
