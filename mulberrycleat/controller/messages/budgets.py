"""Messages about budgets: reservations, settlements and token transfers."""

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
    """Reserve `tokens` of `budget` for a request. Idempotent by `request`."""

    router: str
    request: str
    budget: str
    tokens: Tokens
    pool: str = ""


class ReserveReply(msgspec.Struct, frozen=True):
    """Whether the tokens were reserved; if not, `code` and `reason` say why.

    Attributes
    ----------
    retry_after_s : float or None
        Time after which a retry may succeed, in seconds; None if no such time is known.
    holder : str
        Holder of the tokens. Requests to endpoints name it, so that an endpoint can refuse a
        fenced holder.
    number : int
        Sequence number of the reservation at the holder.
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
    """The transfer, whose tokens have left the peer's slice, or None if the peer sends none."""

    transfer: Transfer | None = None


class GuardRequest(msgspec.Struct, frozen=True):
    """Ask a peer to record the limit of `holder`'s total spending of a budget, in tokens."""

    holder: str
    budget: str
    limit: int


class GuardReply(msgspec.Struct, frozen=True):
    """Whether the limit was recorded, and by which holder."""

    taken_in: bool
    holder: str = ""


RESERVE = Method("Reserve", ReserveRequest, ReserveReply)
SETTLE = Method("Settle", SettleRequest, Ack)
GUARD = Method("Guard", GuardRequest, GuardReply)
PULL = Method("Pull", PullRequest, PullReply)
