"""What a router tells of its answers: intervals of series."""

from __future__ import annotations

import msgspec

__all__ = ["FALSE_REFUSALS", "INTERVALS_PATH", "MEASURES", "OWN_FAULTS", "Interval", "Series"]

INTERVALS_PATH = "/burn/intervals"
MEASURES = ("first_token", "between_tokens", "whole_answer")

OWN_FAULTS = frozenset(
    {
        "bad_request",
        "budget_exhausted",
        "key_mismatch",
        "unauthorized",
        "unknown_model",
        "unknown_route",
        "unknown_service",
    }
)
"""Codes of refusals that no other behaviour of the fleet could have avoided."""

FALSE_REFUSALS = frozenset(
    {
        "budget_held",
        "budget_held_elsewhere",
        "log_unavailable",
        "no_endpoint",
        "no_route_map",
        "overloaded",
        "stopping",
        "turned_away",
        "unavailable",
    }
)
"""Codes of refusals as not run of requests that could safely have run."""


class Series(msgspec.Struct, frozen=True):
    """One client account at one pool.

    Attributes
    ----------
    served : int
        Answers in full.
    refused : mapping
        Refusals as not run, by code.
    in_doubt : mapping
        Refusals as may have run, by code.
    histograms : mapping
        Encoded histograms by measure; those without a value are left out.
    """

    account: str
    pool: str
    served: int = 0
    refused: dict[str, int] = {}
    in_doubt: dict[str, int] = {}
    histograms: dict[str, str] = {}


class Interval(msgspec.Struct, frozen=True):
    """What one incarnation of a router saw between two times (Unix seconds).

    Attributes
    ----------
    number : int
        Counts the router's intervals from 0; the newest may be told again with a later end.
    """

    host: str
    zone: str
    router: str
    number: int
    start: float
    end: float
    series: tuple[Series, ...] = ()
