"""Immutable description of routes, pools, client accounts and limits of one version."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

__all__ = [
    "ClientLimits",
    "EngineFacts",
    "Pool",
    "PoolShare",
    "PrepaidAccount",
    "Route",
    "RouteKind",
    "RouteMap",
]


class RouteKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class PoolShare(NamedTuple):
    """A pool that a route leads to, and its weight among the route's pools."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host name below one path prefix.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash; the longest matching prefix decides.
    pools : tuple of PoolShare
        Where requests may go.
    timeout_s : float
        Longest time that a request is kept waiting, in seconds.
    target_s : float
        Time within which an answer, or the first event of a stream, is on time, in seconds.
    pause_s : float
        Longest pause between two events of a stream that is on time, in seconds.
    max_attempts : int
        Largest number of endpoints that may run one request.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a broken stream may go on at another endpoint.
    priority : int
        Rank, 0 is the most urgent.
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
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class EngineFacts:
    """What is known beforehand of the engines of a pool.

    Attributes
    ----------
    slots : int
        Requests in one batch.
    cache_tokens : int
        Memory for running requests and cached prompt parts, in tokens.
    tokens_per_event : int
        Most generated tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints that can stand in for one another; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineFacts | None = None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what callers send and how long they take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class PrepaidAccount:
    """A client account.

    Attributes
    ----------
    keys : tuple of str
        API keys, in clear.
    priority : int or None
        Goes before the priority of the route where it is given.
    prepaid_tokens : int or None
        Tokens that the account may consume in all; None where it is not bounded.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    prepaid_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class RouteMap:
    """All that operators publish, in one version. Versions increase, with gaps."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    limits: ClientLimits = ClientLimits()
    accounts: tuple[PrepaidAccount, ...] = ()
