"""State of one request in the filter chain."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from result import Result

from mulberrycleat.core import Refusal, Served
from mulberrycleat.endpoint import Demand
from mulberrycleat.manifest import Manifest, Pool
from mulberrycleat.router.events import TokenCount
from mulberrycleat.web import Request

__all__ = ["Call", "Filter", "Meter", "Proceed", "Sink", "View"]


@dataclass(frozen=True, slots=True)
class View:
    """Manifest and leaving endpoints as last received from the controller.

    Attributes
    ----------
    version : int
        Number of the view, increased with each change; -1 before the first view.
    manifest_version : int
        Version of the active manifest; 0 if there is none.
    leaving : frozenset of str
        Names of endpoints that get no new requests.
    """

    version: int = -1
    manifest_version: int = 0
    manifest: Manifest = field(default_factory=Manifest)
    leaving: frozenset[str] = frozenset()


class Sink(Protocol):
    """Destination of an answer."""

    @property
    def started(self) -> bool:
        """Whether part of the answer has been sent."""
        ...

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the status line and the headers."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        ...

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        ...


class Meter:
    """Work that the endpoints have done for a call so far; can be read after a cancellation.

    Attributes
    ----------
    dispatched : bool
        Whether any part of the request may have been sent to an endpoint.
    is_unknown : bool
        Whether the only engine that it was sent to says that it does not know the request. Nothing
        is billed then, but it proves nothing: an engine that has started again knows no request.
    count : TokenCount
        Text and token counts over all attempts.
    first_at : float or None
        Time of the first event of the current attempt, in seconds on trio's clock.
    """

    def __init__(self) -> None:
        self.dispatched = False
        self.is_unknown = False
        self.count = TokenCount()
        self.first_at: float | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A request and the fields that earlier filters have set.

    Attributes
    ----------
    id : str
        Request id made by this router, also used at endpoints and in settlements.
    request : Request
        The request as received.
    view : View
        View at the start of the request; the request uses it to the end.
    sink : Sink
        Destination of the answer.
    account, budget : str
        Client account and budget of the caller's key, set by the authenticate filter.
    pool : Pool or None
        Set by the validation filter, as are the fields below.
    body : mapping
        Parsed body of a request for a model.
    reserve_tokens : int
        Largest possible cost of the request, in tokens.
    holder, reservation : str, int
        Holder of the reserved tokens, and sequence number of the reservation at this holder; set by
        the budget filter.
    idempotent : bool
        Whether the request may be run more than once.
    idempotency_key : str
        Key sent by the caller, empty if there is none.
    digest : str
        SHA-256 hash of the request's path, query and body.
    stream : bool
        Whether the caller requested server-sent events.
    deadline : float
        Time after which the request is ended, in seconds on trio's clock.
    demand : Demand or None
        Estimated work of a request for a model, set by the admission filter.
    meter : Meter
        Work done by endpoints; shared by all copies of the call.
    """

    id: str
    request: Request
    view: View
    sink: Sink
    account: str = ""
    budget: str = ""
    pool: Pool | None = None
    body: Mapping[str, Any] = field(default_factory=dict)
    reserve_tokens: int = 0
    holder: str = ""
    reservation: int = 0
    idempotent: bool = True
    idempotency_key: str = ""
    digest: str = ""
    stream: bool = False
    deadline: float = math.inf
    demand: Demand | None = None
    meter: Meter = field(default_factory=Meter)


Proceed = Callable[[Call], Awaitable[Result[Served, Refusal]]]


class Filter(Protocol):
    """One step of the chain: refuses a call, or forwards it and may act on the outcome."""

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Handle `call`; `proceed` runs the rest of the chain."""
        ...
