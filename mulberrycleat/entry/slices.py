"""Controller of this host's slices of the prepaid totals."""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import Any, NamedTuple

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.entry.coordinators import CoordinatorMap
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.final_records import FinalRecords
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.entry.settings import EntryTimes
from mulberrycleat.entry.store import StateStore
from mulberrycleat.entry.transfers import (
    TRANSFER_PATH,
    TransferClient,
    TransferReply,
    TransferRequest,
    TransferServer,
)
from mulberrycleat.prepaid import (
    Allowance,
    ClockReading,
    Grant,
    ReservationStatus,
)
from mulberrycleat.routes import RouteTable
from mulberrycleat.web import Reply, Request, Responder, Route
from mulberrycleat.web.client import BaseHttpClient

__all__ = ["SliceController"]

# Tries to append a record in a row, when other hosts append in between.
APPEND_TRIES = 8
CONFLICT_PAUSE_S = 0.01
# Between two reads of the ledger when nothing is to be written.
IDLE_READ_S = 1.0
# Shortest time between two looks at the slices, so that claims of several requests go together.
KICK_SPACING_S = 0.01
# Looks at the slices that a request waits for; when they bring nothing, the store has nothing.
SLICE_ROUNDS = 3
# Other hosts that are asked for tokens for one request, when its homes have none.
DONORS = 4
# Longest wait of another host's request for a larger slice here; below its wait for an answer.
GIFT_WAIT_S = 0.15


