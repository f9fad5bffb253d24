"""Filter that decides which requests are sent while a pool is overloaded, wait or are refused."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import trio
from result import Err, Ok, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.endpoint.demand import Demand
from mulberrycleat.endpoint.fair_shares import Flow
from mulberrycleat.endpoint.overload import PoolOverload
from mulberrycleat.endpoint.request_queue import QueueRequest, Refused, Unservable, WaitingRequest
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.filters.admit import Proceed

__all__ = ["TURNED_AWAY", "OverloadedPools", "RoomFilter", "queue_request"]

# Code of a refusal by all endpoints that were asked; it proves that none has run the request.
TURNED_AWAY = "turned_away"
# Work of a request that states no tokens. A pool serves either models or plain requests.
PLAIN_WORK = 1.0


class OverloadedPools:
    """Signs of overload of each pool, and what follows from them.

    Parameters
    ----------
    random : Random
        Random source of the decisions.
    decisions : DecisionLog
        Log of the beginnings and ends of overloads.
    is_managed : callable
        Whether requests to a pool wait and are refused here at all. Those to brittle endpoints are
        not: their places are divided among the hosts, and requests that are sent again after they
        were turned away would make the endpoints fail.
    """

    def __init__(
        self, random: Random, decisions: DecisionLog, is_managed: Callable[[str], bool]
    ) -> None:
        self._random = random
        self._is_managed = is_managed
        self._decisions = decisions
        self._pools: dict[str, PoolOverload] = {}
        self._active: set[str] = set()

    @property
    def pools(self) -> dict[str, PoolOverload]:
        """The pools that were overloaded at some time."""
        return self._pools

    @property
    def active(self) -> tuple[str, ...]:
        """Names of the pools that are overloaded now."""
        now = trio.current_time()
        return tuple(name for name, pool in self._pools.items() if pool.is_overloaded(now))

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a place."""
        return sum(len(pool.queue) for pool in self._pools.values())

    def pool(self, name: str) -> PoolOverload:
        """Return one pool, which is created on first use."""
        if name not in self._pools:
            self._pools[name] = PoolOverload(self._random)
        return self._pools[name]

    def note_declined(self, name: str, now: float) -> None:
        """Record that an endpoint of a pool declined a request for lack of room."""
        if self._is_managed(name):
            self.pool(name).note_sign(now)

    def note_load(self, name: str, waiting: int, now: float) -> None:
        """Record how many requests wait at an endpoint of a pool."""
        if waiting > 0 and self._is_managed(name):
            self.pool(name).note_sign(now)

    def overloaded(self, name: str, now: float) -> PoolOverload | None:
        """Return a pool if it is overloaded, else None."""
        pool = self._pools.get(name)
        is_overloaded = pool is not None and pool.is_overloaded(now) and self._is_managed(name)
        if is_overloaded != (name in self._active):
            self._log_change(name, is_overloaded)
        return pool if is_overloaded else None

    def _log_change(self, name: str, is_overloaded: bool) -> None:
        if is_overloaded:
            self._active.add(name)
            self._decisions.warning("overload began", pool=name)
        else:
            self._active.discard(name)
            self._decisions.warning("overload ended", pool=name)


@dataclass(slots=True)
class _Place:
    """A request that waits in a queue; `released` is set once it may be sent."""

    released: trio.Event = field(default_factory=trio.Event)


