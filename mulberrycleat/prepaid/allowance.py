"""One host's slices of the prepaid totals: reservations, settlements, and the next record."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from mulberrycleat.prepaid.ledger import AccountShare, HolderRecord, Moment, SliceLedger, silence_s

__all__ = ["Allowance", "AllowanceSettings", "Giver", "Grant", "Use", "Verdict"]

RATE_KEPT_S = 5.0
# Part of the largest reservation that is remembered from one reservation to the next.
LARGEST_KEPT = 0.9
# A mean rate of less than this time is not trusted to be higher.
LEAST_KNOWN_S = 1.5
# A rate below this is taken for none, in tokens a second.
LEAST_RATE = 1.0


@dataclass(frozen=True, slots=True)
class AllowanceSettings:
    """How large slices are.

    Attributes
    ----------
    ready_s : float
        A slice covers at once what the host is expected to reserve in this time, in seconds. The
        death of the host strands this, and what the slice has grown by.
    horizon_s : float
        The ceiling covers what the host is expected to reserve in this time, so that it serves
        through an outage of the store that lasts no longer, in seconds.
    horizon_lumps : float
        The ceiling covers so many of the largest late reservations besides: few large requests come
        unevenly.
    ceiling_share : float
        Largest part of the total that the ceiling covers beyond what runs, so that the death of one
        host in a long outage strands no more.
    growth_s : float
        An old slice grows to its ceiling in this time, in seconds.
    unspent_share : float
        Largest part of the unspent total that all hosts together hold beyond what runs.
    least_share : float
        Part of the total that a host holds of each account without any demand, so that a first
        request need not wait for the store.
    change_share : float
        A slice is drawn anew when it differs by more than this part from what it should be.
    """

    ready_s: float = 0.8
    horizon_s: float = 12.0
    horizon_lumps: float = 1.5
    ceiling_share: float = 0.08
    growth_s: float = 2.5
    unspent_share: float = 0.6
    least_share: float = 0.001
    change_share: float = 0.25


class Verdict(Enum):
    """Answer to a request for tokens.

    ``GRANTED``: set aside, from the own slice or from another host's gift. ``LACKING``: the slice
    is too small, a larger one may be had. ``EXHAUSTED``: the total does not cover the request.
    """

    GRANTED = "granted"
    LACKING = "lacking"
    EXHAUSTED = "exhausted"


class Giver(NamedTuple):
    """The incarnation of a host that gave tokens, with its address."""

    address: str
    incarnation: str


class Grant(NamedTuple):
    """Tokens set aside for a request, or why there are none; `giver` is None for the own slice."""

    verdict: Verdict
    tokens: int = 0
    giver: Giver | None = None


class Use(NamedTuple):
    """What became of one giver's tokens of an account: used, and not needed."""

    account: str
    used: int
    unused: int


