"""Messages between routers, controllers and the command line."""

from __future__ import annotations

import msgspec

from mulberrycleat.rpc import Method

__all__ = [
    "ABANDON",
    "BEGIN",
    "FINISH",
    "HEARTBEAT",
    "LOADS",
    "RECALL",
    "RESERVE",
    "SETTLE",
    "STATUS",
    "SYNC",
    "AbandonRequest",
    "Ack",
    "BeginReply",
    "BeginRequest",
    "CacheNews",
    "FinishRequest",
    "Heartbeat",
    "HeartbeatReply",
    "LoadNews",
    "LoadsReply",
    "LoadsRequest",
    "RecallRequest",
    "ReserveReply",
    "ReserveRequest",
    "Settlement",
    "SettleRequest",
    "StatusReply",
    "StatusRequest",
    "SyncReply",
    "SyncRequest",
]


class Ack(msgspec.Struct, frozen=True):
    """An empty answer."""


class SyncRequest(msgspec.Struct, frozen=True):
    """A router asks for what changed after `seen`, waiting up to `wait_s` seconds."""

    router: str
    seen: int
    wait_s: float


class SyncReply(msgspec.Struct, frozen=True):
    """The view that a router works with.

    Attributes
    ----------
    version : int
        Counts the changes of the view; to be given as `seen` the next time.
    manifest_version : int
        Version of the manifest in force.
    manifest : bytes
        The manifest as JSON; empty when it has not changed since `seen`.
    leaving : tuple of str
        Endpoints that get no new work.
    """

    version: int
    manifest_version: int
    manifest: bytes = b""
    leaving: tuple[str, ...] = ()


class ReserveRequest(msgspec.Struct, frozen=True):
    """Set aside `tokens` of `budget` for a request. Idempotent by `request`."""

    router: str
    request: str
    budget: str
    tokens: int


class ReserveReply(msgspec.Struct, frozen=True):
    """Whether the tokens were set aside, and if not, why and when to come back (seconds)."""

    granted: bool
    code: str = ""
    reason: str = ""
    retry_after_s: float | None = None


class Settlement(msgspec.Struct, frozen=True):
    """The actual cost of a request that had a reservation."""

    request: str
    tokens: int


class SettleRequest(msgspec.Struct, frozen=True):
    """Settlements of a router. Idempotent by request."""

    router: str
    settlements: tuple[Settlement, ...]


class RecallRequest(msgspec.Struct, frozen=True):
    """Ask what is known of an idempotency key."""

    key: str
    digest: str


class BeginRequest(msgspec.Struct, frozen=True):
    """Claim an idempotency key before dispatch. Idempotent by `id`."""

    id: str
    key: str
    digest: str


class BeginReply(msgspec.Struct, frozen=True):
    """Who may dispatch.

    Attributes
    ----------
    state : str
        ``won``: the asker may dispatch. ``done``: the answer is in the other fields. ``open``:
        another dispatch began and its outcome is not known. ``mismatch``: the key belongs to
        another request. ``unavailable``: the log cannot be reached; nothing was dispatched.
        ``unknown``: the key has not been seen.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: str = ""


class FinishRequest(msgspec.Struct, frozen=True):
    """Record the answer of the dispatch that `id` began."""

    id: str
    key: str
    status: int
    content_type: str
    body: str


class AbandonRequest(msgspec.Struct, frozen=True):
    """Record that the dispatch which `id` claimed never happened and never will."""

    id: str
    key: str


class Heartbeat(msgspec.Struct, frozen=True):
    """A controller tells a peer that it is there."""

    holder: str
    zone: str
    manifest_version: int


class HeartbeatReply(msgspec.Struct, frozen=True):
    """The peer's own state."""

    holder: str
    manifest_version: int


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
    """Ask for loads, and for cache news from number `seen`; peers ask for those polled there."""

    asker: str
    seen: int
    own_only: bool = False


class LoadsReply(msgspec.Struct, frozen=True):
    """Loads and cache news; `next` is to be given as `seen` the next time."""

    next: int
    loads: tuple[LoadNews, ...] = ()
    cache_news: tuple[CacheNews, ...] = ()


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask for a controller's state."""


class StatusReply(msgspec.Struct, frozen=True):
    """A controller's state as JSON."""

    body: bytes


SYNC = Method("Sync", SyncRequest, SyncReply)
RESERVE = Method("Reserve", ReserveRequest, ReserveReply)
SETTLE = Method("Settle", SettleRequest, Ack)
RECALL = Method("Recall", RecallRequest, BeginReply)
BEGIN = Method("Begin", BeginRequest, BeginReply)
FINISH = Method("Finish", FinishRequest, Ack)
ABANDON = Method("Abandon", AbandonRequest, Ack)
HEARTBEAT = Method("Heartbeat", Heartbeat, HeartbeatReply)
LOADS = Method("Loads", LoadsRequest, LoadsReply)
STATUS = Method("Status", StatusRequest, StatusReply)
