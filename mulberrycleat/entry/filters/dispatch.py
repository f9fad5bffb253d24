"""Filter that sends a request to endpoints until it is answered or can't be retried."""

from __future__ import annotations

import math
from functools import partial

import trio
from result import Err, Ok, Result

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.endpoint.placer import Placement
from mulberrycleat.endpoint.reports import MAX_PARTS
from mulberrycleat.endpoint.stream_origins import StreamOrigin
from mulberrycleat.entry.attempts import (
    TAKEOVER_S,
    Attempt,
    Attempts,
    Takeover,
)
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.endpoint_reports import EndpointReports
from mulberrycleat.entry.endpoints import EndpointRegistry
from mulberrycleat.entry.events import EventOrder
from mulberrycleat.entry.exchange import (
    SERVER_ERROR,
    ConnectionFailed,
    Declined,
    Exchange,
    ExchangeFailed,
    ExchangeHooks,
    ForwardedResponse,
    FullResponse,
    Outcome,
    start_answer,
)
from mulberrycleat.entry.filters.admit import Proceed
from mulberrycleat.entry.filters.room import OverloadedPools
from mulberrycleat.entry.identities import AttemptConnections, EndpointIdentities
from mulberrycleat.entry.loop_load import EventPacing
from mulberrycleat.entry.paths import EndpointPaths
from mulberrycleat.entry.protocol import AnswerFacts, HeaderCodec
from mulberrycleat.entry.retries import FleetRetryBudget
from mulberrycleat.entry.silence import SilenceLimits
from mulberrycleat.entry.statements import StatementController
from mulberrycleat.entry.stream_origins import OriginController
from mulberrycleat.routes import RouteKind
from mulberrycleat.web.upstream import ExchangeError

__all__ = ["DispatchFilter"]

# Most endpoints tried for one request, including those that decline it or can't be reached.
MAX_ENDPOINTS_TRIED = 4
# Retry-after of a refusal when the pool has no endpoint, and when all its endpoints are full, in
# seconds.
NO_ENDPOINT_RETRY_AFTER_S = 0.5
FULL_RETRY_AFTER_S = 0.3
# Upper bound of retry-after when the expected time is too long, in seconds.
MAX_RETRY_AFTER_S = 1.0
# Time for which an endpoint gets no requests after it has declined one, in seconds: about the
# duration of one plain request.
FULL_EXCLUSION_S = 0.1
# Longest wait for a cold endpoint to take a request, as a share of the route's target latency. A
# refusal up to then costs the caller nothing.
COLD_WAIT_TARGET_SHARE = 0.125
# Shortest wait for it, in seconds: a rounding error in the rest of a wait would repeat it for ever.
MIN_COLD_WAIT_S = 0.001
# Another endpoint is tried after this share of the route's target latency, but not before this
# multiple of the expected time.
FIRST_TIMEOUT_TARGET_SHARE = 0.6
FIRST_TIMEOUT_EXPECTED_FACTOR = 4.0
# A stream is resumed at another endpoint after a gap between two events of this multiple of the
# route's target for the longest gap (`Route.pause_s`).
PAUSE_TIMEOUT_FACTOR = 1.6
# A request is not sent at all when its expected time exceeds this share of the time that the caller
# waits: most such requests would end after the caller has left, and would delay others.
ADMISSION_WAIT_SHARE = 0.5
# Tries beside an endpoint that keeps its stream use at most this share of the repeats. Most of them
# are in vain; the rest is for streams that break off, which can't go on without a repeat.
TRY_REPEATS_SHARE = 0.5
# Callers wait for the next event of a stream for the longest of: the minimum in seconds, a multiple
# of the route's target latency, and a multiple of the route's target for the longest gap (see the
# platform's page on requests).
MIN_CALLER_WAIT_S, CALLER_WAIT_TARGETS, CALLER_WAIT_PAUSES = 2.0, 4.0, 8.0


