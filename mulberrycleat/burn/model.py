"""Messages in which routers report their answers: intervals of series."""

from __future__ import annotations

import msgspec

__all__ = ["CALLER_FAULTS", "FALSE_REFUSALS", "INTERVALS_PATH", "MEASURES", "Interval", "Series"]

INTERVALS_PATH = "/burn/intervals"
# Durations that routers record, one histogram each: from the start of a request to its first token,
# between two tokens, and from the start of a request to the end of its answer.
MEASURES = ("first_token", "between_tokens", "whole_answer")

CALLER_FAULTS = frozenset(
    {
        "bad_request",
        "budget_exhausted",
        "crashing_part",
        "crashing_request",
        "key_mismatch",
        "unauthorized",
        "unknown_model",
        "unknown_route",
        "unknown_service",
    }
)
"""Codes of refusals that the caller caused and that the fleet could not have avoided."""

FALSE_REFUSALS = frozenset(
    {
        "budget_held",
        "budget_held_elsewhere",
        "log_unavailable",
        "no_endpoint",
        "no_route_map",
        "outdated_route_map",
        "host_behind",
        "overloaded",
        "stopping",
        "turned_away",
        "unavailable",
    }
)
"""Codes of refusals of requests that did not run but could safely have run."""


class Series(msgspec.Struct, frozen=True):
    """Answers to one client account at one pool in one interval.

    Attributes
    ----------
    served : int
        Requests that got a complete answer.
    refused : mapping
        Number of refusals of requests that did not run, by code.
    in_doubt : mapping
        Number of refusals of requests that may have run, by code.
    histograms : mapping
        Encoded histograms by measure; measures without a recorded value are absent.
    """

    account: str
    pool: str
    served: int = 0
    refused: dict[str, int] = {}
    in_doubt: dict[str, int] = {}
    histograms: dict[str, str] = {}


class Interval(msgspec.Struct, frozen=True):
    """Answers that one incarnation of a router gave within a time range.

    Attributes
    ----------
    router : str
        Unique id of the router's incarnation.
    number : int
        Sequence number of the interval, from 0. The newest may be reported again with a later end.
    start, end : float
        Time range, in Unix seconds.
    """

    host: str
    zone: str
    router: str
    number: int
    start: float
    end: float
    series: tuple[Series, ...] = ()
