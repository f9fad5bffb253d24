"""Replay of a trace against the code that controllers run, with a log in memory."""

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
DEAL_EVERY_TICKS = 5
TICKS_BEFORE_START = 15
WAIT_S = 3.0
TICKS_AFTER_END = 200
LOST_ANSWERS = 0.02
ENGINES = "engines"
ZONES = 3
HOSTS_PER_ZONE = 3
Place = tuple[int, int]


class _InFlight(NamedTuple):
    ends: float
    order: int
    request: TraceRequest
    keeper: SliceKeeper


class _Waiting(NamedTuple):
    until: float
    order: int
    request: TraceRequest
    keeper: SliceKeeper


class FleetReplay:
    """Nine hosts in three zones and a log in memory, in steps of :data:`TICK_S`.

    Parameters
    ----------
    trace, prepaid, faults
        What is replayed.
    rule : DealSettings
        The dealing rule.
    seed : int
        For lost answers.
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
        self._main = Ledger()
        self._views = [self._main] * ZONES
        self._demand = [DemandTracker() for _ in range(ZONES)]
        self._up: dict[Place, SliceKeeper] = {}
        self._dead: set[str] = set()
        self._dealers: dict[str, Dealer] = {}
        self._lives = 0
        self._flying: list[_InFlight] = []
        self._waiting: list[_Waiting] = []
        self._later: list[tuple[float, LedgerRecord]] = []
        self._work: defaultdict[str, list[Bill]] = defaultdict(list)
        self._billed: Counter[str] = Counter()
        self._settles: set[tuple[str, int]] = set()

    @property
    def ledger(self) -> Ledger:
        """The fold of the whole log."""
        return self._main

    def run(self) -> Score:
        """Replay the whole trace and return the score."""
        for name, tokens in self._prepaid.items():
            self._append(TopUp(f"first-{name}", name, tokens))
        for zone in range(ZONES):
            for host in range(HOSTS_PER_ZONE):
                self._start(zone, host)
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
        for order, request in enumerate(self._trace.requests):
            while self._now + TICK_S <= request.at:
                self._advance(self._now + TICK_S)
                while events and events[0].at <= self._now:
                    self._happen(events.pop(0))
            self._end_flights(request.at)
            self._arrive(request, order)

    def _advance(self, now: float) -> None:
        self._end_flights(now)
        self._now = now
        self._tick()

    def _happen(self, event: HostEvent) -> None:
        place = (event.zone, event.host)
        match event.action:
            case "kill":
                self._dead.add(self._up.pop(place).holder)
            case "stop":
                keeper = self._up.pop(place)
                keeper.finish()
                self._up[(event.zone, event.host + 100)] = keeper
            case "start":
                self._start(*place)

    def _start(self, zone: int, host: int) -> None:
        self._lives += 1
        name = f"zone-{zone}-{host}"
        keeper = SliceKeeper(f"{name}/{self._lives}", str(zone), self._views[zone])
        self._up[zone, host] = keeper
        self._dealers[keeper.holder] = Dealer(self._rule)
        self._later.append((self._now, Join(keeper.holder, keeper.zone)))
        for dead in [dead for dead in self._dead if dead.startswith(f"{name}/")]:
            self._later.append((self._now + 2 * TICK_S, Fence(dead, (ENGINES,))))
            if self._faults.fencing:
                confirm = Confirm(dead, ENGINES, tuple(self._work[dead]))
                self._later.append((self._now + 4 * TICK_S, confirm))

    def _tick(self) -> None:
        regular = int(self._now / TICK_S) % DEAL_EVERY_TICKS == 0
        if not (regular or self._waiting or self._later):
            return
        self._set_views()
        for keeper in list(self._up.values()):
            if not self._is_apart(keeper) and (record := keeper.next_record()):
                self._append(record)
                if self._rng.random() < LOST_ANSWERS:
                    self._append(record)
        due = [record for at, record in self._later if at <= self._now]
        self._later = [(at, record) for at, record in self._later if at > self._now]
        for record in due:
            self._append(record)
        for keeper in self._up.values():
            if not self._is_apart(keeper):
                keeper.refresh()
        self._try_waiting()
        self._deal()

    def _set_views(self) -> None:
        for zone in range(ZONES):
            apart = self._faults.is_apart(self._now, zone)
            if apart == (self._views[zone] is not self._main):
                continue
            frozen = Ledger.from_checkpoint(self._main.checkpoint(0))
            self._views[zone] = frozen if apart else self._main
            for keeper in self._up.values():
                if keeper.zone == str(zone):
                    keeper.use(self._views[zone])

    def _is_apart(self, keeper: SliceKeeper) -> bool:
        return self._faults.is_apart(self._now, int(keeper.zone))

    def _append(self, record: LedgerRecord) -> None:
        self._score.appends += 1
        if isinstance(record, Settle) and (record.holder, record.seq) not in self._settles:
            self._settles.add((record.holder, record.seq))
            for bill in record.bills:
                self._billed[bill.request] += bill.tokens
        self._main.apply(record, self._now)

    def _deal(self) -> None:
        for zone in range(ZONES):
            if not self._faults.is_apart(self._now, zone):
                self._demand[zone].observe(self._now, self._main.budgets)
        for keeper in self._up.values():
            if not self._is_apart(keeper):
                demand = self._demand[int(keeper.zone)]
                self._dealers[keeper.holder].deal(keeper, demand)

    def _arrive(self, request: TraceRequest, order: int) -> None:
        keeper = self._keeper_for(request)
        keeper.note_asked(request.budget, request.bound)
        if self._reserve(request, order, keeper):
            return
        if self._may_hold(request, keeper):
            self._waiting.append(_Waiting(request.at + WAIT_S, order, request, keeper))
        else:
            self._score.turned_away(request)

    def _may_hold(self, request: TraceRequest, keeper: SliceKeeper) -> bool:
        if self._is_apart(keeper):
            return False
        budget = self._main.budgets[request.budget]
        left = budget.prepaid - budget.spent - self._main.stranded(request.budget)
        return left >= request.bound

    def _keeper_for(self, request: TraceRequest) -> SliceKeeper:
        for step in range(HOSTS_PER_ZONE):
            place = (request.zone, (request.host + step) % HOSTS_PER_ZONE)
            if place in self._up:
                return self._up[place]
        raise RuntimeError("a zone has no host")

    def _reserve(self, request: TraceRequest, order: int, keeper: SliceKeeper) -> bool:
        if keeper.holder in self._dead:
            return False
        self._pull(request, keeper)
        self._ask_peer(request, keeper)
        found = keeper.reserve(str(order), request.budget, request.bound)
        if found is None:
            return False
        self._score.dispatched(request)
        bill = Bill(str(order), request.budget, request.cost, found.number)
        self._work[keeper.holder].append(bill)
        ends = max(self._now, request.at) + request.takes
        heapq.heappush(self._flying, _InFlight(ends, order, request, keeper))
        return True

    def _pull(self, request: TraceRequest, keeper: SliceKeeper) -> None:
        for peer in self._up.values():
            missing = request.bound - keeper.free(request.budget)
            if missing <= 0:
                return
            if peer is keeper or peer.zone != keeper.zone:
                continue
            tokens = tokens_to_send(peer.free(request.budget), missing)
            if sent := peer.send(keeper.holder, request.budget, tokens):
                keeper.receive(sent)

    def _ask_peer(self, request: TraceRequest, keeper: SliceKeeper) -> None:
        limit = keeper.limit_for(request.budget, request.bound)
        for peer in self._up.values():
            if limit is not None and peer.guard(keeper.holder, request.budget, limit):
                keeper.raise_limit(peer.holder, request.budget, limit)
                return

    def _try_waiting(self) -> None:
        still = []
        for one in self._waiting:
            if self._reserve(one.request, one.order, one.keeper):
                continue
            if self._now >= one.until or not self._may_hold(one.request, one.keeper):
                self._score.turned_away(one.request)
                continue
            budget = one.request.budget
            missing = one.request.bound - one.keeper.free(budget)
            if missing <= 0:
                one.keeper.record_limit(budget)
            elif not one.keeper.is_wanting(budget):
                one.keeper.want(budget, missing)
            still.append(one)
        self._waiting = still

    def _end_flights(self, now: float) -> None:
        while self._flying and self._flying[0].ends <= now:
            done = heapq.heappop(self._flying)
            self._score.ended(done.request)
            if done.keeper.holder not in self._dead:
                done.keeper.settle(str(done.order), done.request.cost)

    def _check_bills(self) -> None:
        """Count requests of living holders not billed once, and wrong sums of budgets."""
        lost: Counter[str] = Counter()
        for holder, bills in self._work.items():
            for bill in bills:
                billed = self._billed[bill.request]
                wrong = billed not in (bill.tokens, 0) or (not billed and holder not in self._dead)
                self._score.billing_errors += wrong
                lost[bill.budget] += bill.tokens if not billed else 0
        for name, budget in self._main.budgets.items():
            unbilled = 0 if self._faults.fencing else lost[name]
            self._score.billing_errors += budget.spent + unbilled != self._score.spent(name)
