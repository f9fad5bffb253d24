"""Reports of the demand of hosts without slices to the zone coordinator of a shard."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import msgspec
import trio

from mulberrycleat.entry.report_batches import Report
from mulberrycleat.prepaid import Allowance
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["DemandExchange"]

DEMAND_PATH = "/tokens/{shard}/demand"
# Highest rate that a report may state, in tokens per second; more is no sound report.
MAX_REPORTED_RATE = 1e9


class _DemandReport(msgspec.Struct):
    """Demand of a host's callers by account, in tokens per second."""

    host: str
    rates: dict[str, Annotated[float, msgspec.Meta(ge=0, le=MAX_REPORTED_RATE)]]


def _ignore(status: int | None) -> None:
    """Ignore an answer: the next report replaces this one in any case."""


class DemandExchange:
    """Sends and accepts reports of demand, from which the reserve for an outage is computed.

    Parameters
    ----------
    allowance : Allowance
        States this host's demand, and takes that of others into account.
    shard : int
        Shard of the accounts.
    """

    def __init__(self, allowance: Allowance, shard: int) -> None:
        self._allowance = allowance
        self._path = DEMAND_PATH.format(shard=shard)

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (Route("POST", self._path, self._accept),)

    def reports(self, addresses: Sequence[str]) -> list[Report]:
        """Return reports of the demand of this host's callers, if there is any, to other hosts."""
        rates = self._allowance.demand_rates(trio.current_time())
        if not rates:
            return []
        body = msgspec.msgpack.encode(_DemandReport(self._allowance.host, rates))
        return [Report(address, self._path, body, _ignore) for address in addresses]

    async def _accept(self, request: Request, responder: Responder) -> Reply:
        try:
            report = msgspec.msgpack.decode(request.body, type=_DemandReport)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        self._allowance.report_demand(report.host, report.rates, trio.current_time())
        return Reply(204)
