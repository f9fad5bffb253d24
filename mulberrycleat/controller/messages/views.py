"""Messages about the active manifest and the status of a controller."""

from __future__ import annotations

import msgspec

from mulberrycleat.controller.messages.bounds import Count, WaitSeconds
from mulberrycleat.rpc import Method

__all__ = [
    "CATCH_UP",
    "CONFIRM",
    "STATUS",
    "SYNC",
    "CatchUpReply",
    "CatchUpRequest",
    "ConfirmReply",
    "ConfirmRequest",
    "HostVersion",
    "StatusReply",
    "StatusRequest",
    "SyncReply",
    "SyncRequest",
]


class SyncRequest(msgspec.Struct, frozen=True):
    """A router asks for the changes after `seen`, waiting for up to `wait_s` seconds.

    Attributes
    ----------
    seen : int
        The `version` of the last reply.
    manifest_version : int
        Version that the router uses for new requests.
    """

    router: str
    seen: int
    wait_s: WaitSeconds
    manifest_version: Count = 0


class SyncReply(msgspec.Struct, frozen=True):
    """The manifest and the states of endpoints that a router works with.

    Attributes
    ----------
    version : int
        Number of changes so far; the next request passes it as its `seen`.
    manifest_version : int
        Active version of the manifest.
    changes : tuple of bytes
        Records that lead from the router's version to this one, as MessagePack.
    snapshot : bytes
        The full state, if the records from the router's version on are no longer in memory.
    leaving : tuple of str
        Endpoints that get no new requests.
    moved : dict
        Pool that a swapped endpoint serves instead of its own, by endpoint.
    """

    version: int
    manifest_version: int
    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""
    leaving: tuple[str, ...] = ()
    moved: dict[str, str] = {}


class CatchUpRequest(msgspec.Struct, frozen=True):
    """A host that can't reach the log asks a peer for a manifest above `version`."""

    version: Count


class CatchUpReply(msgspec.Struct, frozen=True):
    """The peer's encoded state from all records below offset `next`; empty if not newer."""

    next: int
    snapshot: bytes = b""


class ConfirmRequest(msgspec.Struct, frozen=True):
    """Ask whether `version` is active, waiting for it for up to `wait_s` seconds."""

    version: Count
    wait_s: WaitSeconds


class HostVersion(msgspec.Struct, frozen=True):
    """A host's view of another host of its zone; `contact` is the membership's contact state."""

    address: str
    host: str
    version: int
    contact: str


class ConfirmReply(msgspec.Struct, frozen=True):
    """The version active on a host.

    Attributes
    ----------
    version : int
        Version active on the controller.
    routers : dict
        Active version by router.
    in_force : bool
        Whether the version asked for is active on the controller and on its routers.
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


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask for a controller's state."""


class StatusReply(msgspec.Struct, frozen=True):
    """A controller's state as JSON."""

    body: bytes


SYNC = Method("Sync", SyncRequest, SyncReply)
CATCH_UP = Method("CatchUp", CatchUpRequest, CatchUpReply)
CONFIRM = Method("Confirm", ConfirmRequest, ConfirmReply)
STATUS = Method("Status", StatusRequest, StatusReply)
