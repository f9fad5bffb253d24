"""Model of an engine under a virtual clock: batching, prefill by priority, prefix cache."""

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
EPSILON = 1e-9


class EngineSpec(NamedTuple):
    """Speed and size of one engine.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens prefilled per second.
    step_s, step_per_request_s : float
        Duration of a decoding step, and its increase for each decoding request, in seconds.
    max_batch : int
        Number of requests that are prefilled or decoded at once.
    cache_tokens : int
        Size of the prefix cache, in tokens.
    chunk_tokens : int
        Prompt tokens that are prefilled in each step.
    """

    prefill_tokens_per_s: float
    step_s: float
    step_per_request_s: float
    max_batch: int
    cache_tokens: int
    chunk_tokens: int
    zone: str


@dataclass(slots=True, eq=False)
class Job:
    """One attempt of a request at an engine.

    Attributes
    ----------
    on_first, on_end : callable
        Called with the job at its first token, and with the job and whether it failed at its end.
    cached : int
        Prompt tokens found in the prefix cache.
    remaining_prefill : float
        Prompt tokens still to be prefilled.
    end_token_count : float
        Value of the engine's counter of decoded tokens at which the answer is complete.
    generated : int
        Tokens generated, set when the job is complete or cancelled; 0 if the engine failed.
    state : str
        ``waiting``, ``prefilling``, ``decoding`` or ``ended``.
    """

    request_id: str
    demand: Demand
    answer_tokens: int
    priority: int
    on_first: Callable[[Job], None]
    on_end: Callable[[Job, bool], None]
    cached: int = 0
    remaining_prefill: float = 0.0
    end_token_count: float = 0.0
    generated: int = 0
    state: str = "waiting"