class RoomFilter:
    """Let the requests pass that an overloaded pool has room for, in a fair order.

    A request that waits is not sent meanwhile, and is refused as not run. One that all endpoints
    turned away waits for another try if its time allows; they have proved that it has not run.

    Parameters
    ----------
    pools : OverloadedPools
        Which pools are overloaded.
    decisions : DecisionLog
        Log of the requests that waited.
    now : callable
        Returns seconds on trio's clock.
    """

    def __init__(
        self, pools: OverloadedPools, decisions: DecisionLog, now: Callable[[], float]
    ) -> None:
        self._pools = pools
        self._decisions = decisions
        self._now = now

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 503 what an overloaded pool does not serve in time."""
        now = self._now()
        pool = self._pools.overloaded(call.pool.name, now)
        if pool is not None:
            request = queue_request(call)
            pool.record_demand(request, now)
            if pool.is_unservable(request, now):
                return Err(_unservable())
            if not pool.admits(request, now):
                return Err(self._refusal(pool, request, "over_share"))
            if not pool.queue.is_first(request.flow):
                return await self._wait(call, proceed, pool, request)
            pool.queue.charge(request)
        outcome = await self._send(call, proceed)
        if not _is_turned_away(call, outcome):
            return outcome
        now = self._now()
        if pool is None:
            pool, request = self._pools.overloaded(call.pool.name, now), queue_request(call)
            if pool is None:
                return outcome
            pool.record_demand(request, now)
        return await self._wait(call, proceed, pool, request)

    async def _wait(
        self, call: EntryCall, proceed: Proceed, pool: PoolOverload, request: QueueRequest
    ) -> Result[Served, Refusal]:
        """Send a request once it is its turn, also repeatedly while it is turned away."""
        now = self._now()
        request = request._replace(item=_Place())
        offered = pool.queue.offer(request, pool.drain_rate(now), pool.answer_s, now)
        match offered:
            case Unservable():
                return Err(_unservable())
            case Refused():
                return Err(self._refusal(pool, request, "late_turn"))
        if pool.poll_at < now:
            pool.record_poll(now)
        while await self._await_turn(pool, offered):
            outcome = await self._send(call, proceed)
            if not _is_turned_away(call, outcome):
                self._log_waited(call, offered)
                return outcome
            request.item.released = trio.Event()
            if not pool.queue.put_back(offered, self._now()):
                break
        return Err(self._refusal(pool, request, "no_turn"))

    async def _await_turn(self, pool: PoolOverload, waiting: WaitingRequest) -> bool:
        """Wait until a request may be sent; False if its time is over."""
        released = waiting.request.item.released
        try:
            while not released.is_set():
                with trio.move_on_at(min(waiting.until, max(pool.poll_at, self._now()))):
                    await released.wait()
                now = self._now()
                if not released.is_set() and now >= waiting.until:
                    return False
                if not released.is_set() and now >= pool.poll_at:
                    self._release(pool, now)
        finally:
            pool.queue.withdraw(waiting)
        return True

    def _release(self, pool: PoolOverload, now: float) -> None:
        """Let the request go that is next."""
        waiting = pool.queue.pop()
        if waiting is not None:
            pool.record_poll(now)
            waiting.request.item.released.set()

    async def _send(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Pass a request on; its end may make room for one that waits."""
        began = self._now()
        work = _work(call)
        pool = self._pools.overloaded(call.pool.name, began)
        if pool is not None:
            pool.record_sent(work, began)
        outcome = await proceed(call)
        now = self._now()
        if pool is not None and isinstance(outcome, Err) and not call.progress.runs:
            pool.record_turned_away(work, now)
        pool = self._pools.overloaded(call.pool.name, now)
        if pool is not None and isinstance(outcome, Ok):
            first_at = call.progress.first_at or now
            pool.record_answer(work, first_at - began, now - began, now)
            self._release(pool, now)
        return outcome

    def _refusal(self, pool: PoolOverload, request: QueueRequest, code: str) -> NotRun:
        reasons = {
            "over_share": "the pool is overloaded, and the account or priority has its share",
            "late_turn": "the pool is overloaded, and the request's turn would come too late",
            "no_turn": "the pool is overloaded, and no place became free in time",
        }
        retry_s = pool.return_s(request, self._now())
        return NotRun(Step.CHOOSE, "", reasons[code], 503, retry_s, code)

    def _log_waited(self, call: EntryCall, waiting: WaitingRequest) -> None:
        self._decisions.info(
            "waited for room",
            request=call.facts.request_id,
            pool=call.pool.name,
            priority=waiting.request.flow.priority,
            since_arrival_s=round(self._now() - call.arrived, 4),
        )


def queue_request(call: EntryCall) -> QueueRequest:
    """Return what the decisions need to know of a call."""
    account = call.account.name if call.account is not None else ""
    return QueueRequest(
        Flow(call.priority, account),
        _work(call),
        call.arrived,
        call.deadline,
        call.route.target_s,
    )


def _work(call: EntryCall) -> float:
    tokens = Demand(call.facts.prompt_tokens, call.facts.max_output_tokens).work_tokens
    return float(tokens) or PLAIN_WORK


def _is_turned_away(call: EntryCall, outcome: Result[Served, Refusal]) -> bool:
    """Whether all endpoints that were asked have proved that they did not run the request."""
    return (
        isinstance(outcome, Err)
        and isinstance(outcome.err_value, NotRun)
        and outcome.err_value.code == TURNED_AWAY
        and not call.progress.runs
        and not call.responder.started
    )


def _unservable() -> NotRun:
    reason = "the pool is overloaded, and the caller leaves before an answer can begin"
    return NotRun(Step.CHOOSE, "", reason, 503, None, "unservable")
