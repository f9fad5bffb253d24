"""The two kinds of refusal and the steps at which they occur.

A refusal is either :class:`NotRun` (the request was certainly not run) or :class:`MayHaveRun`
(part of it may have been sent to an endpoint). They are separate types at every layer, from the
socket to the caller, so that one can't be converted to the other by accident.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from result import Result

__all__ = ["MayHaveRun", "NotRun", "PeerError", "Refusal", "RequestResult", "Served", "Step"]


class Step(Enum):
    """Step of a request or of a control action at which an error occurred."""

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
    """Refusal of a request of which no part was run.

    Attributes
    ----------
    step : Step
        Step at which the request was refused.
    peer : str
        The endpoint, host or service concerned; empty when this process refused the request.
    reason : str
        A sentence for the caller.
    status : int
        HTTP status code.
    retry_after_s : float or None
        Time after which to retry, in seconds; None when a retry does not help.
    code : str
        A short fixed code for metrics and reports, such as ``budget_exhausted``.
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
    """Refusal of a request that an endpoint may have run, in part or in full.

    The other attributes are those of :class:`NotRun`. There is no ``retry_after_s``, because
    whether to retry is the caller's decision.

    Attributes
    ----------
    cost_tokens : int or None
        Tokens to bill for the work known to be done; None when only an upper limit is known, the
        request's reservation.
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
    """Error of a request or call to another process.

    Attributes
    ----------
    step : Step
        Step at which the exchange failed.
    peer : str
        The address or name of the other process.
    reason : str
        Description of the failure.
    sent : bool
        Whether any byte of the message may have been sent. False proves that the peer did
        nothing.
    retry_after_s : float or None
        Time after which the peer asked for a retry, in seconds; None when it gave no time.
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
    """Result of a request that was answered in full.

    Attributes
    ----------
    cost_tokens : int
        Tokens billed for the request.
    endpoint : str
        Name of the endpoint that served the request; ``replay`` if a stored answer was sent.
    prompt_tokens, cached_tokens, generated_tokens : int
        Tokens of the prompt, of the cached part of the prompt, and of the answer of a model; 0 for
        other services.
    """

    cost_tokens: int
    endpoint: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


RequestResult = Result[Served, Refusal]
