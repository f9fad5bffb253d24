"""Settlement of reservations of ended routers: which routers are kept in memory."""

from __future__ import annotations

import trio

from mulberrycleat.controller.budget_orphans import CHECK_EVERY_S, ROUTER_SILENT_S, OrphanSettler


class NoReservations:
    """A slice manager without reservations."""

    reservations: dict = {}


async def test_ended_routers_are_forgotten():
    settler = OrphanSettler(None, None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(settler.run, NoReservations)
        for number in range(200):
            settler.record_call(f"a1/{number}")
            await trio.sleep(1.0)
        await trio.sleep(2 * CHECK_EVERY_S)
        assert len(settler._called_at) <= ROUTER_SILENT_S + 5
        await trio.sleep(2 * ROUTER_SILENT_S)
        # A router counts as ended only if another one has called since.
        assert list(settler._called_at) == ["a1/199"]
        nursery.cancel_scope.cancel()
