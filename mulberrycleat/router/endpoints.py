"""The router's table of endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

import trio
from result import Err, Result

from mulberrycleat.controller.messages import CacheNews, LoadNews
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
class _Try:
    """One request at one endpoint."""

    pool: str
    name: str
    request_id: str
    meter: Meter
    generated_before: int
    is_model: bool
    answered: bool = False


class EndpointTable:
    """What this router knows of endpoints, kept over changes of the manifest.

    Parameters
    ----------
    zone : str
        Availability zone of this router.
    settings : ChoiceSettings
        How endpoints are compared.
    random : Random
        Source of the choice among near-best endpoints.
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
        self._pools: dict[str, str] = {}
        self._by_pool: dict[str, list[Endpoint]] = {}
        self._view: View | None = None
        self._paused: dict[str, float] = {}
        self._tries: dict[tuple[str, str], _Try] = {}

    def choose(self, call: Call, tried: Iterable[str] = ()) -> Choice | None:
        """Return the endpoint for a call, leaving out those in `tried`."""
        now = trio.current_time()
        self._take_view(call.view)
        self._note_answers()
        endpoints = self._by_pool.get(call.pool.name, [])
        left_out = {*tried, *(name for name, until in self._paused.items() if now < until)}
        chooser = self._chooser(call.pool.name)
        return chooser.choose(endpoints, call.demand or demand_of(call), now, left_out)

    def started(self, call: Call, endpoint: Endpoint) -> None:
        """Note that a call is sent to an endpoint."""
        meter = call.meter
        meter.first_at = None
        key = (endpoint.name, call.id)
        is_model = call.pool.kind == "model"
        generated = meter.count.generated
        self._tries[key] = _Try(call.pool.name, *key, meter, generated, is_model)
        demand = call.demand or demand_of(call)
        self._chooser(call.pool.name).sent(endpoint, call.id, demand, trio.current_time())

    def ended(
        self, call: Call, endpoint: Endpoint, outcome: Result[Served, Refusal] | None
    ) -> None:
        """Note how a call ended at an endpoint; None when it was cancelled."""
        now = trio.current_time()
        one = self._tries.pop((endpoint.name, call.id))
        if not one.is_model and outcome is not None:
            one.meter.first_at = now
        self._note_answer(one)
        if _code(outcome) == BUSY:
            self._paused[endpoint.name] = now + BUSY_PAUSE_S
        generated = one.meter.count.generated - one.generated_before
        failed = _failed(outcome, one)
        self._chooser(one.pool).ended(endpoint.name, call.id, generated, now, failed)

    def take_loads(self, news: Iterable[LoadNews]) -> None:
        """Take load reports."""
        now = trio.current_time()
        for one in news:
            if pool := self._pools.get(one.endpoint):
                report = LoadReport(
                    now - one.age_s, one.requests, one.waiting, one.prefill, one.decode
                )
                self._chooser(pool).take_report(one.endpoint, report)

    def take_cache_news(self, news: Iterable[CacheNews]) -> None:
        """Take cache events."""
        for one in news:
            if pool := self._pools.get(one.endpoint):
                self._chooser(pool).take_cache_event(one.endpoint, one.kind, one.keys)

    def _chooser(self, pool: str) -> Chooser:
        if pool not in self._choosers:
            self._choosers[pool] = Chooser(self._settings, self._zone, self._random)
        return self._choosers[pool]

    def _take_view(self, view: View) -> None:
        if view is self._view:
            return
        self._view = view
        self._pools = {endpoint.name: endpoint.pool for endpoint in view.manifest.endpoints}
        self._paused = {n: until for n, until in self._paused.items() if n in self._pools}
        self._by_pool = {}
        for endpoint in view.manifest.endpoints:
            if endpoint.name not in view.leaving:
                self._by_pool.setdefault(endpoint.pool, []).append(endpoint)
        self._choosers = {
            pool: chooser
            for pool, chooser in self._choosers.items()
            if pool in self._pools.values()
        }
        for chooser in self._choosers.values():
            chooser.retain(self._pools)

    def _note_answers(self) -> None:
        for one in self._tries.values():
            if not one.answered and one.meter.first_at is not None:
                self._note_answer(one)

    def _note_answer(self, one: _Try) -> None:
        if one.answered or one.meter.first_at is None:
            return
        one.answered = True
        cached = one.meter.count.cached
        self._chooser(one.pool).first_token(one.name, one.request_id, cached, one.meter.first_at)


def demand_of(call: Call) -> Demand:
    """Return the work that a call asks for."""
    if call.pool.kind != "model":
        return SERVICE_DEMAND
    texts = [message.get("content") or "" for message in call.body.get("messages", ())]
    texts = [text for text in texts if isinstance(text, str)]
    tokens = sum(len(text.encode()) for text in texts) // BYTES_PER_TOKEN + 1
    return Demand(tokens, call.body.get("max_tokens", 1), prefix_keys(call.pool.model, texts))


def _code(outcome: Result[Served, Refusal] | None) -> str:
    return outcome.err_value.code if isinstance(outcome, Err) else ""


def _failed(outcome: Result[Served, Refusal] | None, one: _Try) -> bool | None:
    """Return whether an outcome speaks against the endpoint; None when it says nothing.

    A caller that gives up says nothing, unless not even a first event had come.
    """
    match outcome:
        case None:
            return None if one.answered or not one.is_model else True
        case Err(NotRun(code=code)) if code in (BUSY, REFUSED):
            return None
        case _:
            return isinstance(outcome, Err)
