"""Records of the stream of non-idempotent requests."""

from __future__ import annotations

import msgspec

__all__ = ["STREAM", "Abandon", "Checkpoint", "Intent", "KeyEntry", "OnceRecord", "Outcome"]

STREAM = "once"


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """A host is about to dispatch the request with this key.

    Attributes
    ----------
    id : str
        Made by the writer before the first try.
    key : str
        Client account and idempotency key.
    digest : str
        Hash of the request; the same key with another request is an error of the caller.
    """

    id: str
    key: str
    digest: str
    holder: str


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """The answer of the request that the intent `id` dispatched.

    Attributes
    ----------
    kept : bool
        Whether `body` is the answer's body; False for one that was too large to keep.
    """

    id: str
    key: str
    status: int
    content_type: str
    body: bytes
    kept: bool = True


class Abandon(msgspec.Struct, frozen=True, tag="abandon"):
    """The intent `id` dispatched nothing and never will: the key is free again."""

    id: str
    key: str


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """One key in a checkpoint: the winning intent, when it was written, whether it has ended."""

    intent: Intent
    at: float
    done: bool


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """One of `parts` parts of the state as of `offset`, which is the next offset to fold."""

    id: str
    part: int
    parts: int
    offset: int
    entries: tuple[KeyEntry, ...]


OnceRecord = Intent | Outcome | Abandon | Checkpoint
