"""What is said about tokens: grants, gifts and their uses, and what a start inherits."""

from __future__ import annotations

import math
from enum import Enum
from typing import NamedTuple

__all__ = ["Donor", "Grant", "Inherited", "ReservationStatus", "TransferUsage"]


class ReservationStatus(Enum):
    """Answer to a request for tokens.

    ``GRANTED``: set aside, from the own slice or from another host's gift. ``LACKING``: the slice
    is too small, a larger one may be had. ``EXHAUSTED``: the total does not cover the request.
    """

    GRANTED = "granted"
    LACKING = "lacking"
    EXHAUSTED = "exhausted"


class Donor(NamedTuple):
    """The incarnation of a host that gave tokens, with its address."""

    address: str
    incarnation: str


class Grant(NamedTuple):
    """Tokens set aside for a request, or why there are none.

    Attributes
    ----------
    giver : Donor or None
        None for the own slice.
    wait_s : float
        When the tokens are lacking, the time until a slice will have grown by them, in seconds;
        infinite when none will.
    """

    verdict: ReservationStatus
    tokens: int = 0
    giver: Donor | None = None
    wait_s: float = math.inf


class Inherited(NamedTuple):
    """What was counted of one account's tokens for an earlier incarnation of the host.

    Attributes
    ----------
    silence_s : float
        Longest time that it can have lived after its last record, in seconds.
    spent, limit, counted : int
        What it had spent for sure, its limit as of the record, and the most that it can have spent
        when it ended.
    """

    account: str
    silence_s: float
    spent: int
    limit: int
    counted: int


class TransferUsage(NamedTuple):
    """What became of one giver's tokens of an account: used, and not needed."""

    account: str
    used: int
    unused: int
