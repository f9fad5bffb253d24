"""Tokens from other hosts' slices: asking for them, and telling what became of them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import msgspec
import trio

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.prepaid import Allowance, Giver, Grant, Use, Verdict
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["GIFT_PATH", "GiftAsk", "Gift", "GiftTaker", "USE_PATH"]

# A host that did not answer is not asked again for so long, doubled each time up to the longest.
AVOID_S, LONGEST_AVOID_S = 1.0, 4.0
GIFT_PATH = "/tokens"
USE_PATH = "/tokens/use"
# Between two messages on what became of gifts.
USE_EVERY_S = 0.3


class GiftAsk(msgspec.Struct):
    """Ask for tokens of an account."""

    account: str
    tokens: int


class Gift(msgspec.Struct):
    """Tokens given, 0 for none, and the incarnation of the giver."""

    tokens: int
    incarnation: str


class _Uses(msgspec.Struct):
    """What became of the gifts of one incarnation of the host that is told."""

    incarnation: str
    uses: list[Use]


class _Avoided(NamedTuple):
    """A host that is not asked until a time, and for how long that was."""

    until: float
    pause_s: float


_NEVER_AVOIDED = _Avoided(float("-inf"), AVOID_S / 2)


class GiftTaker:
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

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other hosts."""
        return (Route("POST", USE_PATH, self._take_use),)

    async def reserve(
        self, account: str, tokens: int, deadline: float, peers: Sequence[str]
    ) -> Grant:
        """Reserve tokens from the first of some hosts that gives them."""
        for peer in peers:
            now = trio.current_time()
            if now < self._avoided.get(peer, _NEVER_AVOIDED).until:
                continue
            if now >= deadline:
                break
            lacking = max(1, tokens - self._allowance.gift(account, peer))
            body = msgspec.msgpack.encode(GiftAsk(account, lacking))
            answer = await self._peers.call("POST", peer, GIFT_PATH, body, deadline - now)
            if answer is None:
                self._avoid(peer)
                continue
            self._avoided.pop(peer, None)
            if answer.status != 200:
                self._decisions.note("no tokens", account=account, peer=peer, why=answer.status)
                continue
            gift = msgspec.msgpack.decode(answer.body, type=Gift)
            self._decisions.note("tokens received", account=account, peer=peer, tokens=gift.tokens)
            if gift.tokens:
                self._allowance.take_gift(account, gift.tokens, Giver(peer, gift.incarnation))
            grant = self._allowance.reserve(account, tokens, trio.current_time())
            if grant.verdict is not Verdict.LACKING:
                return grant
        return Grant(Verdict.LACKING)

    async def run(self) -> None:
        """Tell the hosts that gave tokens what became of them, for ever."""
        while True:
            await trio.sleep(USE_EVERY_S)
            await self.tell_uses()

    async def tell_uses(self) -> None:
        """Tell the hosts that gave tokens what became of them.

        A message whose answer is lost is not sent again: what it told stays counted as given.
        """
        async with trio.open_nursery() as nursery:
            for giver, uses in self._allowance.let_go().items():
                body = msgspec.msgpack.encode(_Uses(giver.incarnation, uses))
                nursery.start_soon(self._peers.call, "POST", giver.address, USE_PATH, body)

    def _avoid(self, peer: str) -> None:
        pause_s = min(2 * self._avoided.get(peer, _NEVER_AVOIDED).pause_s, LONGEST_AVOID_S)
        self._avoided[peer] = _Avoided(trio.current_time() + pause_s, pause_s)

    async def _take_use(self, request: Request, responder: Responder) -> Reply:
        try:
            told = msgspec.msgpack.decode(request.body, type=_Uses)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        for use in told.uses:
            self._allowance.take_use(use, told.incarnation)
        return Reply(204)
