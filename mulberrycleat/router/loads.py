"""Polls load reports and cache events from the controller of the router's host."""

from __future__ import annotations

import trio
from result import Ok

from mulberrycleat.controller.messages import LOADS, LoadsRequest
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.link import ControllerLink

__all__ = ["LoadFeed"]

POLL_INTERVAL_S = 0.5
TIMEOUT_S = 2.0


class LoadFeed:
    """Keep the load reports and cache events of the endpoint table up to date.

    Parameters
    ----------
    link : ControllerLink
        Connection to the controller of this host.
    table : EndpointTable
        Table to be updated.
    """

    def __init__(self, link: ControllerLink, table: EndpointTable) -> None:
        self._link = link
        self._table = table
        self._next_sequence = 0

    async def run(self) -> None:
        """Poll until cancelled.

        While the controller does not answer, the table keeps the last load reports and is updated
        only with this router's own requests.
        """
        while True:
            request = LoadsRequest(self._link.router, self._next_sequence)
            match await self._link.call(LOADS, request, TIMEOUT_S):
                case Ok(reply):
                    self._next_sequence = reply.next
                    self._table.update_loads(reply.loads)
                    self._table.update_caches(reply.cache_news)
            await trio.sleep(POLL_INTERVAL_S)
