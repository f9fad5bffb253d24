"""Messages of budgets."""

from __future__ import annotations

import msgspec

from mulberrycleat.budget import Transfer
from mulberrycleat.controller.messages.bounds import Ack, Tokens
from mulberrycleat.rpc import Method

__all__ = [
    "GUARD",
    "PULL",
    "RESERVE",
    "SETTLE",
    "GuardReply",
    "GuardRequest",
    "PullReply",
    "PullRequest",
    "ReserveReply",
    "ReserveRequest",
    "SettleRequest",
    "Settlement",
]


class ReserveRequest(msgspec.Struct, frozen=True):
    """Set aside `tokens` of `budget` for a request. Idempotent by `request`."""

    router: str
    request: str
    budget: str
    tokens: Tokens
    pool: str = ""


class ReserveReply(msgspec.Struct, frozen=True):
    """Whether the tokens were set aside, and if not, why and when to come back (seconds).

    Attributes
    ----------
    holder : str
        Holder of the tokens; dispatches carry it, so that an endpoint can refuse a fenced one.
    number : int
        Number of the reservation, counted by the holder.
    """

    granted: bool
    code: str = ""
    reason: str = ""
    retry_after_s: float | None = None
    holder: str = ""
    number: int = 0


class Settlement(msgspec.Struct, frozen=True):
    """The actual cost of a request that had a reservation."""

    request: str
    tokens: Tokens


class SettleRequest(msgspec.Struct, frozen=True):
    """Settlements of a router. Idempotent by request."""

    router: str
    settlements: tuple[Settlement, ...]


class PullRequest(msgspec.Struct, frozen=True):
    """A holder asks a peer of its zone to send it tokens of a budget."""

    receiver: str
    budget: str
    tokens: Tokens


class PullReply(msgspec.Struct, frozen=True):
    """Tokens sent; once the peer has made this, they have left it. None where it has none."""

    transfer: Transfer | None = None


class GuardRequest(msgspec.Struct, frozen=True):
    """A holder asks a peer to take in what it may spend of a budget in all, at most."""

    holder: str
    budget: str
    limit: int


class GuardReply(msgspec.Struct, frozen=True):
    """Whether the limit was taken in, and by which holder."""

    taken_in: bool
    holder: str = ""


RESERVE = Method("Reserve", ReserveRequest, ReserveReply)
SETTLE = Method("Settle", SettleRequest, Ack)
GUARD = Method("Guard", GuardRequest, GuardReply)
PULL = Method("Pull", PullRequest, PullReply)
