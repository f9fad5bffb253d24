"""The two kinds of refusal and the places where they arise.

A refusal is either :class:`NotRun` (the request was truly not run) or :class:`MayHaveRun` (part of
it may have left for an endpoint). They are separate types from the socket to the caller, so that
one can never be turned into the other by accident.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from result import Result

__all__ = ["MayHaveRun", "NotRun", "PeerError", "Refusal", "Served", "Step", "Verdict"]


class Step(Enum):
    """The step of a request or of a control action at which an error arose."""

    RECEIVE = "receive"
    AUTHENTICATE = "authenticate"
    ADMIT = "admit"
    DEDUPLICATE = "deduplicate"
    BUDGET = "budget"
    CHOOSE = "choose"
    DISPATCH = "dispatch"
    STREAM = "stream"
    SETTLE = "settle"
    APPEND = "append"
    READ = "read"
    CALL = "call"


@dataclass(frozen=True, slots=True)
class NotRun:
    """A refusal of a request of which nothing was run.

    Attributes
    ----------
    step : Step
        Where the refusal arose.
    peer : str
        The endpoint, host or service concerned; empty when it arose in this process.
    reason : str
        A sentence for the caller.
    status : int
        HTTP status code.
    retry_after_s : float or None
        When to come back, in seconds; None where coming back does not help.
    code : str
        A short fixed word for metrics and reports, such as ``budget_exhausted``.
    """

    step: Step
    peer: str
    reason: str
    status: int = 503
    retry_after_s: float | None = 1.0
    code: str = "unavailable"

    outcome = "not_run"


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """A refusal of a request that an endpoint may have run, in part or in full.

    The attributes are those of :class:`NotRun`; there is no ``retry_after_s``, because a repeat is
    the caller's decision.

    Attributes
    ----------
    cost_tokens : int or None
        What the request is billed; None when only its reservation bounds it.
    """

    step: Step
    peer: str
    reason: str
    status: int = 502
    code: str = "may_have_run"
    cost_tokens: int | None = None

    outcome = "may_have_run"


Refusal = NotRun | MayHaveRun


@dataclass(frozen=True, slots=True)
class PeerError:
    """A failed exchange with another process.

    Attributes
    ----------
    step : Step
        What was being done.
    peer : str
        The address or name of the other process.
    reason : str
        What went wrong.
    sent : bool
        Whether a byte of the message may have left. False proves that the peer did nothing.
    retry_after_s : float or None
        When the peer asked to be tried again, in seconds.
    """

    step: Step
    peer: str
    reason: str
    sent: bool = True
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f"{self.step.value} {self.peer}: {self.reason}"


@dataclass(frozen=True, slots=True)
class Served:
    """A request that was answered in full.

    Attributes
    ----------
    cost_tokens : int
        What the request is billed.
    endpoint : str
        The endpoint that served it.
    """

    cost_tokens: int
    endpoint: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


Verdict = Result[Served, Refusal]
