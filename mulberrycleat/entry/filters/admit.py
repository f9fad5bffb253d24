"""Filters that find a request's route, its client account and its deadline."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

import trio
from result import Err, Result

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.feeds import MapFeed
from mulberrycleat.routes import PoolShare

__all__ = ["AccountFilter", "DeadlineFilter", "RouteFilter"]

Proceed = Callable[[EntryCall], "trio.Awaitable[Result[Served, Refusal]]"]

# Retry-after of a host that has not read the route map yet, in seconds.
NO_MAP_RETRY_AFTER_S = 0.5
# Retry-after of a host whose route map may be outdated, in seconds: other hosts may know the newest
# one, and a host that falls behind has read it about that much later.
OUTDATED_RETRY_AFTER_S = 0.5
# A request is aborted this time before its time limit, in seconds, so that the refusal still
# arrives in time.
ANSWER_MARGIN_S = 0.02


class RouteFilter:
    """Find the route and the pool of a request.

    Parameters
    ----------
    maps : MapFeed
        The active route map, and how old it may be.
    random : Random
        Random source for the choice among a route's pools.
    """

    def __init__(self, maps: MapFeed, random: Random) -> None:
        self._maps = maps
        self._random = random

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse unreadable requests with 400, and requests that match no route with 404.

        Refuse with 503 before a route map has been read, if a newer one is due, if the map lacks
        the route's pool, or if it lacks the route and may be outdated.
        """
        if call.facts.fault:
            return Err(NotRun(Step.ADMIT, "", call.facts.fault, 400, None, "bad_request"))
        if not call.facts.request_id:
            return Err(NotRun(Step.ADMIT, "", "no request id", 400, None, "bad_request"))
        table = self._maps.table
        if table is None:
            reason = "no route map has been read yet"
            return Err(NotRun(Step.ADMIT, "", reason, 503, NO_MAP_RETRY_AFTER_S, "no_route_map"))
        call.progress.map_version, call.progress.map_age_s = table.version, self._maps.age_s
        if self._maps.is_behind:
            reason = "a newer route map is due"
            code = "outdated_route_map"
            return Err(NotRun(Step.ADMIT, "", reason, 503, OUTDATED_RETRY_AFTER_S, code))
        route = table.find_route(call.host, call.path)
        if route is None or not route.pools:
            return Err(_unknown("no such route", 404, "unknown_route", self._maps.is_current))
        call.progress.route = route.name
        pool = table.pool(self._choose_pool(route.pools))
        if pool is None:
            return Err(NotRun(Step.ADMIT, "", "the route's pool is not known", 503, 1.0))
        return await proceed(replace(call, table=table, route=route, pool=pool))

    def _choose_pool(self, shares: tuple[PoolShare, ...]) -> str:
        if len(shares) == 1:
            return shares[0].pool
        weights = [share.weight for share in shares]
        return self._random.choices(shares, weights)[0].pool


class AccountFilter:
    """Find the client account by the caller's API key.

    Parameters
    ----------
    maps : MapFeed
        How old the active route map may be.
    """

    def __init__(self, maps: MapFeed) -> None:
        self._maps = maps

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse a request without a known key with 401, or 503 if the map may be outdated.

        No key is needed on anonymous routes, or if the route map has no client accounts.
        """
        if not call.table.has_accounts or call.route.anonymous:
            return await proceed(call)
        account = call.table.find_account(call.facts.api_key) if call.facts.api_key else None
        if not call.facts.api_key:
            return Err(NotRun(Step.AUTHENTICATE, "", "no key", 401, None, "unauthorized"))
        if account is None:
            reason = "the key is not known"
            return Err(_unknown(reason, 401, "unauthorized", self._maps.is_current))
        call.progress.account = account.name
        return await proceed(replace(call, account=account))


def _unknown(reason: str, status: int, code: str, is_current: bool) -> NotRun:
    """Return the refusal of a request for something that the route map doesn't have.

    A final status would be false if a newer map has it; callers don't come back after it.
    """
    step = Step.ADMIT if status == 404 else Step.AUTHENTICATE
    if is_current:
        return NotRun(step, "", reason, status, None, code)
    reason = f"{reason}; the route map may be outdated"
    return NotRun(step, "", reason, 503, OUTDATED_RETRY_AFTER_S, "outdated_route_map")


class DeadlineFilter:
    """End a request at the earlier of the caller's and the route's time limit."""

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 504 if the request may have run, and with 503 if it has not."""
        limit_s = call.route.timeout_s
        if call.facts.remaining_s is not None:
            limit_s = min(limit_s, call.facts.remaining_s)
        deadline = call.arrived + max(0.0, limit_s - ANSWER_MARGIN_S)
        call.progress.deadline = deadline
        with trio.move_on_at(deadline):
            return await proceed(replace(call, deadline=deadline))
        progress = call.progress
        if progress.runs:
            reason = f"no whole answer in {limit_s:g} s"
            return Err(MayHaveRun(Step.DISPATCH, progress.endpoint, reason, 504, "timeout"))
        reason = f"no endpoint began in {limit_s:g} s"
        return Err(NotRun(Step.CHOOSE, progress.endpoint, reason, 503, 1.0, "timeout"))
