"""Last records of hosts that stopped while the store was out of their reach."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec
import trio

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.prepaid import Allowance, HolderRecord
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["FinalRecords"]

LAST_WORD_PATH = "/tokens/last-word"


class _Predecessor(msgspec.Struct):
    """The incarnation of a host whose last word is asked for."""

    host: str
    incarnation: str


class FinalRecords:
    """Hands a stopping host's last record to the others, who keep it for its next incarnation.

    Without it, the next incarnation would have to count all that the slices could have grown by.

    Parameters
    ----------
    allowance : Allowance
        This host's slices.
    peers : PeerCalls
        Calls to other hosts.
    others : callable
        Returns the addresses of the other hosts.
    decisions : DecisionLog
        Where last words are told.
    """

    def __init__(
        self,
        allowance: Allowance,
        peers: PeerCalls,
        others: Callable[[], Sequence[str]],
        decisions: DecisionLog,
    ) -> None:
        self._allowance = allowance
        self._peers = peers
        self._others = others
        self._decisions = decisions
        self._asked = False
        self._kept: dict[str, HolderRecord] = {}

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other hosts."""
        return (
            Route("PUT", LAST_WORD_PATH, self._keep),
            Route("POST", LAST_WORD_PATH, self._answer),
        )

    async def tell(self, record: HolderRecord) -> None:
        """Give the other hosts this incarnation's last record."""
        body = msgspec.msgpack.encode(record)
        async with trio.open_nursery() as nursery:
            for peer in self._others():
                nursery.start_soon(self._peers.call, "PUT", peer, LAST_WORD_PATH, body)

    async def ask(self) -> None:
        """Ask the other hosts, once, for the last record of the incarnation before this one."""
        before = self._allowance.ledger.records.get(self._allowance.host)
        if before is None or before.ended or self._allowance.joined or self._asked:
            return
        self._asked = True
        body = msgspec.msgpack.encode(_Predecessor(before.host, before.incarnation))
        async with trio.open_nursery() as nursery:
            for peer in self._others():
                nursery.start_soon(self._ask_one, peer, body)

    async def _ask_one(self, peer: str, body: bytes) -> None:
        answer = await self._peers.call("POST", peer, LAST_WORD_PATH, body)
        if answer is None or answer.status != 200:
            return
        try:
            record = msgspec.msgpack.decode(answer.body, type=HolderRecord)
        except msgspec.DecodeError as error:
            self._decisions.warn("last word unreadable", peer=peer, why=str(error))
            return
        self._decisions.note("last word received", peer=peer, number=record.number)
        self._allowance.adopt_final_record(record)

    async def _keep(self, request: Request, responder: Responder) -> Reply:
        try:
            record = msgspec.msgpack.decode(request.body, type=HolderRecord)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        self._kept[record.host] = record
        self._decisions.note("last word kept", peer=record.host, number=record.number)
        return Reply(204)

    async def _answer(self, request: Request, responder: Responder) -> Reply:
        try:
            asked = msgspec.msgpack.decode(request.body, type=_Predecessor)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        record = self._kept.get(asked.host)
        if record is None or record.incarnation != asked.incarnation:
            return Reply(404)
        return Reply(200, msgspec.msgpack.encode(record))
