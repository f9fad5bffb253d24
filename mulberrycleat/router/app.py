"""The router process: an HTTP server for callers in front of the filter chain."""

from __future__ import annotations

import logging
import math
from random import Random

import trio
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from result import Err, Ok, Result

from mulberrycleat.burn import INTERVALS_PATH, Recorder
from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step, new_id
from mulberrycleat.core.logs import exception_origin, log_fields
from mulberrycleat.core.ports import Ports
from mulberrycleat.router.answers import http_problem, problem_event, problem_reply
from mulberrycleat.router.call import Call
from mulberrycleat.router.chain import FilterChain
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.filters import (
    AdmissionFilter,
    AuthenticateFilter,
    BudgetFilter,
    ClaimFilter,
    DispatchFilter,
    ObserveFilter,
    RecallFilter,
    ValidationFilter,
)
from mulberrycleat.router.link import ControllerLink
from mulberrycleat.router.loads import LoadFeed
from mulberrycleat.router.shutdown import Drain
from mulberrycleat.rpc import KEY_HEADER, is_fleet_key
from mulberrycleat.settings import RouterSettings
from mulberrycleat.web import (
    App,
    Reply,
    Request,
    Responder,
    Route,
    json_reply,
)

__all__ = ["Router"]

log = logging.getLogger(__name__)

METRICS_TYPE = (("content-type", "text/plain; version=0.0.4"),)
SHUTDOWN_SETTLE_TIMEOUT_S = 5.0


class Router:
    """HTTP server of one router process.

    Parameters
    ----------
    settings : RouterSettings
        Contents of the settings file.
    fleet_key : str
        Key that authenticates calls between the processes of the fleet.
    ports : Ports, optional
        Network access and clock of the process.
    """

    def __init__(
        self, settings: RouterSettings, fleet_key: str, ports: Ports | None = None
    ) -> None:
        self._settings = settings
        self._ports = ports or Ports()
        self._link = ControllerLink(settings, fleet_key, self._ports)
        self._fleet_key = fleet_key
        self._recorder = Recorder(settings, self._ports.now)
        self._drain = Drain(settings)
        random = Random(settings.host.name)
        table = EndpointTable(settings.host.zone, random=random)
        self._feed = LoadFeed(self._link, table)
        self._admission = AdmissionFilter(table, random=random)
        self._chain = FilterChain(
            (
                AuthenticateFilter(),
                ValidationFilter(),
                ObserveFilter(self._recorder),
                RecallFilter(self._link),
                self._admission,
                BudgetFilter(self._link),
                ClaimFilter(self._link),
                DispatchFilter(table, self._ports.http),
            )
        )
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "mulberrycleat_requests", "Requests", ["outcome", "code"], registry=self._registry
        )
        self._version = Gauge(
            "mulberrycleat_manifest_version", "Version in force", registry=self._registry
        )

    async def run(self, stop: trio.Event) -> None:
        """Serve until `stop` is set and the requests in flight have ended or timed out."""
        app = App(
            (
                Route("POST", "/v1/chat/completions", self._serve),
                Route("POST", "/v1/services/{pool}/{path:path}", self._serve),
                Route("GET", "/healthz", self._health),
                Route("GET", "/readyz", self._ready),
                Route("GET", "/metrics", self._metrics),
                Route("GET", INTERVALS_PATH, self._intervals),
            ),
            self._settings.max_body_bytes,
            self._settings.receive_timeout_s,
            http_problem,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._link.run)
            nursery.start_soon(self._feed.run)
            nursery.start_soon(self._admission.run)
            nursery.start_soon(self._recorder.run)
            nursery.start_soon(self._drain.run, stop, lambda: self._link.view.manifest)
            with self._drain.scope:
                await self._ports.serve_http(
                    self._drain.wrap(app), self._settings.listen, self._drain.closed, math.inf
                )
            with trio.move_on_after(SHUTDOWN_SETTLE_TIMEOUT_S):
                while not await self._link.flush():
                    await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    async def _serve(self, request: Request, responder: Responder) -> Reply | None:
        call = Call(new_id(), request, self._link.view, responder)
        with log_fields(request=call.id, path=request.path):
            return await self._run_chain(call, responder)

    async def _run_chain(self, call: Call, responder: Responder) -> Reply | None:
        outcome: Result[Served, Refusal] | None = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, responder, nursery.cancel_scope)
                outcome = await self._chain.run(call)
                nursery.cancel_scope.cancel()
        except Exception as error:
            where = {"step": Step.RECEIVE.value, "peer": "", "why": exception_origin(error)}
            log.error("internal error", extra=where)
            outcome = Err(_internal_error(call))
        self._record_outcome(outcome)
        if isinstance(outcome, Err):
            return await _refuse(call, responder, outcome.err_value)
        return None

    def _record_outcome(self, outcome: Result[Served, Refusal] | None) -> None:
        match outcome:
            case Ok(served):
                self._requests.labels("served", "").inc()
                log.info("served", extra={"step": Step.STREAM.value, "peer": served.endpoint})
            case Err(refusal):
                self._requests.labels(refusal.outcome, refusal.code).inc()
                where = {"step": refusal.step.value, "peer": refusal.peer, "why": refusal.reason}
                log.info("refused", extra={**where, "code": refusal.code})
            case None:
                self._requests.labels("cancelled", "").inc()
                log.info("caller gone", extra={"step": Step.STREAM.value, "peer": "caller"})

    async def _health(self, request: Request, responder: Responder) -> Reply:
        return json_reply({"status": "ok"})

    async def _ready(self, request: Request, responder: Responder) -> Reply:
        ready = self._link.view_received.is_set() and not self._drain.stopping
        return json_reply({"ready": ready}, 200 if ready else 503)

    async def _intervals(self, request: Request, responder: Responder) -> Reply:
        if not is_fleet_key(request.headers.get(KEY_HEADER, ""), self._fleet_key):
            return json_reply({"error": "the fleet key is missing or wrong"}, 401)
        return json_reply({"intervals": self._recorder.intervals()})

    async def _metrics(self, request: Request, responder: Responder) -> Reply:
        self._version.set(self._link.view.manifest_version)
        return Reply(200, generate_latest(self._registry), METRICS_TYPE)


def _internal_error(call: Call) -> Refusal:
    reason = "an internal error of the router"
    if call.meter.dispatched:
        return MayHaveRun(Step.RECEIVE, "", reason, 500, "internal")
    return NotRun(Step.RECEIVE, "", reason, 500, None, "internal")


async def _refuse(call: Call, responder: Responder, refusal: Refusal) -> Reply | None:
    """Answer with a problem, or end a started stream with an error event.

    Such a stream gets no last chunk, so that the server closes the connection and no HTTP client
    can mistake the body for a complete one.
    """
    if not responder.started:
        return problem_reply(refusal, call.id)
    if not responder.finished:
        await responder.write(problem_event(refusal, call.id))
    return None


async def _cancel_on_disconnect(responder: Responder, scope: trio.CancelScope) -> None:
    await responder.gone.wait()
    scope.cancel()
