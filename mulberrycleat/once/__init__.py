"""Requests that may run at most once."""

from mulberrycleat.once.fold import (
    STREAM,
    Abandon,
    Intent,
    KeyState,
    OnceRecord,
    OnceState,
    Outcome,
)

__all__ = ["STREAM", "Abandon", "Intent", "KeyState", "OnceRecord", "OnceState", "Outcome"]
