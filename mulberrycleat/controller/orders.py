"""Controller of orders: brings the engines of each pool to the wanted model and version.

The first usable host of a zone, by rank, watches the pool's endpoints in that zone. When one of
them differs from its target, the host claims the pool's lease in the log. The holder of the lease
takes endpoints out of service one at a time, orders them to load their target, and returns them to
service once they serve it. The scope of a lease is the name of its pool.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.engines import Accepted, Engines, Outdated, RetryLater
from mulberrycleat.core import Holder, new_id
from mulberrycleat.eventlog import EventLog, Page, follow
from mulberrycleat.manifest import Endpoint, Manifest
from mulberrycleat.order import (
    STREAM,
    Claim,
    EndpointStatus,
    Hold,
    LeaseState,
    Order,
    OrderRecord,
    OutOfService,
    Phase,
    PoolView,
    Release,
    RemoveFromService,
    ReturnToService,
    Step,
    has_work,
    next_steps,
    progress,
    target_of,
)

__all__ = ["OrderController"]

log = logging.getLogger(__name__)

LEASE_S = 15.0
USABLE_LEASE_FRACTION = 0.8
RENEW_EVERY_S = 4.0
WORK_EVERY_S = 1.0
CHECK_EVERY_S = 5.0
CONFIRM_TIMEOUT_S = 3.0
ORDER_PAUSE_S = 3.0


@dataclass(slots=True)
class _OwnLease:
    """A lease that this host holds. Times are in seconds on trio's clock.

    Attributes
    ----------
    number : int
        Fencing number of the lease, sent with each order.
    valid_until : float
        Time until which the lease certainly runs, counted from the sending of the claim or renewal.
    renewed_at : float
        Time when the last confirmed renewal was sent.
    no_order_before : float
        Time before which no further order is sent.
    """

    number: int
    valid_until: float
    renewed_at: float
    no_order_before: float = 0.0


@dataclass(frozen=True, slots=True)
class _PendingClaim:
    """A claim that has not been granted yet, and when it was sent, in seconds on trio's clock."""

    id: str
    sent_at: float


