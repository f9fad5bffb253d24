"""One host's slices of the prepaid totals: reservations, settlements, and the next record."""

from __future__ import annotations

import math
from collections.abc import Mapping

from mulberrycleat.core import Position
from mulberrycleat.prepaid.account_state import AccountState, DemandReports, Draft
from mulberrycleat.prepaid.grants import Donor, Grant, Inherited, ReservationStatus, TransferUsage
from mulberrycleat.prepaid.ledger import (
    AccountShare,
    ClockReading,
    HolderRecord,
    SliceLedger,
    silence_s,
)
from mulberrycleat.prepaid.sizing import (
    MIN_RATE,
    AllowanceSettings,
    Role,
    Slice,
    SliceInputs,
    size_slice,
)

__all__ = ["Allowance"]


class Allowance:
    """Slices of the prepaid totals that one incarnation of a host holds.

    A limit is raised only once its record is in the store, and lowered before the record is sent:
    while an append is in flight or unconfirmed, the smaller limit counts. A record can be appended
    only at the offset that it was drafted for, so it can be dropped once the ledger has grown past
    that position.

    After the store was restored from an older copy, the slices last confirmed stay valid, as those
    of all hosts together fit into the totals. They are written again, and can't be enlarged until
    the ledger is complete.

    Times `now` of type float are in seconds on trio's clock.

    Parameters
    ----------
    settings : AllowanceSettings
        Parameters that the sizes of slices are computed from.
    host, incarnation, peer_address, zone : str
        Written into each record.
    """

    def __init__(
        self,
        settings: AllowanceSettings,
        host: str,
        incarnation: str,
        peer_address: str = "",
        zone: str = "",
    ) -> None:
        self._zone = zone
        self._settings = settings
        self._host = host
        self._incarnation = incarnation
        self._peer_address = peer_address
        self._accounts: dict[str, AccountState] = {}
        self._totals: dict[str, int] = {}
        self._role = Role.COORDINATOR
        self._zones = 1
        self._map_version = 0
        self._number = 0
        self._joined = False
        self._drafts: list[Draft] = []
        self._ledger = SliceLedger()
        self._record_drafted_at = 0.0
        self._draft_times: dict[int, float] = {}
        self._inherited: tuple[Inherited, ...] = ()
        self._reported_demand = DemandReports()
        self._closed = False
        self._superseded = False
        self._adopted: HolderRecord | None = None

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    @property
    def incarnation(self) -> str:
        """Id of this run of the process."""
        return self._incarnation

    @property
    def zone(self) -> str:
        """Availability zone of this host."""
        return self._zone

    @property
    def ledger(self) -> SliceLedger:
        """Records of all hosts as last read."""
        return self._ledger

    @property
    def inherited(self) -> tuple[Inherited, ...]:
        """Tokens counted for the previous incarnation of this host, one item per account."""
        return self._inherited

    @property
    def joined(self) -> bool:
        """Whether a record of this incarnation is in the store."""
        return self._joined

    @property
    def superseded(self) -> bool:
        """Whether the store has a record of a later incarnation of this host.

        No tokens are granted from then on, because the later incarnation has counted what this one
        may have spent.
        """
        return self._superseded

    @property
    def holds_tokens(self) -> bool:
        """Whether records in the store, or transfers, leave tokens to this host.

        They do if an earlier incarnation has left a record that is not final, or if a slice is
        larger than what was spent of it.
        """
        record = self._ledger.records.get(self._host)
        if record is not None and record.incarnation != self._incarnation and not self._superseded:
            return not record.ended
        return any(
            account.reserved or account.donated or account.share.ceiling > account.share.spent
            for account in self._accounts.values()
        )

    @property
    def must_restate(self) -> bool:
        """Whether the store may have lost this incarnation's record when it was restored."""
        record = self._ledger.records.get(self._host)
        if record is None or not self._joined or self._superseded:
            return False
        return record.era < self._ledger.end.era

    @property
    def has_usage(self) -> bool:
        """Whether there are received tokens whose usage was not collected yet."""
        return any(account.received or account.used for account in self._accounts.values())

    @property
    def grows(self) -> bool:
        """Whether a slice grows with the age of its record, so that the record must be renewed."""
        return any(account.share.growth for account in self._accounts.values())

    def is_quiet(self, now: float) -> bool:
        """Whether this host's own tokens are as its record in the store states, and stay so.

        Nothing is then reserved, donated or waited for, no slice grows, and there is no demand that
        fades. What other hosts write, and calls of them, may still change the slices.
        """
        if not self._joined or self._drafts or self.must_restate or self.grows:
            return False
        return not any(
            account.reserved
            or account.donated
            or account.pending
            or max(account.demand.at(now), account.served.at(now)) > MIN_RATE
            for account in self._accounts.values()
        )

    @property
    def ended(self) -> bool:
        """Whether this incarnation's final record, or a later incarnation's, is in the store."""
        record = self._ledger.records.get(self._host)
        ended = self._joined and record is not None and record.ended
        return ended or self._superseded

    def set_totals(self, totals: Mapping[str, int], map_version: int) -> None:
        """Replace the prepaid totals with those of a version of the route map."""
        self._totals = dict(totals)
        self._map_version = map_version

    def set_role(self, role: Role, zones: int) -> None:
        """Set this host's role for the accounts, and the number of availability zones."""
        self._role = role
        self._zones = zones

    def record_demand(self, name: str, tokens: int, now: float) -> None:
        """Count tokens granted to one of this host's own callers, from any source."""
        self._account(name).demand.add(tokens, now)

    def apply_ledger(self, now: ClockReading) -> None:
        """Update the slices and drafts after new records, which may be own ones, in the ledger."""
        self._drafts = [draft for draft in self._drafts if draft.at >= self._ledger.end]
        record = self._ledger.records.get(self._host, self._adopted)
        if record is None:
            return
        if record.incarnation != self._incarnation:
            if self._joined:
                self._superseded = self._closed = True
            else:
                self._count_past_incarnation(self._newest_record(record), silence_s(record, now))
            return
        self._joined = True
        self._record_drafted_at = self._draft_times.get(record.number, self._record_drafted_at)
        self._draft_times = {n: at for n, at in self._draft_times.items() if n >= record.number}
        # A record of an earlier era may not have been confirmed before the store was restored.
        confirmed = record.era == self._ledger.end.era
        for name, share in record.shares.items():
            account = self._account(name)
            account.share = share if confirmed else share.smaller(account.share)

    def finalize(self, reading: ClockReading) -> HolderRecord:
        """Stop granting tokens, and return the final record of what was spent.

        The record is valid without being in the store: the next incarnation may count it instead of
        the newest record there.
        """
        self._closed = True
        self._number += 1
        shares = {name: self._next_share(name, 0.0, ended=True) for name in self._account_names()}
        return self._record(shares, True, reading)

    def adopt_record(self, record: HolderRecord) -> None:
        """Keep a record of an earlier incarnation of this host that another host knows.

        It is counted instead of the newest record in the store if it is a later one of the same
        incarnation, or if the store was restored from an older copy since.
        """
        if record.host != self._host or record.incarnation == self._incarnation or self._joined:
            return
        if self._adopted is None or record.is_later_than(self._adopted):
            self._adopted = record

    def reserve(self, name: str, tokens: int, now: float) -> Grant:
        """Reserve tokens for a request, from the own slice or from the transfers of one donor."""
        total = self._totals.get(name)
        if total is None:
            return Grant(ReservationStatus.EXHAUSTED)
        account = self._account(name)
        if not self._overcommitted(name, total) and self._free(name, account, now) >= tokens:
            account.reserved += tokens
            account.served.add(tokens, now)
            return Grant(ReservationStatus.GRANTED, tokens)
        for giver, left in account.received.items():
            if left >= tokens:
                account.received[giver] -= tokens
                return Grant(ReservationStatus.GRANTED, tokens, giver)
        exhausted = self.is_exhausted(name, tokens)
        return Grant(ReservationStatus.EXHAUSTED if exhausted else ReservationStatus.LACKING)

    def settle(self, name: str, grant: Grant, used: int) -> None:
        """Count the tokens that a request used of its grant, and free the rest."""
        account = self._account(name)
        if grant.giver is None:
            account.reserved -= grant.tokens
            account.spent += used
        else:
            left = account.received.get(grant.giver, 0) + grant.tokens - used
            account.received[grant.giver] = left
            account.used[grant.giver] = account.used.get(grant.giver, 0) + used

    def donate(self, name: str, tokens: int, now: float) -> int:
        """Donate tokens of the own slice to another host; return `tokens`, or 0 if it can't.

        Donated tokens are not free here until the recipient reports their usage. So the total can't
        be overspent if the recipient dies, although the store has no record of the transfer.
        """
        total = self._totals.get(name)
        free = self.free_tokens(name, now)
        if total is None or free < tokens or self._overcommitted(name, total):
            return 0
        account = self._account(name)
        account.donated += tokens
        account.served.add(tokens, now)
        return tokens

    def apply_usage(self, usage: TransferUsage, incarnation: str) -> None:
        """Count a recipient's report on the usage of tokens that this host's `incarnation` donated.

        Reports on an earlier incarnation are ignored: its donated tokens were counted as spent when
        it ended.
        """
        if incarnation != self._incarnation:
            return
        account = self._account(usage.account)
        account.donated -= usage.used + usage.unused
        account.spent += usage.used

    def collect_usage(self) -> dict[Donor, list[TransferUsage]]:
        """Return the usage of received tokens since the last call, by donor.

        Tokens reported as unused belong to the donor again, and can't be reserved here.
        """
        found: dict[Donor, list[TransferUsage]] = {}
        for name, account in self._accounts.items():
            for giver in account.received.keys() | account.used.keys():
                usage = TransferUsage(
                    name, account.used.get(giver, 0), account.received.get(giver, 0)
                )
                if usage.used or usage.unused:
                    found.setdefault(giver, []).append(usage)
            account.received.clear()
            account.used.clear()
        return found

    def unused_received(self, name: str, address: str) -> int:
        """Return the unused tokens received from the host at `address`.

        If several incarnations of that host donated tokens, the largest number of one of them is
        returned, since a request can be granted the tokens of one donor only.
        """
        received = self._account(name).received.items()
        return max((left for giver, left in received if giver.address == address), default=0)

    def receive_transfer(self, name: str, tokens: int, giver: Donor) -> None:
        """Add tokens that another host donated."""
        received = self._account(name).received
        received[giver] = received.get(giver, 0) + tokens

    def describe(self, name: str, now: float) -> dict[str, int]:
        """Return the values that decisions about an account depend on, in tokens, for the log.

        The total is -1 if it is unknown.
        """
        account, ledger = self._account(name), self._ledger
        return {
            "total": self._totals.get(name, -1),
            "free": self._free(name, account, now),
            "ceiling_free": account.share.ceiling
            - account.spent
            - account.reserved
            - account.donated,
            "reserved": account.reserved,
            "given": account.donated,
            "committed": ledger.committed(name),
            "surely_spent": ledger.surely_spent(name),
            "stranded": ledger.stranded(name),
        }

    def donors(self, name: str) -> tuple[str, ...]:
        """Return the addresses of the other hosts, most unspent tokens on record first."""
        records = self._ledger.records.values()
        others = [r for r in records if r.host != self._host and r.peer_address and not r.ended]
        shares = [(r.shares.get(name, AccountShare()), r.peer_address) for r in others]
        ranked = sorted(shares, key=lambda found: found[0].spent - found[0].ceiling)
        return tuple(address for _, address in ranked)

    def add_pending_demand(self, name: str, tokens: int) -> None:
        """Add tokens that a waiting request lacks; negative when the request no longer waits."""
        account = self._account(name)
        if tokens < 0:
            account.pending.remove(-tokens)
        else:
            account.add_pending(tokens)

    def set_lost(self, name: str, tokens: int) -> None:
        """Set how many of the donated tokens will not be reported on, as the recipient has ended.

        They still count as donated, so that a report that arrives after all can be applied.
        """
        self._account(name).lost = tokens

    def free_tokens(self, name: str, now: float) -> int:
        """Return the tokens of the slice that can be reserved now."""
        return self._free(name, self._account(name), now)

    def is_exhausted(self, name: str, tokens: int) -> bool:
        """Whether the total can't cover `tokens` more, whatever hosts give back.

        Stranded tokens count as spent only up to a fraction of the total: a caller is not told that
        its total is used up because much of it was stranded.
        """
        total = self._totals.get(name)
        account = self._account(name)
        if total is None:
            return False
        spent = self._ledger.surely_spent(name, self._host) + account.past_spent + account.spent
        gone = self._ledger.gone(name, self._host) + account.past_limit + account.spent
        gone += account.lost
        max_stranded = int(self._settings.max_stranded_share * total)
        return spent + min(gone - spent, max_stranded) + tokens > total

    def demand_rates(self, now: float) -> dict[str, float]:
        """Return the recent demand of this host's own callers by account, in tokens per second."""
        rates = {name: account.demand.at(now) for name, account in self._accounts.items()}
        return {name: rate for name, rate in rates.items() if rate >= MIN_RATE}

    def report_demand(self, host: str, rates: Mapping[str, float], now: float) -> None:
        """Record the demand of another host of this zone that writes no record of its own.

        It replaces that host's earlier report, and counts for a limited time.
        """
        self._reported_demand.add(host, rates, now)

    def wait_s(self, name: str, tokens: int, now: float) -> float:
        """Return the time until the own slice has grown enough to reserve `tokens`, in seconds.

        Infinite if it never grows enough. Tokens that other requests reserve in the meantime are
        not taken into account.
        """
        account = self._account(name)
        total = self._totals.get(name)
        if self._closed or total is None or self._overcommitted(name, total):
            return math.inf
        needed = account.spent + account.reserved + account.donated + tokens
        wait_s = account.share.age_at(needed) - (now - self._record_drafted_at)
        for draft in self._drafts:
            share = draft.record.shares.get(name)
            if share is not None:
                wait_s = max(wait_s, share.age_at(needed) - (now - draft.drafted_at))
        return wait_s

    def draft_record(
        self, now: float, reading: ClockReading, ended: bool = False, due: bool = False
    ) -> HolderRecord | None:
        """Return the record to be appended at the ledger's end, or None when none is needed.

        A record whose append is unconfirmed is returned again until the ledger has grown past its
        position: a different record for that position could not raise a limit, since the smallest
        of the drafted limits counts.

        Also returns None while the ledger shows that other hosts computed their limits from a newer
        route map: the totals known here may be too large; and once this incarnation is superseded.

        Parameters
        ----------
        now : float
            Current time, in seconds on trio's clock.
        reading : ClockReading
            Clock reading that is written into the record.
        ended : bool
            The incarnation ends: its limits become the tokens spent, reserved and donated.
        due : bool
            The last record is old, so that a new one is needed even if little has changed.
        """
        if self._superseded:
            return None
        if self._drafts:
            return self._drafts[-1].record
        if self._ledger.map_version > self._map_version and not ended:
            return None
        shares = {name: self._next_share(name, now, ended) for name in self._account_names()}
        if not (ended or due) and self._joined and not self._is_worth_writing(shares):
            return None
        self._number += 1
        record = self._record(shares, ended, reading)
        self._drafts.append(Draft(record, self._ledger.end, now))
        self._draft_times[record.number] = now
        return record

    def record_appended(self, record: HolderRecord, at: Position, now: ClockReading) -> None:
        """Update the ledger and the slices after a drafted record was appended at `at`."""
        self._ledger.apply_records([record], at.after())
        self.apply_ledger(now)

    def refused(self, record: HolderRecord) -> None:
        """Drop a record whose append failed for good, unless an earlier attempt is unconfirmed."""
        self._drafts = [d for d in self._drafts if d.record is not record or d.unconfirmed]

    def lost(self, record: HolderRecord) -> None:
        """Mark a record as unconfirmed: its append got no answer."""
        for draft in self._drafts:
            if draft.record is record:
                draft.unconfirmed = True

    def _record(
        self, shares: dict[str, AccountShare], ended: bool, reading: ClockReading
    ) -> HolderRecord:
        return HolderRecord(
            self._host,
            self._incarnation,
            self._number,
            max(self._map_version, self._ledger.map_version),
            self._peer_address,
            self._zone,
            shares,
            ended,
            reading.wall_s,
            reading.beats,
            reading.endpoints,
            self._ledger.end.era,
        )

    def _newest_record(self, record: HolderRecord) -> HolderRecord:
        """Return the adopted record if it is newer than the one in the store, else that one."""
        adopted = self._adopted
        if adopted is None or not adopted.is_later_than(record):
            return record
        same = adopted.incarnation == record.incarnation
        return adopted if same or record.era < self._ledger.end.era else record

    def _account_names(self) -> set[str]:
        return set(self._totals) | set(self._accounts)

    def _account(self, name: str) -> AccountState:
        if name not in self._accounts:
            self._accounts[name] = AccountState()
        return self._accounts[name]

    def _count_past_incarnation(self, record: HolderRecord, age_s: float) -> None:
        """Count the tokens of an earlier incarnation, which has ended since this one is running.

        `age_s` is the age of its record when it ended, at most, in seconds.
        """
        inherited = []
        for name, share in record.shares.items():
            account, counted = self._account(name), share.limit_after(age_s)
            account.past_limit = share.past_limit + counted
            account.past_spent = share.past_spent + share.spent
            inherited.append(Inherited(name, age_s, share.spent, share.limit, counted))
        self._inherited = tuple(inherited)

    def _free(self, name: str, account: AccountState, now: float) -> int:
        if self._closed:
            return 0
        limit = account.share.limit_after(now - self._record_drafted_at)
        for draft in self._drafts:
            share = draft.record.shares.get(name)
            if share is not None:
                limit = min(limit, share.limit_after(now - draft.drafted_at))
        return limit - account.spent - account.reserved - account.donated

    def _overcommitted(self, name: str, total: int) -> bool:
        """Whether the limits of all hosts may exceed the total, which may have been reduced."""
        return self._ledger.committed(name) > total

    def _next_share(self, name: str, now: float, ended: bool) -> AccountShare:
        account = self._account(name)
        held = account.spent + account.reserved + account.donated
        demand = account.demand.at(now)
        if ended:
            new_slice = Slice(held, 0.0, 0.0, held)
        else:
            new_slice = size_slice(self._settings, self._slice_inputs(name, account, held, now))
        return AccountShare(
            account.past_limit,
            account.past_spent,
            account.spent,
            new_slice.limit,
            round(new_slice.growth, 1),
            new_slice.growth_after_s,
            new_slice.ceiling,
            round(demand, 1),
        )

    def _slice_inputs(self, name: str, account: AccountState, held: int, now: float) -> SliceInputs:
        ledger, role = self._ledger, self._role
        total = self._totals.get(name, 0)
        gone_at_others = ledger.gone(name, self._host)
        zone = self._zone if role is Role.ZONE_COORDINATOR else None
        max_limit = total - ledger.committed(name, self._host) - account.past_limit
        if ledger.is_incomplete(name, self._host, now):
            max_limit = min(max_limit, account.share.ceiling)
        return SliceInputs(
            role=role,
            zones=self._zones,
            held=held,
            pending=tuple(account.pending),
            served=account.served.at(now),
            expected=ledger.demand(name, self._host, zone)
            + self._reported_demand.total(name, now)
            + account.demand.at(now),
            largest_request=max(
                account.served.largest, account.demand.largest, account.largest_pending
            ),
            total=total,
            max_limit=max_limit,
            unspent=max(0, total - gone_at_others - account.past_limit - held),
        )

    def _is_worth_writing(self, shares: dict[str, AccountShare]) -> bool:
        """Whether a record would change slices, or spent tokens, by enough to be worth writing."""
        record = self._ledger.records.get(self._host)
        if record is None or record.map_version != self._map_version or self.must_restate:
            return True
        threshold = self._settings.resize_threshold
        for name, share in shares.items():
            old = record.shares.get(name, AccountShare())
            if self._account(name).pending and share.limit > old.limit:
                return True
            old_spare, new_spare = old.ceiling - old.spent, share.ceiling - share.spent
            if abs(new_spare - old_spare) > threshold * max(new_spare, old_spare, 1):
                return True
            if share.spent - old.spent > threshold * max(1, old.ceiling - old.spent):
                return True
        return False
