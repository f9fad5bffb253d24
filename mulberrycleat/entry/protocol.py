"""Platform-independent facts that an entry host reads from and writes to headers.

Only a :class:`HeaderCodec` reads and writes the headers of a platform.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from mulberrycleat.endpoint.placement import Part, Work
from mulberrycleat.endpoint.statements import Leaving, Pause, Statement
from mulberrycleat.web.upstream import AnswerHead, RawHeaders

__all__ = ["AnswerFacts", "EndpointLoad", "ForwardingFacts", "HeaderCodec", "RequestFacts"]


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Facts stated by the headers of a request.

    Attributes
    ----------
    request_id : str
        Id chosen by the caller, a new one for each of its own attempts.
    remaining_s : float or None
        Time for which the caller still waits, in seconds; None if not stated.
    api_key : str
        Key of the client account; empty if there is none.
    model : str
        Name of the model; empty for a plain service.
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and the largest number of tokens to generate.
    parts : tuple of Part
        Parts of the prompt in order; the last part belongs to the request or its session alone.
    last_event_id : int or None
        Id of the last event of the stream that the caller has received.
    resumes : str
        Id of the caller's attempt that brought the first event of the stream; empty if not stated.
    fault : str
        Faults found in the headers; empty if all could be read.
    """

    request_id: str = ""
    remaining_s: float | None = None
    api_key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple[Part, ...] = ()
    last_event_id: int | None = None
    resumes: str = ""
    fault: str = ""

    @property
    def largest_cost(self) -> int:
        """Largest number of tokens that the request can consume."""
        return self.prompt_tokens + self.max_output_tokens

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """Parts that other requests may have too: all but the last."""
        return self.parts[:-1]

    @property
    def work(self) -> Work:
        """The request's work, without the prompt's last part: no other request shares it.

        A prompt of a single part keeps that part.
        """
        shared = self.shared_parts if len(self.parts) > 1 else self.parts
        return Work(self.prompt_tokens, shared)


class EndpointLoad(NamedTuple):
    """An endpoint's load report.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait there, and how many it runs at the same time.
    slowness : float or None
        How long work takes on the endpoint's machine right now, as a multiple of the usual time;
        None if not stated. It changes many times per second.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Facts stated by the headers of an endpoint's answer.

    Attributes
    ----------
    request_id : str
        Id of the request that is answered; empty if not stated.
    signed : bool
        Whether the answer carries the endpoint's signature.
    not_run : bool
        Whether the endpoint states that it did not run the request.
    misdirected : bool
        Whether the address now belongs to another endpoint than the intended one.
    retry_after_s : float or None
        Time after which a retry is suggested, in seconds.
    load : EndpointLoad or None
        Load report, if the answer has one.
    limit_per_s : float or None
        Requests that the endpoint takes from all hosts together, a second, if it states a limit.
    rejections_per_s : float or None
        Requests that the endpoint can turn away for want of room, a second, if it is brittle.
    pause_s : float or None
        Time for which the endpoint wants no requests of this host, in seconds, if it states one.
    leaving : bool
        Whether the endpoint states that it leaves.
    fault : str
        What the endpoint states and can't be read; empty if there is nothing.
    """

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool = False
    retry_after_s: float | None = None
    load: EndpointLoad | None = None
    limit_per_s: float | None = None
    rejections_per_s: float | None = None
    pause_s: float | None = None
    leaving: bool = False
    fault: str = ""

    @property
    def statements(self) -> tuple[Statement, ...]:
        """What the endpoint states of itself."""
        pause = () if self.pause_s is None else (Pause(self.pause_s),)
        return (*pause, Leaving()) if self.leaving else pause


class ForwardingFacts(NamedTuple):
    """Facts added to the caller's headers when a request is forwarded.

    Attributes
    ----------
    endpoint : str
        Id of the intended endpoint.
    account : str
        Name of the client account; empty on anonymous routes.
    remaining_s : float
        Remaining time for the answer, in seconds.
    priority : int
        Rank of the request at the endpoint, 0 to 9; 0 is served first.
    last_event_id : int or None
        Id of the last event that the caller has received, if a stream is resumed.
    """

    endpoint: str
    account: str
    remaining_s: float
    priority: int
    last_event_id: int | None


class HeaderCodec(Protocol):
    """Reads and writes the headers of requests and answers of one platform."""

    def read_request(self, headers: RawHeaders) -> RequestFacts:
        """Read a caller's headers."""
        ...

    def request_headers(self, headers: RawHeaders, forwarded: ForwardingFacts) -> RawHeaders:
        """Return the headers for an endpoint; a caller can't set those reserved to this system."""
        ...

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Read the head of an endpoint's answer."""
        ...

    def identity_request(self, address: str) -> tuple[bytes, bytes, RawHeaders]:
        """Return method, path and headers with which an endpoint is asked what it is."""
        ...

    def read_identity(self, head: AnswerHead, body: bytes) -> float | None:
        """Return the start that an endpoint states, as in its entry; None if it states none."""
        ...

    def answer_headers(self, head: AnswerHead) -> RawHeaders:
        """Return the headers of an endpoint's answer for the caller."""
        ...

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> RawHeaders:
        """Return the headers of a refusal that this host sends."""
        ...
