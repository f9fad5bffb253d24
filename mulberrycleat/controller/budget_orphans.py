"""Settlement of reservations whose router has gone, by what the endpoints did for them."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.budget import Reservation, SliceKeeper, cost_of
from mulberrycleat.controller.manifests import ManifestController
from mulberrycleat.core import Step
from mulberrycleat.manifest import Endpoint, Pool
from mulberrycleat.web import BaseHttpClient

__all__ = ["OrphanSettler"]

log = logging.getLogger(__name__)

CHECK_EVERY_S = 1.0
ROUTER_SILENT_S = 15.0
CANCEL_TIMEOUT_S = 2.0


class _Cancelled(msgspec.Struct, frozen=True):
    """What an endpoint did for a request that it will do nothing more for."""

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


class OrphanSettler:
    """Settle what a dead router had reserved.

    Parameters
    ----------
    manifests : ManifestController
        Pools and endpoints.
    client : BaseHttpClient
        Connections to endpoints.

    Notes
    -----
    A router counts as gone when it is silent while a later incarnation of it is heard. Should it
    live after all, nothing is spent unbilled: the engines refuse what was cancelled. A reservation
    for a plain service stays, since nothing proves whether the service ran it.
    """

    def __init__(self, manifests: ManifestController, client: BaseHttpClient) -> None:
        self._manifests = manifests
        self._client = client
        self._heard: dict[str, float] = {}

    def hear(self, router: str) -> None:
        """Note a call of a router."""
        self._heard[router] = trio.current_time()

    async def run(self, current_keeper: Callable[[], SliceKeeper]) -> None:
        """Settle orphans, for ever."""
        while True:
            await trio.sleep(CHECK_EVERY_S)
            keeper = current_keeper()
            for reservation in list(keeper.reservations.values()):
                if self._is_gone(reservation.router):
                    await self._settle(keeper, reservation)

    def _is_gone(self, router: str) -> bool:
        heard = self._heard.get(router, 0.0)
        silent = trio.current_time() - heard > ROUTER_SILENT_S
        return silent and any(at > heard for at in self._heard.values())

    async def _settle(self, keeper: SliceKeeper, reservation: Reservation) -> None:
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
        keeper.settle(reservation.request, min(cost, reservation.tokens))

    async def _cancel(self, endpoint: Endpoint, pool: Pool, request: str) -> int | None:
        """Return what an endpoint spent on a request, or None when it doesn't tell."""
        url = f"http://{endpoint.address}/v1/cancel"
        body = {"request_id": request}
        match await self._client.send_json(
            "POST", url, body, timeout_s=CANCEL_TIMEOUT_S, step=Step.SETTLE
        ):
            case Err(error):
                log.warning("cancel failed", extra={"peer": endpoint.name, "why": error.reason})
                return None
            case Ok(answer):
                return _cost(answer, endpoint, pool)


def _cost(answer: object, endpoint: Endpoint, pool: Pool) -> int | None:
    try:
        done = msgspec.convert(answer, _Cancelled)
    except msgspec.ValidationError as error:
        log.warning("odd cancel answer", extra={"peer": endpoint.name, "why": str(error)})
        return None
    if not done.prompt_tokens:
        return 0
    return cost_of(pool.price, done.prompt_tokens, done.cached_tokens, done.generated_tokens)
