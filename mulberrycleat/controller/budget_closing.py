"""Fencing of replaced holders, and the endpoints' confirmations that free the holders' tokens."""

from __future__ import annotations

import logging
from typing import Any

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.budget import Bill, Confirm, Fence, Ledger, cost_of
from mulberrycleat.budget.restore import LedgerReader
from mulberrycleat.controller.budget_writer import LedgerWriter
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.core import Holder
from mulberrycleat.eventlog import EventLog
from mulberrycleat.manifest import Endpoint, Price
from mulberrycleat.manifest.history import HistoricalItems, read_historical_items
from mulberrycleat.web import BaseHttpClient

__all__ = ["FenceRunner"]

log = logging.getLogger(__name__)

CHECK_EVERY_S = 1.0
FENCE_TIMEOUT_S = 2.0


class FencedRequest(msgspec.Struct, frozen=True):
    """Tokens that an endpoint processed for one request of a fenced holder.

    Attributes
    ----------
    number : int
        Sequence number of the request's reservation at the holder.
    """

    request_id: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    number: int = 0
    budget: str = ""


class FenceAnswer(msgspec.Struct, frozen=True):
    """An endpoint's confirmation that it refuses a fenced holder from now on.

    Attributes
    ----------
    complete_from : int
        Smallest reservation number from which on `requests` is complete.
    """

    requests: tuple[FencedRequest, ...]
    complete_from: int = 0


class FenceRunner:
    """Fence earlier incarnations of this host and have the endpoints confirm the fences.

    Collects the confirmations for all fenced holders of the zone, whichever host fenced them.

    Parameters
    ----------
    holder : Holder
        This incarnation of the host.
    manifests : ManifestController
        Current endpoints and prices.
    client : BaseHttpClient
        Connections to endpoints.
    event_log : EventLog
        The platform's log, for the endpoints of earlier manifests.
    """

    def __init__(
        self,
        holder: Holder,
        manifests: ManifestController,
        client: BaseHttpClient,
        event_log: EventLog,
    ) -> None:
        self._holder = holder
        self._event_log = event_log
        self._historical_items = HistoricalItems({}, {})
        self._manifests = manifests
        self._client = client

    async def run(self, reader: LedgerReader, writer: LedgerWriter) -> None:
        """Fence replaced holders and collect confirmations until cancelled."""
        while True:
            await trio.sleep(CHECK_EVERY_S)
            if reader.complete:
                await self._fence_earlier_holders(reader.ledger, writer)
                await self._collect_confirmations(reader.ledger, writer)

    async def _fence_earlier_holders(self, ledger: Ledger, writer: LedgerWriter) -> None:
        """Fence earlier holders at every endpoint of the current and earlier manifests.

        A holder may have sent requests to an endpoint that was removed from the manifest since.
        """
        holders = earlier_holders(ledger, self._holder.host)
        if holders and await self._read_earlier_manifests():
            for holder in holders:
                await writer.append(Fence(holder, tuple(self._historical_items.endpoints)))

    async def _read_earlier_manifests(self) -> bool:
        """Read the endpoints of earlier manifests; return whether the log could be read."""
        match await read_historical_items(self._event_log):
            case Ok(found):
                self._historical_items = found
                return True
            case Err(error):
                log.warning("could not read earlier manifests", extra={"why": error.reason})
                return False

    async def _collect_confirmations(self, ledger: Ledger, writer: LedgerWriter) -> None:
        for name, state in list(ledger.holders.items()):
            if not state.fenced or state.zone != self._holder.zone:
                continue
            for endpoint in self._endpoints():
                if endpoint.checks_fencing and endpoint.name in state.unconfirmed:
                    await self._confirm(name, endpoint, writer)

    async def _confirm(self, holder: str, endpoint: Endpoint, writer: LedgerWriter) -> None:
        url = f"http://{endpoint.address}/v1/fence"
        body = {"holder": holder, "number": 1}
        match await self._client.send_json("POST", url, body, timeout_s=FENCE_TIMEOUT_S):
            case Ok(answer):
                await self._record_answer(holder, endpoint, answer, writer)
            case Err(error):
                log.warning("fence failed", extra={"peer": endpoint.name, "why": error.reason})

    async def _record_answer(
        self, holder: str, endpoint: Endpoint, answer: Any, writer: LedgerWriter
    ) -> None:
        try:
            found = msgspec.convert(answer, FenceAnswer)
        except msgspec.ValidationError as error:
            log.warning(
                "invalid answer to a fence request",
                extra={"peer": endpoint.name, "why": str(error)},
            )
            return
        price = self._price(endpoint)
        bills = tuple(_bill(request, price) for request in found.requests)
        await writer.append(Confirm(holder, endpoint.name, bills, found.complete_from))

    def _endpoints(self) -> tuple[Endpoint, ...]:
        current = {one.name: one for one in self._manifests.state.manifest.endpoints}
        return tuple({**self._historical_items.endpoints, **current}.values())

    def _price(self, endpoint: Endpoint) -> Price:
        current = {pool.name: pool for pool in self._manifests.state.manifest.pools}
        pool = {**self._historical_items.pools, **current}.get(endpoint.pool)
        return pool.price if pool else Price()


def earlier_holders(ledger: Ledger, host: str) -> list[str]:
    """Return the open holders of a host except the one that joined last.

    Examples
    --------
    >>> from mulberrycleat.budget import Join
    >>> ledger = Ledger()
    >>> for name in ("a1/7f", "b1/3c", "a1/90"):
    ...     ledger.apply(Join(name, "east"))
    >>> earlier_holders(ledger, "a1")
    ['a1/7f']
    """
    names = [name for name in ledger.holders if name.rpartition("/")[0] == host]
    return [name for name in names[:-1] if ledger.is_open(name)]


def _bill(request: FencedRequest, price: Price) -> Bill:
    cost = cost_of(price, request.prompt_tokens, request.cached_tokens, request.generated_tokens)
    return Bill(request.request_id, request.budget, cost, request.number)
