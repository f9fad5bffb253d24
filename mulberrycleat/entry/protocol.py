"""What an entry host needs to know of requests and answers, in the project's own words.

A :class:`HeaderCodec` reads and writes the headers of one platform; nothing else does.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mulberrycleat.endpoint.placer import Part
from mulberrycleat.web.upstream import AnswerHead, RawHeaders

__all__ = ["AnswerFacts", "EndpointLoad", "Forwarded", "HeaderCodec", "RequestFacts"]


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a request say.

    Attributes
    ----------
    request_id : str
        Chosen by the caller, one for each try of its own.
    time_left_s : float or None
        How long the caller waits, in seconds; None when it does not say.
    api_key : str
        Empty when there is none.
    model : str
        Empty for a plain service.
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and the most tokens to be generated.
    parts : tuple of Part
        The prompt, in order; the last part is the request's or its session's own.
    last_event_id : int or None
        Last event of the stream that the caller has.
    fault : str
        What can't be read; empty when all could.
    """

    request_id: str = ""
    time_left_s: float | None = None
    api_key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[Part, ...] = ()
    last_event_id: int | None = None
    fault: str = ""

    @property
    def largest_cost(self) -> int:
        """Most tokens that the request can consume."""
        return self.prompt_tokens + self.max_output_tokens


class EndpointLoad(NamedTuple):
    """An endpoint's own word on its load."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the headers of an endpoint's answer say.

    Attributes
    ----------
    request_id : str
        The request that is answered; empty when the answer does not say.
    sealed : bool
        Whether the answer carries the endpoint's signature.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    other_endpoint : bool
        Whether another endpoint than the one asked for has the address.
    retry_after_s : float or None
        When to come back, in seconds.
    load : EndpointLoad or None
        Load, where the endpoint tells it.
    leaving : bool
        Whether the endpoint closes the connection after this answer.
    """

    request_id: str
    sealed: bool
    not_run: bool
    other_endpoint: bool = False
    retry_after_s: float | None = None
    load: EndpointLoad | None = None
    leaving: bool = False


class Forwarded(NamedTuple):
    """What a forwarded request carries beside the caller's headers.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint that is meant.
    account : str
        Name of the client account, empty on anonymous routes.
    time_left_s : float
        How long the answer is waited for, in seconds.
    priority : int
        Rank for the endpoint, 0 to 9, 0 first.
    last_event_id : int or None
        Last event that the caller has, when a stream goes on here.
    """

    endpoint: str
    account: str
    time_left_s: float
    priority: int
    last_event_id: int | None


class HeaderCodec(Protocol):
    """Headers of requests and answers on one platform."""

    def read_request(self, headers: RawHeaders) -> RequestFacts:
        """Read a caller's headers."""
        ...

    def request_headers(self, headers: RawHeaders, forwarded: Forwarded) -> RawHeaders:
        """Return the headers for an endpoint, without those only this system may set."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Read the head of an endpoint's answer."""
        ...

    def answer_headers(self, head: AnswerHead) -> RawHeaders:
        """Return the headers for the caller."""
        ...

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of an answer of this system's own."""
        ...
