"""Messages by which routers and controllers keep one view."""

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
    """A router asks for what changed after `seen`, waiting up to `wait_s` seconds.

    Attributes
    ----------
    manifest_version : int
        Version that new requests at the router begin under.
    """

    router: str
    seen: int
    wait_s: WaitSeconds
    manifest_version: Count = 0


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


class CatchUpRequest(msgspec.Struct, frozen=True):
    """A host whose log is out of reach asks a peer for a manifest above `version`."""

    version: Count


class CatchUpReply(msgspec.Struct, frozen=True):
    """The peer's state, encoded, with every record below offset `next`; empty if not newer."""

    next: int
    snapshot: bytes = b""


class ConfirmRequest(msgspec.Struct, frozen=True):
    """Ask whether `version` is in force, waiting for it up to `wait_s` seconds."""

    version: Count
    wait_s: WaitSeconds


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


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask for a controller's state."""


class StatusReply(msgspec.Struct, frozen=True):
    """A controller's state as JSON."""

    body: bytes


SYNC = Method("Sync", SyncRequest, SyncReply)
CATCH_UP = Method("CatchUp", CatchUpRequest, CatchUpReply)
CONFIRM = Method("Confirm", ConfirmRequest, ConfirmReply)
STATUS = Method("Status", StatusRequest, StatusReply)
