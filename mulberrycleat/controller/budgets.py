"""Controller of budgets: this host's slices, reservations and settlements."""

from __future__ import annotations

import logging
from typing import NamedTuple

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.budget import STREAM, Bill, Claim, Ledger, LedgerRecord, Settle, Slice
from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.messages import Ack, ReserveReply, ReserveRequest, SettleRequest
from mulberrycleat.core import Holder, new_id
from mulberrycleat.eventlog import EventLog, Page, follow
from mulberrycleat.settings import ControllerSettings

__all__ = ["BudgetController"]

log = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 3.0
RETRY_EVERY_S = 0.2
RETRY_AFTER_S = 2.0
CLAIM_PART = 6


class Reservation(NamedTuple):
    """Tokens set aside for one request."""

    budget: str
    tokens: int
    router: str


class BudgetController:
    """Hold slices of budgets for the routers of this host.

    Parameters
    ----------
    settings : ControllerSettings
        Timing.
    holder : Holder
        This incarnation of the host.
    event_log : EventLog
        The platform's log.
    """

    def __init__(self, settings: ControllerSettings, holder: Holder, event_log: EventLog) -> None:
        self._settings = settings
        self._holder = str(holder)
        self._event_log = event_log
        self._ledger = Ledger()
        self._slices: dict[str, Slice] = {}
        self._reservations: dict[str, Reservation] = {}
        self._bills: list[Bill] = []
        self._unconfirmed: Settle | None = None
        self._claiming: dict[str, trio.Lock] = {}
        self._changes = Changes()

    @property
    def ledger(self) -> Ledger:
        """The fold of the ledger stream."""
        return self._ledger

    @property
    def slices(self) -> dict[str, Slice]:
        """Slices by budget."""
        return self._slices

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the ledger and settle for ever."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow)
            task_status.started()
            nursery.start_soon(self._settle_regularly)

    async def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Set tokens aside for a request, claiming more of the budget if need be."""
        if request.request in self._reservations:
            return ReserveReply(True)
        if self._free(request.budget) < request.tokens:
            await self._claim(request.budget, request.tokens)
        if self._free(request.budget) < request.tokens:
            return self._refusal(request)
        self._slices[request.budget] = self._slice(request.budget).reserve(request.tokens)
        self._reservations[request.request] = Reservation(
            request.budget, request.tokens, request.router
        )
        return ReserveReply(True)

    async def settle(self, request: SettleRequest) -> Ack:
        """Turn reservations into bills; one that is gone was settled before."""
        for settlement in request.settlements:
            reservation = self._reservations.pop(settlement.request, None)
            if reservation is None:
                continue
            cost = min(settlement.tokens, reservation.tokens)
            if cost < settlement.tokens:
                log.error("cost above the reservation", extra={"request": settlement.request})
            budget = reservation.budget
            self._slices[budget] = self._slice(budget).settle(reservation.tokens, cost)
            if cost:
                self._bills.append(Bill(settlement.request, budget, cost))
        return Ack()

    async def flush(self) -> bool:
        """Write what is unsettled to the ledger; return whether all of it is confirmed."""
        record = self._next_settlement()
        if record is None:
            return True
        await self._event_log.append(STREAM, (msgspec.to_builtins(record),))
        return await self._changes.wait_until(
            lambda: self._ledger.settled(self._holder) >= record.seq, CLAIM_TIMEOUT_S
        )

    async def _follow(self, task_status: trio.TaskStatus) -> None:
        await follow(self._event_log, STREAM, self._on_page, task_status=task_status)

    async def _on_page(self, page: Page) -> None:
        for entry in page.entries:
            try:
                self._apply(msgspec.convert(entry.data, LedgerRecord))
            except msgspec.ValidationError as error:
                log.warning("record passed over", extra={"offset": entry.offset, "why": str(error)})
        if page.entries:
            self._changes.notify()

    def _apply(self, record: LedgerRecord) -> None:
        fresh_claim = isinstance(record, Claim) and self._ledger.granted(record.id) is None
        self._ledger.apply(record)
        if fresh_claim and record.holder == self._holder:
            granted = self._ledger.granted(record.id) or 0
            self._slices[record.budget] = self._slice(record.budget).grant(granted)
        if self._unconfirmed and self._ledger.settled(self._holder) >= self._unconfirmed.seq:
            self._unconfirmed = None

    async def _claim(self, budget: str, needed: int) -> None:
        lock = self._claiming.setdefault(budget, trio.Lock())
        async with lock:
            missing = needed - self._free(budget)
            state = self._ledger.budgets.get(budget)
            if missing <= 0 or state is None or state.available <= 0:
                return
            tokens = max(missing, state.available // CLAIM_PART)
            await self._append_claim(Claim(new_id(), budget, self._holder, tokens))

    async def _append_claim(self, claim: Claim) -> None:
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            while self._ledger.granted(claim.id) is None:
                match await self._event_log.append(STREAM, (msgspec.to_builtins(claim),)):
                    case Ok(_):
                        await self._changes.wait_until(
                            lambda: self._ledger.granted(claim.id) is not None, CLAIM_TIMEOUT_S
                        )
                    case Err(error):
                        log.warning("claim failed", extra={"step": "append", "peer": error.peer})
                        await trio.sleep(RETRY_EVERY_S)

    async def _settle_regularly(self) -> None:
        while True:
            await trio.sleep(self._settings.settle_every_s)
            await self.flush()

    def _next_settlement(self) -> Settle | None:
        if self._unconfirmed is None and self._bills:
            seq = self._ledger.settled(self._holder) + 1
            self._unconfirmed = Settle(self._holder, seq, tuple(self._bills))
            self._bills.clear()
        return self._unconfirmed

    def _slice(self, budget: str) -> Slice:
        return self._slices.get(budget) or Slice()

    def _free(self, budget: str) -> int:
        return self._slice(budget).free

    def _refusal(self, request: ReserveRequest) -> ReserveReply:
        state = self._ledger.budgets.get(request.budget)
        left = state.prepaid - state.spent if state else 0
        if left >= request.tokens:
            reason = f"the free tokens of budget {request.budget!r} are held elsewhere"
            return ReserveReply(False, "budget_held_elsewhere", reason, RETRY_AFTER_S)
        reason = f"budget {request.budget!r} has {left} tokens left, {request.tokens} needed"
        return ReserveReply(False, "budget_exhausted", reason, None)
