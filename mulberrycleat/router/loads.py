"""The router's feed of load reports and cache events from the controller of its host."""

from __future__ import annotations

import trio
from result import Ok

from mulberrycleat.controller.messages import LOADS, LoadsRequest
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.link import ControllerLink

__all__ = ["LoadFeed"]

EVERY_S = 0.5
TIMEOUT_S = 2.0


class LoadFeed:
    """Keep the table's load reports fresh.

    Parameters
    ----------
    link : ControllerLink
        Calls to the controller of this host.
    table : EndpointTable
        Takes the reports.
    """

    def __init__(self, link: ControllerLink, table: EndpointTable) -> None:
        self._link = link
        self._table = table
        self._seen = 0

    async def run(self) -> None:
        """Ask for news for ever. Without a controller the router goes by its own requests."""
        while True:
            request = LoadsRequest(self._link.router, self._seen)
            match await self._link.call(LOADS, request, TIMEOUT_S):
                case Ok(reply):
                    self._seen = reply.next
                    self._table.take_loads(reply.loads)
                    self._table.take_cache_news(reply.cache_news)
            await trio.sleep(EVERY_S)
