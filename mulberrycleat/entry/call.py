"""One caller's request on its way through the filters of an entry host."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mulberrycleat.entry.protocol import RequestFacts
from mulberrycleat.routes import Pool, PrepaidAccount, Route, RouteTable
from mulberrycleat.web.asgi import Responder
from mulberrycleat.web.upstream import RawHeaders

__all__ = ["EntryCall", "Progress"]


@dataclass(slots=True)
class Progress:
    """What has been done for a request so far; survives its cancellation.

    Attributes
    ----------
    sends : int
        Times that the request may have arrived at an endpoint.
    runs : int
        Of these, times that an endpoint may have run it.
    delivered_events : int
        Events of a stream that were passed on to the caller.
    last_event_id : int or None
        The last of them.
    first_at : float or None
        When the first part of the answer was passed on, in seconds of trio's clock.
    endpoint : str
        The endpoint that was asked last.
    tokens_used : int
        Tokens of the prepaid total that the request was charged.
    route, account, map_version, deadline
        What the filters found out, for the log line at the end.
    """

    sends: int = 0
    runs: int = 0
    delivered_events: int = 0
    last_event_id: int | None = None
    first_at: float | None = None
    endpoint: str = ""
    tokens_used: int = 0
    route: str = ""
    account: str = ""
    map_version: int = -1
    deadline: float = math.inf


@dataclass(frozen=True, slots=True)
class EntryCall:
    """A request and what the filters before have found out about it.

    Attributes
    ----------
    target, path : str
        Path with and without the query, as received.
    arrived : float
        When the headers had been read, in seconds of trio's clock.
    table : RouteTable or None
        The route map under which the request began; it ends under the same one.
    deadline : float
        Until when an answer is of use, in seconds of trio's clock.
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
    account: PrepaidAccount | None = None
    pool: Pool | None = None
    deadline: float = math.inf
    progress: Progress = field(default_factory=Progress)

    @property
    def priority(self) -> int:
        """Rank of the request, that of the client account before that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
