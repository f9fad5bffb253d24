"""Controller of budgets: this host's slices, reservations and settlements.

A slice is the part of a budget's prepaid tokens that this host may reserve.
"""

from __future__ import annotations

import logging

import trio

from mulberrycleat.budget import (
    STREAM,
    AllocationSettings,
    DemandTracker,
    Ledger,
    Reservation,
    SliceAllocator,
    SliceManager,
)
from mulberrycleat.budget.restore import LedgerReader
from mulberrycleat.controller.budget_closing import FenceRunner
from mulberrycleat.controller.budget_orphans import OrphanSettler
from mulberrycleat.controller.budget_peers import PeerTransfers
from mulberrycleat.controller.budget_writer import LedgerWriter
from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.messages import (
    Ack,
    GuardReply,
    GuardRequest,
    PullReply,
    PullRequest,
    ReserveReply,
    ReserveRequest,
    SettleRequest,
)
from mulberrycleat.core import Holder, new_id
from mulberrycleat.eventlog import EventLog, Page, follow
from mulberrycleat.settings import ControllerSettings

__all__ = ["BudgetController"]

log = logging.getLogger(__name__)

RESERVE_TIMEOUT_S = 3.0
RETRY_EVERY_S = 0.2
RETRY_AFTER_S = 2.0
ADJUST_EVERY_S = 1.0
MAX_LEDGER_AGE_S = 8.0


