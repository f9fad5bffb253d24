"""Settlement of the reservations of ended routers at the cost that the endpoints report."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.budget import Reservation, SliceManager, cost_of
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.core import Step
from mulberrycleat.manifest import Endpoint, Pool
from mulberrycleat.web import BaseHttpClient

__all__ = ["OrphanSettler"]

log = logging.getLogger(__name__)

CHECK_EVERY_S = 1.0
ROUTER_SILENT_S = 15.0
CANCEL_TIMEOUT_S = 2.0


class _CancelAnswer(msgspec.Struct, frozen=True):
    """Tokens that an endpoint processed for a request before the request was cancelled."""

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


class OrphanSettler:
    """Settle the reservations of routers that have ended.

    Parameters
    ----------
    manifests : ManifestController
        Pools and endpoints.
    client : BaseHttpClient
        Connections to endpoints.

    Notes
    -----
    A router process counts as ended when it has made no call for ``ROUTER_SILENT_S`` seconds and
    another process has called since. If the router still runs, it can't spend tokens without a
    bill, because the engines refuse requests that were cancelled. A reservation for a plain
    service stays, since there is no proof whether the service ran the request.
    """

    def __init__(self, manifests: ManifestController, client: BaseHttpClient) -> None:
        self._manifests = manifests
        self._client = client
        self._called_at: dict[str, float] = {}

    def record_call(self, router: str) -> None:
        """Record that a router made a call now."""
        self._called_at[router] = trio.current_time()

    async def run(self, current_manager: Callable[[], SliceManager]) -> None:
        """Settle the reservations of ended routers until cancelled."""
        while True:
            await trio.sleep(CHECK_EVERY_S)
            manager = current_manager()
            for reservation in list(manager.reservations.values()):
                if self._has_ended(reservation.router):
                    await self._settle(manager, reservation)
            self._forget_ended({one.router for one in manager.reservations.values()})

    def _forget_ended(self, routers_with_reservations: set[str]) -> None:
        """Forget ended routers that have no reservations left.

        The router that called last is kept: its call shows that this process is not cut off.
        """
        newest = max(self._called_at.values(), default=0.0)
        self._called_at = {
            router: at
            for router, at in self._called_at.items()
            if at == newest or router in routers_with_reservations or not self._has_ended(router)
        }

    def _has_ended(self, router: str) -> bool:
        heard = self._called_at.get(router, 0.0)
        silent = trio.current_time() - heard > ROUTER_SILENT_S
        return silent and any(at > heard for at in self._called_at.values())

    async def _settle(self, manager: SliceManager, reservation: Reservation) -> None:
        """Settle a reservation at its cost on all endpoints of its pool.

        Leaves it for the next check when the cost on one of the endpoints is unknown.
        """
        manifest = self._manifests.state.manifest
        pool = next((one for one in manifest.pools if one.name == reservation.pool), None)
        if pool is None or pool.kind != "model":
            return
        cost = 0
        for endpoint in manifest.endpoints:
            if endpoint.pool == pool.name:
                found = await self._cancel(endpoint, pool, reservation.request)
                if found is None:
                    return
                cost += found
        manager.settle(reservation.request, min(cost, reservation.tokens))

    async def _cancel(self, endpoint: Endpoint, pool: Pool, request: str) -> int | None:
        """Cancel a request at an endpoint; return its cost there in tokens, or None if unknown."""
        url = f"http://{endpoint.address}/v1/cancel"
        body = {"request_id": request}
        match await self._client.send_json(
            "POST", url, body, timeout_s=CANCEL_TIMEOUT_S, step=Step.SETTLE
        ):
            case Err(error):
                log.warning(
                    "cancel request failed", extra={"peer": endpoint.name, "why": error.reason}
                )
                return None
            case Ok(answer):
                return _cost(answer, endpoint, pool)


def _cost(answer: object, endpoint: Endpoint, pool: Pool) -> int | None:
    try:
        done = msgspec.convert(answer, _CancelAnswer)
    except msgspec.ValidationError as error:
        log.warning(
            "invalid answer to a cancel request", extra={"peer": endpoint.name, "why": str(error)}
        )
        return None
    if not done.prompt_tokens:
        return 0
    return cost_of(pool.price, done.prompt_tokens, done.cached_tokens, done.generated_tokens)
