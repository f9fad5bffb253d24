"""Simulation run of the routing bench: routers, engines and callers under a virtual clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from mulberrycleat.bench.routing_clock import Clock
from mulberrycleat.bench.routing_engine import EngineModel, Job
from mulberrycleat.bench.routing_load import Deployment, RoutedRequest, generate_requests
from mulberrycleat.bench.routing_rules import DEFAULT_PRIORITY, Rule, RuleSpec, make_rule
from mulberrycleat.endpoint import (
    Admission,
    AdmissionRequest,
    Chooser,
    Lane,
    Queued,
    Refuse,
    Send,
    priority_of,
)
from mulberrycleat.manifest.model import Endpoint

__all__ = ["Outcome", "Run", "RunPlan"]

REPORT_INTERVAL_S = 1.0
REPORT_DELAY_S = 1.5
EVENT_DELAY_S = 1.0
LOST_EVENT_SHARE = 0.1
CONNECT_FAILURE_S = 0.005
OTHER_ZONE_DELAY_S = 0.002
RELEASE_INTERVAL_S = 0.05
MAX_ATTEMPTS = 3
FAILURE_AT_SHARE = 0.4


@dataclass(frozen=True, slots=True)
class RunPlan:
    """Plan of one run: a rule at a load, with or without a failure of the first endpoint."""

    deployment: Deployment
    rule: RuleSpec
    requests_per_s: float
    duration_s: float
    seed: int
    with_failure: bool


@dataclass(slots=True, eq=False)
class Outcome:
    """Result of one request.

    Attributes
    ----------
    at : float
        Arrival, in virtual seconds.
    first_s, full_response_s : float or None
        Time from the arrival to the first token and to the full response, in seconds.
    end : str
        ``served``, ``not_run``, ``may_have_run``, ``gave_up`` (by the caller, at its deadline), or
        ``open``.
    end_count : int
        Number of times that the request ended; any number but 1 is a fault.
    generated : int
        Tokens that engines generated, over all attempts.
    tried : set of str
        Names of the endpoints to which the request was sent.
    """

    request: RoutedRequest
    at: float
    first_s: float | None = None
    full_response_s: float | None = None
    end: str = "open"
    end_count: int = 0
    generated: int = 0
    tried: set[str] = field(default_factory=set)
    job: Job | None = None
    endpoint: str = ""


class RouterModel:
    """One router with its own view of the endpoints."""

    def __init__(self, run: Run, zone: str, random: Random) -> None:
        self._run = run
        self._clock = run.clock
        self._zone = zone
        self.rule: Rule = make_rule(run.plan.rule, zone, random)
        settings = run.plan.rule.admission
        self._admission = Admission(settings, random) if settings else None
        self._held: dict[str, tuple[Outcome, Queued]] = {}

    def accept(self, outcome: Outcome) -> None:
        """Send, hold or refuse a request that arrives from a caller."""
        request = outcome.request
        self._clock.after(request.deadline_s, lambda: self._expire(outcome))
        if self._admission is None:
            self.dispatch(outcome)
            return
        now = self._clock.now
        choice = self.rule.choose(self._run.endpoints, request.demand, now, ())
        applicant = AdmissionRequest(
            request.account, 1.0, request.demand, now + request.deadline_s, outcome
        )
        match self._admission.offer(applicant, choice.estimate, now):
            case Send():
                self.dispatch(outcome)
            case Refuse():
                self._record_end(outcome, "not_run")
            case Queued() as hold:
                self._held[request.id] = (outcome, hold)

    def release(self) -> None:
        """Send the waiting requests for which the endpoints have room; end those refused."""
        if self._admission:
            for lane in self._admission.lanes:
                while self._release_one(lane):
                    pass

    def _release_one(self, lane: Lane) -> bool:
        if (applicant := lane.head) is None:
            return False
        now = self._clock.now
        choice = self.rule.choose(self._run.endpoints, applicant.demand, now, ())
        decision = self._admission.try_release(lane, choice.estimate, now)
        if decision is None:
            return False
        outcome = applicant.item
        self._held.pop(outcome.request.id, None)
        if isinstance(decision, Send):
            self.dispatch(outcome)
        else:
            self._record_end(outcome, "not_run")
        return True

    def dispatch(self, outcome: Outcome) -> None:
        """Send a request to an endpoint, or end it after the last attempt."""
        if outcome.end_count:
            return
        now = self._clock.now
        request = outcome.request
        choice = None
        if len(outcome.tried) < MAX_ATTEMPTS:
            choice = self.rule.choose(self._run.endpoints, request.demand, now, outcome.tried)
        if choice is None:
            self._record_end(outcome, "may_have_run" if outcome.generated else "not_run")
            return
        name = choice.endpoint.name
        outcome.tried.add(name)
        outcome.endpoint = name
        self.rule.sent(choice.endpoint, request.id, request.demand, now)
        engine = self._run.engines[name]
        priority = (
            priority_of(request.demand) if self._run.plan.rule.priorities else DEFAULT_PRIORITY
        )
        job = Job(
            request.id,
            request.demand,
            request.answer_tokens,
            priority,
            lambda job: self._on_first_token(outcome, job),
            lambda job, failed: self._on_end(outcome, name, job, failed),
        )
        outcome.job = job
        network_delay_s = OTHER_ZONE_DELAY_S if engine.spec.zone != self._zone else 0.0
        self._clock.after(network_delay_s, lambda: self._submit(engine, outcome, name, job))

    def _submit(self, engine: EngineModel, outcome: Outcome, name: str, job: Job) -> None:
        if job.state == "ended":
            return
        if engine.dead:
            self._clock.after(CONNECT_FAILURE_S, lambda: self._on_end(outcome, name, job, True))
        else:
            engine.submit(job)

    def _on_first_token(self, outcome: Outcome, job: Job) -> None:
        now = self._clock.now
        self.rule.first_token(outcome.endpoint, job.request_id, job.cached, now)
        if outcome.first_s is None:
            outcome.first_s = now - outcome.at

    def _on_end(self, outcome: Outcome, name: str, job: Job, failed: bool) -> None:
        if outcome.job is not job or outcome.end_count:
            return
        self.rule.ended(name, job.request_id, job.generated, self._clock.now, failed)
        outcome.generated += job.generated
        if failed:
            self.dispatch(outcome)
        else:
            outcome.full_response_s = self._clock.now - outcome.at
            self._record_end(outcome, "served")
        self.release()

    def _expire(self, outcome: Outcome) -> None:
        """End a request at its deadline; one that still waits at the router ends as not run."""
        if outcome.end_count:
            return
        if outcome.request.id in self._held:
            _, hold = self._held.pop(outcome.request.id)
            self._admission.withdraw(hold.entry)
            self._record_end(outcome, "not_run")
            return
        engine = self._run.engines[outcome.endpoint]
        if not engine.dead and outcome.job.state != "ended":
            engine.cancel(outcome.job)
        outcome.job.state = "ended"
        now = self._clock.now
        failed = None if outcome.first_s is not None else True
        self.rule.ended(outcome.endpoint, outcome.request.id, outcome.job.generated, now, failed)
        outcome.generated += outcome.job.generated
        self._record_end(outcome, "gave_up")
        self.release()

    def _record_end(self, outcome: Outcome, end: str) -> None:
        outcome.end_count += 1
        outcome.end = end


class Run:
    """Simulation of one run plan."""

    def __init__(self, plan: RunPlan) -> None:
        self.plan = plan
        self.clock = Clock()
        self._random = Random(plan.seed)
        self.engines: dict[str, EngineModel] = {}
        self.endpoints: list[Endpoint] = []
        for number, spec in enumerate(plan.deployment.engines):
            name = f"engine-{number}"
            self.engines[name] = EngineModel(spec, self.clock, self._make_publisher(name))
            self.endpoints.append(Endpoint(name, "pool", spec.zone, f"127.0.0.1:{number + 1}"))
        zones = sorted({spec.zone for spec in plan.deployment.engines})
        self.routers = [
            RouterModel(self, zones[number % len(zones)], Random(f"{plan.seed}:{number}"))
            for number in range(plan.deployment.routers)
        ]
        self.outcomes: list[Outcome] = []

    def run(self) -> list[Outcome]:
        """Run the simulation to its end and return the outcome of each request."""
        plan = self.plan
        balancer = Random(f"balancer:{plan.seed}")
        for at, request in generate_requests(
            plan.deployment, plan.seed, plan.requests_per_s, plan.duration_s
        ):
            outcome = Outcome(request, at)
            self.outcomes.append(outcome)
            router = balancer.choice(self.routers)
            self.clock.after(at, lambda r=router, o=outcome: r.accept(o))
        if plan.with_failure:
            failing_engine = next(iter(self.engines.values()))
            self.clock.after(plan.duration_s * FAILURE_AT_SHARE, failing_engine.fail)
        if plan.rule.reports:
            self.clock.after(REPORT_INTERVAL_S, self._send_reports)
        if plan.rule.admission:
            self.clock.after(RELEASE_INTERVAL_S, self._release_all)
        self.clock.run_until(plan.duration_s + 60.0)
        return self.outcomes

    def _release_all(self) -> None:
        for router in self.routers:
            router.release()
        self.clock.after(RELEASE_INTERVAL_S, self._release_all)

    def _send_reports(self) -> None:
        reports = {
            name: engine.report() for name, engine in self.engines.items() if not engine.dead
        }
        self.clock.after(REPORT_DELAY_S, lambda: self._deliver_reports(reports))
        self.clock.after(REPORT_INTERVAL_S, self._send_reports)

    def _deliver_reports(self, reports: dict) -> None:
        for router in self.routers:
            for name, report in reports.items():
                router.rule.record_load_report(name, report)
            router.release()

    def _make_publisher(self, name: str) -> Callable[[str, tuple[int, ...]], None]:
        """Return a function that delivers cache events of an engine to the routers.

        Delivery takes ``EVENT_DELAY_S``; a share ``LOST_EVENT_SHARE`` of the events is lost.
        Nothing is delivered if the rule doesn't use cache events.
        """

        def publish(kind: str, keys: tuple[int, ...]) -> None:
            if self.plan.rule.events and self._random.random() >= LOST_EVENT_SHARE:
                self.clock.after(EVENT_DELAY_S, lambda: self._deliver_cache_event(name, kind, keys))

        return publish

    def _deliver_cache_event(self, name: str, kind: str, keys: tuple[int, ...]) -> None:
        for router in self.routers:
            if isinstance(router.rule, Chooser):
                router.rule.apply_cache_event(name, kind, keys)
