"""What entry hosts report to each other about endpoints, in a log that all of them read."""

from __future__ import annotations

from typing import Annotated

import msgspec

from mulberrycleat.core import Position

__all__ = [
    "MAX_PARTS",
    "AnswerReport",
    "CrashReport",
    "EndpointReport",
    "LimitReport",
    "PartReport",
    "RefusalRenewal",
]

IncarnationName = Annotated[str, msgspec.Meta(max_length=256)]
PartId = Annotated[str, msgspec.Meta(max_length=128)]
MAX_PARTS = 64
Parts = Annotated[tuple[PartId, ...], msgspec.Meta(max_length=MAX_PARTS)]


class CrashReport(msgspec.Struct, frozen=True, tag="crash"):
    """An endpoint closed the connection before any part of an answer came.

    Attributes
    ----------
    endpoint : str
        The endpoint and its start.
    parts : tuple of str
        Content and prompt parts of the request that other requests may have too.
    retry_after : str
        The endpoint at which the request had crashed before, and its start; empty if it had not.
    read_to, era : int
        Offset to which the host had read the log when it sent the request, and the era of the log
        in which it is valid.
    """

    endpoint: IncarnationName
    parts: Parts
    read_to: Annotated[int, msgspec.Meta(ge=0)]
    era: Annotated[int, msgspec.Meta(ge=0)] = 0
    retry_after: IncarnationName = ""

    @property
    def read_position(self) -> Position:
        """Position to which the host had read the log when it sent the request."""
        return Position(self.era, self.read_to)


class AnswerReport(msgspec.Struct, frozen=True, tag="answer"):
    """An answer to a request with these parts has begun, so none of them crashes endpoints."""

    parts: Parts


class RefusalRenewal(msgspec.Struct, frozen=True, tag="refusal"):
    """A part is still refused.

    Attributes
    ----------
    part : str
        The part.
    failed_trials : int
        Number of trials that crashed an endpoint.
    read_to : int or None
        Offset to which the host had read the log when it made the renewal; None in the records of
        hosts that don't state it.
    era : int
        Era of the log in which that offset is valid.
    """

    part: PartId
    failed_trials: Annotated[int, msgspec.Meta(ge=0, le=32)]
    read_to: Annotated[int, msgspec.Meta(ge=0)] | None = None
    era: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def read_position(self) -> Position | None:
        """Position to which the host had read the log, None if it is not stated."""
        return None if self.read_to is None else Position(self.era, self.read_to)


class LimitReport(msgspec.Struct, frozen=True, tag="limit"):
    """An endpoint states a limit for the requests of all hosts, or no longer states one.

    Attributes
    ----------
    endpoint : str
        The endpoint and its start.
    limit_per_s : float or None
        Requests a second; None for no limit.
    """

    endpoint: IncarnationName
    limit_per_s: Annotated[float, msgspec.Meta(ge=0)] | None


PartReport = CrashReport | AnswerReport | RefusalRenewal
EndpointReport = PartReport | LimitReport