class OrderController:
    """Order engines to load the wanted model versions.

    Parameters
    ----------
    holder : Holder
        This incarnation of the host.
    event_log : EventLog
        The platform's log.
    engines : Engines
        The model engines.
    manifest : callable
        Returns the active manifest.
    leaving : callable
        Returns the endpoints that get no new requests for other reasons than orders.
    is_first : callable
        Returns whether this host is the first in its zone by rank for a task.
    changes : Changes
        Notified when the set of endpoints out of service changes.
    """

    def __init__(
        self,
        holder: Holder,
        event_log: EventLog,
        engines: Engines,
        manifest: Callable[[], Manifest],
        leaving: Callable[[], frozenset[str]],
        is_first: Callable[[str], bool],
        changes: Changes,
    ) -> None:
        self._holder = holder
        self._event_log = event_log
        self._engines = engines
        self._manifest = manifest
        self._leaving = leaving
        self._is_first = is_first
        self._changes = changes
        self._state = LeaseState()
        self._next = 0
        self._records_applied = Changes()
        self._last_record_at: dict[str, float] = {}
        self._out_of_service_since: dict[str, float] = {}
        self._own_leases: dict[str, _OwnLease] = {}
        self._pending_claims: dict[str, _PendingClaim] = {}
        self._next_check: dict[str, float] = {}

    @property
    def state(self) -> LeaseState:
        """The leases of the pools, built from the stream of orders."""
        return self._state

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream and work on every pool until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._work_regularly)
            task_status.started()

    async def _follow(self) -> None:
        await follow(self._event_log, STREAM, self._on_page)

    async def _on_page(self, page: Page) -> None:
        before = self._state.out()
        now = trio.current_time()
        for entry in page.entries:
            try:
                record = msgspec.convert(entry.data, OrderRecord)
            except msgspec.ValidationError as error:
                log.warning(
                    "invalid order record skipped",
                    extra={"offset": entry.offset, "why": str(error)},
                )
                continue
            self._state.apply(record, entry.offset, entry.at)
            self._last_record_at[record.scope] = now
        self._next = max(self._next, page.next)
        after = self._state.out()
        self._out_of_service_since = {
            name: self._out_of_service_since.get(name, now) for name in after
        }
        if page.entries:
            self._records_applied.notify()
        if after != before:
            self._changes.notify()

    async def _work_regularly(self) -> None:
        while True:
            scopes = {pool.name for pool in self._manifest().pools if pool.kind == "model"}
            async with trio.open_nursery() as nursery:
                for scope in sorted(scopes):
                    nursery.start_soon(self._work_on_pool, scope)
            await trio.sleep(WORK_EVERY_S)

    async def _work_on_pool(self, scope: str) -> None:
        self._update_own_lease(scope)
        if scope in self._own_leases:
            await self._advance(scope, self._own_leases[scope])
        elif self._may_claim(scope) and has_work(await self._observe(scope, self._is_in_this_zone)):
            await self._claim(scope)

    def _update_own_lease(self, scope: str) -> None:
        """Record a lease that was granted to this host; drop one that a later lease replaced."""
        lease = self._state.leases.get(scope)
        asked, held = self._pending_claims.get(scope), self._own_leases.get(scope)
        if held is not None and (lease is None or lease.number != held.number):
            log.warning("lease lost", extra={"scope": scope, "number": held.number})
            del self._own_leases[scope]
        if asked is not None and lease is not None and lease.claim == asked.id:
            del self._pending_claims[scope]
            valid_until = asked.sent_at + USABLE_LEASE_FRACTION * LEASE_S
            self._own_leases[scope] = _OwnLease(lease.number, valid_until, asked.sent_at)

    def _may_claim(self, scope: str) -> bool:
        """Return whether this host should check the pool now and claim its lease if it has work.

        Returns True at most once every ``CHECK_EVERY_S`` seconds.
        """
        now = trio.current_time()
        lease = self._state.leases.get(scope)
        running = lease is not None and lease.until != float("-inf")
        if running and now - self._last_record_at.get(scope, now) <= lease.lease_s:
            return False
        if now < self._next_check.get(scope, 0.0) or not self._is_first(f"orders {scope}"):
            return False
        if not (lease and lease.out) and not self._has_targets(scope):
            return False
        self._next_check[scope] = now + CHECK_EVERY_S
        return True

    def _has_targets(self, scope: str) -> bool:
        manifest = self._manifest()
        endpoints = [endpoint for endpoint in manifest.endpoints if endpoint.pool == scope]
        return any(target_of(manifest, endpoint) for endpoint in endpoints)

    async def _claim(self, scope: str) -> None:
        claim = Claim(new_id(), scope, str(self._holder), LEASE_S)
        self._pending_claims[scope] = _PendingClaim(claim.id, trio.current_time())
        await self._append(claim)
        await self._records_applied.wait_until(lambda: self._is_granted(claim), CONFIRM_TIMEOUT_S)
        self._update_own_lease(scope)

    def _is_granted(self, claim: Claim) -> bool:
        lease = self._state.leases.get(claim.scope)
        return lease is not None and lease.claim == claim.id

    async def _advance(self, scope: str, held: _OwnLease) -> None:
        """Take the next steps for a pool whose lease this host holds; release it without work."""
        seen = await self._observe(scope, lambda endpoint: True)
        steps = next_steps(seen)
        out = _out_of_service_after(seen, steps)
        if not out and not has_work(seen):
            await self._release(scope, held, progress(seen))
            return
        due = trio.current_time() - held.renewed_at >= RENEW_EVERY_S
        if due or out != seen.out:
            await self._renew(scope, held, out, progress(seen))
        for step in steps:
            if isinstance(step, Order):
                await self._order(scope, held, step)

    async def _renew(
        self, scope: str, held: _OwnLease, out: dict[str, OutOfService], text: str
    ) -> None:
        sent_at = trio.current_time()
        match await self._append(Hold(scope, held.number, out, text)):
            case Ok(offset):
                await self._records_applied.wait_until(
                    lambda: self._next > offset, CONFIRM_TIMEOUT_S
                )
            case Err(_):
                return
        lease = self._state.leases.get(scope)
        if self._next > offset and lease is not None and lease.number == held.number:
            held.valid_until = sent_at + USABLE_LEASE_FRACTION * LEASE_S
            held.renewed_at = sent_at

    async def _release(self, scope: str, held: _OwnLease, text: str) -> None:
        match await self._append(Release(scope, held.number, text)):
            case Ok(_):
                self._own_leases.pop(scope, None)
            case Err(_):
                pass

    async def _order(self, scope: str, held: _OwnLease, step: Order) -> None:
        now = trio.current_time()
        if now >= held.valid_until or now < held.no_order_before:
            return
        endpoint = next(e for e in self._manifest().endpoints if e.name == step.endpoint)
        match await self._engines.order(endpoint, held.number, step.target):
            case Ok(Accepted()):
                held.no_order_before = trio.current_time() + ORDER_PAUSE_S
            case Ok(RetryLater(after_s)):
                held.no_order_before = trio.current_time() + after_s
            case Ok(Outdated()):
                log.warning(
                    "order refused because of a higher fencing number",
                    extra={"peer": endpoint.name},
                )
                self._own_leases.pop(scope, None)
            case Err(error):
                log.warning("order failed", extra={"peer": error.peer, "why": error.reason})

    async def _observe(self, scope: str, wanted: Callable[[Endpoint], bool]) -> PoolView:
        manifest = self._manifest()
        observed: dict[str, EndpointStatus] = {}

        async def observe_endpoint(endpoint: Endpoint) -> None:
            match await self._engines.observe(endpoint):
                case Ok(found):
                    observed[endpoint.name] = found
                case Err(error):
                    log.debug(
                        "no valid answer from the endpoint",
                        extra={"peer": error.peer, "why": error.reason},
                    )

        async with trio.open_nursery() as nursery:
            for endpoint in manifest.endpoints:
                if endpoint.pool == scope and wanted(endpoint):
                    nursery.start_soon(observe_endpoint, endpoint)
        now = trio.current_time()
        lease = self._state.leases.get(scope)
        out = lease.out if lease else {}
        out_for_s = {name: now - self._out_of_service_since.get(name, now) for name in out}
        return PoolView(scope, manifest, self._leaving(), out, out_for_s, observed)

    def _is_in_this_zone(self, endpoint: Endpoint) -> bool:
        return endpoint.zone == self._holder.zone

    async def _append(self, record: OrderRecord):
        return await self._event_log.append(STREAM, (msgspec.to_builtins(record),))


def _out_of_service_after(scope: PoolView, steps: list[Step]) -> dict[str, OutOfService]:
    out = dict(scope.out)
    for step in steps:
        match step:
            case RemoveFromService(endpoint=name):
                out[name] = OutOfService(Phase.DRAINING)
            case Order(endpoint=name):
                out[name] = OutOfService(Phase.LOADING)
            case ReturnToService(endpoint=name, pool=""):
                out.pop(name, None)
            case ReturnToService(endpoint=name, pool=pool):
                out[name] = OutOfService(Phase.SWAPPED, pool)
    return out
