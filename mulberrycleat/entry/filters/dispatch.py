"""Filter that sends a request to endpoints until it is answered or may not be sent again."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.endpoint.placer import Placement
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.endpoints import EndpointRegistry, work_of
from mulberrycleat.entry.exchange import (
    Broken,
    Delivered,
    Exchange,
    Outcome,
    Turned,
    Unreached,
    Whole,
    start_answer,
)
from mulberrycleat.entry.filters.admit import Proceed
from mulberrycleat.entry.protocol import AnswerFacts, HeaderCodec
from mulberrycleat.entry.retries import FleetRetryBudget
from mulberrycleat.routes import RouteKind
from mulberrycleat.web.upstream import ConnectionPool

__all__ = ["DispatchFilter"]

# Endpoints that a request is offered to, when each of them turns it away or can't be reached.
MAX_OFFERS = 4
# When to come back to a pool without any endpoint, and to one where all are full.
NO_ENDPOINT_RETRY_S = 0.5
FULL_RETRY_S = 0.3
# Longest time to send a caller away for, when endpoints are expected to take long.
LONGEST_RETRY_S = 1.0
# A full endpoint is left alone for so long: about the time of one plain request.
FULL_PAUSE_S = 0.1
# Part of the time in which an answer is on time after which another endpoint is tried, and how many
# times the expected time that is at least.
PATIENCE_SHARE = 0.6
PATIENCE_EXPECTED = 4.0
# A stream goes on elsewhere after a pause of so many times the longest one that is on time.
PAUSE_PATIENCE = 1.6
SERVER_ERROR = 500
# A first send that is expected to take a larger part of the caller's patience is not made: it would
# mostly end after the caller has left, and delay the requests beside it.
ADMIT_SHARE = 0.5
# How long callers wait for the next event of a stream: so long at least, or so many times the time
# in which an answer is on time, or the longest pause that is (the platform's page on requests).
LEAST_PATIENCE_S, TARGETS_WAITED, PAUSES_WAITED = 2.0, 4.0, 8.0


class _Patience(NamedTuple):
    first_s: float
    pause_s: float


@dataclass(slots=True)
class _Tries:
    """What was tried for one request."""

    ids: set[str] = field(default_factory=set)
    offers: int = 0
    failed: Whole | None = None
    last: str = ""
    retry_after_s: float | None = None
    expected_s: float | None = None


class DispatchFilter:
    """Send a request, and send it again where that is proved safe and the budget allows it.

    Parameters
    ----------
    dialect : HeaderCodec
        Headers of the platform.
    book : EndpointRegistry
        Endpoints and placement.
    repeats : FleetRetryBudget
        Budget for sends beyond the first.
    connections : ConnectionPool
        Connections to endpoints.
    decisions : DecisionLog
        Where each send and its end are told.
    """

    def __init__(
        self,
        dialect: HeaderCodec,
        book: EndpointRegistry,
        repeats: FleetRetryBudget,
        connections: ConnectionPool,
        decisions: DecisionLog,
    ) -> None:
        self._dialect = dialect
        self._book = book
        self._repeats = repeats
        self._connections = connections
        self._decisions = decisions

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Return how the request ended; the answer, if there is one, has been passed on."""
        self._repeats.note_request(call.pool.name, trio.current_time())
        tries = _Tries()
        while (placement := self._next(call, tries)) is not None:
            outcome = await self._send(call, placement, tries)
            match outcome:
                case Delivered():
                    return Ok(Served(0, placement.entry.id))
                case Whole() as whole if self._is_final(call, whole):
                    return await self._pass_on(call, whole, placement)
                case Whole() as whole:
                    tries.failed = whole
                    tries.last = f"status {whole.head.status}"
                case Turned() as turned:
                    tries.last = f"turned away with {turned.status}"
                    tries.retry_after_s = turned.retry_after_s
                case Unreached(reason=reason):
                    tries.last = reason
                case Broken(reason):
                    tries.last = reason
                    if not call.route.repeatable:
                        break
        if tries.failed is not None and not call.responder.started:
            return await self._pass_on(call, tries.failed, None)
        return Err(self._refusal(call, tries))

    def _next(self, call: EntryCall, tries: _Tries) -> Placement | None:
        """Return the next endpoint to try, None when the request is not to be sent again."""
        progress = call.progress
        if tries.offers >= MAX_OFFERS or progress.runs >= call.route.max_attempts:
            return None
        if progress.runs and not call.route.repeatable:
            return None
        placement = self._book.choose(call, tries.ids)
        if placement is None:
            return None
        now = trio.current_time()
        if not tries.offers and placement.expected_s > ADMIT_SHARE * _waits_s(call, now):
            tries.expected_s = placement.expected_s
            return None
        if progress.sends and not self._repeats.take(call.pool.name, now):
            self._decisions.warn(
                "repeat refused",
                request=call.facts.request_id,
                pool=call.pool.name,
                left=round(self._repeats.left(call.pool.name, now), 2),
                why=tries.last,
            )
            return None
        return placement

    async def _send(self, call: EntryCall, placement: Placement, tries: _Tries) -> Outcome:
        entry, request_id = placement.entry, call.facts.request_id
        placer = self._book.placer(call.pool.name)
        tries.ids.add(entry.id)
        tries.offers += 1
        call.progress.endpoint = entry.id
        now = trio.current_time()
        placer.sent(placement, request_id, work_of(call.facts), now)
        self._decisions.note(
            "sent",
            request=request_id,
            endpoint=entry.id,
            offer=tries.offers,
            why=tries.last,
            expected_s=round(placement.expected_s, 4),
            cached_tokens=placement.cached_tokens,
            candidates=placement.candidates,
            resumed_after=call.progress.last_event_id,
        )

        def heard() -> None:
            placer.heard(entry.id, request_id, trio.current_time())

        def take_facts(facts: AnswerFacts) -> None:
            if facts.load is not None:
                load = facts.load
                placer.take_load(entry.id, load.running, load.waiting, trio.current_time())

        exchange = Exchange(self._dialect, self._connections, heard, take_facts)
        patience = self._patience(call, placement, tries)
        outcome: Outcome | None = None
        try:
            outcome = await exchange.run(call, placement, patience.first_s, patience.pause_s)
        finally:
            self._note_end(call, placement, outcome, now)
        return outcome

    def _patience(self, call: EntryCall, placement: Placement, tries: _Tries) -> _Patience:
        """Return how long to wait here before another endpoint is tried."""
        forever = _Patience(float("inf"), float("inf"))
        last_try = call.progress.runs + 1 >= call.route.max_attempts
        if not call.route.repeatable or last_try or placement.candidates < 2:
            return forever
        if self._repeats.left(call.pool.name, trio.current_time()) < 1:
            return forever
        first_s = max(
            PATIENCE_SHARE * call.route.target_s, PATIENCE_EXPECTED * placement.expected_s
        )
        return _Patience(first_s, PAUSE_PATIENCE * call.route.pause_s)

    def _note_end(
        self, call: EntryCall, placement: Placement, outcome: Outcome | None, sent_at: float
    ) -> None:
        entry_id, request_id = placement.entry.id, call.facts.request_id
        placer, now = self._book.placer(call.pool.name), trio.current_time()
        failed: bool | None = None
        match outcome:
            case Delivered() | Whole():
                failed = isinstance(outcome, Whole) and outcome.head.status >= SERVER_ERROR
            case Broken():
                failed = True
            case Unreached(silent=silent):
                placer.unreachable(entry_id, now, silent)
            case Turned(other_endpoint=False):
                placer.full(entry_id, now, FULL_PAUSE_S)
            case Turned():
                placer.unreachable(entry_id, now)
        placer.ended(entry_id, request_id, now, failed)
        fields = {
            "request": request_id,
            "endpoint": entry_id,
            "took_s": round(now - sent_at, 4),
            "events": call.progress.delivered_events,
        }
        match outcome:
            case Broken(reason=reason) | Unreached(reason=reason):
                self._decisions.warn("send failed", why=reason, **fields)
            case Turned(status):
                self._decisions.warn("turned away", status=status, **fields)
            case Whole(head, _):
                self._decisions.note("answered", status=head.status, **fields)
            case Delivered(status):
                self._decisions.note("answered", status=status, **fields)
            case None:
                self._decisions.note("send cancelled", **fields)

    def _is_final(self, call: EntryCall, whole: Whole) -> bool:
        return whole.head.status < SERVER_ERROR or not call.route.repeatable

    async def _pass_on(
        self, call: EntryCall, whole: Whole, placement: Placement | None
    ) -> Result[Served, Refusal]:
        length = (b"content-length", b"%d" % len(whole.body))
        headers = [*self._dialect.answer_headers(whole.head), length]
        await start_answer(call, whole.head.status, headers)
        await call.responder.finish(whole.body)
        return Ok(Served(0, placement.entry.id if placement else call.progress.endpoint))

    def _refusal(self, call: EntryCall, tries: _Tries) -> Refusal:
        progress = call.progress
        if progress.runs:
            return MayHaveRun(Step.DISPATCH, progress.endpoint, tries.last, 502, "broken")
        if tries.expected_s is not None:
            reason = f"an answer is expected after {tries.expected_s:.2f} s only"
            retry_s = min(tries.expected_s, LONGEST_RETRY_S)
            return NotRun(Step.CHOOSE, "", reason, 503, retry_s, "overloaded")
        if not tries.offers:
            reason = f"pool {call.pool.name!r} has no endpoint to take the request"
            return NotRun(Step.CHOOSE, "", reason, 503, NO_ENDPOINT_RETRY_S, "no_endpoint")
        retry_s = tries.retry_after_s if tries.retry_after_s is not None else FULL_RETRY_S
        return NotRun(Step.DISPATCH, progress.endpoint, tries.last, 503, retry_s, "turned_away")


def _waits_s(call: EntryCall, now: float) -> float:
    """Return how long the caller will wait for the first part of an answer, in seconds."""
    left_s = call.deadline - now
    if call.route.kind is not RouteKind.STREAM:
        return left_s
    route = call.route
    patience_s = max(
        LEAST_PATIENCE_S, TARGETS_WAITED * route.target_s, PAUSES_WAITED * route.pause_s
    )
    return min(left_s, patience_s)
