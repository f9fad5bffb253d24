"""Immutable model of one route map version: routes, pools, client accounts and limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

__all__ = [
    "ClientLimits",
    "EngineProperties",
    "Pool",
    "PoolShare",
    "ClientAccount",
    "Route",
    "RouteKind",
    "RouteMap",
]


class RouteKind(Enum):
    """Kind of a route, which decides whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class PoolShare(NamedTuple):
    """A pool that serves a route, and its traffic weight among the route's pools."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Settings for the requests to one host name under one path prefix.

    Attributes
    ----------
    host : str
        Host name in lower case, without a port.
    path_prefix : str
        Begins and ends with a slash; the route with the longest matching prefix is used.
    pools : tuple of PoolShare
        Pools that may serve the requests.
    timeout_s : float
        Time limit of a request that gives none itself, and upper bound otherwise, in seconds.
    target_s : float
        Target latency of a response, or of the first event of a stream, in seconds.
    pause_s : float
        Target for the longest gap between two events of a stream, in seconds.
    max_attempts : int
        Maximum number of endpoints that may run one request.
    anonymous : bool
        Whether requests need no API key.
    resumable : bool
        Whether an aborted stream may be continued at another endpoint.
    priority : int
        Priority of the requests; 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolShare, ...]
    timeout_s: float
    target_s: float
    pause_s: float = 0.5
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    priority: int = 0

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineProperties:
    """Configured properties of the engines of a pool.

    Attributes
    ----------
    slots : int
        Number of requests in one batch.
    cache_tokens : int
        Capacity for running requests and cached prompt prefixes, in tokens.
    tokens_per_event : int
        Maximum number of generated tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of interchangeable endpoints; `engine` is None for a plain service.

    Attributes
    ----------
    cold_start_s : float
        Time for which an endpoint is cold after its start, in seconds.
    cold_per_s : float
        Requests a second that a cold endpoint takes from all hosts together; 0 if any number.
    """

    name: str
    max_connections: int
    engine: EngineProperties | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the connections and requests of callers, in bytes and in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, with or without a prepaid total of tokens.

    Attributes
    ----------
    keys : tuple of str
        API keys, in plain text.
    priority : int or None
        Overrides the priority of the route if given.
    prepaid_tokens : int or None
        Total number of tokens that the account may consume; None if unlimited.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class RouteMap:
    """One published version of all routing settings. Version numbers increase, with gaps."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    limits: ClientLimits = ClientLimits()
    accounts: tuple[ClientAccount, ...] = ()
