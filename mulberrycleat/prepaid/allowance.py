"""One host's slices of the prepaid totals: reservations, settlements, and the next record."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mulberrycleat.prepaid.demand import TokenRate
from mulberrycleat.prepaid.grants import Donor, Grant, Inherited, ReservationStatus, TransferUsage
from mulberrycleat.prepaid.ledger import (
    AccountShare,
    ClockReading,
    HolderRecord,
    SliceLedger,
    silence_s,
)
from mulberrycleat.prepaid.sizing import AllowanceSettings, Need, Role, Slice, size_slice

__all__ = ["Allowance"]


@dataclass(slots=True)
class _Account:
    past_limit: int = 0
    past_spent: int = 0
    spent: int = 0
    reserved: int = 0
    given: int = 0
    gifts: dict[Donor, int] = field(default_factory=dict)
    used: dict[Donor, int] = field(default_factory=dict)
    share: AccountShare = AccountShare()
    wanted: int = 0
    demand: TokenRate = field(default_factory=TokenRate)
    served: TokenRate = field(default_factory=TokenRate)


@dataclass(slots=True)
class _Draft:
    """A record that may reach the store at offset `at`, and nowhere else.

    It is undecided once an answer to it was lost; what is said of a later try changes that no more.
    """

    record: HolderRecord
    at: int
    drafted_at: float
    undecided: bool = False


class Allowance:
    """Slices of one incarnation of one host.

    A limit is raised only once its record is in the store, and lowered before the record is sent:
    while a record is under way, or its answer was lost, the smaller limit counts. A record can
    reach the store only at the offset that it was drafted for, so that it is out of the way once
    the ledger has grown past that.

    Parameters
    ----------
    settings : AllowanceSettings
        How large slices are.
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
        self._accounts: dict[str, _Account] = {}
        self._totals: dict[str, int] = {}
        self._roles: Mapping[str, Role] = {}
        self._zones = 1
        self._map_version = 0
        self._number = 0
        self._joined = False
        self._drafts: list[_Draft] = []
        self._ledger = SliceLedger()
        self._drafted_at = 0.0
        self._drafted: dict[int, float] = {}
        self._inherited: tuple[Inherited, ...] = ()
        self._closed = False
        self._last_word: HolderRecord | None = None

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    @property
    def incarnation(self) -> str:
        """Name of this start of the process."""
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
        """What was counted for the incarnation before this one, by account."""
        return self._inherited

    @property
    def joined(self) -> bool:
        """Whether a record of this incarnation is in the store."""
        return self._joined

    @property
    def ended(self) -> bool:
        """Whether the last record of this incarnation is in the store."""
        record = self._ledger.records.get(self._host)
        return self._joined and record is not None and record.ended

    def set_totals(self, totals: Mapping[str, int], map_version: int) -> None:
        """Take the prepaid totals of a version of the route map."""
        self._totals = dict(totals)
        self._map_version = map_version

    def set_roles(self, roles: Mapping[str, Role], zones: int) -> None:
        """Take what this host is to each account; of one that isn't named, it is the home."""
        self._roles = roles
        self._zones = zones

    def record_demand(self, name: str, tokens: int, now: float) -> None:
        """Count tokens that a request of this host's own callers got, from wherever."""
        self._account(name).demand.note(tokens, now)

    def apply_ledger(self, now: ClockReading) -> None:
        """Take note that the ledger has changed; recognise own records in it."""
        self._drafts = [draft for draft in self._drafts if draft.at >= self._ledger.end]
        record = self._ledger.records.get(self._host)
        if record is None:
            return
        if record.incarnation != self._incarnation:
            if not self._joined:
                self._take_past(self._last_known(record), silence_s(record, now))
            return
        self._joined = True
        self._drafted_at = self._drafted.get(record.number, self._drafted_at)
        self._drafted = {n: at for n, at in self._drafted.items() if n >= record.number}
        for name, share in record.shares.items():
            self._account(name).share = share

    def close(self, moment: ClockReading) -> HolderRecord:
        """Set nothing aside any more, and return the last word on what was spent.

        The record need not reach the store to be true: whoever succeeds this incarnation may count
        it instead of the newest one there.
        """
        self._closed = True
        shares = {name: self._next_share(name, 0.0, ended=True) for name in self._names()}
        return self._record(shares, True, moment)

    def adopt_final_record(self, record: HolderRecord) -> None:
        """Take the last word of the incarnation before this one, if it was this host's."""
        if record.host == self._host and record.ended and not self._joined:
            self._last_word = record

    def reserve(self, name: str, tokens: int, now: float) -> Grant:
        """Set tokens aside for a request."""
        total = self._totals.get(name)
        if total is None:
            return Grant(ReservationStatus.EXHAUSTED)
        account = self._account(name)
        if not self._overcommitted(name, total) and self._free(name, account, now) >= tokens:
            account.reserved += tokens
            account.served.note(tokens, now)
            return Grant(ReservationStatus.GRANTED, tokens)
        for giver, left in account.gifts.items():
            if left >= tokens:
                account.gifts[giver] -= tokens
                return Grant(ReservationStatus.GRANTED, tokens, giver)
        sure = self._ledger.surely_spent(name, self._host) + account.past_spent + account.spent
        return Grant(
            ReservationStatus.EXHAUSTED if sure + tokens > total else ReservationStatus.LACKING
        )

    def settle(self, name: str, grant: Grant, used: int) -> None:
        """Give back what a request did not use of its grant."""
        account = self._account(name)
        if grant.giver is None:
            account.reserved -= grant.tokens
            account.spent += used
        else:
            left = account.gifts.get(grant.giver, 0) + grant.tokens - used
            account.gifts[grant.giver] = left
            account.used[grant.giver] = account.used.get(grant.giver, 0) + used

    def donate(self, name: str, tokens: int, now: float) -> int:
        """Give tokens of the own slice to another host; return how many, 0 for none.

        What was given counts as gone from this slice until the other host says what became of it,
        so that the total is safe if that host dies, without any record of the gift.
        """
        total = self._totals.get(name)
        free = self.free_tokens(name, now)
        if total is None or free < tokens or self._overcommitted(name, total):
            return 0
        account = self._account(name)
        account.given += tokens
        account.served.note(tokens, now)
        return tokens

    def apply_usage(self, use: TransferUsage, incarnation: str) -> None:
        """Take another host's word on tokens that this host, in that incarnation, gave.

        What an earlier incarnation gave has been counted as spent when that ended.
        """
        if incarnation != self._incarnation:
            return
        account = self._account(use.account)
        account.given -= use.used + use.unused
        account.spent += use.used

    def release_transfers(self) -> dict[Donor, list[TransferUsage]]:
        """Return what became of other hosts' gifts since last time, and let go of the rest."""
        found: dict[Donor, list[TransferUsage]] = {}
        for name, account in self._accounts.items():
            for giver in account.gifts.keys() | account.used.keys():
                use = TransferUsage(name, account.used.get(giver, 0), account.gifts.get(giver, 0))
                if use.used or use.unused:
                    found.setdefault(giver, []).append(use)
            account.gifts.clear()
            account.used.clear()
        return found

    def transfer_balance(self, name: str, address: str) -> int:
        """Return what is left of the gifts of the host at `address`."""
        gifts = self._account(name).gifts.items()
        return max((left for giver, left in gifts if giver.address == address), default=0)

    def receive_transfer(self, name: str, tokens: int, giver: Donor) -> None:
        """Take tokens that another host gave."""
        gifts = self._account(name).gifts
        gifts[giver] = gifts.get(giver, 0) + tokens

    def describe(self, name: str, now: float) -> dict[str, int]:
        """Return the inputs of decisions about an account, in tokens."""
        account, ledger = self._account(name), self._ledger
        return {
            "total": self._totals.get(name, -1),
            "free": self._free(name, account, now),
            "ceiling_free": account.share.ceiling - account.spent - account.reserved,
            "reserved": account.reserved,
            "given": account.given,
            "committed": ledger.committed(name),
            "surely_spent": ledger.surely_spent(name),
            "stranded": ledger.stranded(name),
        }

    def donors(self, name: str) -> tuple[str, ...]:
        """Return the addresses of the other hosts, those that seemed to have most left first."""
        records = self._ledger.records.values()
        others = [r for r in records if r.host != self._host and r.peer_address and not r.ended]
        shares = [(r.shares.get(name, AccountShare()), r.peer_address) for r in others]
        ranked = sorted(shares, key=lambda found: found[0].spent - found[0].ceiling)
        return tuple(address for _, address in ranked)

    def add_pending_demand(self, name: str, tokens: int) -> None:
        """Count tokens that a waiting request lacks; negative when it waits no longer."""
        self._account(name).wanted += tokens

    def free_tokens(self, name: str, now: float) -> int:
        """Return what is left of a slice."""
        return self._free(name, self._account(name), now)

    def wait_s(self, name: str, tokens: int, now: float) -> float:
        """Return the time until the own slice will have grown by tokens that it lacks, in seconds.

        Infinite when it grows no more; other requests that take tokens meanwhile are not known.
        """
        account = self._account(name)
        total = self._totals.get(name)
        if self._closed or total is None or self._overcommitted(name, total):
            return math.inf
        needed = account.spent + account.reserved + account.given + tokens
        return account.share.age_at(needed) - (now - self._drafted_at)

    def draft_record(
        self, now: float, moment: ClockReading, ended: bool = False, due: bool = False
    ) -> HolderRecord | None:
        """Return the record to be appended at the ledger's end, or None when none is needed.

        Parameters
        ----------
        ended : bool
            The incarnation ends; its limits are what it has spent.
        due : bool
            The last record is old, so that any change is worth a new one.

        A record whose fate is not known is returned again until the ledger has grown past its
        place: another one there would hold the slices at their size of now.

        None also while the ledger shows that other hosts drew their limits by a newer route map:
        the totals known here may be too large.
        """
        if self._drafts:
            return self._drafts[-1].record
        if self._ledger.map_version > self._map_version and not ended:
            return None
        shares = {name: self._next_share(name, now, ended) for name in self._names()}
        if not (ended or due) and self._joined and not self._differs(shares):
            return None
        self._number += 1
        record = self._record(shares, ended, moment)
        self._drafts.append(_Draft(record, self._ledger.end, now))
        self._drafted[record.number] = now
        return record

    def record_appended(self, record: HolderRecord, offset: int, now: ClockReading) -> None:
        """Take note that a drafted record stands in the store."""
        self._ledger.take([record], offset + 1)
        self.apply_ledger(now)

    def refused(self, record: HolderRecord) -> None:
        """Take note that this try to append a record did not and will not succeed."""
        self._drafts = [d for d in self._drafts if d.record is not record or d.undecided]

    def lost(self, record: HolderRecord) -> None:
        """Take note that nothing is known of this try to append a record."""
        for draft in self._drafts:
            if draft.record is record:
                draft.undecided = True

    def _record(
        self, shares: dict[str, AccountShare], ended: bool, moment: ClockReading
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
            moment.wall_s,
            moment.beats,
            moment.endpoints,
        )

    def _last_known(self, record: HolderRecord) -> HolderRecord:
        """Return the last word of a record's incarnation, or the record where there is none."""
        word = self._last_word
        return word if word is not None and word.incarnation == record.incarnation else record

    def _names(self) -> set[str]:
        return set(self._totals) | set(self._accounts)

    def _account(self, name: str) -> _Account:
        if name not in self._accounts:
            self._accounts[name] = _Account()
        return self._accounts[name]

    def _take_past(self, record: HolderRecord, age_s: float) -> None:
        """Count an earlier incarnation of this host: it has ended, or this one would not run."""
        inherited = []
        for name, share in record.shares.items():
            account, counted = self._account(name), share.limit_after(age_s)
            account.past_limit = share.past_limit + counted
            account.past_spent = share.past_spent + share.spent
            inherited.append(Inherited(name, age_s, share.spent, share.limit, counted))
        self._inherited = tuple(inherited)

    def _free(self, name: str, account: _Account, now: float) -> int:
        if self._closed:
            return 0
        limit = account.share.limit_after(now - self._drafted_at)
        for draft in self._drafts:
            share = draft.record.shares.get(name)
            if share is not None:
                limit = min(limit, share.limit_after(now - draft.drafted_at))
        return limit - account.spent - account.reserved - account.given

    def _overcommitted(self, name: str, total: int) -> bool:
        """Whether limits drawn before a cut of the total may pass it now."""
        return self._ledger.committed(name) > total

    def _next_share(self, name: str, now: float, ended: bool) -> AccountShare:
        account = self._account(name)
        held = account.spent + account.reserved + account.given
        demand = account.demand.at(now)
        if ended:
            drawn = Slice(held, 0.0, 0.0, held)
        else:
            drawn = size_slice(self._settings, self._need(name, account, held, now))
        return AccountShare(
            account.past_limit,
            account.past_spent,
            account.spent,
            drawn.limit,
            round(drawn.growth, 1),
            drawn.growth_after_s,
            drawn.ceiling,
            round(demand, 1),
        )

    def _need(self, name: str, account: _Account, held: int, now: float) -> Need:
        ledger, role = self._ledger, self._roles.get(name, Role.COORDINATOR)
        total = self._totals.get(name, 0)
        spent_by_others = ledger.surely_spent(name, self._host)
        zone = self._zone if role is Role.ZONE_COORDINATOR else None
        return Need(
            role=role,
            zones=self._zones,
            held=held,
            wanted=account.wanted,
            served=account.served.at(now),
            expected=ledger.demand(name, self._host, zone) + account.demand.at(now),
            largest_request=max(account.served.largest, account.demand.largest),
            total=total,
            room=total - ledger.committed(name, self._host) - account.past_limit,
            unspent=max(0, total - spent_by_others - account.past_limit - held),
        )

    def _differs(self, shares: dict[str, AccountShare]) -> bool:
        """Whether a record would change slices, or settle tokens, by enough to be worth writing."""
        record = self._ledger.records.get(self._host)
        if record is None or record.map_version != self._map_version:
            return True
        bound = self._settings.change_share
        for name, share in shares.items():
            old = record.shares.get(name, AccountShare())
            if self._account(name).wanted and share.limit > old.limit:
                return True
            spare, wanted = old.ceiling - old.spent, share.ceiling - share.spent
            if abs(wanted - spare) > bound * max(wanted, spare, 1):
                return True
            if share.spent - old.spent > bound * max(1, old.ceiling - old.spent):
                return True
        return False
