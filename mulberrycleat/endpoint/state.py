"""State that one router keeps of one endpoint: requests, load, speed and health."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.endpoint.demand import LOWEST_PRIORITY, Demand, priority_of
from mulberrycleat.endpoint.health import Health
from mulberrycleat.endpoint.speed import Speed
from mulberrycleat.manifest.model import Endpoint

__all__ = ["EndpointState", "Estimate", "InFlightRequest", "LoadReport"]

# Time for which this router's own load is remembered, to subtract it from load reports.
HISTORY_S = 5.0
INITIAL_BATCH_LIMIT = 32.0
INITIAL_DECODE_S = 1.0
DECODE_TIME_GAIN = 0.1
CACHE_ACCURACY_GAIN = 0.1
# Age above which a load report is not used.
REPORT_TTL_S = 10.0
# An endpoint without requests for longer than this is assumed to have its recent best speed.
IDLE_S = 30.0


class LoadReport(NamedTuple):
    """Load of an endpoint at time `at`, in seconds on the router's clock.

    Attributes
    ----------
    requests, waiting : int
        All requests at the endpoint, and those of them that wait for a slot in the batch.
    prefill_tokens, decode_tokens : int
        Prompt tokens still to be prefilled, and upper limit of the tokens still to be generated.
    """

    at: float
    requests: int
    waiting: int
    prefill_tokens: int
    decode_tokens: int


class Estimate(NamedTuple):
    """Expected times of one request at one endpoint, in seconds.

    Attributes
    ----------
    queue_s : float
        Until the endpoint starts to process the request.
    first_s : float
        Until the first token.
    full_response_s : float
        Until the full response.
    work_s : float
        Processing time that the request takes up; only its share of the time while other requests
        run as well.
    delay_s : float
        Sum of the delays that the request causes to the requests already running there.
    """

    queue_s: float
    first_s: float
    full_response_s: float
    work_s: float
    delay_s: float = 0.0


@dataclass(slots=True)
class InFlightRequest:
    """A request that this router has in flight at an endpoint.

    Attributes
    ----------
    assumed_cached_tokens, uncached_tokens : int
        Prompt tokens assumed to be cached, and those expected to be prefilled.
    ahead_tokens : int
        Prompt tokens to be prefilled before the first token, including those of this prompt.
    batch_was_full : bool
        Whether the batch was full when the request was sent. The time to its first token then
        says little about the prefill speed.
    """

    demand: Demand
    priority: int
    assumed_cached_tokens: int
    uncached_tokens: int
    ahead_tokens: int
    batch_was_full: bool
    sent_at: float
    first_token_at: float | None = None


class _Load(NamedTuple):
    at: float
    requests: int
    prefill_tokens: int


class EndpointState:
    """Requests in flight from this router, last load report, speed and health of one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        Entry of the endpoint in the manifest.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.speed = Speed()
        self.health = Health()
        self._in_flight: dict[str, InFlightRequest] = {}
        self._prefill_tokens = [0] * (LOWEST_PRIORITY + 1)
        self._history: deque[_Load] = deque()
        self._report: LoadReport | None = None
        self._other_load = _Load(0.0, 0, 0)
        self._batch_limit = INITIAL_BATCH_LIMIT
        self._decode_s = INITIAL_DECODE_S
        self._cache_accuracy = 1.0
        self._last_end_at = 0.0

    @property
    def requests(self) -> int:
        """Number of requests in flight from this router."""
        return len(self._in_flight)

    @property
    def cache_accuracy(self) -> float:
        """Fraction of the tokens assumed to be cached that actually were, from 0 to 1."""
        return self._cache_accuracy

    @property
    def in_flight(self) -> dict[str, InFlightRequest]:
        """Requests in flight from this router, by id."""
        return self._in_flight

    def record_load_report(self, report: LoadReport) -> None:
        """Record a load report without the part that this router's own requests cause."""
        if self._report is not None and report.at <= self._report.at:
            return
        self._report = report
        own_load = self._own_load_at(report.at)
        other_requests = max(0, report.requests - own_load.requests)
        prefill = max(0, report.prefill_tokens - own_load.prefill_tokens)
        self._other_load = _Load(report.at, other_requests, prefill)
        running = report.requests - report.waiting
        if report.waiting:
            self._batch_limit = float(running)
        else:
            self._batch_limit = max(self._batch_limit, float(running))

    def fullness(self, now: float) -> float:
        """Return the fraction of the batch slots that are taken, from 0 to 1."""
        running = self.requests + self._other_load_now(now).requests
        return min(1.0, running / self._batch_limit)

    def estimate(
        self,
        demand: Demand,
        assumed_cached: int,
        generated: float,
        urgent_share: float,
        now: float,
        reserve_share: float = 0.0,
    ) -> Estimate:
        """Return the expected times of a request sent now.

        Parameters
        ----------
        assumed_cached : int
            Prompt tokens assumed to be cached.
        generated : float
            Expected number of generated tokens.
        urgent_share : float
            Fraction of the other routers' work that is served before this request.
        reserve_share : float
            Fraction of the batch slots that is reserved for short requests.
        """
        priority = priority_of(demand)
        idle = not self._in_flight and now - self._last_end_at > IDLE_S
        speed = self.speed.recent_best() if idle else self.speed
        rate = speed.prefill_tokens_per_s
        uncached = max(0, demand.prompt_tokens - int(assumed_cached * self._cache_accuracy))
        running = self.requests + self._other_load_now(now).requests
        tokens_ahead = self._ahead_tokens(priority, urgent_share, now)
        queue_s = tokens_ahead / rate + self._slot_wait_s(
            demand, running, urgent_share, reserve_share
        )
        queue_s = max(queue_s, self._longest_wait_s(priority, now))
        running = min(running, self._batch_limit)
        first_s = queue_s + uncached / rate + speed.token_s(running)
        later_prefill_s = self._ahead_tokens(LOWEST_PRIORITY, 1.0, now) / rate - queue_s
        decode_s = speed.decode_s(generated, running, max(0.0, later_prefill_s))
        prefill_s = uncached / rate
        work_s = prefill_s + generated * speed.token_s(running) / (running + 1)
        slower_s = speed.token_s(running + 1) - speed.token_s(running)
        delay_s = prefill_s + generated * slower_s * running
        return Estimate(queue_s, first_s, first_s + decode_s, work_s, delay_s)

    def sent(
        self, request_id: str, demand: Demand, assumed_cached: int, urgent_share: float, now: float
    ) -> None:
        """Record that a request was sent, with `assumed_cached` prompt tokens assumed cached."""
        priority = priority_of(demand)
        uncached = max(0, demand.prompt_tokens - int(assumed_cached * self._cache_accuracy))
        tokens_ahead = int(self._ahead_tokens(priority, urgent_share, now))
        batch_full = self.requests + self._other_load_now(now).requests >= self._batch_limit
        self._in_flight[request_id] = InFlightRequest(
            demand, priority, assumed_cached, uncached, tokens_ahead + uncached, batch_full, now
        )
        self._prefill_tokens[priority] += uncached
        self._record_load(now)

    def first_token(self, request_id: str, now: float, cached: int) -> None:
        """Record that the first event arrived, and that `cached` prompt tokens were cached."""
        request = self._in_flight.get(request_id)
        if request is None or request.first_token_at is not None:
            return
        request.first_token_at = now
        if request.assumed_cached_tokens:
            accuracy = min(1.0, cached / request.assumed_cached_tokens)
            self._cache_accuracy += CACHE_ACCURACY_GAIN * (accuracy - self._cache_accuracy)
        self._prefill_tokens[request.priority] -= request.uncached_tokens
        if not request.batch_was_full:
            self.speed.record_first_token(request.ahead_tokens, now - request.sent_at)
        self._record_load(now)

    def ended(self, request_id: str, generated: int, now: float, failed: bool | None) -> None:
        """Record the end of a request that generated `generated` tokens.

        `failed` is None if the end says nothing about the endpoint.
        """
        request = self._in_flight.pop(request_id, None)
        if request is None:
            return
        self._last_end_at = now
        if request.first_token_at is None:
            self._prefill_tokens[request.priority] -= request.uncached_tokens
        elif failed is False:
            decode_s = now - request.first_token_at
            self._decode_s += DECODE_TIME_GAIN * (decode_s - self._decode_s)
            running = self.requests + self._other_load_now(now).requests
            self.speed.record_decode(generated, decode_s, min(running, self._batch_limit))
        if failed is True:
            self.health.record_failure(now)
        elif failed is False:
            self.health.record_success(now)
        self._record_load(now)

    def _ahead_tokens(self, priority: int, urgent_share: float, now: float) -> float:
        """Return the prompt tokens that are prefilled before a request of `priority`."""
        own_tokens = sum(self._prefill_tokens[: priority + 1])
        return own_tokens + self._other_load_now(now).prefill_tokens * urgent_share

    def _slot_wait_s(
        self, demand: Demand, running: int, urgent_share: float, reserve_share: float
    ) -> float:
        """Return the expected time until a request gets a slot in the batch, in seconds."""
        limit = self._batch_limit * (1.0 if demand.is_short else 1 - reserve_share)
        excess = running + 1 - limit
        if excess <= 0:
            return 0.0
        return (1 + (excess - 1) * urgent_share) * self._decode_s / self._batch_limit

    def _longest_wait_s(self, priority: int, now: float) -> float:
        """Return the longest time that a request has been waiting for its first token, in seconds.

        Only requests of this router with the same or a higher priority are counted.
        """
        for request in self._in_flight.values():
            if request.first_token_at is None and request.priority <= priority:
                return now - request.sent_at
        return 0.0

    def _other_load_now(self, now: float) -> _Load:
        if now - self._other_load.at > REPORT_TTL_S:
            return _Load(now, 0, 0)
        return self._other_load

    def _record_load(self, now: float) -> None:
        self._history.append(_Load(now, self.requests, sum(self._prefill_tokens)))
        while len(self._history) > 1 and self._history[1].at < now - HISTORY_S:
            self._history.popleft()

    def _own_load_at(self, at: float) -> _Load:
        """Return the load of this router's own requests at the past time `at`."""
        found = _Load(at, 0, 0)
        for sample in self._history:
            if sample.at > at:
                break
            found = sample
        return found
