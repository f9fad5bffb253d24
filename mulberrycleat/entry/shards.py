"""Slices of all accounts, in shards with separate ledgers."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from typing import Any

import trio

from mulberrycleat.entry.report_batches import ReportSender, ReportServer
from mulberrycleat.entry.slices import SliceController
from mulberrycleat.prepaid import Grant
from mulberrycleat.prepaid.sharding import SHARDS, shard_of
from mulberrycleat.routes import RouteTable
from mulberrycleat.web import Route

__all__ = ["ShardedSlices"]

# Shards whose account was looked up recently; a deployment has some hundred accounts.
SHARD_CACHE_SIZE = 4096
# Interval between usage reports, in seconds; well within the time after which unused tokens are
# free again.
USAGE_REPORT_INTERVAL_S = 0.3
# Interval between reports of demand to a zone coordinator, in seconds; the reserve that it holds
# for an outage changes as slowly.
DEMAND_REPORT_INTERVAL_S = 3.0


class ShardedSlices:
    """Slices of the prepaid totals, one controller for each shard of accounts.

    The hosts that hold slices of a shard are its coordinator and one zone coordinator in each other
    availability zone. Only they follow the ledger of the shard, so that its cost grows with the
    number of zones and not with the number of hosts.

    Parameters
    ----------
    make_controller : callable
        Returns the controller of a shard.
    sender : ReportSender
        Sends the reports of all shards.
    """

    def __init__(
        self, make_controller: Callable[[int], SliceController], sender: ReportSender
    ) -> None:
        self._controllers = tuple(make_controller(shard) for shard in range(SHARDS))
        self._sender = sender
        self._reserving = 0
        self._usage_due = trio.Event()
        self._report_server = ReportServer(
            route for controller in self._controllers for route in controller.report_routes()
        )
        self._shard_of = lru_cache(SHARD_CACHE_SIZE)(shard_of)

    @property
    def controllers(self) -> tuple[SliceController, ...]:
        """The controllers, by shard."""
        return self._controllers

    @property
    def ready(self) -> bool:
        """Whether requests for tokens can be granted in all shards."""
        return all(controller.ready for controller in self._controllers)

    def controller(self, account: str) -> SliceController:
        """Return the controller of an account's shard."""
        return self._controllers[self._shard_of(account)]

    def apply_route_table(self, table: RouteTable) -> None:
        """Apply the prepaid totals of a new route map."""
        totals: list[dict[str, int]] = [{} for _ in self._controllers]
        for name, account in table.accounts.items():
            if account.prepaid_tokens is not None:
                totals[self._shard_of(name)][name] = account.prepaid_tokens
        for controller, found in zip(self._controllers, totals, strict=True):
            controller.apply_totals(found, table.version)

    def update_roles(self) -> None:
        """Apply a change of the active hosts."""
        for controller in self._controllers:
            controller.update_roles()

    def store_lost(self) -> None:
        """Hand records over soon: the store did not answer this host's latest call."""
        for controller in self._controllers:
            controller.store_lost()

    def store_returned(self) -> None:
        """Read the ledgers soon: the store can be reached again."""
        for controller in self._controllers:
            controller.store_returned()

    def store_restored(self) -> None:
        """Read the ledgers again soon: the store was restored from an older copy."""
        for controller in self._controllers:
            controller.store_restored()

    async def reserve(self, account: str, tokens: int, deadline: float) -> Grant:
        """Reserve tokens for a request; see :meth:`SliceController.reserve`."""
        self._reserving += 1
        self._usage_due.set()
        try:
            return await self.controller(account).reserve(account, tokens, deadline)
        finally:
            self._reserving -= 1

    def settle(self, account: str, grant: Grant, used: int) -> None:
        """Count the tokens of a grant that a request used, and release the others."""
        self.controller(account).settle(account, grant, used)
        self._usage_due.set()

    def tokens(self, account: str) -> dict[str, int]:
        """Return this host's token counts of an account, by kind."""
        return self.controller(account).tokens(account)

    def describe(self, account: str) -> dict[str, Any]:
        """Return the inputs of a decision on an account's tokens, as fields of a log line."""
        return self.controller(account).describe(account)

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (
            *(route for controller in self._controllers for route in controller.routes()),
            *self._report_server.routes(),
        )

    def record_start(self) -> None:
        """Record the start time of the process, from which clock readings count the uptime."""
        for controller in self._controllers:
            controller.record_start()

    async def run(self) -> None:
        """Keep the ledgers up to date until :meth:`end` is called."""
        await self._for_each(lambda controller: controller.run)

    async def end(self) -> None:
        """Write the final records, and return once the store holds them."""
        await self._for_each(lambda controller: controller.end)

    async def run_usage_reports(self) -> None:
        """Send usage reports to donors until cancelled.

        Only reservations and their settlement cause usage, so the loop waits for the next one once
        everything has been reported.
        """
        while True:
            if not self._reserving and not self._has_usage_reports:
                self._usage_due = trio.Event()
                await self._usage_due.wait()
            await trio.sleep(USAGE_REPORT_INTERVAL_S)
            await self._sender.send(
                report for controller in self._controllers for report in controller.usage_reports()
            )

    async def run_demand_reports(self) -> None:
        """Report the demand of this host's callers to zone coordinators until cancelled."""
        while True:
            await trio.sleep(DEMAND_REPORT_INTERVAL_S)
            await self._sender.send(
                report for controller in self._controllers for report in controller.demand_reports()
            )

    @property
    def _has_usage_reports(self) -> bool:
        """Whether any shard has usage of received tokens to report."""
        return any(controller.has_usage_reports for controller in self._controllers)

    async def _for_each(self, method: Callable[[SliceController], Callable[[], Any]]) -> None:
        async with trio.open_nursery() as nursery:
            for controller in self._controllers:
                nursery.start_soon(method(controller))
