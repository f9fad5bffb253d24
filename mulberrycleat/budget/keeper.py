"""A holder's slices, reservations, transfers and settlements, free of I/O.

The controller and the measurements drive the same class. A holder writes one settlement at a time
and writes it again until the fold shows it, so that a lost answer needs no other care.
"""

from __future__ import annotations

from typing import NamedTuple

from mulberrycleat.budget.draft import SettleDraft
from mulberrycleat.budget.ledger import Ledger
from mulberrycleat.budget.records import Bill, Settle, Transfer
from mulberrycleat.budget.seen import SeenNumbers
from mulberrycleat.budget.slices import Slice

__all__ = ["Reservation", "SliceKeeper"]

HEADROOM_PART = 8
HEADROOM_REQUESTS = 3


class Reservation(NamedTuple):
    """Tokens set aside for one request."""

    request: str
    budget: str
    tokens: int
    number: int
    router: str = ""
    pool: str = ""


class SliceKeeper:
    """The slices of one holder.

    Parameters
    ----------
    holder : str
        Name of the holder.
    zone : str
        Its availability zone.
    ledger : Ledger
        The fold as this host knows it; :meth:`refresh` is to be called after each change of it.

    Examples
    --------
    >>> from mulberrycleat.budget import Join, TopUp
    >>> ledger = Ledger()
    >>> for record in (TopUp("t1", "huts", 100), Join("a1/7f", "east")):
    ...     ledger.apply(record)
    >>> keeper = SliceKeeper("a1/7f", "east", ledger)
    >>> keeper.claim("huts", 60)
    >>> ledger.apply(keeper.next_record())
    >>> keeper.refresh()
    >>> keeper.reserve("r1", "huts", 40).number
    1
    >>> keeper.settle("r1", 25)
    True
    >>> keeper.free("huts")
    35
    """

    def __init__(self, holder: str, zone: str, ledger: Ledger) -> None:
        self._holder = holder
        self._zone = zone
        self._ledger = ledger
        self._slices: dict[str, Slice] = {}
        self._reservations: dict[str, Reservation] = {}
        self._last_number = 0
        self._sent: dict[str, int] = {}
        self._seen: dict[str, SeenNumbers] = {}
        self._draft = SettleDraft()
        self._unconfirmed: Settle | None = None
        self._next_seq = 1
        self._acked: set[str] = set()
        self._limits: dict[str, int] = {}
        self._guarded: dict[str, dict[str, int]] = {}
        self._finishing = False

    @property
    def holder(self) -> str:
        """Name of the holder."""
        return self._holder

    @property
    def zone(self) -> str:
        """Its availability zone."""
        return self._zone

    @property
    def ledger(self) -> Ledger:
        """The fold as this host knows it."""
        return self._ledger

    @property
    def slices(self) -> dict[str, Slice]:
        """Slices by budget, without what claims were granted."""
        return self._slices

    @property
    def reservations(self) -> dict[str, Reservation]:
        """Reservations of the requests in flight, by request."""
        return self._reservations

    @property
    def open(self) -> bool:
        """Whether this holder may spend, as far as it knows."""
        return self._ledger.is_open(self._holder) and not self._finishing

    @property
    def ended(self) -> bool:
        """Whether this holder stopped and the fold has closed its account."""
        return self._finishing and self._holder not in self._ledger.holders

    @property
    def is_dealing(self) -> bool:
        """Whether a claim or a return is on its way, so that the fold does not show it yet."""
        unconfirmed = self._unconfirmed
        on_its_way = unconfirmed is not None and bool(unconfirmed.claims or unconfirmed.returned)
        return on_its_way or bool(self._draft.claims or self._draft.returned)

    def use(self, ledger: Ledger) -> None:
        """Go on with another fold of the same stream."""
        self._ledger = ledger
        self.refresh()

    def free(self, budget: str) -> int:
        """Return the tokens that can be reserved, sent or returned."""
        if not self.open:
            return 0
        claimed = self._ledger.share(self._holder, budget).claimed
        return self._slice(budget).free(claimed)

    def reserved(self, budget: str) -> int:
        """Return the tokens set aside for requests in flight."""
        return self._slice(budget).reserved

    def is_wanting(self, budget: str) -> bool:
        """Return whether a claim for waiting requests is on its way."""
        unconfirmed = self._unconfirmed.wants if self._unconfirmed else {}
        return budget in self._draft.wants or budget in unconfirmed

    def headroom(self, budget: str) -> int:
        """Return the tokens that may be reserved below the limit of this holder's spending."""
        return max(0, self._limit(budget) - self._used(budget))

    def can_reserve(self, budget: str, tokens: int) -> bool:
        """Return whether a request of `tokens` can be served."""
        return min(self.free(budget), self.headroom(budget)) >= tokens

    def limit_for(self, budget: str, tokens: int) -> int | None:
        """Return the limit to ask a peer for, so that `tokens` can be reserved; None if none is."""
        free = self.free(budget)
        if free < tokens or self.headroom(budget) >= tokens:
            return None
        ahead = min((free - tokens) // HEADROOM_PART, HEADROOM_REQUESTS * tokens)
        return self._used(budget) + tokens + ahead

    def raise_limit(self, peer: str, budget: str, limit: int) -> None:
        """Spend up to `limit` from now on, which `peer` has taken in."""
        if self.open and self._is_peer(peer):
            self._limits[budget] = max(limit, self._limits.get(budget, 0))

    def record_limit(self, budget: str) -> None:
        """Raise the limit to all that is free by the next settlement, where no peer answers."""
        self._draft.limits[budget] = self._used(budget) + self.free(budget)

    def guard(self, peer: str, budget: str, limit: int) -> bool:
        """Take in the limit of a peer; return False when it may not rise any more."""
        if not self.open or not self._is_peer(peer):
            return False
        limits = self._guarded.setdefault(peer, {})
        limits[budget] = max(limit, limits.get(budget, 0))
        return True

    def reserve(
        self, request: str, budget: str, tokens: int, router: str = "", pool: str = ""
    ) -> Reservation | None:
        """Set tokens aside for a request; return None when they are not free. Idempotent."""
        if found := self._reservations.get(request):
            return found
        if not self.can_reserve(budget, tokens):
            return None
        self._last_number += 1
        found = Reservation(request, budget, tokens, self._last_number, router, pool)
        self._reservations[request] = found
        self._slices[budget] = self._slice(budget).set_aside(tokens)
        return found

    def settle(self, request: str, cost: int) -> bool:
        """End a reservation and bill `cost`; return False when it has ended before.

        Raises
        ------
        ValueError
            When the cost is above the reservation.
        """
        found = self._reservations.get(request)
        if found is None:
            return False
        if cost > found.tokens:
            raise ValueError(f"cost {cost} of {request} is above its reservation {found.tokens}")
        del self._reservations[request]
        self._slices[found.budget] = self._slice(found.budget).settle(found.tokens, cost)
        if cost:
            self._draft.bills.append(Bill(request, found.budget, cost, found.number))
        return True

    def note_asked(self, budget: str, tokens: int) -> None:
        """Count the demand of one request."""
        self._draft.asked[budget] += tokens

    def note_refused(self, budget: str, code: str) -> None:
        """Count a refused request."""
        self._draft.refused[budget][code] += 1

    def claim(self, budget: str, tokens: int) -> None:
        """Ask the ledger for a part of what is available, with the next settlement."""
        self._draft.claims[budget] = max(tokens, self._draft.claims.get(budget, 0))

    def want(self, budget: str, tokens: int) -> None:
        """Ask for what waiting requests lack; other zones return tokens for it if need be."""
        self._draft.wants[budget] = max(tokens, self._draft.wants.get(budget, 0))

    def give_back(self, budget: str, tokens: int) -> None:
        """Return free tokens to the ledger with the next settlement."""
        tokens = min(tokens, self.free(budget))
        if tokens > 0:
            self._slices[budget] = self._slice(budget).move(-tokens)
            self._draft.returned[budget] += tokens

    def send(self, receiver: str, budget: str, tokens: int) -> Transfer | None:
        """Take free tokens out for another holder of the zone; they have left for good."""
        tokens = min(tokens, self.free(budget))
        if tokens <= 0 or not self._is_peer(receiver):
            return None
        number = self._sent[receiver] = self._sent.get(receiver, 0) + 1
        self._slices[budget] = self._slice(budget).move(-tokens)
        transfer = Transfer(self._holder, receiver, number, budget, tokens)
        self._draft.transfers.append(transfer)
        return transfer

    def receive(self, transfer: Transfer) -> bool:
        """Take in a peer's transfer; one that is not taken comes again by the log."""
        if not self.open or not self._is_peer(transfer.sender):
            return False
        return self._take(transfer)

    def refresh(self) -> None:
        """Take in what the fold shows now."""
        if self._unconfirmed and self._ledger.settled(self._holder) >= self._unconfirmed.seq:
            self._unconfirmed = None
        if not self.open:
            return
        for pending in self._ledger.pending:
            transfer = pending.transfer
            if transfer.receiver == self._holder and pending.by == transfer.sender:
                self._take(transfer)
        self._ack_fences()
        self._forget_closed()

    def finish(self) -> None:
        """Return what is free and stop reserving; the account is closed after the last request."""
        if self.open:
            for budget in self._ledger.budgets:
                self.give_back(budget, self.free(budget))
        self._finishing = True

    def is_confirmed(self, record: Settle) -> bool:
        """Return whether the fold shows a settlement of this holder, or never will."""
        seen = self._ledger.settled(self._holder) >= record.seq
        return seen or not self._ledger.is_open(self._holder)

    def next_record(self) -> Settle | None:
        """Return the settlement to be written (again), or None when there is nothing to tell."""
        if not self._ledger.is_open(self._holder):
            return None
        if self._unconfirmed is None:
            self._draft_limits()
            final = self._finishing and not self._reservations
            if final:
                self._draft.guarded = self._guarded
            if self._draft.empty and not final:
                return None
            self._unconfirmed = self._draft.record(
                self._holder, self._next_seq, self._floor(), final
            )
            self._next_seq += 1
            self._draft = SettleDraft()
        return self._unconfirmed

    def _used(self, budget: str) -> int:
        return self._slice(budget).spent + self._slice(budget).reserved

    def _limit(self, budget: str) -> int:
        state = self._ledger.holders.get(self._holder)
        recorded = state.limits.get(budget, 0) if state else 0
        return max(recorded, self._limits.get(budget, 0))

    def _draft_limits(self) -> None:
        """Record the limits with acknowledgements, and always where there is no peer to ask."""
        if self._draft.acks:
            self._draft.limits.update(self._limits)
        if self._finishing or any(self._is_peer(name) for name in self._ledger.holders):
            return
        for budget in self._ledger.budgets:
            asked = self._draft.claims.get(budget, 0) + self._draft.wants.get(budget, 0)
            spendable = self.free(budget) + asked
            if spendable > self.headroom(budget):
                self._draft.limits[budget] = self._used(budget) + spendable

    def _slice(self, budget: str) -> Slice:
        return self._slices.get(budget) or Slice()

    def _floor(self) -> int:
        numbers = [reservation.number for reservation in self._reservations.values()]
        return min(numbers, default=self._last_number + 1)

    def _is_peer(self, other: str) -> bool:
        state = self._ledger.holders.get(other)
        is_open = state is not None and not state.fenced
        return is_open and state.zone == self._zone and other != self._holder

    def _take(self, transfer: Transfer) -> bool:
        seen = self._seen.setdefault(transfer.sender, SeenNumbers())
        if not seen.add(transfer.number):
            return False
        self._slices[transfer.budget] = self._slice(transfer.budget).move(transfer.tokens)
        self._draft.transfers.append(transfer)
        return True

    def _ack_fences(self) -> None:
        for name, state in self._ledger.holders.items():
            if state.fenced and state.zone == self._zone and name not in self._acked:
                self._acked.add(name)
                self._draft.acks.append(name)
                if name in self._guarded:
                    self._draft.guarded[name] = self._guarded[name]

    def _forget_closed(self) -> None:
        if not (self._seen or self._acked or self._sent or self._guarded):
            return
        known = set(self._ledger.holders)
        known |= {pending.transfer.sender for pending in self._ledger.pending}
        self._acked &= known
        for names in (self._seen, self._sent, self._guarded):
            for name in [name for name in names if name not in known]:
                del names[name]
