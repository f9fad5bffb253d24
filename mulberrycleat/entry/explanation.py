"""Explains where a request would go now, without sending it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio

from mulberrycleat.endpoint.placer import Candidate, Part
from mulberrycleat.entry.endpoints import EndpointRegistry
from mulberrycleat.entry.protocol import RequestFacts
from mulberrycleat.routes import RouteTable
from mulberrycleat.web import Reply, Request, Responder, Route
from mulberrycleat.web.asgi import json_reply

__all__ = ["WHERE_PATH", "PlacementExplainer", "PlacementQuery"]

WHERE_PATH = "/where"


class PlacementQuery(msgspec.Struct):
    """A request that is not sent.

    Attributes
    ----------
    host, path : str
        Host name and path, as a caller sends them.
    prompt_tokens : int
        Length of the prompt; 0 for a service other than a model.
    parts : dict of str to int
        Tokens of each part of the prompt, in order; the last one is the request's own.
    """

    host: str
    path: str
    prompt_tokens: int = 0
    parts: dict[str, int] = {}


class PlacementExplainer:
    """Answers queries of operators.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    registry : EndpointRegistry
        Endpoints and placement.
    table : callable
        Returns the active route table, None before a route map has been read.
    """

    def __init__(
        self, zone: str, registry: EndpointRegistry, table: Callable[[], RouteTable | None]
    ) -> None:
        self._zone = zone
        self._registry = registry
        self._table = table

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve queries."""
        return (Route("POST", WHERE_PATH, self._answer),)

    async def _answer(self, request: Request, responder: Responder) -> Reply:
        try:
            query = msgspec.json.decode(request.body, type=PlacementQuery)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        table = self._table()
        route = table.find_route(query.host, query.path) if table is not None else None
        if table is None or route is None:
            return Reply(404, b"no such route" if table is not None else b"no route map yet")
        parts = tuple(Part(name, tokens) for name, tokens in query.parts.items())
        facts = RequestFacts(prompt_tokens=query.prompt_tokens, parts=parts)
        now = trio.current_time()
        pools = {}
        for share in route.pools:
            balance = self._registry.placer(share.pool).balance
            pools[share.pool] = {
                "weight": share.weight,
                "balance": balance.in_force(now),
                "leaving": {zone: round(part, 3) for zone, part in balance.shares.items()},
                "candidates": [
                    _describe(candidate) for candidate in self._registry.explain(share.pool, facts)
                ],
            }
        return json_reply({"zone": self._zone, "route": route.name, "pools": pools})


def _describe(candidate: Candidate) -> dict[str, object]:
    score = candidate.score
    return {
        "endpoint": candidate.entry.id,
        "zone": candidate.entry.zone,
        "left_out": candidate.left_out,
        "score_s": round(score.total_s, 4),
        "expected_s": round(score.expected_s, 4),
        "reprefill_s": round(score.reprefill_s, 4),
        "zone_s": round(score.zone_s, 4),
        "failure_s": round(score.failure_s, 4),
        "cached_tokens": candidate.cached_tokens,
        "in_flight": candidate.in_flight,
        "other_requests": round(candidate.other_requests, 1),
        "slots": candidate.entry.slots,
        "slowness": round(candidate.slowness, 2),
    }
