"""What entry hosts report to each other about endpoints, in a log that all of them read."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = ["AnswerReport", "CrashReport", "EndpointReport", "RefusalRenewal"]

PartId = Annotated[str, msgspec.Meta(max_length=128)]
Parts = Annotated[tuple[PartId, ...], msgspec.Meta(max_length=64)]


class CrashReport(msgspec.Struct, frozen=True, tag="crash"):
    """An endpoint closed the connection before any part of an answer came.

    Attributes
    ----------
    endpoint : str
        The endpoint and its start.
    parts : tuple of str
        Prompt parts of the request that other requests may have too.
    read_to : int
        Offset to which the host had read the log when it sent the request.
    """

    endpoint: Annotated[str, msgspec.Meta(max_length=256)]
    parts: Parts
    read_to: Annotated[int, msgspec.Meta(ge=0)]


class AnswerReport(msgspec.Struct, frozen=True, tag="answer"):
    """An answer to a request with these parts has begun, so none of them crashes endpoints."""

    parts: Parts


class RefusalRenewal(msgspec.Struct, frozen=True, tag="refusal"):
    """A part is still refused; `failed_trials` counts the trials that crashed an endpoint."""

    part: PartId
    failed_trials: Annotated[int, msgspec.Meta(ge=0, le=32)]


EndpointReport = CrashReport | AnswerReport | RefusalRenewal
