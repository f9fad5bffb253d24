"""A holder's slices, reservations, transfers and settlements, without I/O.

The controller and the benchmarks use the same class. A holder writes one settlement at a time and
writes it again until the ledger state includes it, so a lost answer of the log needs no other
handling.
"""

from __future__ import annotations

from typing import NamedTuple

from mulberrycleat.budget.draft import SettleDraft
from mulberrycleat.budget.ledger import Ledger
from mulberrycleat.budget.records import Bill, Settle, Transfer
from mulberrycleat.budget.seen import SeenNumbers
from mulberrycleat.budget.slices import Slice

__all__ = ["Reservation", "SliceManager"]

HEADROOM_DIVISOR = 8
HEADROOM_REQUESTS = 3


class Reservation(NamedTuple):
    """Tokens reserved for one request.

    Attributes
    ----------
    number : int
        Number of the reservation, counted by the holder from 1.
    """

    request: str
    budget: str
    tokens: int
    number: int
    router: str = ""
    pool: str = ""


class SliceManager:
    """The slices of one holder.

    Parameters
    ----------
    holder : str
        Name of the holder, ``host/incarnation``.
    zone : str
        Its availability zone.
    ledger : Ledger
        The ledger state as this host has read it; call :meth:`refresh` after each change.

    Examples
    --------
    >>> from mulberrycleat.budget import Join, TopUp
    >>> ledger = Ledger()
    >>> for record in (TopUp("t1", "huts", 100), Join("a1/7f", "east")):
    ...     ledger.apply(record)
    >>> manager = SliceManager("a1/7f", "east", ledger)
    >>> manager.claim("huts", 60)
    >>> ledger.apply(manager.next_record())
    >>> manager.refresh()
    >>> manager.reserve("r1", "huts", 40).number
    1
    >>> manager.settle("r1", 25)
    True
    >>> manager.free("huts")
    35
    """

    def __init__(self, holder: str, zone: str, ledger: Ledger) -> None:
        self._holder = holder
        self._zone = zone
        self._ledger = ledger
        self._slices: dict[str, Slice] = {}
        self._reservations: dict[str, Reservation] = {}
        self._last_reservation_number = 0
        self._transfers_sent: dict[str, int] = {}
        self._transfers_seen: dict[str, SeenNumbers] = {}
        self._draft = SettleDraft()
        self._unconfirmed: Settle | None = None
        self._next_seq = 1
        self._acked_fences: set[str] = set()
        self._confirmed_limits: dict[str, int] = {}
        self._peer_limits: dict[str, dict[str, int]] = {}
        self._finishing = False

    @property
    def holder(self) -> str:
        """Name of the holder."""
        return self._holder

    @property
    def zone(self) -> str:
        """Availability zone of the holder."""
        return self._zone

    @property
    def ledger(self) -> Ledger:
        """The ledger state as this host has read it."""
        return self._ledger

    @property
    def slices(self) -> dict[str, Slice]:
        """Slices by budget; they do not include the tokens that the ledger granted to claims."""
        return self._slices

    @property
    def reservations(self) -> dict[str, Reservation]:
        """Reservations of the requests in flight, by request."""
        return self._reservations

    @property
    def open(self) -> bool:
        """Whether this holder may spend: open in the ledger as read so far, not shutting down."""
        return self._ledger.is_open(self._holder) and not self._finishing

    @property
    def ended(self) -> bool:
        """Whether this holder shut down and the ledger has closed its account."""
        return self._finishing and self._holder not in self._ledger.holders

    @property
    def is_allocation_pending(self) -> bool:
        """Whether the ledger state does not yet include a claim or return of this holder."""
        unconfirmed = self._unconfirmed
        is_unconfirmed = unconfirmed is not None and bool(
            unconfirmed.claims or unconfirmed.returned
        )
        return is_unconfirmed or bool(self._draft.claims or self._draft.returned)

    def set_ledger(self, ledger: Ledger) -> None:
        """Continue with another :class:`Ledger` that was built from the same stream."""
        self._ledger = ledger
        self.refresh()

    def free(self, budget: str) -> int:
        """Return the tokens that can be reserved, sent or returned; 0 unless the holder is open."""
        if not self.open:
            return 0
        claimed = self._ledger.share(self._holder, budget).claimed
        return self._slice(budget).free(claimed)

    def reserved(self, budget: str) -> int:
        """Return the tokens reserved for requests in flight."""
        return self._slice(budget).reserved

    def has_waiting_claim(self, budget: str) -> bool:
        """Return whether a claim for waiting requests is still unconfirmed."""
        unconfirmed = self._unconfirmed.wants if self._unconfirmed else {}
        return budget in self._draft.wants or budget in unconfirmed

    def headroom(self, budget: str) -> int:
        """Return the tokens that may still be reserved within this holder's spending limit."""
        return max(0, self._limit(budget) - self._used(budget))

    def can_reserve(self, budget: str, tokens: int) -> bool:
        """Return whether `tokens` are free and within the spending limit."""
        return min(self.free(budget), self.headroom(budget)) >= tokens

    def limit_for(self, budget: str, tokens: int) -> int | None:
        """Return the spending limit to request from a peer so that `tokens` can be reserved.

        Returns None when a higher limit is not needed or would not help: the present limit allows
        the reservation, or too few tokens are free. The limit includes a margin of
        1 / ``HEADROOM_DIVISOR`` of the other free tokens, at most ``HEADROOM_REQUESTS * tokens``.
        """
        free = self.free(budget)
        if free < tokens or self.headroom(budget) >= tokens:
            return None
        extra = min((free - tokens) // HEADROOM_DIVISOR, HEADROOM_REQUESTS * tokens)
        return self._used(budget) + tokens + extra

    def raise_limit(self, peer: str, budget: str, limit: int) -> None:
        """Raise the spending limit to `limit`, which `peer` has recorded."""
        if self.open and self._is_peer(peer):
            self._confirmed_limits[budget] = max(limit, self._confirmed_limits.get(budget, 0))

    def record_limit(self, budget: str) -> None:
        """Raise the limit to cover all free tokens with the next settlement.

        Used when no peer has recorded a limit that is high enough.
        """
        self._draft.limits[budget] = self._used(budget) + self.free(budget)

    def record_peer_limit(self, peer: str, budget: str, limit: int) -> bool:
        """Record a peer's spending limit; return False when the limit can't be raised any more.

        The limit can't be raised when this holder may not spend, or when `peer` is not an open
        holder of the zone.
        """
        if not self.open or not self._is_peer(peer):
            return False
        limits = self._peer_limits.setdefault(peer, {})
        limits[budget] = max(limit, limits.get(budget, 0))
        return True

    def reserve(
        self, request: str, budget: str, tokens: int, router: str = "", pool: str = ""
    ) -> Reservation | None:
        """Reserve tokens for a request; return None when too few are free or the limit is reached.

        Idempotent: a repeated call for a request in flight returns its reservation.
        """
        if found := self._reservations.get(request):
            return found
        if not self.can_reserve(budget, tokens):
            return None
        self._last_reservation_number += 1
        found = Reservation(request, budget, tokens, self._last_reservation_number, router, pool)
        self._reservations[request] = found
        self._slices[budget] = self._slice(budget).set_aside(tokens)
        return found

    def settle(self, request: str, cost: int) -> bool:
        """End a reservation and bill `cost` tokens; return False when it had already ended.

        Raises
        ------
        ValueError
            When the cost exceeds the reservation.
        """
        found = self._reservations.get(request)
        if found is None:
            return False
        if cost > found.tokens:
            raise ValueError(
                f"cost {cost} of {request} exceeds its reservation of {found.tokens} tokens"
            )
        del self._reservations[request]
        self._slices[found.budget] = self._slice(found.budget).settle(found.tokens, cost)
        if cost:
            self._draft.bills.append(Bill(request, found.budget, cost, found.number))
        return True

    def count_demand(self, budget: str, tokens: int) -> None:
        """Add the tokens that one request asked for to the demand of a budget."""
        self._draft.asked[budget] += tokens

    def count_refusal(self, budget: str, code: str) -> None:
        """Count a refused request."""
        self._draft.refused[budget][code] += 1

    def claim(self, budget: str, tokens: int) -> None:
        """Claim up to `tokens` of the available tokens with the next settlement.

        Repeated calls before that settlement claim the largest number, not the sum.
        """
        self._draft.claims[budget] = max(tokens, self._draft.claims.get(budget, 0))

    def claim_for_waiting(self, budget: str, tokens: int) -> None:
        """Claim the tokens that waiting requests lack, with the next settlement.

        If fewer tokens are available, the ledger records the shortfall and other zones return
        tokens to cover it.
        """
        self._draft.wants[budget] = max(tokens, self._draft.wants.get(budget, 0))

    def return_tokens(self, budget: str, tokens: int) -> None:
        """Return free tokens to the ledger with the next settlement."""
        tokens = min(tokens, self.free(budget))
        if tokens > 0:
            self._slices[budget] = self._slice(budget).move(-tokens)
            self._draft.returned[budget] += tokens

    def send(self, receiver: str, budget: str, tokens: int) -> Transfer | None:
        """Remove up to `tokens` free tokens from the slice; return their transfer to `receiver`.

        The tokens never come back to this slice, even when the answer of the receiver is lost.
        Returns None when no tokens are free or the receiver is not an open holder of the zone.
        """
        tokens = min(tokens, self.free(budget))
        if tokens <= 0 or not self._is_peer(receiver):
            return None
        number = self._transfers_sent[receiver] = self._transfers_sent.get(receiver, 0) + 1
        self._slices[budget] = self._slice(budget).move(-tokens)
        transfer = Transfer(self._holder, receiver, number, budget, tokens)
        self._draft.transfers.append(transfer)
        return transfer

    def receive(self, transfer: Transfer) -> bool:
        """Accept a transfer from a peer; return whether its tokens were added to the slice.

        A duplicate is not added again. A transfer that is not accepted here is received later,
        from the ledger stream.
        """
        if not self.open or not self._is_peer(transfer.sender):
            return False
        return self._accept_transfer(transfer)

    def refresh(self) -> None:
        """Apply the present ledger state: settlements, transfers and fences that it includes."""
        if self._unconfirmed and self._ledger.settled(self._holder) >= self._unconfirmed.seq:
            self._unconfirmed = None
        if not self.open:
            return
        for pending in self._ledger.pending:
            transfer = pending.transfer
            if transfer.receiver == self._holder and pending.by == transfer.sender:
                self._accept_transfer(transfer)
        self._ack_fences()
        self._discard_closed_peers()

    def start_shutdown(self) -> None:
        """Return all free tokens and stop reserving; the account closes after the last request."""
        if self.open:
            for budget in self._ledger.budgets:
                self.return_tokens(budget, self.free(budget))
        self._finishing = True

    def is_confirmed(self, record: Settle) -> bool:
        """Return whether the ledger includes a settlement, or never will.

        It never will once this holder is fenced or closed.
        """
        seen = self._ledger.settled(self._holder) >= record.seq
        return seen or not self._ledger.is_open(self._holder)

    def next_record(self) -> Settle | None:
        """Return the settlement to write or to write again, or None when there is none."""
        if not self._ledger.is_open(self._holder):
            return None
        if self._unconfirmed is None:
            self._draft_limits()
            final = self._finishing and not self._reservations
            if final:
                self._draft.guarded = self._peer_limits
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
        return max(recorded, self._confirmed_limits.get(budget, 0))

    def _draft_limits(self) -> None:
        """Add spending limits to the draft.

        Limits are recorded together with acknowledgements of fences, and in every settlement that
        needs a higher limit when there is no peer to request it from.
        """
        if self._draft.acks:
            self._draft.limits.update(self._confirmed_limits)
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
        return min(numbers, default=self._last_reservation_number + 1)

    def _is_peer(self, other: str) -> bool:
        state = self._ledger.holders.get(other)
        is_open = state is not None and not state.fenced
        return is_open and state.zone == self._zone and other != self._holder

    def _accept_transfer(self, transfer: Transfer) -> bool:
        seen = self._transfers_seen.setdefault(transfer.sender, SeenNumbers())
        if not seen.add(transfer.number):
            return False
        self._slices[transfer.budget] = self._slice(transfer.budget).move(transfer.tokens)
        self._draft.transfers.append(transfer)
        return True

    def _ack_fences(self) -> None:
        for name, state in self._ledger.holders.items():
            if state.fenced and state.zone == self._zone and name not in self._acked_fences:
                self._acked_fences.add(name)
                self._draft.acks.append(name)
                if name in self._peer_limits:
                    self._draft.guarded[name] = self._peer_limits[name]

    def _discard_closed_peers(self) -> None:
        if not (
            self._transfers_seen or self._acked_fences or self._transfers_sent or self._peer_limits
        ):
            return
        known = set(self._ledger.holders)
        known |= {pending.transfer.sender for pending in self._ledger.pending}
        self._acked_fences &= known
        for by_peer in (self._transfers_seen, self._transfers_sent, self._peer_limits):
            for name in [name for name in by_peer if name not in known]:
                del by_peer[name]
