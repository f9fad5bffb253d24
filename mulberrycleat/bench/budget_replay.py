"""Replay of a trace against the budget code of controllers, with an in-memory log."""

from __future__ import annotations

import heapq
import random
from collections import Counter, defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from mulberrycleat.bench.budget_faults import FaultPlan, HostEvent
from mulberrycleat.bench.budget_score import Score
from mulberrycleat.bench.budget_traces import Trace, TraceRequest
from mulberrycleat.budget import (
    Bill,
    Confirm,
    Dealer,
    DealSettings,
    DemandTracker,
    Fence,
    Join,
    Ledger,
    LedgerRecord,
    Settle,
    SliceKeeper,
    TopUp,
    tokens_to_send,
)

__all__ = ["FleetReplay"]

TICK_S = 1.0
ALLOCATION_INTERVAL_TICKS = 5
TICKS_BEFORE_START = 15
MAX_WAIT_S = 3.0
TICKS_AFTER_END = 200
LOST_ANSWER_SHARE = 0.02
ENGINES = "engines"
ZONES = 3
HOSTS_PER_ZONE = 3
HostId = tuple[int, int]


class _InFlight(NamedTuple):
    ends_at: float
    request_number: int
    request: TraceRequest
    keeper: SliceKeeper


class _Waiting(NamedTuple):
    deadline: float
    request_number: int
    request: TraceRequest
    keeper: SliceKeeper


