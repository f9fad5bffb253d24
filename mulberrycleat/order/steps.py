"""The next steps towards the wanted state of a pool's endpoints; free of I/O and clocks."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.manifest import Endpoint, Manifest, Pool
from mulberrycleat.order.fold import Out, Phase
from mulberrycleat.order.wanted import Target, target_of

__all__ = [
    "Observed",
    "Order",
    "PutBack",
    "Scope",
    "Step",
    "TakeOut",
    "has_work",
    "next_steps",
    "progress",
]

MAX_OUT = 1
LOAD_LIMIT = 0.8
QUIET_S = 4.0


class Observed(NamedTuple):
    """What an endpoint said of itself.

    Attributes
    ----------
    loading : bool
        Whether it is loading and serves nothing.
    requests : int
        Requests running and waiting there, as of its last load report.
    """

    model: str
    version: str
    loading: bool
    requests: int


class TakeOut(NamedTuple):
    """Give an endpoint no new work."""

    endpoint: str


class Order(NamedTuple):
    """Order an idle endpoint to load its target."""

    endpoint: str
    target: Target


class PutBack(NamedTuple):
    """Put an endpoint into service again; of a swap, in `pool`."""

    endpoint: str
    pool: str = ""


Step = TakeOut | Order | PutBack


@dataclass(frozen=True, slots=True)
class Scope:
    """The endpoints of one pool and what is known of them.

    Attributes
    ----------
    name : str
        The pool.
    leaving : frozenset of str
        Endpoints that get no new work for other reasons.
    out : mapping
        Endpoints that are out, from the fold.
    out_for_s : mapping
        Time since each of them was seen to be draining, in seconds.
    observed : mapping
        Answers by endpoint; one that does not answer is missing.
    """

    name: str
    manifest: Manifest
    leaving: frozenset[str]
    out: Mapping[str, Out]
    out_for_s: Mapping[str, float]
    observed: Mapping[str, Observed]

    @property
    def endpoints(self) -> list[Endpoint]:
        """The endpoints of the pool."""
        return [e for e in self.manifest.endpoints if e.pool == self.name]

    @property
    def in_service(self) -> list[Endpoint]:
        """Endpoints that answer, are ready, and get new work."""
        return [
            e
            for e in self.endpoints
            if e.name in self.observed
            and not self.observed[e.name].loading
            and e.name not in self.out
            and e.name not in self.leaving
        ]

    def target(self, endpoint: Endpoint) -> Target | None:
        """Return what an endpoint is to serve; of one that is out, at least its pool's model."""
        target = target_of(self.manifest, endpoint)
        if target is None and endpoint.name in self.out:
            return Target(self._pool.model, "")
        return target

    def matches(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that answers is as wanted."""
        target = self.target(endpoint)
        seen = self.observed[endpoint.name]
        if target is None:
            return True
        same_version = target.version in ("", seen.version)
        return seen.model == target.model and same_version and not seen.loading

    def can_spare(self, endpoint: Endpoint) -> bool:
        """Return whether the others carry the pool's load without `endpoint`."""
        if endpoint.name in self.leaving:
            return True
        serving = self.in_service
        rest = [e for e in serving if e.name != endpoint.name]
        load = sum(self.observed[e.name].requests for e in serving)
        limit = LOAD_LIMIT * sum(e.capacity for e in rest)
        return len(rest) >= self._pool.min_ready and load <= limit

    @property
    def _pool(self) -> Pool:
        return next(pool for pool in self.manifest.pools if pool.name == self.name)


def has_work(scope: Scope) -> bool:
    """Return whether an endpoint that answers is out or not as wanted."""
    names = {e.name for e in scope.endpoints}
    return any(name not in names for name in scope.out) or any(
        e.name in scope.out or not scope.matches(e)
        for e in scope.endpoints
        if e.name in scope.observed
    )


def next_steps(scope: Scope) -> list[Step]:
    """Return the steps that can be taken now."""
    steps = list(_steps_of_out(scope))
    still_out = sum(out.phase is not Phase.SWAPPED for out in scope.out.values())
    still_out -= sum(isinstance(step, PutBack) for step in steps)
    for endpoint in _by_load(scope):
        if scope.matches(endpoint):
            continue
        broken = scope.observed[endpoint.name].loading
        if broken or (still_out < MAX_OUT and scope.can_spare(endpoint)):
            steps.append(TakeOut(endpoint.name))
            still_out += 1
    return steps


def progress(scope: Scope) -> str:
    """Return how far the pool is from the wanted state, as a sentence."""
    wanted = [e for e in scope.endpoints if scope.target(e) is not None]
    done = [e for e in wanted if e.name in scope.observed and scope.matches(e)]
    silent = [e.name for e in wanted if e.name not in scope.observed]
    parts = [f"{len(done)} of {len(wanted)} endpoints as wanted"]
    parts += [f"{name} {out.phase.value}" for name, out in sorted(scope.out.items())]
    parts += [f"{name} does not answer" for name in silent]
    waiting = len(wanted) - len(done) - len(silent)
    if waiting and not scope.out and not any(scope.can_spare(e) for e in scope.in_service):
        parts.append("waiting: the pool can spare no endpoint")
    return "; ".join(parts)


def _steps_of_out(scope: Scope) -> Iterator[Step]:
    endpoints = {e.name: e for e in scope.endpoints}
    for name, out in scope.out.items():
        endpoint = endpoints.get(name)
        if endpoint is None:
            yield PutBack(name)
        elif name in scope.observed:
            yield from _steps_of(scope, endpoint, out)


def _steps_of(scope: Scope, endpoint: Endpoint, out: Out) -> Iterator[Step]:
    seen = scope.observed[endpoint.name]
    target = scope.target(endpoint)
    if seen.loading:
        return
    if scope.matches(endpoint):
        pool = target.pool if target else ""
        if out != Out(Phase.SWAPPED, pool) or not pool:
            yield PutBack(endpoint.name, pool)
    elif out.phase is Phase.SWAPPED:
        yield TakeOut(endpoint.name)
    elif seen.requests == 0 and scope.out_for_s.get(endpoint.name, 0.0) >= QUIET_S:
        yield Order(endpoint.name, target)


def _by_load(scope: Scope) -> list[Endpoint]:
    """Return the endpoints that answer and are not out, the least busy first."""
    candidates = [
        e for e in scope.endpoints if e.name in scope.observed and e.name not in scope.out
    ]
    return sorted(candidates, key=lambda e: (scope.observed[e.name].requests, e.name))
