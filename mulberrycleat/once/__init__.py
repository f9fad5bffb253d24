"""Deduplication of requests that may run at most once (non-idempotent requests)."""

from mulberrycleat.once.fold import KEY_WINDOW_S, KeyState, OnceState
from mulberrycleat.once.history import OnceHistory, checkpoint_parts
from mulberrycleat.once.model import (
    STREAM,
    Abandon,
    Answer,
    Checkpoint,
    Intent,
    KeyEntry,
    OnceRecord,
    Outcome,
)

__all__ = [
    "KEY_WINDOW_S",
    "STREAM",
    "Abandon",
    "Answer",
    "Checkpoint",
    "Intent",
    "KeyEntry",
    "KeyState",
    "OnceHistory",
    "OnceRecord",
    "OnceState",
    "Outcome",
    "checkpoint_parts",
]
