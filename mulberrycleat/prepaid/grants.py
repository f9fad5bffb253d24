"""Grants, donors and usage of transferred tokens, and what a new incarnation inherits."""

from __future__ import annotations

import math
from enum import Enum
from typing import Annotated, NamedTuple

from msgspec import Meta

__all__ = ["Donor", "Grant", "Inherited", "ReservationStatus", "TransferUsage"]


class ReservationStatus(Enum):
    """Outcome of a reservation of tokens.

    ``GRANTED``: reserved, from the own slice or from a transfer. ``LACKING``: the slice is too
    small, but a larger one may be possible. ``EXHAUSTED``: the total does not cover the request.
    """

    GRANTED = "granted"
    LACKING = "lacking"
    EXHAUSTED = "exhausted"


class Donor(NamedTuple):
    """Incarnation of a host that donated tokens, with the address of the host."""

    address: str
    incarnation: str


class Grant(NamedTuple):
    """Tokens reserved for a request, or why there are none.

    Attributes
    ----------
    giver : Donor or None
        Host that donated the tokens; None if they are from the own slice.
    wait_s : float
        If tokens are lacking, the time until a slice has grown enough, in seconds; infinite if none
        will.
    """

    status: ReservationStatus
    tokens: int = 0
    giver: Donor | None = None
    wait_s: float = math.inf


class Inherited(NamedTuple):
    """Tokens of one account that were counted for an earlier incarnation of the host.

    Attributes
    ----------
    silence_s : float
        Longest time that the incarnation can have run after its last record, in seconds.
    spent, limit, counted : int
        Tokens spent for sure, the limit as of the record, and the most tokens that the incarnation
        can have spent when it ended.
    """

    account: str
    silence_s: float
    spent: int
    limit: int
    counted: int


class TransferUsage(NamedTuple):
    """Tokens of an account received from one donor: how many were used, and how many not."""

    account: str
    used: Annotated[int, Meta(ge=0)]
    unused: Annotated[int, Meta(ge=0)]
