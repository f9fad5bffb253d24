"""Idempotency keys that contain their creation time: UUIDs of version 7."""

from __future__ import annotations

import uuid

__all__ = ["key_time"]

TIMED_UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
MILLIS_PER_S = 1000.0


def key_time(key: str) -> float | None:
    """Return the creation time in a key, in Unix seconds, or None when the key contains none.

    Parameters
    ----------
    key : str
        Client account and idempotency key, separated by a colon.

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
    return (
        (found.int >> TIMESTAMP_SHIFT_BITS) / MILLIS_PER_S
        if found.version == TIMED_UUID_VERSION
        else None
    )
