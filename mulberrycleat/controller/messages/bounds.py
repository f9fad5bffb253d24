"""Bounds of the numbers in messages, and the empty reply."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = ["Ack", "Count", "Status", "Tokens", "WaitSeconds"]

MAX_COUNT = 10**15
MAX_WAIT_S = 60.0

Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
WaitSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)]
Status = Annotated[int, msgspec.Meta(ge=100, le=599)]


class Ack(msgspec.Struct, frozen=True):
    """An empty reply."""
