"""Active plans: which endpoints get no new requests because of them, and their progress."""

from __future__ import annotations

from collections.abc import Mapping

from result import Ok

from mulberrycleat.controller.engines import Engines
from mulberrycleat.manifest import Endpoint, Manifest
from mulberrycleat.order import LeaseState, OutOfService, Phase

__all__ = ["moved", "plan_progress", "planned_leaving", "without_new_requests"]


def planned_leaving(manifest: Manifest) -> frozenset[str]:
    """Return the endpoints that the manifest drains or retires.

    >>> from mulberrycleat.manifest import Plan
    >>> planned_leaving(Manifest(plans=(Plan("drain", "g1"), Plan("swap", "g2", "huts"))))
    frozenset({'g1'})
    """
    plans = manifest.plans
    return frozenset(plan.endpoint for plan in plans if plan.action in ("drain", "retire"))


def without_new_requests(out: Mapping[str, OutOfService]) -> frozenset[str]:
    """Return the endpoints that are being drained or are loading a model."""
    return frozenset(name for name, one in out.items() if one.phase is not Phase.SWAPPED)


def moved(out: Mapping[str, OutOfService]) -> dict[str, str]:
    """Return the pool that each swapped endpoint serves, by endpoint."""
    return {name: one.pool for name, one in out.items() if one.phase is Phase.SWAPPED}


async def plan_progress(
    manifest: Manifest, orders: LeaseState, engines: Engines, zone: str
) -> dict[str, str]:
    """Return the progress of each plan, by pool or endpoint.

    Drains are included only for endpoints in `zone`.
    """
    found = {scope: lease.progress for scope, lease in orders.leases.items() if lease.progress}
    leaving = planned_leaving(manifest)
    for endpoint in manifest.endpoints:
        if endpoint.name in leaving and endpoint.zone == zone:
            found[endpoint.name] = await _drain_progress(endpoint, engines)
    return found


async def _drain_progress(endpoint: Endpoint, engines: Engines) -> str:
    match await engines.observe(endpoint):
        case Ok(seen) if seen.requests:
            return f"draining, {seen.requests} requests left"
        case Ok(_):
            return "drained"
        case _:
            return "no new work; requests left not known"
