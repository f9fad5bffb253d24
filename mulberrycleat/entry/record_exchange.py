"""Records that hosts hand to each other because the store may not have them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
import trio

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.prepaid import Allowance, HolderRecord
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["RecordExchange"]

# A host sends records with PUT; the next incarnation requests the latest one with POST.
RECORD_PATH = "/tokens/{shard}/final-record"


class _LatestRecordRequest(msgspec.Struct):
    """Request for a later record of a host than one that is known.

    Attributes
    ----------
    host : str
        Name of the host.
    known : HolderRecord or None
        Its latest record in the store, None if there is none.
    """

    host: str
    known: HolderRecord | None


class RecordExchange:
    """Hands a host's record to other hosts, which keep it for its next incarnation.

    A host that stops while it can't reach the store hands over its final record. Without that
    record, the next incarnation would have to count as spent all tokens by which the slices could
    have grown.

    The store may be restored from an older copy, and a host may die before it has written its
    record again. So each record is handed to one other host, and the latest one to all other hosts
    when the store is lost.

    Parameters
    ----------
    allowance : Allowance
        This host's slices.
    peers : PeerCalls
        Calls to other hosts.
    other_addresses : callable
        Returns the addresses of the other hosts.
    decisions : DecisionLog
        Log of final records kept and received.
    shard : int
        Shard of the accounts.
    """

    def __init__(
        self,
        allowance: Allowance,
        peers: PeerCalls,
        other_addresses: Callable[[], Sequence[str]],
        decisions: DecisionLog,
        shard: int,
    ) -> None:
        self._path = RECORD_PATH.format(shard=shard)
        self._allowance = allowance
        self._peers = peers
        self._other_addresses = other_addresses
        self._decisions = decisions
        self._fetched = False

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (
            Route("PUT", self._path, self._store_records),
            Route("POST", self._path, self._serve_record),
        )

    async def hand_over(
        self, records: Sequence[HolderRecord], addresses: Sequence[str] | None = None
    ) -> None:
        """Send records to some hosts, or to all other hosts."""
        body = msgspec.msgpack.encode(records)
        async with trio.open_nursery() as nursery:
            for peer in self._other_addresses() if addresses is None else addresses:
                nursery.start_soon(self._peers.call, "PUT", peer, self._path, body)

    async def fetch(self) -> None:
        """Request the previous incarnation's latest record from the other hosts, at most once.

        Nothing is requested if the store has a record of this incarnation, or the final record of
        the earlier one, or if it never had one.
        """
        ledger = self._allowance.ledger
        before = ledger.records.get(self._allowance.host)
        if self._allowance.joined or self._fetched:
            return
        if before is None and ledger.end.era == 0:
            return
        if before is not None and before.ended and before.era == ledger.end.era:
            return
        self._fetched = True
        body = msgspec.msgpack.encode(_LatestRecordRequest(self._allowance.host, before))
        async with trio.open_nursery() as nursery:
            for peer in self._other_addresses():
                nursery.start_soon(self._fetch_from, peer, body)

    async def _fetch_from(self, peer: str, body: bytes) -> None:
        answer = await self._peers.call("POST", peer, self._path, body)
        if answer is None or answer.status != 200:
            return
        try:
            record = msgspec.msgpack.decode(answer.body, type=HolderRecord)
        except msgspec.DecodeError as error:
            self._decisions.warning("last word unreadable", peer=peer, why=str(error))
            return
        self._decisions.info("last word received", peer=peer, number=record.number)
        self._allowance.adopt_record(record)

    async def _store_records(self, request: Request, responder: Responder) -> Reply:
        try:
            records = msgspec.msgpack.decode(request.body, type=list[HolderRecord])
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        for record in records:
            self._allowance.ledger.keep(record)
            if record.ended:
                self._decisions.info("last word kept", peer=record.host, number=record.number)
        return Reply(204)

    async def _serve_record(self, request: Request, responder: Responder) -> Reply:
        try:
            asked = msgspec.msgpack.decode(request.body, type=_LatestRecordRequest)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        record = self._allowance.ledger.later_record(asked.host, asked.known)
        return Reply(404) if record is None else Reply(200, msgspec.msgpack.encode(record))