class EngineModel:
    """Engine that prefills one prompt of its batch at a time while other requests decode.

    Requests wait until the batch has room. Each step of the batch prefills one chunk of a prompt,
    so that prefill slows decoding.

    Parameters
    ----------
    spec : EngineSpec
        Speed and size.
    clock : Clock
        The virtual clock.
    publish : callable
        Called with the kind, ``stored`` or ``evicted``, and the block keys of each cache event.
    """

    def __init__(
        self, spec: EngineSpec, clock: Clock, publish: Callable[[str, tuple[int, ...]], None]
    ) -> None:
        self._spec = spec
        self._clock = clock
        self._publish = publish
        self._sequence = count()
        self._waiting: list[tuple[int, int, Job]] = []
        self._prefilling: list[tuple[int, int, Job]] = []
        self._decoding: list[tuple[float, int, Job]] = []
        self._cached_blocks: OrderedDict[int, None] = OrderedDict()
        self._decoded_tokens = 0.0
        self._advanced_at = 0.0
        self._schedule_version = 0
        self._batch_size = 0
        self.dead = False
        self.frozen = False
        self.hit_tokens = 0
        self.prompt_tokens = 0

    @property
    def spec(self) -> EngineSpec:
        """Speed and size."""
        return self._spec

    def submit(self, job: Job) -> None:
        """Queue a job."""
        self._advance()
        heapq.heappush(self._waiting, (job.priority, next(self._sequence), job))
        self._fill_batch()
        self._schedule_next()

    def cancel(self, job: Job) -> None:
        """End a job without calling its callbacks."""
        self._advance()
        if job.state == "decoding":
            job.generated = max(
                0, int(self._decoded_tokens - job.end_token_count) + job.answer_tokens
            )
        self._remove(job)
        self._fill_batch()
        self._schedule_next()

    def fail(self) -> None:
        """Mark the engine as dead and end every job as failed."""
        self._advance()
        self.dead = True
        jobs = [entry[2] for entry in (*self._waiting, *self._prefilling, *self._decoding)]
        self._waiting, self._prefilling, self._decoding = [], [], []
        self._cached_blocks.clear()
        self._batch_size = 0
        self._schedule_version += 1
        for job in jobs:
            job.state = "ended"
            job.on_end(job, True)

    def set_frozen(self, frozen: bool) -> None:
        """Pause or resume prefill and decoding; jobs are accepted in either state."""
        self._advance()
        self.frozen = frozen
        self._schedule_next()

    def report(self) -> LoadReport:
        """Return the current load."""
        self._advance()
        prefill = sum(job.demand.prompt_tokens for _, _, job in self._waiting)
        prefill += sum(int(job.remaining_prefill) for _, _, job in self._prefilling)
        decode = sum(int(end - self._decoded_tokens) for end, _, _ in self._decoding)
        requests = self._batch_size + len(self._waiting)
        return LoadReport(self._clock.now, requests, len(self._waiting), prefill, decode)

    def _fill_batch(self) -> None:
        while self._waiting and self._batch_size < self._spec.max_batch:
            priority, _, job = heapq.heappop(self._waiting)
            self._batch_size += 1
            job.cached = min(self._look_up_and_store(job.demand.keys), job.demand.prompt_tokens)
            self.hit_tokens += job.cached
            self.prompt_tokens += job.demand.prompt_tokens
            job.remaining_prefill = max(1.0, job.demand.prompt_tokens - job.cached)
            job.state = "prefilling"
            heapq.heappush(self._prefilling, (priority, next(self._sequence), job))

    def _remove(self, job: Job) -> None:
        if job.state in ("prefilling", "decoding"):
            self._batch_size -= 1
        for entries in (self._waiting, self._prefilling, self._decoding):
            kept = [entry for entry in entries if entry[2] is not job]
            if len(kept) < len(entries):
                entries[:] = kept
                heapq.heapify(entries)
        job.state = "ended"

    def _rates(self) -> tuple[float, float]:
        """Return prompt tokens prefilled, and tokens decoded for each request, per second."""
        if self.frozen:
            return 0.0, 0.0
        decoding = len(self._decoding)
        step_s = self._spec.step_s + decoding * self._spec.step_per_request_s if decoding else 0.0
        if not self._prefilling:
            return 0.0, 1 / step_s if step_s else 0.0
        chunk = self._spec.chunk_tokens
        cycle_s = chunk / self._spec.prefill_tokens_per_s + step_s
        return chunk / cycle_s, 1 / cycle_s if decoding else 0.0

    def _advance(self) -> None:
        """Apply the prefill and decoding done since the last call."""
        elapsed_s = self._clock.now - self._advanced_at
        self._advanced_at = self._clock.now
        if elapsed_s <= 0:
            return
        read, decode = self._rates()
        if self._prefilling:
            self._prefilling[0][2].remaining_prefill -= read * elapsed_s
        self._decoded_tokens += decode * elapsed_s

    def _schedule_next(self) -> None:
        """Schedule the next end of a prefill or an answer, in place of the earlier schedule."""
        self._schedule_version += 1
        read, decode = self._rates()
        times = []
        if self._prefilling and read:
            times.append(self._prefilling[0][2].remaining_prefill / read)
        if self._decoding and decode:
            times.append((self._decoding[0][0] - self._decoded_tokens) / decode)
        if times:
            version = self._schedule_version
            self._clock.after(max(min(times), 0.0) + EPSILON, lambda: self._apply_due(version))

    def _apply_due(self, version: int) -> None:
        """End due prefills and answers, unless the schedule has changed since `version`."""
        if version != self._schedule_version:
            return
        self._advance()
        done: list[Callable[[], None]] = []
        while self._prefilling and self._prefilling[0][2].remaining_prefill <= EPSILON:
            _, _, job = heapq.heappop(self._prefilling)
            job.state = "decoding"
            job.end_token_count = self._decoded_tokens + job.answer_tokens
            heapq.heappush(self._decoding, (job.end_token_count, next(self._sequence), job))
            done.append(lambda job=job: job.on_first(job))
        while self._decoding and self._decoding[0][0] <= self._decoded_tokens + EPSILON:
            _, _, job = heapq.heappop(self._decoding)
            self._batch_size -= 1
            job.state = "ended"
            job.generated = job.answer_tokens
            done.append(lambda job=job: job.on_end(job, False))
        self._fill_batch()
        self._schedule_next()
        for call in done:
            call()

    def _look_up_and_store(self, keys: tuple[int, ...]) -> int:
        """Store a prompt's blocks, publish cache events, and return the tokens already cached."""
        found = 0
        while found < len(keys) and keys[found] in self._cached_blocks:
            found += 1
        for key in reversed(keys):
            self._cached_blocks[key] = None
            self._cached_blocks.move_to_end(key)
        evicted = []
        while len(self._cached_blocks) * BLOCK_TOKENS > self._spec.cache_tokens:
            evicted.append(self._cached_blocks.popitem(last=False)[0])
        if found < len(keys):
            self._publish("stored", keys[found:])
        if evicted:
            self._publish("evicted", tuple(evicted))
        return found * BLOCK_TOKENS
