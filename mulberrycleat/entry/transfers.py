"""Tokens from other hosts' slices: asking for them, and telling what became of them."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec
import trio

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.prepaid import (
    Allowance,
    Donor,
    Grant,
    OutstandingTransfer,
    ReservationStatus,
    TransferTracker,
    TransferUsage,
)
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["TRANSFER_PATH", "TransferClient", "TransferReply", "TransferRequest", "TransferServer"]

# A host that did not answer is not asked again for so long, doubled each time up to the longest.
AVOID_S, LONGEST_AVOID_S = 1.0, 4.0
TRANSFER_PATH = "/tokens"
USAGE_PATH = "/tokens/use"
# Between two messages on what became of gifts.
USE_EVERY_S = 0.3
# A message is sent again for so long, about the time that a host may be cut off; then the giver
# goes on counting what it told as given.
USE_KEPT_S = 20.0
# The giver is another incarnation by now, which has counted the gifts as spent.
GONE_STATUS = 410


class TransferRequest(msgspec.Struct):
    """Ask for tokens of an account; `taker` numbers its asks from 1."""

    account: str
    tokens: int
    taker: str
    number: int


class TransferReply(msgspec.Struct):
    """Tokens given, 0 for none, and the incarnation of the giver.

    Attributes
    ----------
    wait_s : float or None
        When there are none, the time until the slice will have grown by them, in seconds; None when
        it grows no more.
    """

    tokens: int
    incarnation: str
    wait_s: float | None = None


class _Uses(msgspec.Struct):
    """What became of gifts of one incarnation of the host that is told.

    Attributes
    ----------
    taker, number : str, int
        The incarnation that tells, and its count of messages to this giver.
    closed_to, lost : int, list of int
        All asks up to this one have ended, these without an answer.
    """

    incarnation: str
    taker: str
    number: int
    closed_to: int
    lost: list[int]
    uses: list[TransferUsage]


class _Avoided(NamedTuple):
    """A host that is not asked until a time, and for how long that was."""

    until: float
    pause_s: float


_NEVER_AVOIDED = _Avoided(float("-inf"), AVOID_S / 2)


@dataclass(slots=True)
class _Outbox:
    """What one giver is to be told; a message is sent again until it is answered."""

    uses: list[TransferUsage] = field(default_factory=list)
    lost: list[int] = field(default_factory=list)
    told_lost: list[int] = field(default_factory=list)
    number: int = 0
    message: bytes = b""
    since: float = 0.0


class TransferClient:
    """Asks other hosts for tokens, and tells them what became of those.

    Parameters
    ----------
    allowance : Allowance
        Keeps the gifts.
    peers : PeerCalls
        Calls to other hosts.
    decisions : DecisionLog
        Where gifts are told.
    """

    def __init__(self, allowance: Allowance, peers: PeerCalls, decisions: DecisionLog) -> None:
        self._allowance = allowance
        self._peers = peers
        self._decisions = decisions
        self._avoided: dict[str, _Avoided] = {}
        self._asks = 0
        self._open: set[int] = set()
        self._unanswered: dict[str, list[int]] = {}
        self._outboxes: dict[Donor, _Outbox] = {}

    async def reserve(
        self, account: str, tokens: int, deadline: float, peers: Sequence[str]
    ) -> Grant:
        """Reserve tokens from the first of some hosts that gives them."""
        wait_s = math.inf
        for peer in peers:
            now = trio.current_time()
            if now < self._avoided.get(peer, _NEVER_AVOIDED).until:
                continue
            if now >= deadline:
                break
            gift = await self._ask(account, tokens, peer, deadline - now)
            if gift is None:
                continue
            if gift.wait_s is not None:
                wait_s = min(wait_s, gift.wait_s)
            if gift.tokens:
                self._allowance.receive_transfer(
                    account, gift.tokens, Donor(peer, gift.incarnation)
                )
            grant = self._allowance.reserve(account, tokens, trio.current_time())
            if grant.verdict is not ReservationStatus.LACKING:
                return grant
        return Grant(ReservationStatus.LACKING, wait_s=wait_s)

    async def run(self) -> None:
        """Tell the hosts that gave tokens what became of them, for ever."""
        while True:
            await trio.sleep(USE_EVERY_S)
            await self.tell_uses()

    async def tell_uses(self) -> None:
        """Tell the hosts that gave tokens what became of them."""
        for giver, uses in self._allowance.release_transfers().items():
            self._outboxes.setdefault(giver, _Outbox()).uses.extend(uses)
        async with trio.open_nursery() as nursery:
            for giver, outbox in list(self._outboxes.items()):
                lost = outbox.lost or self._unanswered.get(giver.address)
                if outbox.message or outbox.uses or lost:
                    nursery.start_soon(self._tell, giver, outbox)

    async def _ask(
        self, account: str, tokens: int, peer: str, bound_s: float
    ) -> TransferReply | None:
        """Return what a host gives, or None when it does not answer."""
        self._asks += 1
        number = self._asks
        lacking = max(1, tokens - self._allowance.transfer_balance(account, peer))
        ask = TransferRequest(account, lacking, self._allowance.incarnation, number)
        self._open.add(number)
        answer = None
        try:
            answer = await self._peers.call(
                "POST", peer, TRANSFER_PATH, msgspec.msgpack.encode(ask), bound_s
            )
        finally:
            self._open.discard(number)
            if answer is None:
                self._unanswered.setdefault(peer, []).append(number)
        if answer is None:
            self._avoid(peer)
            return None
        self._avoided.pop(peer, None)
        if answer.status != 200:
            self._decisions.note("no tokens", account=account, peer=peer, why=answer.status)
            return None
        gift = msgspec.msgpack.decode(answer.body, type=TransferReply)
        self._decisions.note("tokens received", account=account, peer=peer, tokens=gift.tokens)
        return gift

    async def _tell(self, giver: Donor, outbox: _Outbox) -> None:
        if not outbox.message:
            self._write(giver, outbox)
        answer = await self._peers.call("POST", giver.address, USAGE_PATH, outbox.message)
        if answer is None:
            if trio.current_time() - outbox.since > USE_KEPT_S:
                self._drop(giver, outbox, "no answer")
            return
        outbox.message = b""
        if answer.status == GONE_STATUS:
            self._drop(giver, outbox, "the giver has ended")
        elif answer.status >= 400:
            self._decisions.warn("uses not told", peer=giver.address, why=answer.status)

    def _write(self, giver: Donor, outbox: _Outbox) -> None:
        """Write the next message to a giver."""
        outbox.lost.extend(self._unanswered.pop(giver.address, ()))
        closed_to = min(self._open, default=self._asks + 1) - 1
        outbox.told_lost = [number for number in outbox.lost if number <= closed_to]
        outbox.lost = [number for number in outbox.lost if number > closed_to]
        outbox.number += 1
        outbox.since = trio.current_time()
        told = _Uses(
            giver.incarnation,
            self._allowance.incarnation,
            outbox.number,
            closed_to,
            outbox.told_lost,
            outbox.uses,
        )
        outbox.uses = []
        outbox.message = msgspec.msgpack.encode(told)

    def _drop(self, giver: Donor, outbox: _Outbox, why: str) -> None:
        """Tell a giver nothing more; another incarnation may have got the unanswered asks."""
        del self._outboxes[giver]
        self._unanswered.setdefault(giver.address, []).extend([*outbox.told_lost, *outbox.lost])
        self._decisions.note("uses not told", peer=giver.address, why=why)

    def _avoid(self, peer: str) -> None:
        pause_s = min(2 * self._avoided.get(peer, _NEVER_AVOIDED).pause_s, LONGEST_AVOID_S)
        self._avoided[peer] = _Avoided(trio.current_time() + pause_s, pause_s)


class TransferServer:
    """The giver's side: what was given, and what other hosts tell of it.

    Parameters
    ----------
    allowance : Allowance
        The slices that are given from.
    """

    def __init__(self, allowance: Allowance) -> None:
        self._allowance = allowance
        self._given = TransferTracker()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other hosts."""
        return (Route("POST", USAGE_PATH, self._take_use),)

    def give(self, ask: TransferRequest) -> int:
        """Give tokens if the slice has them and the taker still waits; return how many."""
        if self._given.is_closed(ask.taker, ask.number):
            return 0
        given = self._allowance.donate(ask.account, ask.tokens, trio.current_time())
        if given:
            self._given.note(ask.taker, ask.number, OutstandingTransfer(ask.account, given))
        return given

    async def _take_use(self, request: Request, responder: Responder) -> Reply:
        try:
            told = msgspec.msgpack.decode(request.body, type=_Uses)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        if told.incarnation != self._allowance.incarnation:
            return Reply(GONE_STATUS)
        if self._given.is_new(told.taker, told.number):
            for use in told.uses:
                self._allowance.apply_usage(use, told.incarnation)
            for account, tokens in self._given.close(told.taker, told.closed_to, told.lost):
                self._allowance.apply_usage(TransferUsage(account, 0, tokens), told.incarnation)
        return Reply(204)
