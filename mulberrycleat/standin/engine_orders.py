"""Orders to the engine stand-in: load a model version or change its role."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import trio
from result import Ok

from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import HttpClient, Reply, Request, Responder, Route, json_reply

__all__ = ["EngineOrders"]


class _Order(msgspec.Struct):
    fencing: int
    action: str
    model: str = ""
    version: str = ""
    role: str = ""


class EngineOrders:
    """Model, version and role of an engine, which orders change.

    Parameters
    ----------
    settings : StandinSettings
        Model at the start, load time, weight store, and whether fencing numbers are checked.
    requests : callable
        Returns the number of requests in flight, which a load counts as aborted.
    """

    def __init__(self, settings: StandinSettings, requests: Callable[[], int]) -> None:
        self._settings = settings
        self._requests = requests
        self._client = HttpClient()
        self._model = settings.model
        self._version = settings.model_version
        self._role = ""
        self._fencing = 0
        self._ready_at = 0.0
        self._loads = 0
        self._aborted = 0

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for orders and for the state of the models."""
        return (
            Route("POST", "/v1/orders", self._order),
            Route("GET", "/v1/models", self._models),
        )

    def refusal(self) -> Reply | None:
        """Return a 503 answer while a model is loading, else None."""
        if trio.current_time() >= self._ready_at:
            return None
        return json_reply({"error": "loading"}, 503)

    async def _order(self, request: Request, responder: Responder) -> Reply:
        try:
            order = msgspec.json.decode(request.body, type=_Order)
        except msgspec.DecodeError as error:
            return json_reply({"error": str(error)}, 400)
        if self._settings.checks_fencing and order.fencing < self._fencing:
            return json_reply({"error": "outdated", "fencing": self._fencing}, 409)
        self._fencing = max(self._fencing, order.fencing)
        match order.action:
            case "load":
                return await self._load(order)
            case "role":
                self._role = order.role
                return json_reply({"ok": True})
            case other:
                return json_reply({"error": f"no action {other!r}"}, 400)

    async def _load(self, order: _Order) -> Reply:
        if (failure := await self._fetch(order.model)) is not None:
            return failure
        self._aborted += self._requests()
        self._loads += 1
        self._model, self._version = order.model, order.version
        self._ready_at = trio.current_time() + self._settings.load_s
        return json_reply({"ok": True}, 202)

    async def _fetch(self, model: str) -> Reply | None:
        if not self._settings.weights:
            return None
        url = f"http://{self._settings.weights}/v1/weights/{model}"
        match await self._client.request("GET", url):
            case Ok(answer) if answer.status == 200:
                return None
            case Ok(answer):
                after = answer.headers.get("retry-after", "1")
                return Reply(503, b'{"error": "no weights"}', (("retry-after", after),))
            case _:
                return Reply(503, b'{"error": "no weights"}', (("retry-after", "1"),))

    async def _models(self, request: Request, responder: Responder) -> Reply:
        state = "ready" if trio.current_time() >= self._ready_at else "loading"
        model = {"model": self._model, "version": self._version, "state": state}
        return json_reply(
            {
                "models": [model],
                "role": self._role,
                "fencing": self._fencing,
                "loads": self._loads,
                "cut": self._aborted,
            }
        )
