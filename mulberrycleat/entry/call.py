"""One caller's request as it passes through the filters of an entry host."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from mulberrycleat.endpoint.crashing_parts import content_id
from mulberrycleat.endpoint.placement import Work
from mulberrycleat.entry.events import EventOrder
from mulberrycleat.entry.protocol import RequestFacts
from mulberrycleat.routes import ClientAccount, Pool, Route, RouteTable
from mulberrycleat.web.asgi import Responder
from mulberrycleat.web.upstream import RawHeaders

__all__ = ["EntryCall", "Progress"]


@dataclass(slots=True)
class Progress:
    """What has been done for a request so far; still readable after its cancellation.

    Attributes
    ----------
    sends : int
        Number of attempts in which the request may have reached an endpoint.
    run_at : set of str
        Endpoints that may have run the request.
    delivered_events : int
        Number of events of a stream that were forwarded to the caller.
    order : EventOrder
        Order of these events.
    media_type : str
        Media type of a stream whose first event is forwarded.
    version : str or None
        Software version of the endpoint that began the stream, once its first event is forwarded.
    first_at : float or None
        When the first event of a stream was forwarded, in seconds on trio's clock.
    endpoint : str
        Endpoint of the last attempt.
    helper : str
        Address of the host through which that attempt is made; empty for a direct one.
    suspects : tuple of str or None
        Value of :attr:`EntryCall.suspects` once it was used.
    work : Work or None
        Value of :attr:`EntryCall.work` once it was used.
    tokens_used : int
        Tokens charged to the prepaid total for the request.
    route, account, map_version, map_age_s, deadline
        Values set by the filters, for the log line at the end of the request; the deadline is in
        seconds on trio's clock, `map_age_s` the longest time, in seconds, for which operators had
        a newer map when the route was looked up.
    """

    sends: int = 0
    run_at: set[str] = field(default_factory=set)
    delivered_events: int = 0
    order: EventOrder = field(default_factory=EventOrder)
    media_type: str = ""
    version: str | None = None
    first_at: float | None = None
    endpoint: str = ""
    helper: str = ""
    suspects: tuple[str, ...] | None = None
    work: Work | None = None
    tokens_used: int = 0
    route: str = ""
    account: str = ""
    map_version: int = -1
    map_age_s: float = math.inf
    deadline: float = math.inf

    @property
    def runs(self) -> int:
        """Number of endpoints that may have run the request."""
        return len(self.run_at)

    @property
    def last_event_id(self) -> int | None:
        """Id of the last event of the stream that the caller has, None if no event had an id."""
        return self.order.last_id


@dataclass(frozen=True, slots=True)
class EntryCall:
    """A request, and what the filters before the present one have found for it.

    Attributes
    ----------
    target, path : str
        Path with and without the query string, as received.
    arrived : float
        When the headers had been received, in seconds on trio's clock.
    table : RouteTable or None
        Route map that was active when the request began; it is used until the request ends.
    deadline : float
        When the request is aborted, in seconds on trio's clock.
    version : str or None
        Software version that began the stream which the caller takes up; None for a new stream.
    """

    method: str
    target: bytes
    path: str
    host: str
    headers: RawHeaders
    body: bytes
    arrived: float
    facts: RequestFacts
    responder: Responder
    table: RouteTable | None = None
    route: Route | None = None
    account: ClientAccount | None = None
    pool: Pool | None = None
    deadline: float = math.inf
    version: str | None = None
    progress: Progress = field(default_factory=Progress)

    @property
    def required_version(self) -> str | None:
        """The only software version that may go on with the stream, None if any may begin it."""
        return self.version if self.progress.version is None else self.progress.version

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller takes up a stream of which it has events."""
        facts = self.facts
        return self.route.resumable and (facts.last_event_id is not None or bool(facts.resumes))

    @property
    def work(self) -> Work:
        """The work that the request causes at an endpoint."""
        if self.progress.work is None:
            self.progress.work = self.facts.work
        return self.progress.work

    @property
    def suspects(self) -> tuple[str, ...]:
        """What may crash the endpoints that run the request: its content, and shared prompt parts.

        Other requests may have the same. The content comes first.
        """
        if self.progress.suspects is None:
            content = content_id(self._content())
            parts = (part.id for part in self.facts.shared_parts)
            self.progress.suspects = (content, *parts)
        return self.progress.suspects

    def _content(self) -> Iterable[bytes]:
        yield from (self.method.encode(), self.host.encode(), self.target, self.body)
        yield self.account.name.encode() if self.account is not None else b""
        yield from (f"{part.id}:{part.tokens}".encode() for part in self.facts.parts)

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is served first: the client account's, else the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
