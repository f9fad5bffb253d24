"""The next steps that bring a pool's endpoints to the desired state; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.manifest import Endpoint, Manifest, Pool
from mulberrycleat.order.fold import OutOfService, Phase
from mulberrycleat.order.target import Target, target_of

__all__ = [
    "EndpointStatus",
    "Order",
    "PoolView",
    "RemoveFromService",
    "ReturnToService",
    "Step",
    "has_work",
    "next_steps",
    "progress",
]

MAX_OUT_OF_SERVICE = 1
MAX_LOAD_RATIO = 0.8
MIN_DRAIN_S = 4.0


class EndpointStatus(NamedTuple):
    """State that an endpoint reported about itself.

    Attributes
    ----------
    loading : bool
        Whether it is loading a model and serves no requests.
    requests : int
        Requests running and queued at the endpoint, according to its last load report.
    """

    model: str
    version: str
    loading: bool
    requests: int


class RemoveFromService(NamedTuple):
    """Remove an endpoint from service: it gets no new requests."""

    endpoint: str


class Order(NamedTuple):
    """Order an idle endpoint to load its target."""

    endpoint: str
    target: Target


class ReturnToService(NamedTuple):
    """Return an endpoint to service; after a swap, in `pool`."""

    endpoint: str
    pool: str = ""


Step = RemoveFromService | Order | ReturnToService


@dataclass(frozen=True, slots=True)
class PoolView:
    """The endpoints of one pool and what is known about them.

    Attributes
    ----------
    name : str
        Name of the pool.
    leaving : frozenset of str
        Endpoints that get no new requests for reasons other than being in `out`.
    out : mapping
        Endpoints that are out of service, by name, according to the fold.
    out_for_s : mapping
        Time since each endpoint in `out` was first observed to be out of service, in seconds.
    observed : mapping
        Reported state by endpoint name; an endpoint that does not answer is absent.
    """

    name: str
    manifest: Manifest
    leaving: frozenset[str]
    out: Mapping[str, OutOfService]
    out_for_s: Mapping[str, float]
    observed: Mapping[str, EndpointStatus]

    @property
    def endpoints(self) -> list[Endpoint]:
        """The endpoints of the pool."""
        return [e for e in self.manifest.endpoints if e.pool == self.name]

    @property
    def in_service(self) -> list[Endpoint]:
        """Endpoints that answer, are not loading, and get new requests."""
        return [
            e
            for e in self.endpoints
            if e.name in self.observed
            and not self.observed[e.name].loading
            and e.name not in self.out
            and e.name not in self.leaving
        ]

    def target(self, endpoint: Endpoint) -> Target | None:
        """Return what an endpoint should serve.

        An endpoint that is out of service always has a target: its pool's model, in any version, if
        the manifest specifies nothing.
        """
        target = target_of(self.manifest, endpoint)
        if target is None and endpoint.name in self.out:
            return Target(self._pool.model, "")
        return target

    def matches(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that answers serves its target, or has no target."""
        target = self.target(endpoint)
        seen = self.observed[endpoint.name]
        if target is None:
            return True
        same_version = target.version in ("", seen.version)
        return seen.model == target.model and same_version and not seen.loading

    def can_spare(self, endpoint: Endpoint) -> bool:
        """Return whether the other endpoints can carry the pool's load without `endpoint`.

        At least the pool's `min_ready` endpoints must remain, and the load, in requests, may be at
        most ``MAX_LOAD_RATIO`` of their capacity. An endpoint in `leaving` can always be spared.
        """
        if endpoint.name in self.leaving:
            return True
        serving = self.in_service
        others = [e for e in serving if e.name != endpoint.name]
        load = sum(self.observed[e.name].requests for e in serving)
        limit = MAX_LOAD_RATIO * sum(e.capacity for e in others)
        return len(others) >= self._pool.min_ready and load <= limit

    @property
    def _pool(self) -> Pool:
        return next(pool for pool in self.manifest.pools if pool.name == self.name)


def has_work(scope: PoolView) -> bool:
    """Return whether an endpoint is out of service, or answers and does not serve its target."""
    names = {e.name for e in scope.endpoints}
    return any(name not in names for name in scope.out) or any(
        e.name in scope.out or not scope.matches(e)
        for e in scope.endpoints
        if e.name in scope.observed
    )


def next_steps(scope: PoolView) -> list[Step]:
    """Return the steps that are possible now.

    An endpoint that is loading without an order is always removed from service. Any other endpoint
    that does not serve its target is removed only while fewer than ``MAX_OUT_OF_SERVICE`` endpoints
    are out of service, not counting swapped ones, and the rest can carry the load. It is ordered to
    load its target once it has been out of service for ``MIN_DRAIN_S`` seconds and reports no
    requests.
    """
    steps = list(_steps_for_out_of_service(scope))
    out_of_service = sum(out.phase is not Phase.SWAPPED for out in scope.out.values())
    out_of_service -= sum(isinstance(step, ReturnToService) for step in steps)
    for endpoint in _candidates_by_load(scope):
        if scope.matches(endpoint):
            continue
        broken = scope.observed[endpoint.name].loading
        if broken or (out_of_service < MAX_OUT_OF_SERVICE and scope.can_spare(endpoint)):
            steps.append(RemoveFromService(endpoint.name))
            out_of_service += 1
    return steps


def progress(scope: PoolView) -> str:
    """Describe how far the pool is from the desired state, in one line of text."""
    with_target = [e for e in scope.endpoints if scope.target(e) is not None]
    done = [e for e in with_target if e.name in scope.observed and scope.matches(e)]
    unresponsive = [e.name for e in with_target if e.name not in scope.observed]
    parts = [f"{len(done)} of {len(with_target)} endpoints as wanted"]
    parts += [f"{name} {out.phase.value}" for name, out in sorted(scope.out.items())]
    parts += [f"{name} does not answer" for name in unresponsive]
    waiting = len(with_target) - len(done) - len(unresponsive)
    if waiting and not scope.out and not any(scope.can_spare(e) for e in scope.in_service):
        parts.append("waiting: the pool can spare no endpoint")
    return "; ".join(parts)


def _steps_for_out_of_service(scope: PoolView) -> Iterator[Step]:
    endpoints = {e.name: e for e in scope.endpoints}
    for name, out in scope.out.items():
        endpoint = endpoints.get(name)
        if endpoint is None:
            yield ReturnToService(name)
        elif name in scope.observed:
            yield from _steps_for(scope, endpoint, out)


def _steps_for(scope: PoolView, endpoint: Endpoint, out: OutOfService) -> Iterator[Step]:
    seen = scope.observed[endpoint.name]
    target = scope.target(endpoint)
    if seen.loading:
        return
    if scope.matches(endpoint):
        pool = target.pool if target else ""
        if out != OutOfService(Phase.SWAPPED, pool) or not pool:
            yield ReturnToService(endpoint.name, pool)
    elif out.phase is Phase.SWAPPED:
        yield RemoveFromService(endpoint.name)
    elif seen.requests == 0 and scope.out_for_s.get(endpoint.name, 0.0) >= MIN_DRAIN_S:
        yield Order(endpoint.name, target)


def _candidates_by_load(scope: PoolView) -> list[Endpoint]:
    """Return the endpoints that answer and are not out of service, least loaded first."""
    candidates = [
        e for e in scope.endpoints if e.name in scope.observed and e.name not in scope.out
    ]
    return sorted(candidates, key=lambda e: (scope.observed[e.name].requests, e.name))
