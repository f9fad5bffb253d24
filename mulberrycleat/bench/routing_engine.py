"""An engine under a virtual clock: batch, prompt reading by priority, prefix cache."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import NamedTuple

from mulberrycleat.bench.routing_clock import Clock
from mulberrycleat.endpoint import Demand, LoadReport

__all__ = ["EngineModel", "EngineSpec", "Job"]

BLOCK_TOKENS = 64
TINY = 1e-9


class EngineSpec(NamedTuple):
    """Speed and size of one engine; times in seconds."""

    prefill_tokens_per_s: float
    step_s: float
    step_per_request_s: float
    max_batch: int
    cache_tokens: int
    chunk_tokens: int
    zone: str


@dataclass(slots=True, eq=False)
class Job:
    """One dispatch of a request at an engine.

    Attributes
    ----------
    on_first, on_end : callable
        Called at the first event, and at the end with whether it failed.
    """

    request_id: str
    demand: Demand
    answer_tokens: int
    priority: int
    on_first: Callable[[Job], None]
    on_end: Callable[[Job, bool], None]
    cached: int = 0
    prefill_left: float = 0.0
    ends_at_tokens: float = 0.0
    generated: int = 0
    state: str = "waiting"


class EngineModel:
    """Requests wait for a place in the batch; one prompt is read at a time; all others decode.

    A chunk of a prompt is read in each step of the batch, so that reading slows decoding.

    Parameters
    ----------
    spec : EngineSpec
        Speed and size.
    clock : Clock
        The virtual clock.
    publish : callable
        Gets the kind and the keys of each cache event.
    """

    def __init__(
        self, spec: EngineSpec, clock: Clock, publish: Callable[[str, tuple[int, ...]], None]
    ) -> None:
        self._spec = spec
        self._clock = clock
        self._publish = publish
        self._order = count()
        self._waiting: list[tuple[int, int, Job]] = []
        self._reading: list[tuple[int, int, Job]] = []
        self._decoding: list[tuple[float, int, Job]] = []
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._tokens = 0.0
        self._at = 0.0
        self._version = 0
        self._open = 0
        self.dead = False
        self.frozen = False
        self.hit_tokens = 0
        self.prompt_tokens = 0

    @property
    def spec(self) -> EngineSpec:
        """Speed and size."""
        return self._spec

    def submit(self, job: Job) -> None:
        """Take a job."""
        self._advance()
        heapq.heappush(self._waiting, (job.priority, next(self._order), job))
        self._fill()
        self._plan()

    def cancel(self, job: Job) -> None:
        """End a job without an answer."""
        self._advance()
        if job.state == "decoding":
            job.generated = max(0, int(self._tokens - job.ends_at_tokens) + job.answer_tokens)
        self._leave(job)
        self._fill()
        self._plan()

    def die(self) -> None:
        """End every job as failed."""
        self._advance()
        self.dead = True
        jobs = [entry[2] for entry in (*self._waiting, *self._reading, *self._decoding)]
        self._waiting, self._reading, self._decoding = [], [], []
        self._blocks.clear()
        self._open = 0
        self._version += 1
        for job in jobs:
            job.state = "ended"
            job.on_end(job, True)

    def set_frozen(self, frozen: bool) -> None:
        """Stop or go on; jobs are taken all the while."""
        self._advance()
        self.frozen = frozen
        self._plan()

    def report(self) -> LoadReport:
        """Return the load of now."""
        self._advance()
        prefill = sum(job.demand.prompt_tokens for _, _, job in self._waiting)
        prefill += sum(int(job.prefill_left) for _, _, job in self._reading)
        decode = sum(int(end - self._tokens) for end, _, _ in self._decoding)
        requests = self._open + len(self._waiting)
        return LoadReport(self._clock.now, requests, len(self._waiting), prefill, decode)

    def _fill(self) -> None:
        while self._waiting and self._open < self._spec.max_batch:
            priority, _, job = heapq.heappop(self._waiting)
            self._open += 1
            job.cached = min(self._look_up(job.demand.keys), job.demand.prompt_tokens)
            self.hit_tokens += job.cached
            self.prompt_tokens += job.demand.prompt_tokens
            job.prefill_left = max(1.0, job.demand.prompt_tokens - job.cached)
            job.state = "reading"
            heapq.heappush(self._reading, (priority, next(self._order), job))

    def _leave(self, job: Job) -> None:
        if job.state in ("reading", "decoding"):
            self._open -= 1
        for entries in (self._waiting, self._reading, self._decoding):
            kept = [entry for entry in entries if entry[2] is not job]
            if len(kept) < len(entries):
                entries[:] = kept
                heapq.heapify(entries)
        job.state = "ended"

    def _rates(self) -> tuple[float, float]:
        """Return prompt tokens read and tokens generated for each request, a second."""
        if self.frozen:
            return 0.0, 0.0
        decoding = len(self._decoding)
        step_s = self._spec.step_s + decoding * self._spec.step_per_request_s if decoding else 0.0
        if not self._reading:
            return 0.0, 1 / step_s if step_s else 0.0
        chunk = self._spec.chunk_tokens
        cycle_s = chunk / self._spec.prefill_tokens_per_s + step_s
        return chunk / cycle_s, 1 / cycle_s if decoding else 0.0

    def _advance(self) -> None:
        passed = self._clock.now - self._at
        self._at = self._clock.now
        if passed <= 0:
            return
        read, decode = self._rates()
        if self._reading:
            self._reading[0][2].prefill_left -= read * passed
        self._tokens += decode * passed

    def _plan(self) -> None:
        """Schedule the next change."""
        self._version += 1
        read, decode = self._rates()
        times = []
        if self._reading and read:
            times.append(self._reading[0][2].prefill_left / read)
        if self._decoding and decode:
            times.append((self._decoding[0][0] - self._tokens) / decode)
        if times:
            version = self._version
            self._clock.after(max(min(times), 0.0) + TINY, lambda: self._change(version))

    def _change(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        done: list[Callable[[], None]] = []
        while self._reading and self._reading[0][2].prefill_left <= TINY:
            _, _, job = heapq.heappop(self._reading)
            job.state = "decoding"
            job.ends_at_tokens = self._tokens + job.answer_tokens
            heapq.heappush(self._decoding, (job.ends_at_tokens, next(self._order), job))
            done.append(lambda job=job: job.on_first(job))
        while self._decoding and self._decoding[0][0] <= self._tokens + TINY:
            _, _, job = heapq.heappop(self._decoding)
            self._open -= 1
            job.state = "ended"
            job.generated = job.answer_tokens
            done.append(lambda job=job: job.on_end(job, False))
        self._fill()
        self._plan()
        for call in done:
            call()

    def _look_up(self, keys: tuple[int, ...]) -> int:
        found = 0
        while found < len(keys) and keys[found] in self._blocks:
            found += 1
        for key in reversed(keys):
            self._blocks[key] = None
            self._blocks.move_to_end(key)
        evicted = []
        while len(self._blocks) * BLOCK_TOKENS > self._spec.cache_tokens:
            evicted.append(self._blocks.popitem(last=False)[0])
        if found < len(keys):
            self._publish("stored", keys[found:])
        if evicted:
            self._publish("evicted", tuple(evicted))
        return found * BLOCK_TOKENS
