"""What one router knows of one endpoint."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.endpoint.demand import LOWEST_PRIORITY, Demand, priority_of
from mulberrycleat.endpoint.health import Health
from mulberrycleat.endpoint.speed import Speed
from mulberrycleat.manifest.model import Endpoint

__all__ = ["EndpointState", "Estimate", "Flight", "LoadReport"]

HISTORY_S = 5.0
FIRST_BATCH_LIMIT = 32.0
FIRST_ANSWER_S = 1.0
ANSWER_GAIN = 0.1
TRUST_GAIN = 0.1
STALE_REPORT_S = 10.0
SILENCE_S = 30.0


class LoadReport(NamedTuple):
    """An endpoint's load at time `at` (seconds of the router's clock).

    Attributes
    ----------
    requests, waiting : int
        Requests there, and those of them that wait for a place in the batch.
    prefill_tokens, decode_tokens : int
        Prompt tokens still to be read, and the most tokens still to be generated.
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
        Until the endpoint begins with it.
    first_s : float
        Until the first token.
    whole_s : float
        Until the whole answer.
    work_s : float
        Time of the endpoint that it takes up, shared with those that run beside it.
    delay_s : float
        Time by which it delays those that run there already, in sum.
    """

    queue_s: float
    first_s: float
    whole_s: float
    work_s: float
    delay_s: float = 0.0


@dataclass(slots=True)
class Flight:
    """One request of this router at an endpoint.

    Attributes
    ----------
    believed_tokens, uncached_tokens : int
        Prompt tokens believed to be cached, and those expected to be read.
    ahead_tokens : int
        Prompt tokens to be read up to the end of this prompt.
    met_full : bool
        Whether it had to wait for a place in the batch, so that its wait says little of speed.
    """

    demand: Demand
    priority: int
    believed_tokens: int
    uncached_tokens: int
    ahead_tokens: int
    met_full: bool
    sent_at: float
    first_at: float | None = None


class _Own(NamedTuple):
    at: float
    requests: int
    prefill_tokens: int


class EndpointState:
    """Own work in flight, the last load report, speed and health of one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
        As the manifest has it.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.speed = Speed()
        self.health = Health()
        self._flights: dict[str, Flight] = {}
        self._prefill = [0] * (LOWEST_PRIORITY + 1)
        self._history: deque[_Own] = deque()
        self._report: LoadReport | None = None
        self._others = _Own(0.0, 0, 0)
        self._batch_limit = FIRST_BATCH_LIMIT
        self._answer_s = FIRST_ANSWER_S
        self._trust = 1.0
        self._heard_at = 0.0

    @property
    def requests(self) -> int:
        """Own requests in flight."""
        return len(self._flights)

    @property
    def trust(self) -> float:
        """Part of the believed cached tokens that proved to be cached."""
        return self._trust

    @property
    def flights(self) -> dict[str, Flight]:
        """Own requests in flight by id."""
        return self._flights

    def take_report(self, report: LoadReport) -> None:
        """Take a load report; own work that it counts is subtracted."""
        if self._report is not None and report.at <= self._report.at:
            return
        self._report = report
        own = self._own_at(report.at)
        others = max(0, report.requests - own.requests)
        prefill = max(0, report.prefill_tokens - own.prefill_tokens)
        self._others = _Own(report.at, others, prefill)
        running = report.requests - report.waiting
        if report.waiting:
            self._batch_limit = float(running)
        else:
            self._batch_limit = max(self._batch_limit, float(running))

    def fullness(self, now: float) -> float:
        """Return the part of the places in the batch that are taken, from 0 to 1."""
        running = self.requests + self._others_now(now).requests
        return min(1.0, running / self._batch_limit)

    def estimate(
        self,
        demand: Demand,
        believed: int,
        generated: float,
        urgent_share: float,
        now: float,
        reserve_share: float = 0.0,
    ) -> Estimate:
        """Return the expected times of a request sent now.

        Parameters
        ----------
        believed : int
            Prompt tokens believed to be cached.
        generated : float
            Expected generated tokens.
        urgent_share : float
            Part of the others' work that goes before this request.
        reserve_share : float
            Part of the places in the batch that are left to short requests.
        """
        priority = priority_of(demand)
        silent = not self._flights and now - self._heard_at > SILENCE_S
        speed = self.speed.hopeful() if silent else self.speed
        rate = speed.prefill_tokens_per_s
        uncached = max(0, demand.prompt_tokens - int(believed * self._trust))
        running = self.requests + self._others_now(now).requests
        ahead = self._ahead_tokens(priority, urgent_share, now)
        queue_s = ahead / rate + self._place_wait_s(demand, running, urgent_share, reserve_share)
        queue_s = max(queue_s, self._longest_wait_s(priority, now))
        running = min(running, self._batch_limit)
        first_s = queue_s + uncached / rate + speed.token_s(running)
        behind_s = self._ahead_tokens(LOWEST_PRIORITY, 1.0, now) / rate - queue_s
        decode_s = speed.decode_s(generated, running, max(0.0, behind_s))
        reading_s = uncached / rate
        work_s = reading_s + generated * speed.token_s(running) / (running + 1)
        slower_s = speed.token_s(running + 1) - speed.token_s(running)
        delay_s = reading_s + generated * slower_s * running
        return Estimate(queue_s, first_s, first_s + decode_s, work_s, delay_s)

    def sent(
        self, request_id: str, demand: Demand, believed: int, urgent_share: float, now: float
    ) -> None:
        """Note that a request was sent, of which `believed` prompt tokens may be cached."""
        priority = priority_of(demand)
        uncached = max(0, demand.prompt_tokens - int(believed * self._trust))
        ahead = int(self._ahead_tokens(priority, urgent_share, now))
        full = self.requests + self._others_now(now).requests >= self._batch_limit
        self._flights[request_id] = Flight(
            demand, priority, believed, uncached, ahead + uncached, full, now
        )
        self._prefill[priority] += uncached
        self._remember(now)

    def first_token(self, request_id: str, now: float, cached: int) -> None:
        """Note that the first event came, with the prompt tokens that were cached."""
        flight = self._flights.get(request_id)
        if flight is None or flight.first_at is not None:
            return
        flight.first_at = now
        if flight.believed_tokens:
            proved = min(1.0, cached / flight.believed_tokens)
            self._trust += TRUST_GAIN * (proved - self._trust)
        self._prefill[flight.priority] -= flight.uncached_tokens
        if not flight.met_full:
            self.speed.note_first_token(flight.ahead_tokens, now - flight.sent_at)
        self._remember(now)

    def ended(self, request_id: str, generated: int, now: float, failed: bool | None) -> None:
        """Note that a request ended; `failed` is None when that says nothing of the endpoint."""
        flight = self._flights.pop(request_id, None)
        if flight is None:
            return
        self._heard_at = now
        if flight.first_at is None:
            self._prefill[flight.priority] -= flight.uncached_tokens
        elif failed is False:
            decode_s = now - flight.first_at
            self._answer_s += ANSWER_GAIN * (decode_s - self._answer_s)
            running = self.requests + self._others_now(now).requests
            self.speed.note_decode(generated, decode_s, min(running, self._batch_limit))
        if failed is True:
            self.health.note_failure(now)
        elif failed is False:
            self.health.note_success(now)
        self._remember(now)

    def _ahead_tokens(self, priority: int, urgent_share: float, now: float) -> float:
        own = sum(self._prefill[: priority + 1])
        return own + self._others_now(now).prefill_tokens * urgent_share

    def _place_wait_s(
        self, demand: Demand, running: int, urgent_share: float, reserve_share: float
    ) -> float:
        limit = self._batch_limit * (1.0 if demand.is_short else 1 - reserve_share)
        excess = running + 1 - limit
        if excess <= 0:
            return 0.0
        return (1 + (excess - 1) * urgent_share) * self._answer_s / self._batch_limit

    def _longest_wait_s(self, priority: int, now: float) -> float:
        """Return how long an own request of no lower priority has been without a first token."""
        for flight in self._flights.values():
            if flight.first_at is None and flight.priority <= priority:
                return now - flight.sent_at
        return 0.0

    def _others_now(self, now: float) -> _Own:
        if now - self._others.at > STALE_REPORT_S:
            return _Own(now, 0, 0)
        return self._others

    def _remember(self, now: float) -> None:
        self._history.append(_Own(now, self.requests, sum(self._prefill)))
        while len(self._history) > 1 and self._history[1].at < now - HISTORY_S:
            self._history.popleft()

    def _own_at(self, at: float) -> _Own:
        found = _Own(at, 0, 0)
        for sample in self._history:
            if sample.at > at:
                break
            found = sample
        return found
