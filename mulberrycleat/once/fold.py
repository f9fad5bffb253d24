"""Fold of the stream of non-idempotent requests: the first intent for a key wins."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

__all__ = ["STREAM", "Abandon", "Intent", "KeyState", "OnceRecord", "OnceState", "Outcome"]

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
    """The answer of the request that the intent `id` dispatched."""

    id: str
    key: str
    status: int
    content_type: str
    body: str


class Abandon(msgspec.Struct, frozen=True, tag="abandon"):
    """The intent `id` dispatched nothing and never will: the key is free again."""

    id: str
    key: str


OnceRecord = Intent | Outcome | Abandon


@dataclass(frozen=True, slots=True)
class KeyState:
    """What is known of one key: the winning intent, and its outcome once there is one."""

    intent: Intent
    outcome: Outcome | None = None


class OnceState:
    """All keys as of some offset of the stream.

    Examples
    --------
    >>> state = OnceState()
    >>> state.apply(Intent("i1", "huts:k", "d", "a1"))
    >>> state.apply(Intent("i2", "huts:k", "d", "b1"))
    >>> state.find("huts:k").intent.id
    'i1'
    """

    def __init__(self) -> None:
        self._keys: dict[str, KeyState] = {}
        self._seen: set[str] = set()
        self._abandoned: set[str] = set()

    def find(self, key: str) -> KeyState | None:
        """Return what is known of `key`."""
        return self._keys.get(key)

    def seen(self, intent_id: str) -> bool:
        """Return whether the stream holds this intent."""
        return intent_id in self._seen

    def apply(self, record: OnceRecord) -> None:
        """Take in the next record of the stream."""
        match record:
            case Intent() if record.id not in self._seen:
                self._seen.add(record.id)
                if record.id not in self._abandoned:
                    self._keys.setdefault(record.key, KeyState(record))
            case Outcome():
                state = self._keys.get(record.key)
                if state and state.intent.id == record.id and state.outcome is None:
                    self._keys[record.key] = replace(state, outcome=record)
            case Abandon():
                self._abandoned.add(record.id)
                state = self._keys.get(record.key)
                if state and state.intent.id == record.id and state.outcome is None:
                    del self._keys[record.key]
