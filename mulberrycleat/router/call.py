"""One caller's request on its way through the filter chain."""

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
    """What the controller last told this router.

    Attributes
    ----------
    version : int
        Counts the changes of the view.
    manifest_version : int
        Version of the manifest in force.
    leaving : frozenset of str
        Endpoints that get no new work.
    """

    version: int = -1
    manifest_version: int = 0
    manifest: Manifest = field(default_factory=Manifest)
    leaving: frozenset[str] = frozenset()


class Sink(Protocol):
    """Where the answer goes."""

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
    """What the endpoints have done for a call so far; survives the call's cancellation.

    Attributes
    ----------
    dispatched : bool
        Whether a byte of the request may have left for an endpoint.
    count : TokenCount
        Text and tokens over all tries.
    first_at : float or None
        When the first event of the present try came, in seconds of trio's clock.
    """

    def __init__(self) -> None:
        self.dispatched = False
        self.count = TokenCount()
        self.first_at: float | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """A request and what the filters before have found out about it.

    Attributes
    ----------
    id : str
        Made by this router; endpoints and bills carry it.
    request : Request
        As received.
    view : View
        The view under which the request began; it ends under the same one.
    sink : Sink
        Where the answer goes.
    account, budget : str
        Set by the authenticate filter.
    pool : Pool or None
        Set by the admit filter, as are the fields below.
    body : mapping
        Parsed body of a request for a model.
    reserve_tokens : int
        The most that the request can cost.
    holder, reservation : str, int
        Holder of the reserved tokens and its number for them; set by the budget filter.
    idempotent : bool
        Whether it may be run again.
    idempotency_key : str
        As the caller gave it; empty when not given.
    digest : str
        Hash of the request's path and body.
    stream : bool
        Whether the caller wants server-sent events.
    deadline : float
        Time of trio's clock after which the caller does not want an answer, in seconds.
    demand : Demand or None
        Work of a request for a model; set by the admission filter.
    meter : Meter
        Shared by all copies of the call.
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
    """One step of the chain: refuses, or passes the call on and may act on the way back."""

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Handle `call`; `proceed` runs the rest of the chain."""
        ...
