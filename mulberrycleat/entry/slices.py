"""Controller of this host's slices of the prepaid totals of one shard of accounts.

A slice is the part of an account's prepaid total that one host may spend. Each host writes its
slices to a record in the store; the newest records of all hosts form the ledger.
"""

from __future__ import annotations

import math
import time
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import Any, NamedTuple

import msgspec
import trio
from result import Err, Ok

from mulberrycleat.core import Position
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.demand_exchange import DemandExchange
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.entry.record_exchange import RecordExchange
from mulberrycleat.entry.report_batches import Report
from mulberrycleat.entry.roster import HostRoster
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
    HolderRecord,
    ReservationStatus,
    Role,
)
from mulberrycleat.web import Reply, Request, Responder, Route
from mulberrycleat.web.client import BaseHttpClient

__all__ = ["SliceController"]

# Attempts in a row to append a record when other hosts append in between.
APPEND_ATTEMPTS = 8
# Longest random pause after another host appended first, in seconds.
CONFLICT_PAUSE_S = 0.01
# Interval between reads of the ledger while this host has no record to append, in seconds.
IDLE_READ_INTERVAL_S = 1.0
# Interval between checks whether a host that follows no ledger has to, in seconds; a request that
# needs it wakes the loop.
DORMANT_CHECK_INTERVAL_S = 2.0
# Longest interval between attempts to read the ledger while no host is believed to reach the store,
# in seconds; the return of the store wakes the loop.
OUTAGE_CHECK_INTERVAL_S = 2.0
# Shortest time between cycles of the loop, in seconds, so that one record covers the demand of
# several requests.
MIN_CYCLE_INTERVAL_S = 0.01
# Cycles of the loop that a request waits for. If the slice is still too small after them, the
# records of the other hosts are assumed to leave no tokens for a larger one.
MAX_CYCLES_AWAITED = 3
# An append that has got no answer after this time, in seconds, is a sign that the store is lost; it
# takes some milliseconds otherwise.
SLOW_APPEND_S = 0.1
# Shortest time between two hand-overs because of slow appends, in seconds: the store may be slow
# for long.
SLOW_HAND_OVER_INTERVAL_S = 5.0
# Shortest time between two records that are handed to the witness, in seconds. The tokens that a
# record holds ready cover the expected demand for 0.6 s (`AllowanceSettings.ready_s`).
WITNESS_INTERVAL_S = 0.5
# Other hosts asked for tokens for one request after its coordinators had none.
MAX_DONORS = 4
# Longest time that another host's transfer request waits until this host's slice is large enough,
# in seconds; shorter than the time that the other host waits for the reply.
DONOR_WAIT_S = 0.15


class HeartbeatCount(NamedTuple):
    """Heartbeats of endpoints that the store has accepted.

    Attributes
    ----------
    count : int
        Heartbeats accepted so far.
    endpoints : int
        Endpoints that send them.
    interval_s : float
        Interval between two heartbeats of one endpoint, in seconds.
    """

    count: int
    endpoints: int
    interval_s: float