class BudgetController:
    """Reserve tokens for the requests of this host's routers, from its slices of the budgets.

    Parameters
    ----------
    settings : ControllerSettings
        Times between settlements and between checkpoints.
    holder : Holder
        This incarnation of the host.
    event_log : EventLog
        The platform's log.
    transfers : PeerTransfers
        Token transfers from and to the other hosts of the zone.
    fences : FenceRunner
        Fences earlier incarnations of this host and collects the endpoints' confirmations.
    orphans : OrphanSettler
        Settles the reservations of routers that have ended.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        holder: Holder,
        event_log: EventLog,
        transfers: PeerTransfers,
        fences: FenceRunner,
        orphans: OrphanSettler,
    ) -> None:
        self._settings = settings
        self._holder = holder
        self._event_log = event_log
        self._transfers = transfers
        self._fences = fences
        self._orphans = orphans
        self._reader = LedgerReader()
        self._manager = self._new_manager()
        self._demand = DemandTracker()
        self._allocator = SliceAllocator(AllocationSettings())
        self._changes = Changes()
        self._writer = LedgerWriter(settings, event_log, self._changes)
        self._read_at = float("-inf")

    @property
    def ledger(self) -> Ledger:
        """The latest state built without gaps from the ledger stream."""
        return self._reader.ledger

    @property
    def manager(self) -> SliceManager:
        """The slices and reservations of this host's current holder."""
        return self._manager

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the ledger, adjust the slices and settle until cancelled.

        Reports that it has started when it has read up to the end of the ledger stream.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow)
            task_status.started()
            nursery.start_soon(self._run_holder)
            nursery.start_soon(self._adjust_slices_regularly)
            nursery.start_soon(self._writer.write_checkpoints, self._reader)
            nursery.start_soon(self._fences.run, self._reader, self._writer)
            nursery.start_soon(self._orphans.run, lambda: self._manager)

    async def reserve(self, request: ReserveRequest) -> ReserveReply:
        """Reserve tokens for a request.

        When too few are free, tries to get more from peers and the ledger, for up to
        ``RESERVE_TIMEOUT_S`` seconds.
        """
        self._orphans.record_call(request.router)
        manager = self._manager
        known = request.request in manager.reservations
        if not known:
            manager.count_demand(request.budget, request.tokens)
        found = _reserve(manager, request)
        if found is None:
            with trio.move_on_after(RESERVE_TIMEOUT_S):
                found = await self._reserve_from_peers(manager, request)
                found = found or await self._reserve_after_claim(manager, request)
        if found is None:
            return self._refusal(request)
        return ReserveReply(True, holder=manager.holder, number=found.number)

    async def settle(self, request: SettleRequest) -> Ack:
        """Settle reservations at their actual cost; skip requests that have no reservation.

        A cost above the reservation is logged, and only the reserved tokens are billed.
        """
        for settlement in request.settlements:
            reservation = self._manager.reservations.get(settlement.request)
            if reservation is None:
                continue
            cost = min(settlement.tokens, reservation.tokens)
            if cost < settlement.tokens:
                log.error("cost above the reservation", extra={"request": settlement.request})
            self._manager.settle(settlement.request, cost)
        return Ack()

    def record_router_call(self, router: str) -> None:
        """Record that a router of this host made a call now."""
        self._orphans.record_call(router)

    async def pull(self, request: PullRequest) -> PullReply:
        """Transfer tokens to another host of the zone, which asked for them."""
        return self._transfers.send(self._manager, request)

    async def guard(self, request: GuardRequest) -> GuardReply:
        """Record the spending limit of another host of the zone."""
        return self._transfers.guard(self._manager, request)

    async def flush(self) -> bool:
        """Stop reserving, return free tokens and settle; return whether the account is closed.

        The ledger closes the account of this host's holder with its last settlement, which is
        written when no reservations are left.
        """
        self._manager.start_shutdown()
        await self._writer.settle(self._manager)
        return self._manager.ended

    async def _follow(self, task_status: trio.TaskStatus) -> None:
        await follow(self._event_log, STREAM, self._on_page, task_status=task_status)

    async def _on_page(self, page: Page) -> None:
        self._reader.apply_page(page)
        self._read_at = trio.current_time()
        if page.entries:
            self._manager.set_ledger(self._reader.ledger)
            self._changes.notify()

    async def _run_holder(self) -> None:
        """Join the ledger and settle; after a fence, join again as a new holder."""
        while True:
            while not self._reader.complete:
                log.error(
                    "ledger records expired before they were read; no checkpoint has their state"
                )
                await trio.sleep(ADJUST_EVERY_S)
            await self._writer.join(self._manager, self._holder)
            await self._settle_while_open()
            log.error("this holder was fenced", extra={"holder": self._manager.holder})
            self._manager = self._new_manager()

    async def _settle_while_open(self) -> None:
        """Settle until the holder is fenced; after a graceful shutdown, wait to be cancelled."""
        while self.ledger.is_open(self._manager.holder) or self._manager.ended:
            await self._writer.wait_until_due()
            await self._writer.settle(self._manager)

    def _new_manager(self) -> SliceManager:
        holder = self._holder._replace(incarnation=new_id())
        return SliceManager(str(holder), holder.zone, self._reader.ledger)

    async def _adjust_slices_regularly(self) -> None:
        while True:
            await trio.sleep(ADJUST_EVERY_S)
            now = trio.current_time()
            self._demand.observe(now, self.ledger.budgets)
            if now - self._read_at < MAX_LEDGER_AGE_S:
                self._allocator.adjust(self._manager, self._demand)

    async def _reserve_from_peers(
        self, manager: SliceManager, request: ReserveRequest
    ) -> Reservation | None:
        await self._transfers.pull(manager, request.budget, request.tokens)
        await self._transfers.raise_limit(manager, request.budget, request.tokens)
        return _reserve(manager, request)

    async def _reserve_after_claim(
        self, manager: SliceManager, request: ReserveRequest
    ) -> Reservation | None:
        """Claim the missing tokens in the ledger and retry the reservation.

        Ends when it succeeds or the budget has too few tokens left.
        """
        while self._may_be_available(request):
            missing = request.tokens - manager.free(request.budget)
            if missing > 0 and not manager.has_waiting_claim(request.budget):
                self._allocator.adjust(manager, self._demand)
                manager.claim_for_waiting(request.budget, missing)
                self._writer.request_write()
            await self._transfers.raise_limit(manager, request.budget, request.tokens)
            if found := _reserve(manager, request):
                return found
            if missing <= 0:
                manager.record_limit(request.budget)
                self._writer.request_write()
            await self._changes.wait_until(
                lambda: manager.can_reserve(request.budget, request.tokens), RETRY_EVERY_S
            )
        return _reserve(manager, request)

    def _may_be_available(self, request: ReserveRequest) -> bool:
        """Return whether the budget may have enough tokens that are neither spent nor stranded."""
        budget = self.ledger.budgets.get(request.budget)
        left = budget.prepaid - budget.spent - self.ledger.stranded(request.budget) if budget else 0
        return left >= request.tokens

    def _refusal(self, request: ReserveRequest) -> ReserveReply:
        budget = self.ledger.budgets.get(request.budget)
        left = budget.prepaid - budget.spent if budget else 0
        if left >= request.tokens:
            code, retry_after_s = "budget_held_elsewhere", RETRY_AFTER_S
            reason = f"the free tokens of budget {request.budget!r} are held elsewhere"
        else:
            code, retry_after_s = "budget_exhausted", None
            reason = f"budget {request.budget!r} has {left} tokens left, {request.tokens} needed"
        self._manager.count_refusal(request.budget, code)
        return ReserveReply(False, code, reason, retry_after_s)


def _reserve(manager: SliceManager, request: ReserveRequest) -> Reservation | None:
    return manager.reserve(
        request.request, request.budget, request.tokens, request.router, request.pool
    )