class HeartbeatCount(NamedTuple):
    """Announcements of endpoints that the store has taken, and endpoints that make them."""

    count: int
    endpoints: int
    every_s: float


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
        beats: Callable[[], HeartbeatCount],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._beats = beats
        self._wall = wall
        self._began = float("nan")
        self._allowance = allowance
        self._store = store
        self._times = times
        self._decisions = decisions
        self._random = random
        self._offset: int | None = None
        self._kick = trio.Event()
        self._looked = trio.Event()
        self._accounts: tuple[str, ...] = ()
        self._homes = CoordinatorMap(allowance.host, allowance.zone)
        calls = PeerCalls(client, decisions)
        self._gifts = TransferClient(allowance, calls, decisions)
        self._desk = TransferServer(allowance)
        self._last_words = FinalRecords(allowance, calls, self._others, decisions)
        self._ending = False
        self._ended = trio.Event()
        self._in_touch = False
        self._read_at = float("-inf")
        self._written_at = float("-inf")

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
        return self._homes.host_count(trio.current_time())

    def take_table(self, table: RouteTable) -> None:
        """Take the totals of a new route map."""
        totals = {
            name: account.prepaid_tokens
            for name, account in table.accounts.items()
            if account.prepaid_tokens is not None
        }
        self._allowance.set_totals(totals, table.version)
        self._accounts = tuple(totals)
        self._take_roles()
        self._kick.set()

    async def reserve(self, account: str, tokens: int, deadline: float) -> Grant:
        """Reserve tokens of the own slice, of the account's homes, of the store, or of any host.

        Each account has a home among the hosts, where the demand of all meets: one slice for all of
        it is smaller than many slices for single large requests, and hosts collide less at the
        store. One host of each zone is its home while the first can't be reached.
        """
        grant = await self._find_tokens(account, tokens, deadline)
        if grant.verdict is ReservationStatus.GRANTED:
            self._allowance.record_demand(account, tokens, trio.current_time())
        return grant

    async def _find_tokens(self, account: str, tokens: int, deadline: float) -> Grant:
        now = trio.current_time()
        grant = self._allowance.reserve(account, tokens, now)
        wait_s = self._allowance.wait_s(account, tokens, now)
        homes = self._home_addresses(account)
        if grant.verdict is ReservationStatus.LACKING:
            grant = await self._gifts.reserve(account, tokens, deadline, homes)
            wait_s = min(wait_s, grant.wait_s)
        if grant.verdict is ReservationStatus.LACKING and self._in_touch:
            grant = await self._reserve_later(account, tokens, deadline)
        if grant.verdict is ReservationStatus.LACKING:
            donors = [d for d in self._allowance.donors(account) if d not in homes][:DONORS]
            grant = await self._gifts.reserve(account, tokens, deadline, donors)
            wait_s = min(wait_s, grant.wait_s)
        return grant._replace(wait_s=wait_s)

    def settle(self, account: str, grant: Grant, used: int) -> None:
        """Give back what a request did not use."""
        self._allowance.settle(account, grant, used)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes for other hosts."""
        give = Route("POST", TRANSFER_PATH, self._give)
        return (give, *self._desk.routes(), *self._last_words.routes())

    async def run_uses(self) -> None:
        """Tell the hosts that gave tokens what became of them, for ever."""
        await self._gifts.run()

    async def _reserve_later(self, account: str, tokens: int, deadline: float) -> Grant:
        """Wait for a larger slice from the store."""
        grant = Grant(ReservationStatus.LACKING)
        bound = min(deadline, trio.current_time() + self._times.slice_wait_s)
        async for _ in self._rounds(account, tokens, bound):
            grant = self._allowance.reserve(account, tokens, trio.current_time())
            if grant.verdict is not ReservationStatus.LACKING:
                break
        return grant

    async def _rounds(self, account: str, tokens: int, bound: float) -> AsyncIterator[None]:
        """Yield after each of some looks at the slices, while `tokens` are wanted."""
        self._allowance.add_pending_demand(account, tokens)
        try:
            for _ in range(SLICE_ROUNDS):
                self._kick.set()
                with trio.move_on_at(bound) as scope:
                    await self._looked.wait()
                if scope.cancelled_caught or not self._in_touch:
                    return
                yield
        finally:
            self._allowance.add_pending_demand(account, -tokens)

    async def _give(self, request: Request, responder: Responder) -> Reply:
        try:
            ask = msgspec.msgpack.decode(request.body, type=TransferRequest)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        given = self._desk.give(ask)
        if not given and self._in_touch:
            bound = trio.current_time() + GIFT_WAIT_S
            async for _ in self._rounds(ask.account, ask.tokens, bound):
                given = self._desk.give(ask)
                if given:
                    break
        if given:
            self._decisions.note("tokens given", account=ask.account, tokens=given)
        else:
            self._decisions.warn(
                "no tokens to give", asked=ask.tokens, **self.describe(ask.account)
            )
        wait_s = self._allowance.wait_s(ask.account, ask.tokens, trio.current_time())
        known = given or not math.isfinite(wait_s)
        gift = TransferReply(given, self._allowance.incarnation, None if known else wait_s)
        return Reply(200, msgspec.msgpack.encode(gift))

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
        """Settle and draw slices until the process ends."""
        while not self._ending:
            await self._cycle()
            event, self._looked = self._looked, trio.Event()
            event.set()
            await trio.sleep(KICK_SPACING_S)
            with trio.move_on_after(self._times.slices_every_s):
                await self._kick.wait()
            self._kick = trio.Event()
        await self._write_last()

    async def end(self) -> None:
        """Have the last record written, so that nothing is held for an incarnation that has ended.

        Only the loop writes records, so that no other one can follow the last. While the store is
        out of reach, other hosts keep the last word for the next incarnation.
        """
        self._ending = True
        last_word = self._allowance.close(self._moment())
        self._kick.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._gifts.tell_uses)
            if not self._in_touch:
                nursery.start_soon(self._last_words.tell, last_word)
            await self._ended.wait()

    def _others(self) -> tuple[str, ...]:
        """Return the addresses of the other hosts."""
        records = self._allowance.ledger.records.values()
        others = (r for r in records if r.host != self._allowance.host and not r.ended)
        return tuple(record.peer_address for record in others if record.peer_address)

    async def _write_last(self) -> None:
        """Write the last record, after any whose answer was lost."""
        while not self._allowance.ended:
            if not await self._write(ended=True):
                await trio.sleep(KICK_SPACING_S)
        self._ended.set()

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
            record = self._allowance.draft_record(now, self._moment(), ended, due)
            if record is None:
                return False
            match await self._store.append_slices(record, self._allowance.ledger.end):
                case Ok(outcome) if outcome.done:
                    self._note_start()
                    self._allowance.record_appended(record, outcome.offset, self._moment())
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
                    await self._last_words.ask()
                    self._allowance.apply_ledger(self._moment())
                self._read_at = trio.current_time()
                self._note_touch(True, "")
                self._note_hosts()
                return True
            case Err(error):
                self._note_touch(False, str(error))
                return False

    def _home_addresses(self, account: str) -> tuple[str, ...]:
        """Return the addresses of an account's home and of its home in this zone."""
        records, host = self._allowance.ledger.records, self._allowance.host
        names = [n for n in self._homes.coordinators(account) if n != host and n in records]
        return tuple(records[name].peer_address for name in names if records[name].peer_address)

    def _take_roles(self) -> None:
        self._allowance.set_roles(self._homes.roles(self._accounts), self._homes.zones)

    def _moment(self) -> ClockReading:
        beats = self._beats()
        uptime_s = trio.current_time() - self._began
        return ClockReading(self._wall(), uptime_s, beats.count, beats.endpoints, beats.every_s)

    def _note_start(self) -> None:
        """Tell what the first record of this incarnation counts for the one before."""
        if self._allowance.joined:
            return
        for account, silence_s, spent, limit, counted in self._allowance.inherited:
            if counted > spent:
                self._decisions.warn(
                    "tokens stranded",
                    account=account,
                    tokens=counted - spent,
                    silence_s=round(silence_s, 3),
                    spent=spent,
                    limit=limit,
                )

    def _note_touch(self, in_touch: bool, why: str) -> None:
        if in_touch != self._in_touch:
            kind = "ledger regained" if in_touch else "ledger lost"
            self._decisions.warn(kind, peer="store", why=why)
        self._in_touch = in_touch

    def _note_hosts(self) -> None:
        if self._homes.update(self._allowance.ledger.records, trio.current_time()):
            self._take_roles()
