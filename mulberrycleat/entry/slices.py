"""Controller of this host's slices of the prepaid totals."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Sequence
from random import Random
from typing import Any, NamedTuple

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes
from mulberrycleat.entry.store import StateStore
from mulberrycleat.membership.rendezvous import first_by_rank
from mulberrycleat.prepaid import Allowance, Giver, Grant, Moment, Use, Verdict
from mulberrycleat.routes import RouteTable
from mulberrycleat.web import Reply, Request, Responder, Route
from mulberrycleat.web.client import BaseHttpClient

__all__ = ["SliceController"]

# Tries to append a record in a row, when other hosts append in between.
APPEND_TRIES = 8
CONFLICT_PAUSE_S = 0.01
# A host is counted among those that share a budget until its record has not changed for so long.
HOST_ACTIVE_S = 15.0
# Between two reads of the ledger when nothing is to be written.
IDLE_READ_S = 1.0
# Shortest time between two looks at the slices, so that claims of several requests go together.
KICK_SPACING_S = 0.01
# Looks at the slices that a request waits for; when they bring nothing, the store has nothing.
SLICE_ROUNDS = 3
# Other hosts that are asked for tokens for one request, and the longest wait for one of them.
DONORS = 4
GIFT_TIMEOUT_S = 0.25
# Longest wait of another host's request for a larger slice here; below the wait for an answer.
GIFT_WAIT_S = 0.15
# A host that did not answer is not asked again for so long.
AVOID_S = 1.0
GIFT_PATH = "/tokens"
USE_PATH = "/tokens/use"
# Between two messages on what became of gifts.
USE_EVERY_S = 0.3


class Beats(NamedTuple):
    """Announcements of endpoints that the store has taken, and endpoints that make them."""

    count: int
    endpoints: int
    every_s: float


class _GiftAsk(msgspec.Struct):
    account: str
    tokens: int


class _Gift(msgspec.Struct):
    tokens: int
    incarnation: str


class _Uses(msgspec.Struct):
    """What became of the gifts of one incarnation of the host that is told."""

    incarnation: str
    uses: list[Use]


class SliceController:
    """Keeps the ledger up to date, and draws slices ahead of demand.

    Parameters
    ----------
    allowance : Allowance
        The decisions.
    store : StateStore
        Where records are kept.
    times : EntryTimes
        Times of the loop.
    decisions : DecisionLog
        Where changes are told.
    client : BaseHttpClient
        HTTP towards other hosts.
    random : Random
        Spreads tries of hosts that append at the same time.
    beats : callable
        Returns the announcements of endpoints, by which time is told beside the clock.
    wall : callable
        Returns the time of day, in seconds.
    """

    def __init__(
        self,
        allowance: Allowance,
        store: StateStore,
        times: EntryTimes,
        decisions: DecisionLog,
        client: BaseHttpClient,
        random: Random,
        beats: Callable[[], Beats],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._beats = beats
        self._wall = wall
        self._began = float("nan")
        self._client = client
        self._allowance = allowance
        self._store = store
        self._times = times
        self._decisions = decisions
        self._random = random
        self._offset: int | None = None
        self._kick = trio.Event()
        self._looked = trio.Event()
        self._avoided: dict[str, float] = {}
        self._in_touch = False
        self._read_at = float("-inf")
        self._written_at = float("-inf")
        self._seen: dict[str, tuple[str, int, float]] = {}

    @property
    def in_touch(self) -> bool:
        """Whether the store answered last."""
        return self._in_touch

    @property
    def ready(self) -> bool:
        """Whether this incarnation has slices."""
        return self._allowance.joined

    @property
    def peers(self) -> tuple[str, ...]:
        """Addresses of the hosts that have a record."""
        records = self._allowance.ledger.records.values()
        return tuple(r.peer_address for r in records if r.peer_address and not r.ended)

    def hosts(self) -> int:
        """Return the number of hosts that may share a budget with this one."""
        now = trio.current_time()
        return sum(1 for _, _, at in self._seen.values() if now - at < HOST_ACTIVE_S)

    def take_table(self, table: RouteTable) -> None:
        """Take the totals of a new route map."""
        totals = {
            name: account.prepaid_tokens
            for name, account in table.accounts.items()
            if account.prepaid_tokens is not None
        }
        self._allowance.take_totals(totals, table.version)
        self._kick.set()

    async def reserve(self, account: str, tokens: int, deadline: float) -> Grant:
        """Reserve tokens of the own slice, of the account's home, of the store, or of any host.

        Each account has a home among the hosts of a zone, where the zone's demand meets: one slice
        for all of it is smaller than many slices for single large requests, hosts collide less at
        the store, and a zone that is cut off goes on.
        """
        grant = self._allowance.reserve(account, tokens, trio.current_time())
        home = self._home(account)
        if grant.verdict is Verdict.LACKING and home is not None:
            grant = await self._reserve_gift(account, tokens, deadline, (home,))
        if grant.verdict is Verdict.LACKING and self._in_touch:
            grant = await self._reserve_later(account, tokens, deadline)
        if grant.verdict is Verdict.LACKING:
            donors = [d for d in self._allowance.donors(account) if d != home][:DONORS]
            grant = await self._reserve_gift(account, tokens, deadline, donors)
        return grant

    def settle(self, account: str, grant: Grant, used: int) -> None:
        """Give back what a request did not use."""
        self._allowance.settle(account, grant, used)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other hosts."""
        return (
            Route("POST", GIFT_PATH, self._give),
            Route("POST", USE_PATH, self._take_use),
        )

    async def run_uses(self) -> None:
        """Tell the hosts that gave tokens what became of them, for ever."""
        while True:
            await trio.sleep(USE_EVERY_S)
            await self.tell_uses()

    async def tell_uses(self) -> None:
        """Tell the hosts that gave tokens what became of them.

        A message whose answer is lost is not sent again: what it told stays counted as given.
        """
        for giver, uses in self._allowance.let_go().items():
            body = msgspec.msgpack.encode(_Uses(giver.incarnation, uses))
            url = f"http://{giver.address}{USE_PATH}"
            outcome = await self._client.request(
                "POST", url, body, None, GIFT_TIMEOUT_S, whole_s=GIFT_TIMEOUT_S
            )
            if isinstance(outcome, Err):
                why = str(outcome.err_value)
                self._decisions.note("uses not told", peer=giver.address, why=why)

    async def _reserve_later(self, account: str, tokens: int, deadline: float) -> Grant:
        """Wait for a larger slice from the store."""
        grant = Grant(Verdict.LACKING)
        bound = min(deadline, trio.current_time() + self._times.slice_wait_s)
        async for _ in self._rounds(account, tokens, bound):
            grant = self._allowance.reserve(account, tokens, trio.current_time())
            if grant.verdict is not Verdict.LACKING:
                break
        return grant

    async def _rounds(self, account: str, tokens: int, bound: float) -> AsyncIterator[None]:
        """Yield after each of some looks at the slices, while `tokens` are wanted."""
        self._allowance.want(account, tokens)
        try:
            for _ in range(SLICE_ROUNDS):
                self._kick.set()
                with trio.move_on_at(bound) as scope:
                    await self._looked.wait()
                if scope.cancelled_caught or not self._in_touch:
                    return
                yield
        finally:
            self._allowance.want(account, -tokens)

    async def _reserve_gift(
        self, account: str, tokens: int, deadline: float, peers: Sequence[str]
    ) -> Grant:
        """Ask other hosts for tokens of their slices."""
        for peer in peers:
            lacking = max(1, tokens - self._allowance.gift(account, peer))
            body = msgspec.msgpack.encode(_GiftAsk(account, lacking))
            if trio.current_time() < self._avoided.get(peer, 0.0):
                continue
            timeout_s = min(GIFT_TIMEOUT_S, deadline - trio.current_time())
            if timeout_s <= 0:
                break
            url = f"http://{peer}{GIFT_PATH}"
            outcome = await self._client.request(
                "POST", url, body, None, timeout_s, whole_s=timeout_s
            )
            match outcome:
                case Ok(answer) if answer.status == 200:
                    gift = msgspec.msgpack.decode(answer.body, type=_Gift)
                    self._decisions.note(
                        "tokens received", account=account, peer=peer, tokens=gift.tokens
                    )
                    if gift.tokens:
                        giver = Giver(peer, gift.incarnation)
                        self._allowance.take_gift(account, gift.tokens, giver)
                    grant = self._allowance.reserve(account, tokens, trio.current_time())
                    if grant.verdict is not Verdict.LACKING:
                        return grant
                case Ok(answer):
                    self._decisions.note("no tokens", account=account, peer=peer, why=answer.status)
                case Err(error):
                    self._avoided[peer] = trio.current_time() + AVOID_S
                    self._decisions.note("no tokens", account=account, peer=peer, why=str(error))
        return Grant(Verdict.LACKING)

    async def _give(self, request: Request, responder: Responder) -> Reply:
        try:
            ask = msgspec.msgpack.decode(request.body, type=_GiftAsk)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        given = self._allowance.give(ask.account, ask.tokens, trio.current_time())
        if not given and self._in_touch:
            bound = trio.current_time() + GIFT_WAIT_S
            async for _ in self._rounds(ask.account, ask.tokens, bound):
                given = self._allowance.give(ask.account, ask.tokens, trio.current_time())
                if given:
                    break
        if given:
            self._decisions.note("tokens given", account=ask.account, tokens=given)
        else:
            self._decisions.warn(
                "no tokens to give", asked=ask.tokens, **self.describe(ask.account)
            )
        gift = _Gift(given, self._allowance.incarnation)
        return Reply(200, msgspec.msgpack.encode(gift))

    async def _take_use(self, request: Request, responder: Responder) -> Reply:
        try:
            told = msgspec.msgpack.decode(request.body, type=_Uses)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        for use in told.uses:
            self._allowance.take_use(use, told.incarnation)
        return Reply(204)

    def tokens(self, account: str) -> dict[str, int]:
        """Return what this host knows of an account's tokens, by kind."""
        return self._allowance.describe(account, trio.current_time())

    def describe(self, account: str) -> dict[str, Any]:
        """Return the inputs of a decision about an account's tokens."""
        ledger = self._allowance.ledger
        return {
            **self._allowance.describe(account, trio.current_time()),
            "ledger_end": ledger.end,
            "ledger_age_s": round(trio.current_time() - self._read_at, 3),
            "in_touch": self._in_touch,
        }

    def begin(self) -> None:
        """Take note of the start of the process."""
        self._began = trio.current_time()

    async def run(self) -> None:
        """Settle and draw slices, for ever."""
        while True:
            await self._cycle()
            event, self._looked = self._looked, trio.Event()
            event.set()
            await trio.sleep(KICK_SPACING_S)
            with trio.move_on_after(self._times.slices_every_s):
                await self._kick.wait()
            self._kick = trio.Event()

    async def end(self) -> None:
        """Write the last record, so that nothing is held for an incarnation that has ended."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.tell_uses)
            await self._write(ended=True)

    async def _cycle(self) -> None:
        if self._offset is None and not await self._read():
            return
        wrote = await self._write()
        if not wrote and trio.current_time() - self._read_at >= IDLE_READ_S:
            await self._read()

    async def _write(self, ended: bool = False) -> bool:
        """Append a record if one is needed; return whether it stands in the store."""
        for _ in range(APPEND_TRIES):
            now = trio.current_time()
            due = now - self._written_at >= self._times.slices_due_s
            record = self._allowance.draft(now, self._moment(), ended, due)
            if record is None:
                return False
            match await self._store.append_slices(record, self._allowance.ledger.end):
                case Ok(outcome) if outcome.done:
                    self._allowance.written(record, outcome.offset, self._moment())
                    self._offset = self._allowance.ledger.end
                    self._written_at = self._read_at = trio.current_time()
                    self._note_touch(True, "")
                    self._note_hosts()
                    self._decisions.note("slices recorded", number=record.number)
                    return True
                case Ok(_):
                    self._allowance.refused(record)
                    await trio.sleep(self._random.uniform(0, CONFLICT_PAUSE_S))
                    if not await self._read():
                        return False
                case Err(error):
                    if error.sent:
                        self._allowance.lost(record)
                    else:
                        self._allowance.refused(record)
                    # An answer may be lost though the store is there; then a read succeeds.
                    if not error.sent or not await self._read():
                        self._note_touch(False, str(error))
                        return False
        self._decisions.warn("slices not recorded", tries=APPEND_TRIES)
        return False

    async def _read(self) -> bool:
        match await self._store.read_slices(self._offset):
            case Ok(news):
                for fault in news.faults:
                    self._decisions.warn("record unreadable", why=fault)
                if news.next is not None:
                    self._offset = news.next
                    self._allowance.ledger.take(news.records, news.next, news.whole)
                    self._allowance.take_ledger(self._moment())
                self._read_at = trio.current_time()
                self._note_touch(True, "")
                self._note_hosts()
                return True
            case Err(error):
                self._note_touch(False, str(error))
                return False

    def _home(self, account: str) -> str | None:
        """Return the address of an account's home in this zone, None when that is here."""
        now = trio.current_time()
        records = self._allowance.ledger.records
        zone = self._allowance.zone
        active = [
            name
            for name, (_, _, at) in self._seen.items()
            if now - at < HOST_ACTIVE_S and records[name].zone == zone
        ]
        home = first_by_rank(account, active)
        record = records.get(home) if home else None
        if record is None or record.host == self._allowance.host:
            return None
        return record.peer_address or None

    def _moment(self) -> Moment:
        beats = self._beats()
        uptime_s = trio.current_time() - self._began
        return Moment(self._wall(), uptime_s, beats.count, beats.endpoints, beats.every_s)

    def _note_touch(self, in_touch: bool, why: str) -> None:
        if in_touch != self._in_touch:
            kind = "ledger regained" if in_touch else "ledger lost"
            self._decisions.warn(kind, peer="store", why=why)
        self._in_touch = in_touch

    def _note_hosts(self) -> None:
        now = trio.current_time()
        for name, record in self._allowance.ledger.records.items():
            mark = (record.incarnation, record.number)
            if record.ended:
                self._seen.pop(name, None)
            elif self._seen.get(name, ("", 0, 0.0))[:2] != mark:
                self._seen[name] = (*mark, now)