class FleetReplay:
    """Replay with nine hosts in three zones and an in-memory log, in steps of :data:`TICK_S`.

    Parameters
    ----------
    trace, prepaid, faults
        The requests, the prepaid tokens by budget, and the faults to replay.
    rule : DealSettings
        Settings of the allocation rule.
    seed : int
        Seed for the choice of appends whose answer is lost.
    """

    def __init__(
        self,
        trace: Trace,
        prepaid: Mapping[str, int],
        faults: FaultPlan,
        rule: DealSettings,
        seed: int = 0,
    ) -> None:
        self._trace = trace
        self._prepaid = prepaid
        self._faults = faults
        self._rule = rule
        self._rng = random.Random(seed)
        self._now = 0.0
        self._score = Score(prepaid)
        self._ledger = Ledger()
        self._views = [self._ledger] * ZONES
        self._demand = [DemandTracker() for _ in range(ZONES)]
        self._keepers: dict[HostId, SliceKeeper] = {}
        self._killed: set[str] = set()
        self._allocators: dict[str, Dealer] = {}
        self._incarnations = 0
        self._in_flight: list[_InFlight] = []
        self._waiting: list[_Waiting] = []
        self._scheduled: list[tuple[float, LedgerRecord]] = []
        self._bills_by_holder: defaultdict[str, list[Bill]] = defaultdict(list)
        self._billed_tokens: Counter[str] = Counter()
        self._seen_settlements: set[tuple[str, int]] = set()

    @property
    def ledger(self) -> Ledger:
        """Fold of the full log."""
        return self._ledger

    def run(self) -> Score:
        """Replay the full trace and return the score."""
        for name, tokens in self._prepaid.items():
            self._append(TopUp(f"first-{name}", name, tokens))
        for zone in range(ZONES):
            for host in range(HOSTS_PER_ZONE):
                self._start_host(zone, host)
        for _ in range(TICKS_BEFORE_START):
            self._tick()
        self._now = 0.0
        self._replay()
        for _ in range(TICKS_AFTER_END):
            self._advance(self._now + TICK_S)
        self._check_bills()
        return self._score

    def _replay(self) -> None:
        events = list(self._faults.events)
        for request_number, request in enumerate(self._trace.requests):
            while self._now + TICK_S <= request.at:
                self._advance(self._now + TICK_S)
                while events and events[0].at <= self._now:
                    self._apply_event(events.pop(0))
            self._finish_requests(request.at)
            self._handle_arrival(request, request_number)

    def _advance(self, now: float) -> None:
        self._finish_requests(now)
        self._now = now
        self._tick()

    def _apply_event(self, event: HostEvent) -> None:
        host_id = (event.zone, event.host)
        match event.action:
            case "kill":
                self._killed.add(self._keepers.pop(host_id).holder)
            case "stop":
                keeper = self._keepers.pop(host_id)
                keeper.finish()
                self._keepers[(event.zone, event.host + 100)] = keeper
            case "start":
                self._start_host(*host_id)

    def _start_host(self, zone: int, host: int) -> None:
        self._incarnations += 1
        name = f"zone-{zone}-{host}"
        keeper = SliceKeeper(f"{name}/{self._incarnations}", str(zone), self._views[zone])
        self._keepers[zone, host] = keeper
        self._allocators[keeper.holder] = Dealer(self._rule)
        self._scheduled.append((self._now, Join(keeper.holder, keeper.zone)))
        for dead in [dead for dead in self._killed if dead.startswith(f"{name}/")]:
            self._scheduled.append((self._now + 2 * TICK_S, Fence(dead, (ENGINES,))))
            if self._faults.fencing:
                confirm = Confirm(dead, ENGINES, tuple(self._bills_by_holder[dead]))
                self._scheduled.append((self._now + 4 * TICK_S, confirm))

    def _tick(self) -> None:
        is_allocation_tick = int(self._now / TICK_S) % ALLOCATION_INTERVAL_TICKS == 0
        if not (is_allocation_tick or self._waiting or self._scheduled):
            return
        self._update_views()
        for keeper in list(self._keepers.values()):
            if not self._is_isolated(keeper) and (record := keeper.next_record()):
                self._append(record)
                if self._rng.random() < LOST_ANSWER_SHARE:
                    self._append(record)
        due = [record for at, record in self._scheduled if at <= self._now]
        self._scheduled = [(at, record) for at, record in self._scheduled if at > self._now]
        for record in due:
            self._append(record)
        for keeper in self._keepers.values():
            if not self._is_isolated(keeper):
                keeper.refresh()
        self._retry_waiting()
        self._allocate()

    def _update_views(self) -> None:
        for zone in range(ZONES):
            is_isolated = self._faults.is_isolated(self._now, zone)
            if is_isolated == (self._views[zone] is not self._ledger):
                continue
            frozen = Ledger.from_checkpoint(self._ledger.checkpoint(0))
            self._views[zone] = frozen if is_isolated else self._ledger
            for keeper in self._keepers.values():
                if keeper.zone == str(zone):
                    keeper.use(self._views[zone])

    def _is_isolated(self, keeper: SliceKeeper) -> bool:
        return self._faults.is_isolated(self._now, int(keeper.zone))

    def _append(self, record: LedgerRecord) -> None:
        self._score.appends += 1
        if isinstance(record, Settle) and (record.holder, record.seq) not in self._seen_settlements:
            self._seen_settlements.add((record.holder, record.seq))
            for bill in record.bills:
                self._billed_tokens[bill.request] += bill.tokens
        self._ledger.apply(record, self._now)

    def _allocate(self) -> None:
        for zone in range(ZONES):
            if not self._faults.is_isolated(self._now, zone):
                self._demand[zone].observe(self._now, self._ledger.budgets)
        for keeper in self._keepers.values():
            if not self._is_isolated(keeper):
                demand = self._demand[int(keeper.zone)]
                self._allocators[keeper.holder].deal(keeper, demand)

    def _handle_arrival(self, request: TraceRequest, request_number: int) -> None:
        keeper = self._keeper_for(request)
        keeper.note_asked(request.budget, request.bound)
        if self._reserve(request, request_number, keeper):
            return
        if self._may_wait(request, keeper):
            self._waiting.append(_Waiting(request.at + MAX_WAIT_S, request_number, request, keeper))
        else:
            self._score.turned_away(request)

    def _may_wait(self, request: TraceRequest, keeper: SliceKeeper) -> bool:
        if self._is_isolated(keeper):
            return False
        budget = self._ledger.budgets[request.budget]
        left = budget.prepaid - budget.spent - self._ledger.stranded(request.budget)
        return left >= request.bound

    def _keeper_for(self, request: TraceRequest) -> SliceKeeper:
        for step in range(HOSTS_PER_ZONE):
            host_id = (request.zone, (request.host + step) % HOSTS_PER_ZONE)
            if host_id in self._keepers:
                return self._keepers[host_id]
        raise RuntimeError("a zone has no host")

    def _reserve(self, request: TraceRequest, request_number: int, keeper: SliceKeeper) -> bool:
        if keeper.holder in self._killed:
            return False
        self._pull_transfers(request, keeper)
        self._raise_limit(request, keeper)
        found = keeper.reserve(str(request_number), request.budget, request.bound)
        if found is None:
            return False
        self._score.dispatched(request)
        bill = Bill(str(request_number), request.budget, request.cost, found.number)
        self._bills_by_holder[keeper.holder].append(bill)
        ends_at = max(self._now, request.at) + request.duration_s
        heapq.heappush(self._in_flight, _InFlight(ends_at, request_number, request, keeper))
        return True

    def _pull_transfers(self, request: TraceRequest, keeper: SliceKeeper) -> None:
        for peer in self._keepers.values():
            missing = request.bound - keeper.free(request.budget)
            if missing <= 0:
                return
            if peer is keeper or peer.zone != keeper.zone:
                continue
            tokens = tokens_to_send(peer.free(request.budget), missing)
            if sent := peer.send(keeper.holder, request.budget, tokens):
                keeper.receive(sent)

    def _raise_limit(self, request: TraceRequest, keeper: SliceKeeper) -> None:
        limit = keeper.limit_for(request.budget, request.bound)
        for peer in self._keepers.values():
            if limit is not None and peer.guard(keeper.holder, request.budget, limit):
                keeper.raise_limit(peer.holder, request.budget, limit)
                return

    def _retry_waiting(self) -> None:
        still_waiting = []
        for waiting in self._waiting:
            if self._reserve(waiting.request, waiting.request_number, waiting.keeper):
                continue
            if self._now >= waiting.deadline or not self._may_wait(waiting.request, waiting.keeper):
                self._score.turned_away(waiting.request)
                continue
            budget = waiting.request.budget
            missing = waiting.request.bound - waiting.keeper.free(budget)
            if missing <= 0:
                waiting.keeper.record_limit(budget)
            elif not waiting.keeper.is_wanting(budget):
                waiting.keeper.want(budget, missing)
            still_waiting.append(waiting)
        self._waiting = still_waiting

    def _finish_requests(self, now: float) -> None:
        while self._in_flight and self._in_flight[0].ends_at <= now:
            done = heapq.heappop(self._in_flight)
            self._score.ended(done.request)
            if done.keeper.holder not in self._killed:
                done.keeper.settle(str(done.request_number), done.request.cost)

    def _check_bills(self) -> None:
        """Count requests of running holders not billed once, and budgets with wrong sums."""
        lost: Counter[str] = Counter()
        for holder, bills in self._bills_by_holder.items():
            for bill in bills:
                billed = self._billed_tokens[bill.request]
                is_wrong = billed not in (bill.tokens, 0) or (
                    not billed and holder not in self._killed
                )
                self._score.billing_errors += is_wrong
                lost[bill.budget] += bill.tokens if not billed else 0
        for name, budget in self._ledger.budgets.items():
            unbilled = 0 if self._faults.fencing else lost[name]
            self._score.billing_errors += budget.spent + unbilled != self._score.spent(name)
