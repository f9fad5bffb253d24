"""Records of the ledger stream.

A record that is in the stream twice takes effect once, because a writer that gets no answer to an
append writes the record again. A holder numbers its settlements and transfers, so claims and
transfers need no ids.
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
    """Tokens prepaid into a budget.

    Attributes
    ----------
    by : str
        The operator who recorded the top-up.
    """

    id: str
    budget: str
    tokens: int
    by: str = ""


class Join(msgspec.Struct, frozen=True, tag="join"):
    """A holder opens its account; tokens can be granted to the holder from this record on."""

    holder: str
    zone: str


class Bill(msgspec.Struct, frozen=True):
    """Tokens billed to one request.

    Attributes
    ----------
    number : int
        Number of the request's reservation, counted by the holder from 1.
    """

    request: str
    budget: str
    tokens: int
    number: int = 0


class Transfer(msgspec.Struct, frozen=True):
    """Transfer of tokens between two holders of a zone.

    Attributes
    ----------
    number : int
        Number of the transfer among those from `sender` to `receiver`, from 1; unique together with
        the two names.
    """

    sender: str
    receiver: str
    number: int
    budget: str
    tokens: int


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """All changes of a holder's account since its last settlement.

    Attributes
    ----------
    seq : int
        Number of the settlement, counted by the holder from 1; a number other than the next one
        marks a duplicate, which is ignored.
    bills : tuple of Bill
        Requests that have ended.
    returned : mapping
        Tokens returned to the ledger, by budget.
    claims : mapping
        Tokens claimed, by budget; the ledger grants as many of them as are available.
    wants : mapping
        Tokens that waiting requests lack, by budget; granted in the same way. Those that are not
        available are recorded as the holder's shortfall, so that other zones return tokens, until
        the holder's next record with `wants` for the budget.
    asked : mapping
        Tokens asked for by requests, whether served or refused, by budget.
    refused : mapping
        Number of refused requests by budget, then by code.
    transfers : tuple of Transfer
        Transfers sent or received.
    acks : tuple of str
        Fenced holders from which this holder accepts no more transfers; all transfers accepted
        before are in this record or in earlier ones.
    limits : mapping
        Upper limit of the tokens that the holder may spend in total, by budget. The holder reserves
        no tokens beyond the limit until a higher one is in the ledger or is recorded by a peer.
    guarded : mapping
        Limits that this holder recorded for its peers, by peer, then by budget; written when the
        holder acknowledges that a peer is fenced, and in its final settlement.
    floor : int
        All reservations with a smaller number have ended, and their bills are in this record or in
        earlier ones.
    final : bool
        Whether this is the holder's last settlement: the tokens that it still holds are returned.
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
    """A holder is declared dead: it gets no more grants, and its later settlements are ignored.

    Attributes
    ----------
    endpoints : tuple of str
        Endpoints that must confirm the fence: those of all manifest versions in the log, including
        endpoints that don't check fencing numbers. A fence without endpoints is ignored.
    """

    holder: str
    endpoints: tuple[str, ...]


class Confirm(msgspec.Struct, frozen=True, tag="confirm"):
    """An endpoint confirms that it refuses the requests of a fenced holder.

    Attributes
    ----------
    bills : tuple of Bill
        Work that the endpoint counted for the holder. It may include requests that the holder has
        settled; the ledger recognises them by reservation number.
    complete_from : int
        Smallest reservation number from which the endpoint's records of the work are complete. The
        confirmation is ignored if that number is above the holder's floor.
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
        Tokens that the holder spent but did not settle, by budget, as stated by the operator. For a
        budget that is not named, all tokens held count as spent.
    """

    holder: str
    by: str
    spent: dict[str, int] = {}


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """The ledger state after all records below offset `as_of`, so that these records may expire.

    Attributes
    ----------
    state : bytes
        The state as MessagePack.
    """

    as_of: int
    state: bytes


LedgerRecord = TopUp | Join | Settle | Fence | Confirm | Release | Checkpoint