class SliceController:
    """Keeps the ledger up to date and enlarges slices ahead of demand.

    Parameters
    ----------
    allowance : Allowance
        This host's slices; decides on reservations and on the records to write.
    roster : HostRoster
        The active hosts, and the coordinators among them.
    store : StateStore
        Where the records of all hosts are kept.
    times : EntryTimes
        Intervals and timeouts of the loop.
    decisions : DecisionLog
        Log of changes and failures.
    client : BaseHttpClient
        HTTP client for calls to other hosts.
    random : Random
        Source of the random pauses after conflicts between hosts that append at the same time.
    beats : callable
        Returns the heartbeats of endpoints, which measure time independently of the clock.
    wall : callable
        Returns the time of day, in seconds.
    shard : int
        The shard.
    store_is_lost : callable, optional
        Whether no host is believed to reach the store; its return is told.
    """

    def __init__(
        self,
        allowance: Allowance,
        roster: HostRoster,
        store: StateStore,
        times: EntryTimes,
        decisions: DecisionLog,
        client: BaseHttpClient,
        random: Random,
        beats: Callable[[], HeartbeatCount],
        wall: Callable[[], float] = time.time,
        shard: int = 0,
        store_is_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store_is_lost = store_is_lost
        self._shard = shard
        self._count_heartbeats = beats
        self._wall = wall
        self._started_at = float("nan")
        self._allowance = allowance
        self._store = store
        self._times = times
        self._decisions = decisions
        self._random = random
        self._position: Position | None = None
        self._reread_due = False
        self._hand_over_due = False
        self._handed_over_at = float("-inf")
        self._unwitnessed: HolderRecord | None = None
        self._is_witnessing = False
        self._wake = trio.Event()
        self._cycle_ended = trio.Event()
        self._awaited = 0
        self._waits_quietly = False
        self._roster = roster
        calls = PeerCalls(client, decisions)
        self._demand_exchange = DemandExchange(allowance, shard)
        self._transfer_client = TransferClient(allowance, calls, decisions, shard)
        self._transfer_server = TransferServer(allowance, shard)
        self._record_exchange = RecordExchange(
            allowance, calls, self._keeper_addresses, decisions, shard
        )
        self._stopping = False
        self._final_record_written = trio.Event()
        self._store_connected = False
        self._ledger_read = False
        self._read_at = float("-inf")
        self._written_at = float("-inf")

    @property
    def in_touch(self) -> bool:
        """Whether the store answered the latest call."""
        return self._store_connected

    @property
    def ready(self) -> bool:
        """Whether requests for tokens can be granted.

        For a coordinator, the store has a record of this incarnation; until then, its slices are
        empty. Any other host gets tokens from the coordinators.
        """
        if self._is_coordinator():
            return self._allowance.joined
        return self._roster.settled and self._ledger_read

    def apply_totals(self, totals: dict[str, int], map_version: int) -> None:
        """Apply the prepaid totals of the shard's accounts in a new route map."""
        self._allowance.set_totals(totals, map_version)
        self._wake.set()

    async def reserve(self, account: str, tokens: int, deadline: float) -> Grant:
        """Reserve tokens for a request.

        The tokens come from the first source that has enough: this host's slice, a transfer from
        the account's coordinators, a larger slice from the store, a transfer from another host with
        slices. A host that is no coordinator enlarges its own slice only if no coordinator answers
        that reaches the store.

        Each shard has one host as its coordinator, where the demand of all hosts meets. One slice
        for the whole demand is smaller than separate slices of all hosts that are each large enough
        for a single large request, and hosts conflict less often when they append to the store. In
        each availability zone, one host is the zone coordinator, which serves while the coordinator
        can't be reached.

        Parameters
        ----------
        account : str
            Name of the client account.
        tokens : int
            Tokens to reserve.
        deadline : float
            Time limit for finding tokens, in seconds on trio's clock.

        Returns
        -------
        Grant
            The reservation. When tokens are lacking, `wait_s` is the shortest known time until a
            slice will have grown enough, in seconds; infinite if none grows.
        """
        grant = await self._find_tokens(account, tokens, deadline)
        if grant.status is ReservationStatus.GRANTED:
            self._allowance.record_demand(account, tokens, trio.current_time())
        return grant

    async def _find_tokens(self, account: str, tokens: int, deadline: float) -> Grant:
        self._end_quiet()
        now = trio.current_time()
        grant = self._allowance.reserve(account, tokens, now)
        wait_s = self._allowance.wait_s(account, tokens, now)
        coordinators = self._coordinator_addresses()
        use_store = self._is_coordinator()
        if grant.status is ReservationStatus.LACKING:
            self._count_lost(account)
            outcome = await self._transfer_client.reserve(account, tokens, deadline, coordinators)
            grant, wait_s = outcome.grant, min(wait_s, outcome.grant.wait_s)
            use_store = use_store or not outcome.connected
        if grant.status is ReservationStatus.LACKING and self._store_connected and use_store:
            grant = await self._reserve_from_store(account, tokens, deadline)
        if grant.status is ReservationStatus.LACKING:
            donors = [d for d in self._donors(account) if d not in coordinators][:MAX_DONORS]
            outcome = await self._transfer_client.reserve(account, tokens, deadline, donors)
            grant, wait_s = outcome.grant, min(wait_s, outcome.grant.wait_s)
        return grant._replace(wait_s=wait_s)

    def _donors(self, account: str) -> tuple[str, ...]:
        """Return the addresses of hosts with slices, in the order in which they are asked."""
        if self._participates():
            return self._allowance.donors(account)
        coordinators = self._roster.coordinators
        return coordinators.addresses_of(coordinators.candidates_from(self._allowance.zone))

    def settle(self, account: str, grant: Grant, used: int) -> None:
        """Count the tokens of a grant that a request used, and release the others."""
        self._allowance.settle(account, grant, used)

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (
            Route("POST", TRANSFER_PATH.format(shard=self._shard), self._answer_transfer),
            *self.report_routes(),
            *self._record_exchange.routes(),
        )

    def report_routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that accept reports, which other hosts may send in batches."""
        return (*self._demand_exchange.routes(), *self._transfer_server.routes())

    @property
    def has_usage_reports(self) -> bool:
        """Whether there is usage of received tokens to report to their donors."""
        return self._transfer_client.has_reports

    def usage_reports(self) -> list[Report]:
        """Return reports of the usage of received tokens to their donors, if there is any."""
        return self._transfer_client.usage_reports() if self.has_usage_reports else []

    def demand_reports(self) -> list[Report]:
        """Return reports of the demand of this host's callers to the zone coordinator.

        Empty without demand, and at a coordinator, which states it in its own records instead.
        """
        if self._is_coordinator():
            return []
        # The last coordinator is the one of this zone.
        return self._demand_exchange.reports(self._coordinator_addresses()[-1:])

    async def _reserve_from_store(self, account: str, tokens: int, deadline: float) -> Grant:
        """Wait for the loop to record a larger slice, and reserve tokens from it."""
        grant = Grant(ReservationStatus.LACKING)
        wait_until = min(deadline, trio.current_time() + self._times.slice_wait_s)
        async for _ in self._await_cycles(account, tokens, wait_until):
            grant = self._allowance.reserve(account, tokens, trio.current_time())
            if grant.status is not ReservationStatus.LACKING:
                break
        return grant

    async def _await_cycles(
        self, account: str, tokens: int, wait_until: float
    ) -> AsyncIterator[None]:
        """Count `tokens` as pending demand and yield after each of the next cycles of the loop.

        Ends after `MAX_CYCLES_AWAITED` cycles, at the time `wait_until`, or when the store can't be
        reached.
        """
        self._allowance.add_pending_demand(account, tokens)
        self._awaited += 1
        try:
            for _ in range(MAX_CYCLES_AWAITED):
                self._wake.set()
                with trio.move_on_at(wait_until) as scope:
                    await self._cycle_ended.wait()
                if scope.cancelled_caught or not self._store_connected:
                    return
                yield
        finally:
            self._awaited -= 1
            self._allowance.add_pending_demand(account, -tokens)

    async def _answer_transfer(self, request: Request, responder: Responder) -> Reply:
        """Donate tokens to another host; wait for a larger slice if this one is too small."""
        try:
            wanted = msgspec.msgpack.decode(request.body, type=TransferRequest)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        self._end_quiet()
        donated = self._transfer_server.donate(wanted)
        if not donated:
            self._count_lost(wanted.account)
        if not donated and self._store_connected:
            wait_until = trio.current_time() + DONOR_WAIT_S
            async for _ in self._await_cycles(wanted.account, wanted.tokens, wait_until):
                donated = self._transfer_server.donate(wanted)
                if donated:
                    break
        if donated:
            self._decisions.info("tokens given", account=wanted.account, tokens=donated)
        else:
            self._decisions.warning(
                "no tokens to give", asked=wanted.tokens, **self.describe(wanted.account)
            )
        wait_s = self._allowance.wait_s(wanted.account, wanted.tokens, trio.current_time())
        omits_wait = donated or not math.isfinite(wait_s)
        reply = TransferReply(
            donated,
            self._allowance.incarnation,
            None if omits_wait else max(0.0, wait_s),
            not donated and self._allowance.is_exhausted(wanted.account, wanted.tokens),
            self._store_connected,
        )
        return Reply(200, msgspec.msgpack.encode(reply))

    def _end_quiet(self) -> None:
        """Wake the loop if it waits for longer because no tokens were asked for."""
        if self._waits_quietly:
            self._wake.set()

    def _count_lost(self, account: str) -> None:
        """Count the tokens donated to incarnations that have ended without a report on them."""
        has_ended = self._roster.coordinators.has_ended
        self._allowance.set_lost(account, self._transfer_server.lost(account, has_ended))

    def tokens(self, account: str) -> dict[str, int]:
        """Return this host's token counts of an account, by kind."""
        return self._allowance.describe(account, trio.current_time())

    def describe(self, account: str) -> dict[str, Any]:
        """Return the inputs of a decision on an account's tokens, as fields of a log line."""
        ledger = self._allowance.ledger
        return {
            **self._allowance.describe(account, trio.current_time()),
            "ledger_end": ledger.end.offset,
            "ledger_era": ledger.end.era,
            "ledger_age_s": round(trio.current_time() - self._read_at, 3),
            "in_touch": self._store_connected,
        }

    def record_start(self) -> None:
        """Record the start time of the process, from which clock readings count the uptime."""
        self._started_at = trio.current_time()

    async def run(self) -> None:
        """Read the ledger and write records until `end` is called, then write the final record."""
        async with trio.open_nursery() as nursery:
            while not self._stopping:
                await self._hand_over_records()
                await self._cycle()
                await self._hand_over_records()
                if self._unwitnessed is not None and not self._is_witnessing:
                    nursery.start_soon(self._send_to_witness)
                cycle_ended, self._cycle_ended = self._cycle_ended, trio.Event()
                cycle_ended.set()
                await trio.sleep(MIN_CYCLE_INTERVAL_S)
                with trio.move_on_after(self._check_interval_s()):
                    await self._wake.wait()
                self._wake = trio.Event()
                self._waits_quietly = False
            await self._write_final_record()
            nursery.cancel_scope.cancel()

    def _check_interval_s(self) -> float:
        """Return the longest time until the next cycle, in seconds."""
        if not self._participates():
            return DORMANT_CHECK_INTERVAL_S
        if not self._store_connected and self._store_is_lost():
            return OUTAGE_CHECK_INTERVAL_S
        self._waits_quietly = self._store_connected and self._allowance.is_quiet(
            trio.current_time()
        )
        if self._waits_quietly:
            return IDLE_READ_INTERVAL_S
        return self._times.slice_check_interval_s

    async def end(self) -> None:
        """Have the loop write the final record, and return once the store holds it.

        The final record releases all tokens that this incarnation has not spent. Only the loop
        writes records, so no other record can follow the final one. While the store is
        unreachable, other hosts keep the final record for the next incarnation of this host.
        """
        self._stopping = True
        final_record = self._allowance.finalize(self._clock_reading())
        self._wake.set()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._transfer_client.report_usage)
            if not self._store_connected:
                nursery.start_soon(self._record_exchange.hand_over, [final_record])
            await self._final_record_written.wait()

    async def _write_final_record(self) -> None:
        """Write the final record, after any unconfirmed record.

        A host that the ledger has no record of needs none.
        """
        has_records = self._allowance.joined or self._allowance.holds_tokens
        while has_records and not self._allowance.ended:
            if not await self._append_record(ended=True):
                await trio.sleep(MIN_CYCLE_INTERVAL_S)
        self._final_record_written.set()

    async def _cycle(self) -> None:
        """Append a record if one is needed; otherwise read the ledger if a read is due."""
        if self._position is None or self._reread_due:
            if not await self._read_ledger():
                return
            self._reread_due = False
        if not self._participates():
            return
        appended = await self._append_record()
        await self._rewrite_lost_records()
        if not appended and trio.current_time() - self._read_at >= IDLE_READ_INTERVAL_S:
            await self._read_ledger()

    async def _append_record(self, ended: bool = False) -> bool:
        """Append a record if one is needed; return whether the store has confirmed it.

        If another host has appended first, the ledger is read and a new record is drafted.
        """
        for _ in range(APPEND_ATTEMPTS):
            now = trio.current_time()
            age_s = now - self._written_at
            due = self._allowance.grows and age_s >= self._renewal_interval_s()
            record = self._allowance.draft_record(now, self._clock_reading(), ended, due)
            if record is None:
                return False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hand_over_if_slow)
                appended = await self._store.append_slices(
                    self._shard, record, self._allowance.ledger.end
                )
                nursery.cancel_scope.cancel()
            match appended:
                case Ok(outcome) if outcome.done:
                    self._log_stranded()
                    self._allowance.record_appended(record, outcome.position, self._clock_reading())
                    self._position = self._allowance.ledger.end
                    self._written_at = self._read_at = trio.current_time()
                    self._set_store_connected(True, "")
                    self._unwitnessed = record
                    self._decisions.info("slices recorded", number=record.number)
                    return True
                case Ok(_):
                    self._allowance.refused(record)
                    await trio.sleep(self._random.uniform(0, CONFLICT_PAUSE_S))
                    if not await self._read_ledger():
                        return False
                case Err(error):
                    if error.sent:
                        self._allowance.lost(record)
                    else:
                        self._allowance.refused(record)
                    # An answer can get lost although the store is reachable; then a read succeeds.
                    if not error.sent or not await self._read_ledger():
                        self._set_store_connected(False, str(error))
                        return False
        self._decisions.warning("slices not recorded", tries=APPEND_ATTEMPTS)
        return False

    async def _rewrite_lost_records(self) -> None:
        """Append records of other hosts that the store has lost, and that they may not write again.

        Their hosts may have died, and hosts that start know only what the store has.
        """
        ledger = self._allowance.ledger
        while lost := self._other_lost_records():
            match await self._store.append_slices(self._shard, lost[0], ledger.end):
                case Ok(outcome) if outcome.done:
                    ledger.apply_records([lost[0]], outcome.position.after())
                    self._position = ledger.end
                    self._decisions.warning(
                        "record restored",
                        of=lost[0].host,
                        number=lost[0].number,
                        era=ledger.end.era,
                    )
                case Ok(_):
                    await trio.sleep(self._random.uniform(0, CONFLICT_PAUSE_S))
                    if not await self._read_ledger():
                        return
                case Err(error):
                    self._set_store_connected(False, str(error))
                    return

    async def _send_to_witness(self) -> None:
        """Hand this host's records to another host until it has the latest one."""
        self._is_witnessing = True
        coordinators = self._roster.coordinators
        while self._unwitnessed is not None:
            record, self._unwitnessed = self._unwitnessed, None
            witness = coordinators.witness(self._shard)
            if witness is not None:
                addresses = coordinators.addresses_of([witness])
                await self._record_exchange.hand_over([record], addresses)
            await trio.sleep(WITNESS_INTERVAL_S)
        self._is_witnessing = False

    async def _hand_over_if_slow(self) -> None:
        """Hand records over early, if an append takes long while the store is taken as reachable.

        A host may die before the call has timed out.
        """
        await trio.sleep(SLOW_APPEND_S)
        age_s = trio.current_time() - self._handed_over_at
        if self._store_connected and age_s >= SLOW_HAND_OVER_INTERVAL_S:
            self._hand_over_due = True
            await self._hand_over_records()

    async def _hand_over_records(self) -> None:
        """Hand this host's record, and those it was handed, to the others after the store was lost.

        The store may be restored from a copy without them, and this host may die meanwhile.
        """
        if not self._hand_over_due:
            return
        self._hand_over_due = False
        self._handed_over_at = trio.current_time()
        ledger = self._allowance.ledger
        records = list(ledger.handed_over)
        own = ledger.records.get(self._allowance.host)
        if own is not None and own.incarnation == self._allowance.incarnation:
            records.append(own)
        if records:
            await self._record_exchange.hand_over(records)

    async def _read_ledger(self) -> bool:
        """Read the records appended since the last read; return whether the store answered."""
        match await self._store.read_slices(self._shard, self._position):
            case Ok(update):
                for fault in update.faults:
                    self._decisions.warning("record unreadable", why=fault)
                if update.next is not None:
                    self._allowance.ledger.apply_records(
                        update.records, update.next, update.is_snapshot, trio.current_time()
                    )
                    await self._record_exchange.fetch()
                    was_superseded = self._allowance.superseded
                    self._allowance.apply_ledger(self._clock_reading())
                    if self._allowance.superseded and not was_superseded:
                        self._decisions.warning(
                            "superseded", peer="store", why="a later incarnation has a record"
                        )
                    # After an unexpected error above, the records are read once more.
                    self._position = update.next
                self._read_at = trio.current_time()
                self._set_store_connected(True, "")
                self._ledger_read = True
                return True
            case Err(error):
                self._set_store_connected(False, str(error))
                return False

    def _participates(self) -> bool:
        """Whether this host follows the ledger: it is a coordinator, or holds or needs tokens.

        A host that can't reach the store goes on trying.
        """
        return (
            self._is_coordinator()
            or self._allowance.holds_tokens
            or self._allowance.must_restate
            or bool(self._other_lost_records())
            or self._awaited > 0
            or not self._store_connected
        )

    def _is_coordinator(self) -> bool:
        """Whether this host is the coordinator or a zone coordinator of the shard."""
        return self._roster.coordinators.role(self._shard) is not Role.OTHER

    def _renewal_interval_s(self) -> float:
        """Return the age from which a record with a growing slice is renewed, in seconds."""
        if self._roster.coordinators.role(self._shard) is Role.COORDINATOR:
            return self._times.record_renewal_interval_s
        return self._times.zone_record_renewal_interval_s

    def _coordinator_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the shard's coordinator and its zone coordinator in this zone.

        This host and hosts without a known address are left out.
        """
        coordinators = self._roster.coordinators
        return coordinators.addresses_of(coordinators.coordinators(self._shard))

    def _keeper_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the other hosts that keep records which the store may lose."""
        coordinators = self._roster.coordinators
        return coordinators.addresses_of(coordinators.keepers(self._shard))

    def _other_lost_records(self) -> list[HolderRecord]:
        """Return the records of other hosts that the store has lost."""
        host = self._allowance.host
        return [record for record in self._allowance.ledger.lost_records if record.host != host]

    def store_lost(self) -> None:
        """Hand records over soon: the store did not answer this host's latest call."""
        self._hand_over_due = True
        self._wake.set()

    def store_returned(self) -> None:
        """Read the ledger soon: the store can be reached again."""
        self._wake.set()

    def store_restored(self) -> None:
        """Read the ledger again soon: the store was restored from an older copy."""
        self._reread_due = True
        self._wake.set()

    def update_roles(self) -> None:
        """Apply a change of the active hosts."""
        coordinators = self._roster.coordinators
        self._allowance.set_role(coordinators.role(self._shard), coordinators.zones)
        self._wake.set()

    def _clock_reading(self) -> ClockReading:
        """Return the time of day, the uptime, and the heartbeats that the store has accepted."""
        beats = self._count_heartbeats()
        uptime_s = trio.current_time() - self._started_at
        return ClockReading(self._wall(), uptime_s, beats.count, beats.endpoints, beats.interval_s)

    def _log_stranded(self) -> None:
        """Log the tokens that the first record counts as stranded by the previous incarnation."""
        if self._allowance.joined:
            return
        for account, silence_s, spent, limit, counted in self._allowance.inherited:
            if counted > spent:
                self._decisions.warning(
                    "tokens stranded",
                    account=account,
                    tokens=counted - spent,
                    silence_s=round(silence_s, 3),
                    spent=spent,
                    limit=limit,
                )

    def _set_store_connected(self, in_touch: bool, why: str) -> None:
        if in_touch != self._store_connected:
            kind = "ledger regained" if in_touch else "ledger lost"
            self._decisions.warning(kind, peer="store", why=why)
            self._hand_over_due = not in_touch
        self._store_connected = in_touch
