"""Idempotency keys that carry the time at which they were made: UUIDs of version 7."""

from __future__ import annotations

import uuid

__all__ = ["key_time"]

TIMED_VERSION = 7
TIME_SHIFT = 80
MILLIS_PER_S = 1000.0


def key_time(key: str) -> float | None:
    """Return when a key was made, in Unix seconds; None for a key that does not tell.

    Parameters
    ----------
    key : str
        Client account and idempotency key, parted by a colon.

    Examples
    --------
    >>> key_time("huts:0197f3a0-0000-7000-8000-000000000000")
    1752139038.72
    >>> key_time("huts:friday") is None
    True
    """
    try:
        found = uuid.UUID(key.rpartition(":")[2])
    except ValueError:
        return None
    return (found.int >> TIME_SHIFT) / MILLIS_PER_S if found.version == TIMED_VERSION else None
