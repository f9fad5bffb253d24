"""Replay of a trace with the budget code of controllers and an in-memory log."""

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
    AllocationSettings,
    Bill,
    Confirm,
    DemandTracker,
    Fence,
    Join,
    Ledger,
    LedgerRecord,
    Settle,
    SliceAllocator,
    SliceManager,
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
    manager: SliceManager


class _Waiting(NamedTuple):
    deadline: float
    request_number: int
    request: TraceRequest
    manager: SliceManager


class FleetReplay:
    """Replay with nine hosts in three zones and an in-memory log, in steps of :data:`TICK_S`.

    Parameters
    ----------
    trace, prepaid, faults
        The requests, the prepaid tokens by budget, and the faults to replay.
    rule : AllocationSettings
        Settings of the allocation rule.
    seed : int
        Seed for the choice of appends whose answer is lost.
    """

    def __init__(
        self,
        trace: Trace,
        prepaid: Mapping[str, int],
        faults: FaultPlan,
        rule: AllocationSettings,
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
        self._managers: dict[HostId, SliceManager] = {}
        self._killed: set[str] = set()
        self._allocators: dict[str, SliceAllocator] = {}
        self._incarnations = 0
        self._in_flight: list[_InFlight] = []
        self._waiting: list[_Waiting] = []
        self._scheduled: list[tuple[float, LedgerRecord]] = []
        self._bills_by_holder: defaultdict[str, list[Bill]] = defaultdict(list)
        self._billed_tokens: Counter[str] = Counter()
        self._seen_settlements: set[tuple[str, int]] = set()

    @property
    def ledger(self) -> Ledger:
        """Ledger built from all records of the log."""
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
                self._killed.add(self._managers.pop(host_id).holder)
            case "stop":
                manager = self._managers.pop(host_id)
                manager.start_shutdown()
                # No request arrives at this index; the host still settles those in flight.
                self._managers[(event.zone, event.host + 100)] = manager
            case "start":
                self._start_host(*host_id)

    def _start_host(self, zone: int, host: int) -> None:
        self._incarnations += 1
        name = f"zone-{zone}-{host}"
        manager = SliceManager(f"{name}/{self._incarnations}", str(zone), self._views[zone])
        self._managers[zone, host] = manager
        self._allocators[manager.holder] = SliceAllocator(self._rule)
        self._scheduled.append((self._now, Join(manager.holder, manager.zone)))
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
        for manager in list(self._managers.values()):
            if not self._is_isolated(manager) and (record := manager.next_record()):
                self._append(record)
                # A host that gets no answer to an append writes the record again.
                if self._rng.random() < LOST_ANSWER_SHARE:
                    self._append(record)
        due = [record for at, record in self._scheduled if at <= self._now]
        self._scheduled = [(at, record) for at, record in self._scheduled if at > self._now]
        for record in due:
            self._append(record)
        for manager in self._managers.values():
            if not self._is_isolated(manager):
                manager.refresh()
        self._retry_waiting()
        self._allocate()

    def _update_views(self) -> None:
        """Switch isolated zones to a copy of the ledger, and reconnected zones back to the ledger.

        The copy is made when the isolation starts and is not updated.
        """
        for zone in range(ZONES):
            is_isolated = self._faults.is_isolated(self._now, zone)
            if is_isolated == (self._views[zone] is not self._ledger):
                continue
            frozen = Ledger.from_checkpoint(self._ledger.checkpoint(0))
            self._views[zone] = frozen if is_isolated else self._ledger
            for manager in self._managers.values():
                if manager.zone == str(zone):
                    manager.set_ledger(self._views[zone])

    def _is_isolated(self, manager: SliceManager) -> bool:
        return self._faults.is_isolated(self._now, int(manager.zone))

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
        for manager in self._managers.values():
            if not self._is_isolated(manager):
                demand = self._demand[int(manager.zone)]
                self._allocators[manager.holder].adjust(manager, demand)

    def _handle_arrival(self, request: TraceRequest, request_number: int) -> None:
        manager = self._manager_for(request)
        manager.count_demand(request.budget, request.bound)
        if self._reserve(request, request_number, manager):
            return
        if self._may_wait(request, manager):
            self._waiting.append(
                _Waiting(request.at + MAX_WAIT_S, request_number, request, manager)
            )
        else:
            self._score.turned_away(request)

    def _may_wait(self, request: TraceRequest, manager: SliceManager) -> bool:
        """Return whether the zone is connected and enough tokens are neither spent nor stranded."""
        if self._is_isolated(manager):
            return False
        budget = self._ledger.budgets[request.budget]
        left = budget.prepaid - budget.spent - self._ledger.stranded(request.budget)
        return left >= request.bound

    def _manager_for(self, request: TraceRequest) -> SliceManager:
        for step in range(HOSTS_PER_ZONE):
            host_id = (request.zone, (request.host + step) % HOSTS_PER_ZONE)
            if host_id in self._managers:
                return self._managers[host_id]
        raise RuntimeError(f"no host runs in zone {request.zone}")

    def _reserve(self, request: TraceRequest, request_number: int, manager: SliceManager) -> bool:
        if manager.holder in self._killed:
            return False
        self._pull_transfers(request, manager)
        self._raise_limit(request, manager)
        found = manager.reserve(str(request_number), request.budget, request.bound)
        if found is None:
            return False
        self._score.dispatched(request)
        bill = Bill(str(request_number), request.budget, request.cost, found.number)
        self._bills_by_holder[manager.holder].append(bill)
        ends_at = max(self._now, request.at) + request.duration_s
        heapq.heappush(self._in_flight, _InFlight(ends_at, request_number, request, manager))
        return True

    def _pull_transfers(self, request: TraceRequest, manager: SliceManager) -> None:
        for peer in self._managers.values():
            missing = request.bound - manager.free(request.budget)
            if missing <= 0:
                return
            if peer is manager or peer.zone != manager.zone:
                continue
            tokens = tokens_to_send(peer.free(request.budget), missing)
            if sent := peer.send(manager.holder, request.budget, tokens):
                manager.receive(sent)

    def _raise_limit(self, request: TraceRequest, manager: SliceManager) -> None:
        limit = manager.limit_for(request.budget, request.bound)
        for peer in self._managers.values():
            if limit is not None and peer.record_peer_limit(manager.holder, request.budget, limit):
                manager.raise_limit(peer.holder, request.budget, limit)
                return

    def _retry_waiting(self) -> None:
        still_waiting = []
        for waiting in self._waiting:
            if self._reserve(waiting.request, waiting.request_number, waiting.manager):
                continue
            if self._now >= waiting.deadline or not self._may_wait(
                waiting.request, waiting.manager
            ):
                self._score.turned_away(waiting.request)
                continue
            budget = waiting.request.budget
            missing = waiting.request.bound - waiting.manager.free(budget)
            if missing <= 0:
                waiting.manager.record_limit(budget)
            elif not waiting.manager.has_waiting_claim(budget):
                waiting.manager.claim_for_waiting(budget, missing)
            still_waiting.append(waiting)
        self._waiting = still_waiting

    def _finish_requests(self, now: float) -> None:
        while self._in_flight and self._in_flight[0].ends_at <= now:
            done = heapq.heappop(self._in_flight)
            self._score.ended(done.request)
            if done.manager.holder not in self._killed:
                done.manager.settle(str(done.request_number), done.request.cost)

    def _check_bills(self) -> None:
        """Count billing errors of requests and of budgets.

        An error is a request billed with a wrong total, a request that was not billed although its
        holder was not killed, or a budget whose sum is wrong. Without fencing, the sum may lack the
        tokens of requests that were not billed.
        """
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