class DispatchFilter:
    """Send a request, and retry it where that is safe and the retry budget allows it.

    A retry is safe if no endpoint has run the request, or if its route allows it to run again.

    Parameters
    ----------
    codec : HeaderCodec
        Reads and writes the headers of the platform.
    registry : EndpointRegistry
        Endpoints and placement.
    retry_budget : FleetRetryBudget
        Limits the retries to each pool.
    identities : EndpointIdentities
        Connections to endpoints, which are asked for their start where their version matters.
    reports : EndpointReports
        What the hosts report about endpoints; a request that may crash them is not retried.
    statements : StatementController
        Applies what endpoints state in their answers.
    origins : OriginController
        Records which version begins a stream.
    paths : EndpointPaths
        Finds out whether an endpoint or the path to it has failed.
    pacing : EventPacing
        Decides when the next events of a stream are read.
    decisions : DecisionLog
        Log of each attempt and its end.
    overloaded : OverloadedPools
        Told of declined requests and of reports of waiting ones.
    """

    def __init__(
        self,
        codec: HeaderCodec,
        registry: EndpointRegistry,
        retry_budget: FleetRetryBudget,
        identities: EndpointIdentities,
        reports: EndpointReports,
        statements: StatementController,
        origins: OriginController,
        paths: EndpointPaths,
        pacing: EventPacing,
        decisions: DecisionLog,
        overloaded: OverloadedPools,
    ) -> None:
        self._pacing = pacing
        self._overloaded = overloaded
        self._statements = statements
        self._paths = paths
        self._codec = codec
        self._origins = origins
        self._registry = registry
        self._retry_budget = retry_budget
        self._identities = identities
        self._reports = reports
        self._decisions = decisions

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Return how the request ended; an answer, if there is one, has been forwarded."""
        if not call.progress.sends:  # Else the request has waited after it was turned away.
            self._retry_budget.record_request(call.pool.name, trio.current_time())
        tries = Attempts()
        if call.is_taken_up:
            call.progress.order = EventOrder(call.facts.last_event_id)
        await self._await_cold(call)
        while (placement := self._next_placement(call, tries)) is not None:
            outcome = await self._send(call, placement, tries)
            tries.note(outcome)
            match outcome:
                case ForwardedResponse():
                    return Ok(Served(0, call.progress.endpoint))
                case FullResponse() as response if self._is_final(call, response):
                    return await self._forward(call, response)
                case ExchangeFailed() if not call.route.retryable:
                    break
        if tries.failed_response is not None and not call.responder.started:
            return await self._forward(call, tries.failed_response)
        return Err(self._refusal(call, tries))

    async def _await_cold(self, call: EntryCall) -> None:
        """Wait briefly while all endpoints are cold or limited and take no request now."""
        until = trio.current_time() + COLD_WAIT_TARGET_SHARE * call.route.target_s
        while (wait_s := self._registry.cold_wait_s(call)) is not None:
            if trio.current_time() + wait_s > until:
                return
            await trio.sleep(max(wait_s, MIN_COLD_WAIT_S))

    def _next_placement(
        self, call: EntryCall, tries: Attempts, within_s: float = math.inf
    ) -> Placement | None:
        """Return the endpoint of the next attempt, or None if no further attempt is made.

        None is made, either, at an endpoint that is expected to answer after `within_s` seconds.
        """
        progress = call.progress
        if call.responder.started and not progress.order.can_go_on:
            return None
        # An endpoint that was let go is asked again, so that no more endpoints run the request.
        is_last = progress.runs >= call.route.max_attempts
        is_last = is_last or len(tries.endpoint_ids) >= MAX_ENDPOINTS_TRIED
        only = tries.let_go if is_last else self._where_it_may_begin(call)
        if only == set():
            return None
        if progress.runs and not call.route.retryable:
            return None
        if progress.sends and self._reports.refusal(call.suspects) is not None:
            return None
        placement = self._registry.choose(call, tries.endpoint_ids - tries.let_go, only)
        if placement is None or placement.expected_s > within_s:
            return None
        now = trio.current_time()
        if not tries.count and placement.expected_s > ADMISSION_WAIT_SHARE * _caller_wait_s(
            call, now
        ):
            tries.expected_s = placement.expected_s
            return None
        share = TRY_REPEATS_SHARE if within_s < math.inf else 1.0
        if progress.sends and not self._retry_budget.try_take(call.pool.name, now, share):
            self._decisions.warning(
                "repeat refused",
                request=call.facts.request_id,
                pool=call.pool.name,
                left=round(self._retry_budget.left(call.pool.name, now), 2),
                why=tries.last,
            )
            return None
        return placement

    def _where_it_may_begin(self, call: EntryCall) -> set[str] | None:
        """Return the endpoints at which a new stream may begin, None if it may at any."""
        if not call.route.resumable or call.required_version is not None or call.is_taken_up:
            return None
        version = self._origins.begins_only_at(call.pool.name)
        if version is None:
            return None
        ready = self._registry.directory.ready(call.pool.name, trio.current_time())
        return {entry.id for entry in ready if entry.version == version}

    def _second_placement(
        self, call: EntryCall, tries: Attempts, silent: Attempt
    ) -> Placement | None:
        """Return the endpoint to try beside a silent one, or None if none is tried now.

        While the silent endpoint keeps a stream, one endpoint is tried, if it is expected to go on
        within the time for which both may have the request.
        """
        if not silent.keeps_stream(TAKEOVER_S):
            return self._next_placement(call, tries)
        if silent.exchange.tried_in_vain:
            return None
        return self._next_placement(call, tries, TAKEOVER_S)

    async def _replace(
        self, call: EntryCall, tries: Attempts, silent: Attempt, why: str
    ) -> Outcome | None:
        """Send a request on whose endpoint is silent; None if no other endpoint takes it.

        Endpoints that have declined a stream are asked again only once its endpoint has been silent
        for longer than sound ones are: each try costs a repeat, and most pauses end before.
        """
        progress = call.progress
        silent.helper, tries.last = progress.helper, why
        placement: Placement | None = None
        if silent.exchange.has_forwarded and not silent.keeps_stream(TAKEOVER_S):
            tries.readmit_declined()

        def give_up(reason: str) -> None:
            self._decisions.info(
                "taken over",
                request=call.facts.request_id,
                endpoint=silent.placement.entry.id,
                by=progress.endpoint,
                reason=reason,
                silent_s=round(silent.exchange.silent_s, 3),
                events=progress.delivered_events,
            )
            silent.exchange.give_up()
            failure = silent.exchange.failure
            if failure is None:
                end = ExchangeFailed(why, silent=True)
            else:
                end = ExchangeFailed(str(failure), failure.broken)
            self._record_end(call, tries, silent, end)

        try:
            while (placement := self._second_placement(call, tries, silent)) is not None:
                outcome = None
                async with trio.open_nursery() as nursery:
                    takeover = Takeover(silent, give_up, nursery)
                    outcome = await self._send(call, placement, tries, takeover)
                    nursery.cancel_scope.cancel()
                if silent.replaced:
                    return outcome
                if outcome is None:
                    break
                tries.note(outcome)
                placement = None
        finally:
            if not silent.replaced:
                if placement is not None:
                    tries.let_go.add(placement.entry.id)
                progress.endpoint, progress.helper = silent.placement.entry.id, silent.helper
                self._decisions.info(
                    "awaited further",
                    request=call.facts.request_id,
                    endpoint=progress.endpoint,
                    why=why,
                    silent_s=round(silent.exchange.silent_s, 3),
                )
        return None

    async def _send(
        self,
        call: EntryCall,
        placement: Placement,
        tries: Attempts,
        takeover: Takeover | None = None,
    ) -> Outcome:
        """Make one attempt; its start and end are logged and applied to the placement."""
        entry, request_id = placement.entry, call.facts.request_id
        placer, directory = self._registry.placer(call.pool.name), self._registry.directory
        tries.endpoint_ids.add(entry.id)
        tries.count += 1
        tries.let_go.discard(entry.id)
        call.progress.endpoint, call.progress.helper = entry.id, ""
        attempt = Attempt(placement, trio.current_time(), self._reports.read_to, tries.crashed)
        self._registry.record_send(entry, attempt.sent_at)
        placer.sent(placement, request_id, call.work, attempt.sent_at)
        self._reports.record_send(entry)
        self._decisions.info(
            "sent",
            request=request_id,
            endpoint=entry.id,
            version=entry.version,
            entry_sequence=entry.sequence,
            entry_age_s=round(directory.entry_age_s(entry.id, attempt.sent_at), 3),
            entry_missing=directory.is_missing(entry.id),
            offer=tries.count,
            why=tries.last,
            expected_s=round(placement.expected_s, 4),
            cached_tokens=placement.cached_tokens,
            candidates=placement.candidates,
            resumed_after=call.progress.last_event_id,
            taken_up_after=call.facts.last_event_id,
            resumes=call.facts.resumes,
        )

        def heard() -> None:
            placer.heard(entry.id, request_id, trio.current_time())

        def note_sending() -> None:
            if takeover is not None:
                takeover.note_sending()

        def note_accepted(reason: str = "answer") -> None:
            if takeover is not None:
                takeover.accept(reason)

        async def replace(why: str) -> Outcome | None:
            if takeover is not None and takeover.keeps_first:
                return None
            note_accepted(why)
            return await self._replace(call, tries, attempt, why)

        def record_facts(facts: AnswerFacts) -> None:
            attempt.limit_per_s = facts.limit_per_s
            if facts.misdirected:  # By another endpoint, perhaps of another pool.
                return
            self._reports.record_limit(entry, facts.limit_per_s, not facts.not_run, attempt.sent_at)
            self._statements.record_answer(call, entry, attempt.sent_at, facts)
            if facts.load is not None:
                load = facts.load
                now = trio.current_time()
                self._overloaded.note_load(call.pool.name, load.waiting, now)
                placer.apply_load_report(entry.id, load.running, load.waiting, now, load.slowness)

        def record_answer() -> None:
            attempt.answered = True
            self._reports.record_answer(call.suspects)

        async def before_stream() -> None:
            call.progress.version = connections.version
            if call.route.resumable and not call.is_taken_up:
                origin = StreamOrigin(entry.pool, connections.version)
                if not await self._origins.record_start(request_id, origin):
                    call.progress.version = None
                    raise ExchangeError("the version of the stream could not be recorded")

        hooks = ExchangeHooks(
            note_sending,
            heard,
            record_facts,
            note_accepted,
            record_answer,
            before_stream,
            replace,
            self._pacing.next_read_at,
        )
        connections = AttemptConnections(self._identities, call, entry)
        attempt.exchange = Exchange(self._codec, connections, hooks)
        limits = self._silence_limits(call, placement, takeover)
        outcome: Outcome | None = None
        try:
            outcome = await attempt.exchange.run(call, placement, limits)
        finally:
            connections.end()
            if not attempt.replaced:
                self._record_end(call, tries, attempt, outcome)
            # The hooks of the exchange refer to the attempt and the call: their cycle would keep
            # bodies until a garbage collection.
            attempt.exchange = None
        return outcome

    def _silence_limits(
        self, call: EntryCall, placement: Placement, takeover: Takeover | None
    ) -> SilenceLimits:
        """Return the time limits after which another endpoint is tried.

        There are none if no other attempt could follow, but for the connection in a takeover.
        """
        first_s = max(
            FIRST_TIMEOUT_TARGET_SHARE * call.route.target_s,
            FIRST_TIMEOUT_EXPECTED_FACTOR * placement.expected_s,
        )
        runs = len(call.progress.run_at | {placement.entry.id})
        last_attempt = runs >= call.route.max_attempts
        repeats_left = self._retry_budget.left(call.pool.name, trio.current_time())
        is_only = last_attempt or placement.candidates < 2 or repeats_left < 1
        connect_s = math.inf if is_only and takeover is None else first_s
        if not call.route.retryable:
            return SilenceLimits(math.inf, math.inf, math.inf)
        if last_attempt:
            return SilenceLimits(connect_s, math.inf, math.inf)
        return SilenceLimits(connect_s, first_s, PAUSE_TIMEOUT_FACTOR * call.route.pause_s)

    def _record_end(
        self, call: EntryCall, tries: Attempts, attempt: Attempt, outcome: Outcome | None
    ) -> None:
        """Apply the end of an attempt to the placement and log it; no outcome if cancelled."""
        entry, request_id = attempt.placement.entry, call.facts.request_id
        entry_id = entry.id
        helper = attempt.helper if attempt.replaced else call.progress.helper
        placer, now = self._registry.placer(call.pool.name), trio.current_time()
        failed: bool | None = None
        match outcome:
            case ForwardedResponse() | FullResponse():
                failed = isinstance(outcome, FullResponse) and outcome.head.status >= SERVER_ERROR
            case ExchangeFailed(broken=broken, silent=silent):
                failed = True
                is_crash = broken and not attempt.answered
                if is_crash:
                    tries.crashed = entry.incarnation
                if helper:
                    self._note_failure(attempt, call.suspects, is_crash, False)
                elif broken or silent:
                    # Not the call, whose body would be kept until the end of the probe.
                    then = partial(self._note_failure, attempt, call.suspects, is_crash)
                    self._paths.probe(entry.address, then)
            case ConnectionFailed(timed_out=timed_out):
                placer.note_unreachable(entry_id, now, timed_out)
            case Declined(misdirected=False):
                placer.note_declined(entry_id, now, FULL_EXCLUSION_S)
                self._overloaded.note_declined(call.pool.name, now)
                tries.declined.add(entry_id)
            case Declined():
                placer.note_unreachable(entry_id, now)
        placer.ended(entry_id, request_id, now, failed)
        fields = {
            "request": request_id,
            "endpoint": entry_id,
            "took_s": round(now - attempt.sent_at, 4),
            "events": call.progress.delivered_events,
            "through": helper,
        }
        if attempt.exchange.carrier is not None:
            fields |= attempt.exchange.carrier._asdict()
        if attempt.limit_per_s is not None:
            fields["limit_per_s"] = attempt.limit_per_s
        match outcome:
            case ExchangeFailed(reason=reason):
                content, *parts = call.suspects[: MAX_PARTS + 1]
                self._decisions.warning(
                    "send failed", why=reason, content=content, parts=parts, **fields
                )
            case ConnectionFailed(reason=reason):
                self._decisions.warning("send failed", why=reason, **fields)
            case Declined(status):
                self._decisions.warning("turned away", status=status, **fields)
            case FullResponse(head, _):
                self._decisions.info("answered", status=head.status, **fields)
            case ForwardedResponse(status):
                self._decisions.info("answered", status=status, **fields)
            case None:
                self._decisions.info("send cancelled", **fields)

    def _note_failure(
        self, attempt: Attempt, suspects: tuple[str, ...], is_crash: bool, path_is_lost: bool
    ) -> None:
        """Report a crash of the endpoint, unless it was only the path to it that failed."""
        if is_crash and not path_is_lost:
            self._reports.record_crash(
                attempt.placement.entry.incarnation,
                suspects,
                attempt.read_to,
                attempt.retry_after,
            )

    def _is_final(self, call: EntryCall, response: FullResponse) -> bool:
        """Whether to forward a response at once, rather than to retry after a server error."""
        return response.head.status < SERVER_ERROR or not call.route.retryable

    async def _forward(self, call: EntryCall, response: FullResponse) -> Result[Served, Refusal]:
        length = (b"content-length", b"%d" % len(response.body))
        headers = [*self._codec.answer_headers(response.head), length]
        await start_answer(call, response.head.status, headers)
        await call.responder.finish(response.body)
        return Ok(Served(0, call.progress.endpoint))

    def _refusal(self, call: EntryCall, tries: Attempts) -> Refusal:
        progress = call.progress
        if progress.runs:
            return MayHaveRun(Step.DISPATCH, progress.endpoint, tries.last, 502, "broken")
        if not tries.count and self._registry.is_evacuated(call):
            reason = f"all zones of pool {call.pool.name!r} are evacuated"
            return NotRun(Step.CHOOSE, "", reason, 503, None, "evacuated")
        if not tries.count and self._registry.awaits_orders:
            reason = "this host was frozen and has not read the operators' orders since"
            return NotRun(Step.CHOOSE, "", reason, 503, FULL_RETRY_AFTER_S, "orders_unread")
        if tries.expected_s is not None:
            reason = f"an answer is expected after {tries.expected_s:.2f} s only"
            retry_s = min(tries.expected_s, MAX_RETRY_AFTER_S)
            return NotRun(Step.CHOOSE, "", reason, 503, retry_s, "overloaded")
        cold_s = None if tries.count else self._registry.cold_wait_s(call)
        if cold_s is not None:
            # Another host may have a part of the rate now, and this one is told when it has none.
            reason = f"the endpoints of pool {call.pool.name!r} are cold"
            retry_s = min(cold_s, MAX_RETRY_AFTER_S)
            return NotRun(Step.CHOOSE, "", reason, 503, retry_s, "cold")
        limited_s = None if tries.count else self._registry.limited_wait_s(call)
        if limited_s is not None:
            reason = f"the endpoints of pool {call.pool.name!r} state limits that are reached"
            retry_s = min(max(limited_s, FULL_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
            return NotRun(Step.CHOOSE, "", reason, 503, retry_s, "limited")
        paused_s = None if tries.count else self._registry.paused_wait_s(call)
        if paused_s is not None:
            reason = f"the endpoints of pool {call.pool.name!r} want no requests now"
            return NotRun(Step.CHOOSE, "", reason, 503, paused_s, "paused")
        if not tries.count and self._registry.is_full(call):
            reason = f"this host's places at the endpoints of pool {call.pool.name!r} are taken"
            return NotRun(Step.CHOOSE, "", reason, 503, FULL_RETRY_AFTER_S, "no_place")
        if not tries.count:
            reason = f"pool {call.pool.name!r} has no endpoint to take the request"
            return NotRun(Step.CHOOSE, "", reason, 503, NO_ENDPOINT_RETRY_AFTER_S, "no_endpoint")
        retry_s = tries.retry_after_s if tries.retry_after_s is not None else FULL_RETRY_AFTER_S
        return NotRun(Step.DISPATCH, progress.endpoint, tries.last, 503, retry_s, "turned_away")


def _caller_wait_s(call: EntryCall, now: float) -> float:
    """Return how long the caller waits for the first part of an answer, in seconds."""
    left_s = call.deadline - now
    if call.route.kind is not RouteKind.STREAM:
        return left_s
    route = call.route
    event_wait_s = max(
        MIN_CALLER_WAIT_S, CALLER_WAIT_TARGETS * route.target_s, CALLER_WAIT_PAUSES * route.pause_s
    )
    return min(left_s, event_wait_s)
