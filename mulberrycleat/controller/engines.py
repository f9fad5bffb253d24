"""Observation of model engines, and orders to them to load a model version."""

from __future__ import annotations

from typing import NamedTuple, Protocol

import msgspec
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.core.numbers import parse_seconds
from mulberrycleat.manifest import Endpoint
from mulberrycleat.order import EndpointStatus, Target
from mulberrycleat.web import HttpAnswer, HttpClient

__all__ = ["Accepted", "Engines", "HttpEngines", "OrderAnswer", "Outdated", "RetryLater"]

TIMEOUT_S = 2.0
RETRY_AFTER_S = 2.0


class Accepted(NamedTuple):
    """The engine accepted the order."""


class Outdated(NamedTuple):
    """The engine refused the order: it has seen a higher fencing number."""


class RetryLater(NamedTuple):
    """The engine can't load now, for example because the weight store limits its rate.

    The order may be sent again after `after_s` seconds.
    """

    after_s: float


OrderAnswer = Accepted | Outdated | RetryLater


class Engines(Protocol):
    """The model engines."""

    async def observe(self, endpoint: Endpoint) -> Result[EndpointStatus, PeerError]:
        """Return what an engine serves and how busy it is."""
        ...

    async def order(
        self, endpoint: Endpoint, fencing: int, target: Target
    ) -> Result[OrderAnswer, PeerError]:
        """Order an engine to load a model version; `fencing` is the number of the pool's lease."""
        ...


class _Model(msgspec.Struct):
    model: str
    version: str = ""
    state: str = "ready"


class _Models(msgspec.Struct):
    models: list[_Model]


class _Load(msgspec.Struct):
    running: int
    waiting: int = 0


class HttpEngines:
    """:class:`Engines` over HTTP.

    Parameters
    ----------
    client : HttpClient
        Connections to the engines.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def observe(self, endpoint: Endpoint) -> Result[EndpointStatus, PeerError]:
        """Return what an engine serves and how busy it is."""
        models = await self._get(endpoint, "v1/models", _Models)
        if isinstance(models, Err):
            return models
        load = await self._get(endpoint, "load", _Load)
        if isinstance(load, Err):
            return load
        found = models.ok_value.models[0] if models.ok_value.models else _Model("")
        requests = load.ok_value.running + load.ok_value.waiting
        return Ok(EndpointStatus(found.model, found.version, found.state != "ready", requests))

    async def order(
        self, endpoint: Endpoint, fencing: int, target: Target
    ) -> Result[OrderAnswer, PeerError]:
        """Order an engine to load a model version."""
        body = {"fencing": fencing, "action": "load"}
        body |= {"model": target.model, "version": target.version}
        url = f"http://{endpoint.address}/v1/orders"
        headers = {"content-type": "application/json"}
        outcome = await self._client.request(
            "POST", url, msgspec.json.encode(body), headers, TIMEOUT_S
        )
        return outcome.and_then(lambda answer: _order_answer(endpoint, answer))

    async def _get(self, endpoint: Endpoint, path: str, kind: type) -> Result:
        url = f"http://{endpoint.address}/{path}"
        match await self._client.send_json("GET", url, timeout_s=TIMEOUT_S):
            case Ok(value):
                try:
                    return Ok(msgspec.convert(value, kind))
                except msgspec.ValidationError as error:
                    return Err(PeerError(Step.CALL, endpoint.address, f"{path}: {error}"))
            case Err(error):
                return Err(error)


def _order_answer(endpoint: Endpoint, answer: HttpAnswer) -> Result[OrderAnswer, PeerError]:
    match answer.status:
        case 200 | 202:
            return Ok(Accepted())
        case 409:
            return Ok(Outdated())
        case 429 | 503:
            stated_s = parse_seconds(answer.headers.get("retry-after", ""))
            return Ok(RetryLater(RETRY_AFTER_S if stated_s is None else stated_s))
        case status:
            return Err(PeerError(Step.CALL, endpoint.address, f"order: HTTP {status}"))
