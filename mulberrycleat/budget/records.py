"""Records of the ledger stream.

Every record can be repeated without effect, because a writer whose answer was lost writes again. A
holder's records are numbered by the holder, so that no ids of claims or transfers are kept.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "STREAM",
    "Bill",
    "Checkpoint",
    "Confirm",
    "Fence",
    "Join",
    "LedgerRecord",
    "Release",
    "Settle",
    "TopUp",
    "Transfer",
]

STREAM = "ledger"


class TopUp(msgspec.Struct, frozen=True, tag="top_up"):
    """Tokens prepaid into a budget."""

    id: str
    budget: str
    tokens: int
    by: str = ""


class Join(msgspec.Struct, frozen=True, tag="join"):
    """A holder opens its account; it may hold tokens from here on."""

    holder: str
    zone: str


class Bill(msgspec.Struct, frozen=True):
    """What one request is billed, in tokens.

    Attributes
    ----------
    number : int
        Number of its reservation, counted by the holder from 1.
    """

    request: str
    budget: str
    tokens: int
    number: int = 0


class Transfer(msgspec.Struct, frozen=True):
    """Tokens on their way between two holders of a zone.

    Attributes
    ----------
    number : int
        Counts the transfers from `sender` to `receiver`, from 1: with the two names, the transfer's
        unique id.
    """

    sender: str
    receiver: str
    number: int
    budget: str
    tokens: int


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """All that a holder has to tell since its last record.

    Attributes
    ----------
    seq : int
        Counts the holder's settlements from 1; any other than the next one is a repeat.
    bills : tuple of Bill
        Requests that have ended.
    returned : mapping
        Tokens given back, by budget.
    claims : mapping
        Tokens to be dealt to the holder, by budget; the fold grants what is available, up to these.
    wants : mapping
        Tokens that waiting requests lack, by budget; granted likewise, and what is not available
        stands as short until the next such claim, so that others return tokens.
    asked : mapping
        Tokens that requests asked for, served or refused, by budget.
    refused : mapping
        Number of refused requests by budget, then by code.
    transfers : tuple of Transfer
        Transfers sent or received.
    acks : tuple of str
        Fenced holders from which no transfer is accepted any more; all earlier ones are recorded.
    limits : mapping
        What the holder may have spent in all, at most, by budget. It spends no more before a
        record or a peer has taken in a higher limit.
    guarded : mapping
        Limits of peers that this holder took in, by peer, then by budget; told when a peer is
        acknowledged as fenced, and at the end.
    floor : int
        Reservations with a smaller number have ended, and their bills are in this record or in
        earlier ones.
    final : bool
        The holder ends: what it still holds is returned, and nothing follows.
    """

    holder: str
    seq: int
    bills: tuple[Bill, ...] = ()
    returned: dict[str, int] = {}
    claims: dict[str, int] = {}
    wants: dict[str, int] = {}
    asked: dict[str, int] = {}
    refused: dict[str, dict[str, int]] = {}
    transfers: tuple[Transfer, ...] = ()
    acks: tuple[str, ...] = ()
    limits: dict[str, int] = {}
    guarded: dict[str, dict[str, int]] = {}
    floor: int = 0
    final: bool = False


class Fence(msgspec.Struct, frozen=True, tag="fence"):
    """A holder is declared gone: it gets nothing more and its records count no longer.

    Attributes
    ----------
    endpoints : tuple of str
        Endpoints that have to confirm, as the writer's manifest names them; all of them check
        fencing numbers.
    """

    holder: str
    endpoints: tuple[str, ...]


class Confirm(msgspec.Struct, frozen=True, tag="confirm"):
    """An endpoint refuses a fenced holder from now on.

    Attributes
    ----------
    bills : tuple of Bill
        Work that the endpoint did for the holder, as it counted it. What the holder had settled
        may be among it; the fold tells it by its number.
    complete_from : int
        Smallest reservation number from which on the endpoint has forgotten nothing.
    """

    holder: str
    endpoint: str
    bills: tuple[Bill, ...] = ()
    complete_from: int = 0


class Release(msgspec.Struct, frozen=True, tag="release"):
    """An operator states that a holder's process and its requests have ended.

    Attributes
    ----------
    spent : mapping
        Tokens that the holder spent and did not settle, by budget, as the operator knows them. A
        budget that is not named counts as spent in full.
    """

    holder: str
    by: str
    spent: dict[str, int] = {}


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """The state of the fold before offset `as_of`, so that older records may expire."""

    as_of: int
    state: bytes


LedgerRecord = TopUp | Join | Settle | Fence | Confirm | Release | Checkpoint
