"""The router's table of endpoints and their load."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import trio
from result import Err, Result

from mulberrycleat.controller.messages import CacheUpdate, PeerLoadReport
from mulberrycleat.core import NotRun, Refusal, Served
from mulberrycleat.endpoint import Choice, ChoiceSettings, Chooser, Demand, LoadReport, prefix_keys
from mulberrycleat.manifest import Endpoint
from mulberrycleat.router.call import Call, Meter, View

__all__ = ["EndpointTable", "demand_of"]

BYTES_PER_TOKEN = 4
SERVICE_DEMAND = Demand(100, 0)
BUSY_PAUSE_S = 3.0
BUSY = "endpoint_busy"
REFUSED = "endpoint_refused"


@dataclass(slots=True)
class _Attempt:
    """One attempt of a request at one endpoint."""

    pool: str
    name: str
    request_id: str
    meter: Meter
    generated_before: int
    is_model: bool
    answered: bool = False


class EndpointTable:
    """State of the endpoints as known to this router, kept across manifest versions.

    Parameters
    ----------
    zone : str
        Availability zone of this router.
    settings : ChoiceSettings
        Settings of the choice among endpoints.
    random : Random
        Random number generator for the choice among near-best endpoints.
    """

    def __init__(
        self,
        zone: str,
        settings: ChoiceSettings | None = None,
        random: Random | None = None,
    ) -> None:
        self._zone = zone
        self._settings = settings or ChoiceSettings()
        self._random = random or Random()
        self._choosers: dict[str, Chooser] = {}
        self._pool_by_endpoint: dict[str, str] = {}
        self._endpoints_by_pool: dict[str, list[Endpoint]] = {}
        self._view: View | None = None
        self._busy_until: dict[str, float] = {}
        self._attempts: dict[tuple[str, str], _Attempt] = {}

    def choose(self, call: Call, excluded: Iterable[str] = ()) -> Choice | None:
        """Return the endpoint for a call, None if there is none.

        Skips the endpoints in `excluded` and those that answered within the last ``BUSY_PAUSE_S``
        that they are busy.
        """
        now = trio.current_time()
        self._update_view(call.view)
        self._record_first_tokens()
        endpoints = self._endpoints_by_pool.get(call.pool.name, [])
        left_out = {*excluded, *(name for name, until in self._busy_until.items() if now < until)}
        chooser = self._chooser(call.pool.name)
        return chooser.choose(endpoints, call.demand or demand_of(call), now, left_out)

    def started(self, call: Call, endpoint: Endpoint) -> None:
        """Record the start of an attempt at an endpoint."""
        meter = call.meter
        meter.first_at = None
        key = (endpoint.name, call.id)
        is_model = call.pool.kind == "model"
        generated = meter.count.generated
        self._attempts[key] = _Attempt(call.pool.name, *key, meter, generated, is_model)
        demand = call.demand or demand_of(call)
        self._chooser(call.pool.name).sent(endpoint, call.id, demand, trio.current_time())

    def ended(
        self, call: Call, endpoint: Endpoint, outcome: Result[Served, Refusal] | None
    ) -> None:
        """Record the end of an attempt; `outcome` is None if it was cancelled."""
        now = trio.current_time()
        attempt = self._attempts.pop((endpoint.name, call.id))
        if not attempt.is_model and outcome is not None:
            attempt.meter.first_at = now
        self._record_first_token(attempt)
        if _code(outcome) == BUSY:
            self._busy_until[endpoint.name] = now + BUSY_PAUSE_S
        generated = attempt.meter.count.generated - attempt.generated_before
        failed = _failed(outcome, attempt)
        self._chooser(attempt.pool).ended(endpoint.name, call.id, generated, now, failed)

    def update_loads(self, updates: Iterable[PeerLoadReport]) -> None:
        """Update the choosers with load reports."""
        now = trio.current_time()
        for update in updates:
            if pool := self._pool_by_endpoint.get(update.endpoint):
                report = LoadReport(
                    now - update.age_s,
                    update.requests,
                    update.waiting,
                    update.prefill,
                    update.decode,
                )
                self._chooser(pool).record_load_report(update.endpoint, report)

    def update_caches(self, updates: Iterable[CacheUpdate]) -> None:
        """Update the choosers with cache events."""
        for update in updates:
            if pool := self._pool_by_endpoint.get(update.endpoint):
                self._chooser(pool).apply_cache_event(update.endpoint, update.kind, update.keys)

    def _chooser(self, pool: str) -> Chooser:
        if pool not in self._choosers:
            self._choosers[pool] = Chooser(self._settings, self._zone, self._random)
        return self._choosers[pool]

    def _update_view(self, view: View) -> None:
        if view is self._view:
            return
        self._view = view
        self._pool_by_endpoint = {
            endpoint.name: endpoint.pool for endpoint in view.manifest.endpoints
        }
        self._busy_until = {
            n: until for n, until in self._busy_until.items() if n in self._pool_by_endpoint
        }
        self._endpoints_by_pool = {}
        for endpoint in view.manifest.endpoints:
            if endpoint.name not in view.leaving:
                self._endpoints_by_pool.setdefault(endpoint.pool, []).append(endpoint)
        self._choosers = {
            pool: chooser
            for pool, chooser in self._choosers.items()
            if pool in self._pool_by_endpoint.values()
        }
        for chooser in self._choosers.values():
            chooser.retain(self._pool_by_endpoint)

    def _record_first_tokens(self) -> None:
        for attempt in self._attempts.values():
            if not attempt.answered and attempt.meter.first_at is not None:
                self._record_first_token(attempt)

    def _record_first_token(self, attempt: _Attempt) -> None:
        if attempt.answered or attempt.meter.first_at is None:
            return
        attempt.answered = True
        cached = attempt.meter.count.cached
        self._chooser(attempt.pool).first_token(
            attempt.name, attempt.request_id, cached, attempt.meter.first_at
        )


def demand_of(call: Call) -> Demand:
    """Return the estimated work of a call, at ``BYTES_PER_TOKEN`` bytes per prompt token."""
    if call.pool.kind != "model":
        return SERVICE_DEMAND
    texts = [message.get("content") or "" for message in call.body.get("messages", ())]
    texts = [text for text in texts if isinstance(text, str)]
    tokens = sum(len(text.encode()) for text in texts) // BYTES_PER_TOKEN + 1
    return Demand(tokens, call.body.get("max_tokens", 1), prefix_keys(call.pool.model, texts))


def _code(outcome: Result[Served, Refusal] | None) -> str:
    return outcome.err_value.code if isinstance(outcome, Err) else ""


def _failed(outcome: Result[Served, Refusal] | None, attempt: _Attempt) -> bool | None:
    """Return whether an outcome counts as a failure of the endpoint; None if it says nothing.

    A cancelled attempt says nothing, unless a model engine had not sent a first event by then.
    """
    match outcome:
        case None:
            return None if attempt.answered or not attempt.is_model else True
        case Err(NotRun(code=code)) if code in (BUSY, REFUSED):
            return None
        case _:
            return isinstance(outcome, Err)
