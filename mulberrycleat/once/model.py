"""Records of the log stream of non-idempotent requests."""

from __future__ import annotations

import msgspec

__all__ = [
    "STREAM",
    "Abandon",
    "Answer",
    "Checkpoint",
    "Intent",
    "KeyEntry",
    "OnceRecord",
    "Outcome",
]

STREAM = "once"


class Intent(msgspec.Struct, frozen=True, tag="intent"):
    """States that a host is about to dispatch the request with this key.

    Attributes
    ----------
    id : str
        Identifier that the writer generated before its first attempt to append the record.
    key : str
        Client account and idempotency key.
    digest : str
        Hash of the request; reusing the key for a different request is an error of the caller.
    """

    id: str
    key: str
    digest: str
    holder: str


class Outcome(msgspec.Struct, frozen=True, tag="outcome"):
    """The response to the request that was dispatched under the intent `id`.

    Attributes
    ----------
    kept : bool
        Whether `body` is the response body; False when the body was not kept. In a folded state,
        also False after the body was evicted, and for a key restored without it.
    """

    id: str
    key: str
    status: int
    content_type: str
    body: bytes
    kept: bool = True


class Abandon(msgspec.Struct, frozen=True, tag="abandon"):
    """States that the intent `id` was not and will not be dispatched: the key is free again."""

    id: str
    key: str


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """The response to an idempotent request with a key, which needs no intent before it."""

    id: str
    key: str
    digest: str
    holder: str
    status: int
    content_type: str
    body: bytes


class KeyEntry(msgspec.Struct, frozen=True, array_like=True):
    """One key in a checkpoint.

    Attributes
    ----------
    intent : Intent
        The winning intent.
    at : float
        Unix time at which the log wrote the intent, in seconds.
    done : bool
        Whether the outcome is known.
    """

    intent: Intent
    at: float
    done: bool


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """One part of a checkpoint: some keys of the state after all records below `offset`.

    Attributes
    ----------
    id : str
        Identifier of the checkpoint, the same in all parts.
    part : int
        Number of this part, from 0.
    parts : int
        Number of parts of the checkpoint.
    """

    id: str
    part: int
    parts: int
    offset: int
    entries: tuple[KeyEntry, ...]


OnceRecord = Intent | Outcome | Abandon | Answer | Checkpoint