@dataclass(slots=True)
class _Account:
    past_limit: int = 0
    past_spent: int = 0
    spent: int = 0
    reserved: int = 0
    given: int = 0
    gifts: dict[Giver, int] = field(default_factory=dict)
    used: dict[Giver, int] = field(default_factory=dict)
    share: AccountShare = AccountShare()
    wanted: int = 0
    rate: float = 0.0
    rate_at: float = float("-inf")
    rate_since: float = 0.0
    largest: int = 0


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
        self._map_version = 0
        self._number = 0
        self._joined = False
        self._drafts: list[_Draft] = []
        self._ledger = SliceLedger()
        self._drafted_at = 0.0
        self._drafted: dict[int, float] = {}

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
    def joined(self) -> bool:
        """Whether a record of this incarnation is in the store."""
        return self._joined

    def take_totals(self, totals: Mapping[str, int], map_version: int) -> None:
        """Take the prepaid totals of a version of the route map."""
        self._totals = dict(totals)
        self._map_version = map_version

    def take_ledger(self, now: Moment) -> None:
        """Take note that the ledger has changed; recognise own records in it."""
        self._drafts = [draft for draft in self._drafts if draft.at >= self._ledger.end]
        record = self._ledger.records.get(self._host)
        if record is None:
            return
        if record.incarnation != self._incarnation:
            if not self._joined:
                self._take_past(record, silence_s(record, now))
            return
        self._joined = True
        self._drafted_at = self._drafted.get(record.number, self._drafted_at)
        self._drafted = {n: at for n, at in self._drafted.items() if n >= record.number}
        for name, share in record.shares.items():
            self._account(name).share = share

    def reserve(self, name: str, tokens: int, now: float) -> Grant:
        """Set tokens aside for a request."""
        total = self._totals.get(name)
        if total is None:
            return Grant(Verdict.EXHAUSTED)
        account = self._account(name)
        if not self._overcommitted(name, total) and self._free(name, account, now) >= tokens:
            account.reserved += tokens
            self._note_rate(account, tokens, now)
            return Grant(Verdict.GRANTED, tokens)
        for giver, left in account.gifts.items():
            if left >= tokens:
                account.gifts[giver] -= tokens
                return Grant(Verdict.GRANTED, tokens, giver)
        sure = self._ledger.surely_spent(name, self._host) + account.past_spent + account.spent
        return Grant(Verdict.EXHAUSTED if sure + tokens > total else Verdict.LACKING)

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

    def give(self, name: str, tokens: int, now: float) -> int:
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
        self._note_rate(account, tokens, now)
        return tokens

    def take_use(self, use: Use, incarnation: str) -> None:
        """Take another host's word on tokens that this host, in that incarnation, gave.

        What an earlier incarnation gave has been counted as spent when that ended.
        """
        if incarnation != self._incarnation:
            return
        account = self._account(use.account)
        account.given -= use.used + use.unused
        account.spent += use.used

    def let_go(self) -> dict[Giver, list[Use]]:
        """Return what became of other hosts' gifts since last time, and let go of the rest."""
        found: dict[Giver, list[Use]] = {}
        for name, account in self._accounts.items():
            for giver in account.gifts.keys() | account.used.keys():
                use = Use(name, account.used.get(giver, 0), account.gifts.get(giver, 0))
                if use.used or use.unused:
                    found.setdefault(giver, []).append(use)
            account.gifts.clear()
            account.used.clear()
        return found

    def gift(self, name: str, address: str) -> int:
        """Return what is left of the gifts of the host at `address`."""
        gifts = self._account(name).gifts.items()
        return max((left for giver, left in gifts if giver.address == address), default=0)

    def take_gift(self, name: str, tokens: int, giver: Giver) -> None:
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

    def want(self, name: str, tokens: int) -> None:
        """Count tokens that a waiting request lacks; negative when it waits no longer."""
        self._account(name).wanted += tokens

    def free_tokens(self, name: str, now: float) -> int:
        """Return what is left of a slice."""
        return self._free(name, self._account(name), now)

    def draft(
        self, now: float, moment: Moment, ended: bool = False, due: bool = False
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
        record = HolderRecord(
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
        self._drafts.append(_Draft(record, self._ledger.end, now))
        self._drafted[record.number] = now
        return record

    def written(self, record: HolderRecord, offset: int, now: Moment) -> None:
        """Take note that a drafted record stands in the store."""
        self._ledger.take([record], offset + 1)
        self.take_ledger(now)

    def refused(self, record: HolderRecord) -> None:
        """Take note that this try to append a record did not and will not succeed."""
        self._drafts = [d for d in self._drafts if d.record is not record or d.undecided]

    def lost(self, record: HolderRecord) -> None:
        """Take note that nothing is known of this try to append a record."""
        for draft in self._drafts:
            if draft.record is record:
                draft.undecided = True

    def _names(self) -> set[str]:
        return set(self._totals) | set(self._accounts)

    def _account(self, name: str) -> _Account:
        if name not in self._accounts:
            self._accounts[name] = _Account()
        return self._accounts[name]

    def _take_past(self, record: HolderRecord, age_s: float) -> None:
        """Count an earlier incarnation of this host: it has ended, or this one would not run."""
        for name, share in record.shares.items():
            account = self._account(name)
            account.past_limit = share.past_limit + share.limit_after(age_s)
            account.past_spent = share.past_spent + share.spent

    def _free(self, name: str, account: _Account, now: float) -> int:
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
        rate = self._rate(account, now)
        if ended:
            limit, growth, ceiling = held, 0.0, held
        else:
            limit, growth, ceiling = self._next_limit(name, account, held, rate)
        past = (account.past_limit, account.past_spent)
        return AccountShare(*past, account.spent, limit, round(growth, 1), ceiling, round(rate, 1))

    def _next_limit(
        self, name: str, account: _Account, held: int, rate: float
    ) -> tuple[int, float, int]:
        """Return limit, growth and ceiling of the next record."""
        settings = self._settings
        total = self._totals.get(name, 0)
        others = self._ledger.committed(name, self._host) + account.past_limit
        largest = total - others
        if largest < held:
            return held, 0.0, held
        spent_by_others = self._ledger.surely_spent(name, self._host)
        unspent = max(0, total - spent_by_others - account.past_limit - held)
        all_rates = self._ledger.rate(name, self._host) + rate
        hosts = max(1, len(self._ledger.records))
        share = max(rate / all_rates if all_rates > 0 else 0.0, 0.5 / hosts)
        least = settings.least_share * total
        lump = account.largest if rate > LEAST_RATE else 0
        spare = rate * settings.horizon_s + lump * settings.horizon_lumps
        spare = min(max(spare, least), settings.ceiling_share * total)
        spare = min(spare, settings.unspent_share * unspent * min(1.0, share))
        ceiling = min(largest, held + account.wanted + int(spare))
        ready_spare = max(rate * settings.ready_s, least)
        ready = min(ceiling, held + account.wanted + int(ready_spare))
        return ready, (ceiling - ready) / settings.growth_s, ceiling

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

    def _note_rate(self, account: _Account, tokens: int, now: float) -> None:
        if account.rate_at == float("-inf"):
            account.rate_since = account.rate_at = now
        kept = math.exp(-max(0.0, now - account.rate_at) / RATE_KEPT_S)
        account.rate = account.rate * kept + tokens / RATE_KEPT_S
        account.largest = max(tokens, int(account.largest * LARGEST_KEPT))
        account.rate_at = now

    def _rate(self, account: _Account, now: float) -> float:
        """Return the tokens a second lately reserved, also before a mean could settle."""
        if account.rate_at == float("-inf"):
            return 0.0
        age_s = max(0.0, now - account.rate_at)
        known_s = max(LEAST_KNOWN_S, now - account.rate_since)
        seen = 1 - math.exp(-known_s / RATE_KEPT_S)
        return account.rate * math.exp(-age_s / RATE_KEPT_S) / seen
