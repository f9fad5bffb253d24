"""The manifest: client accounts, budgets, pools, endpoints, retirement plans and objectives."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

from mulberrycleat.settings.model import Address, Name, Seconds

__all__ = [
    "Account",
    "Budget",
    "Endpoint",
    "Key",
    "Manifest",
    "Objective",
    "Plan",
    "Pool",
    "Price",
]

Sha256 = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
MilliTokens = Annotated[int, Meta(ge=0, le=1_000_000_000)]
Count = Annotated[int, Meta(gt=0, le=1_000_000_000)]


@dataclass(frozen=True, slots=True)
class Key:
    """A caller's API key, stored as a hash, and the budget that it draws on.

    Attributes
    ----------
    account : str
        Name of the account that lists the key; filled in from that account if omitted.
    """

    sha256: Sha256
    budget: Name
    account: str = ""


@dataclass(frozen=True, slots=True)
class Account:
    """A client account.

    Attributes
    ----------
    weight : float
        Share of a contended pool relative to other accounts.
    """

    name: Name
    keys: tuple[Key, ...] = ()
    weight: Annotated[float, Meta(gt=0)] = 1.0


@dataclass(frozen=True, slots=True)
class Budget:
    """A prepaid budget of an account. Its tokens come from top-ups, not from the manifest."""

    name: Name
    account: Name


@dataclass(frozen=True, slots=True)
class Price:
    """Cost of a request, in thousandths of a budget token.

    Attributes
    ----------
    prompt, cached, generated : int
        Cost per prompt token, per prompt token found in a prefix cache, and per generated token.
    fixed : int
        Cost per request.
    """

    prompt: MilliTokens = 1000
    cached: MilliTokens = 1000
    generated: MilliTokens = 1000
    fixed: MilliTokens = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of interchangeable endpoints.

    Attributes
    ----------
    kind : str
        ``model`` for engines, ``service`` for plain services.
    model : str
        Model name that callers specify; empty for a service.
    idempotent : bool
        Whether a request may be executed more than once. A caller's header can only restrict this.
    max_generated : int
        Upper limit of generated tokens, also the default for a request that sets no limit.
    bytes_per_token : int
        Smallest number of bytes of text per prompt token; bounds the cost reserved for a request.
    timeout_s : float
        Time limit for a full response, in seconds.
    version : str
        Desired version of the model; empty to leave the choice to the endpoints.
    min_ready : int
        Smallest number of endpoints that a rollout or swap leaves in service.
    """

    name: Name
    kind: Literal["model", "service"]
    price: Price = field(default_factory=Price)
    model: str = ""
    idempotent: bool = True
    max_generated: Count = 1024
    bytes_per_token: Count = 1
    timeout_s: Seconds = 120.0
    version: str = ""
    min_ready: Count = 1


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A model engine or a plain service.

    Attributes
    ----------
    checks_fencing : bool
        Whether the endpoint refuses an order with an old fencing number.
    version : str
        Desired version of the model; empty for that of the pool.
    capacity : int
        Number of requests that the endpoint runs concurrently.
    """

    name: Name
    pool: Name
    zone: Name
    address: Address
    checks_fencing: bool = False
    version: str = ""
    capacity: Count = 32


@dataclass(frozen=True, slots=True)
class Plan:
    """A planned change of an endpoint or of a pool's model, also called a retirement plan.

    Attributes
    ----------
    action : str
        ``drain`` (no new requests), ``retire`` (drain, then leave the pool), ``swap`` (the endpoint
        should serve the model of `pool`) or ``rollout`` (the endpoints of `pool` should serve
        `version`).
    endpoint : str
        The endpoint; empty for a rollout.
    pool : str
        The pool of a rollout or swap; empty otherwise.
    version : str
        The version that a rollout installs.
    """

    action: Literal["drain", "retire", "rollout", "swap"]
    endpoint: str = ""
    pool: str = ""
    version: str = ""


@dataclass(frozen=True, slots=True)
class Objective:
    """A service-level objective of a pool.

    Attributes
    ----------
    measure : str
        The measured time.
    bound_s : float
        Upper limit of that time, in seconds.
    target : float
        Fraction of answers that should stay within `bound_s`.
    """

    pool: Name
    measure: Literal["first_token", "between_tokens", "whole_answer"]
    bound_s: Seconds
    target: Annotated[float, Meta(gt=0, lt=1)] = 0.95


@dataclass(frozen=True, slots=True)
class Manifest:
    """The full desired state of the fleet, as operators publish it."""

    accounts: tuple[Account, ...] = ()
    budgets: tuple[Budget, ...] = ()
    pools: tuple[Pool, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    plans: tuple[Plan, ...] = ()
    objectives: tuple[Objective, ...] = ()
