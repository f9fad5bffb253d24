"""Messages between routers, controllers and the command line."""

from __future__ import annotations

import msgspec

from mulberrycleat.budget import Transfer
from mulberrycleat.eventlog import Entry
from mulberrycleat.membership import Heard
from mulberrycleat.rpc import Method

__all__ = [
    "ABANDON",
    "BEGIN",
    "CATCH_UP",
    "CONFIRM",
    "FINISH",
    "GUARD",
    "HEARTBEAT",
    "LOADS",
    "PULL",
    "READ_STREAM",
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
    "CatchUpReply",
    "CatchUpRequest",
    "ConfirmReply",
    "ConfirmRequest",
    "FinishRequest",
    "GuardReply",
    "GuardRequest",
    "Heartbeat",
    "HeartbeatReply",
    "HostVersion",
    "LoadNews",
    "LoadsReply",
    "LoadsRequest",
    "PullReply",
    "PullRequest",
    "ReadStreamReply",
    "ReadStreamRequest",
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
    """A router asks for what changed after `seen`, waiting up to `wait_s` seconds.

    Attributes
    ----------
    manifest_version : int
        Version that new requests at the router begin under.
    """

    router: str
    seen: int
    wait_s: float
    manifest_version: int = 0


class SyncReply(msgspec.Struct, frozen=True):
    """The view that a router works with.

    Attributes
    ----------
    version : int
        Counts the changes of the view; to be given as `seen` the next time.
    manifest_version : int
        Version of the manifest in force.
    changes : tuple of bytes
        Records that lead from the router's version to this one, as MessagePack.
    snapshot : bytes
        The whole state, when the records that lead to it are not kept any more.
    leaving : tuple of str
        Endpoints that get no new work.
    moved : dict
        Pool that an endpoint serves in place of its own, by endpoint.
    """

    version: int
    manifest_version: int
    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""
    leaving: tuple[str, ...] = ()
    moved: dict[str, str] = {}


class ReserveRequest(msgspec.Struct, frozen=True):
    """Set aside `tokens` of `budget` for a request. Idempotent by `request`."""

    router: str
    request: str
    budget: str
    tokens: int


class ReserveReply(msgspec.Struct, frozen=True):
    """Whether the tokens were set aside, and if not, why and when to come back (seconds).

    Attributes
    ----------
    holder : str
        Holder of the tokens; dispatches carry it, so that an endpoint can refuse a fenced one.
    number : int
        Number of the reservation, counted by the holder.
    """

    granted: bool
    code: str = ""
    reason: str = ""
    retry_after_s: float | None = None
    holder: str = ""
    number: int = 0


class Settlement(msgspec.Struct, frozen=True):
    """The actual cost of a request that had a reservation."""

    request: str
    tokens: int


class SettleRequest(msgspec.Struct, frozen=True):
    """Settlements of a router. Idempotent by request."""

    router: str
    settlements: tuple[Settlement, ...]


class PullRequest(msgspec.Struct, frozen=True):
    """A holder asks a peer of its zone to send it tokens of a budget."""

    receiver: str
    budget: str
    tokens: int


class PullReply(msgspec.Struct, frozen=True):
    """Tokens sent; once the peer has made this, they have left it. None where it has none."""

    transfer: Transfer | None = None


class GuardRequest(msgspec.Struct, frozen=True):
    """A holder asks a peer to take in what it may spend of a budget in all, at most."""

    holder: str
    budget: str
    limit: int


class GuardReply(msgspec.Struct, frozen=True):
    """Whether the limit was taken in, and by which holder."""

    taken_in: bool
    holder: str = ""


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
        ``unknown``: the key has not been seen. ``expired``: the key tells a time outside of the
        window in which keys are remembered; nothing was dispatched.
    kept : bool
        Whether the answer's body was kept.
    """

    state: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    kept: bool = True


class FinishRequest(msgspec.Struct, frozen=True):
    """Record the answer of the dispatch that `id` began."""

    id: str
    key: str
    status: int
    content_type: str
    body: bytes


class AbandonRequest(msgspec.Struct, frozen=True):
    """Record that the dispatch which `id` claimed never happened and never will."""

    id: str
    key: str


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
    offset: int
    wait_s: float


class ReadStreamReply(msgspec.Struct, frozen=True):
    """What the reader keeps; `state` is a value of :class:`~mulberrycleat.eventlog.RelayState`."""

    state: str
    earliest: int = 0
    next: int = 0
    end: int = 0
    entries: tuple[Entry, ...] = ()


class CatchUpRequest(msgspec.Struct, frozen=True):
    """A host whose log is out of reach asks a peer for a manifest above `version`."""

    version: int


class CatchUpReply(msgspec.Struct, frozen=True):
    """The peer's state, encoded, with every record below offset `next`; empty if not newer."""

    next: int
    snapshot: bytes = b""


class ConfirmRequest(msgspec.Struct, frozen=True):
    """Ask whether `version` is in force, waiting for it up to `wait_s` seconds."""

    version: int
    wait_s: float


class HostVersion(msgspec.Struct, frozen=True):
    """What a host knows of another of its zone; `contact` as in its membership."""

    address: str
    host: str
    version: int
    contact: str


class ConfirmReply(msgspec.Struct, frozen=True):
    """What is in force on a host.

    Attributes
    ----------
    version : int
        Version that the controller has in force.
    routers : dict
        Version by router.
    members : tuple of HostVersion
        The other hosts of the zone.
    """

    host: str
    zone: str
    incarnation: str
    version: int
    in_force: bool
    routers: dict[str, int]
    members: tuple[HostVersion, ...]


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
CATCH_UP = Method("CatchUp", CatchUpRequest, CatchUpReply)
CONFIRM = Method("Confirm", ConfirmRequest, ConfirmReply)
READ_STREAM = Method("ReadStream", ReadStreamRequest, ReadStreamReply)
HEARTBEAT = Method("Heartbeat", Heartbeat, HeartbeatReply)
LOADS = Method("Loads", LoadsRequest, LoadsReply)
GUARD = Method("Guard", GuardRequest, GuardReply)
PULL = Method("Pull", PullRequest, PullReply)
STATUS = Method("Status", StatusRequest, StatusReply)
