"""Fold of the ledger stream: prepaid tokens, their holders, and the tokens spent."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec.structs import replace

from mulberrycleat.budget.accounts import (
    BudgetState,
    HolderState,
    LedgerState,
    PendingTransfer,
    Share,
    ZoneTotals,
)
from mulberrycleat.budget.closing import closable, is_bounded
from mulberrycleat.budget.records import (
    Bill,
    Checkpoint,
    Confirm,
    Fence,
    Join,
    LedgerRecord,
    Release,
    Settle,
    TopUp,
    Transfer,
)

__all__ = ["Ledger"]

# Stands for the endpoints of a holder that was released without a fence. They stay unconfirmed, so
# that closing the holder bills the tokens that the operator stated as spent.
UNKNOWN_ENDPOINTS = frozenset({"?"})
TOP_UP_RETENTION_S = 90 * 86400.0
MAX_CLOSED_HOLDERS = 1000


class Ledger:
    """State of all budgets at one offset of the ledger stream.

    Examples
    --------
    >>> ledger = Ledger()
    >>> for record in (TopUp("t1", "huts", 100), Join("a1/7f", "east")):
    ...     ledger.apply(record)
    >>> for _ in range(2):
    ...     ledger.apply(Settle("a1/7f", 1, claims={"huts": 60}))
    >>> ledger.share("a1/7f", "huts").held, ledger.budgets["huts"].available
    (60, 40)
    """

    def __init__(self, state: LedgerState | None = None) -> None:
        self._state = state or LedgerState()

    @property
    def budgets(self) -> dict[str, BudgetState]:
        """Budgets by name."""
        return self._state.budgets

    @property
    def holders(self) -> dict[str, HolderState]:
        """Holders that are not closed, by name."""
        return self._state.holders

    @property
    def pending(self) -> list[PendingTransfer]:
        """Transfers that only one of the two sides has recorded so far."""
        return self._state.pending

    @classmethod
    def from_checkpoint(cls, record: Checkpoint) -> Ledger:
        """Return the ledger that a checkpoint stores."""
        return cls(msgspec.msgpack.decode(record.state, type=LedgerState))

    def checkpoint(self, as_of: int) -> Checkpoint:
        """Return a record of this state; `as_of` is the offset of the next record to apply."""
        return Checkpoint(as_of, msgspec.msgpack.encode(self._state))

    def is_open(self, holder: str) -> bool:
        """Return whether a holder has joined and is neither fenced nor closed."""
        state = self.holders.get(holder)
        return state is not None and not state.fenced

    def was_closed(self, holder: str) -> bool:
        """Return whether a holder is among the last `MAX_CLOSED_HOLDERS` that were closed."""
        return holder in self._state.closed

    def share(self, holder: str, budget: str) -> Share:
        """Return a holder's share of a budget."""
        return self._budget(budget).shares.get(holder) or Share()

    def settled(self, holder: str) -> int:
        """Return the sequence number of a holder's last settlement, or 0 if there is none."""
        state = self.holders.get(holder)
        return state.seq if state else 0

    def has_top_up(self, top_up_id: str) -> bool:
        """Return whether a top-up has taken effect; its id is kept for at least 90 days."""
        return top_up_id in self._state.top_ups

    def stranded(self, budget: str, zone: str | None = None) -> int:
        """Return the tokens of a budget held by fenced holders of one zone, or of all zones."""
        shares = self._budget(budget).shares
        gone = [name for name in shares if self._is_fenced_in(name, zone)]
        return sum(shares[name].held for name in gone)

    def apply(self, record: LedgerRecord, at: float = 0.0) -> None:
        """Apply the next record of the stream, recorded at `at` (Unix seconds).

        Duplicates and settlements of holders that are not open are ignored.
        """
        match record:
            case TopUp():
                self._top_up(record, at)
            case Join() if not self._is_known(record.holder):
                self.holders[record.holder] = HolderState(record.zone)
            case Settle() if self.is_open(record.holder):
                if record.seq == self.settled(record.holder) + 1:
                    self._settle(record)
            case Fence() if record.endpoints and self.is_open(record.holder):
                endpoints = frozenset(record.endpoints)
                self._update_holder(record.holder, fenced=True, unconfirmed=endpoints)
            case Confirm() if record.holder in self.holders:
                self._confirm(record)
            case Release() if record.holder in self.holders:
                self._release(record)
        self._free_tokens_of_fenced_holders()

    def _is_known(self, holder: str) -> bool:
        return holder in self.holders or self.was_closed(holder)

    def _is_fenced_in(self, holder: str, zone: str | None) -> bool:
        state = self.holders.get(holder)
        return state is not None and state.fenced and zone in (None, state.zone)

    def _top_up(self, record: TopUp, at: float) -> None:
        known = self._state.top_ups
        if record.id in known or record.tokens <= 0:
            return
        for top_up_id in _ids_before(known, at - TOP_UP_RETENTION_S):
            del known[top_up_id]
        known[record.id] = at
        budget = self._budget(record.budget)
        self.budgets[record.budget] = replace(budget, prepaid=budget.prepaid + record.tokens)

    def _settle(self, record: Settle) -> None:
        self._apply_bills(record)
        for name, tokens in record.returned.items():
            self._adjust_share(record.holder, name, held=-tokens)
        for transfer in record.transfers:
            self._apply_transfer(transfer, record.holder)
        for name, tokens in record.asked.items():
            self._add_to_totals(record.holder, name, asked=tokens)
        for name, codes in record.refused.items():
            self._add_to_totals(record.holder, name, refused=codes)
        self._raise_limits(record.holder, record.limits)
        for name, limits in record.guarded.items():
            self._raise_limits(name, limits)
        for fenced in record.acks:
            if fenced in self.holders:
                acked = self.holders[fenced].acked | {record.holder}
                self._update_holder(fenced, acked=acked)
        for name, tokens in record.wants.items():
            granted = self._grant(record.holder, name, tokens)
            self._adjust_share(record.holder, name, short=tokens - granted)
        for name, tokens in record.claims.items():
            self._grant(record.holder, name, tokens)
        if record.final:
            self._close((record.holder,))

    def _apply_bills(self, record: Settle) -> None:
        holder = self.holders[record.holder]
        floor = max(holder.floor, record.floor)
        numbers = holder.settled | {bill.number for bill in record.bills}
        settled = frozenset(number for number in numbers if number >= floor)
        self._update_holder(record.holder, seq=record.seq, floor=floor, settled=settled)
        for bill in record.bills:
            self._bill(record.holder, bill)

    def _bill(self, holder: str, bill: Bill) -> None:
        self._adjust_share(holder, bill.budget, held=-bill.tokens, spent=bill.tokens)
        self._add_to_totals(holder, bill.budget, spent=bill.tokens)

    def _grant(self, holder: str, name: str, wanted: int) -> int:
        tokens = max(0, min(wanted, self._budget(name).available))
        if tokens:
            self._adjust_share(holder, name, held=tokens, claimed=tokens)
        return tokens

    def _apply_transfer(self, transfer: Transfer, by: str) -> None:
        for pending in self.pending:
            if pending.transfer == transfer and pending.by != by:
                self.pending.remove(pending)
                return
        for holder, tokens in ((transfer.sender, -transfer.tokens), (transfer.receiver, 0)):
            if holder in self.holders and tokens:
                self._adjust_share(holder, transfer.budget, held=tokens)
        if transfer.receiver in self.holders:
            self._adjust_share(transfer.receiver, transfer.budget, held=transfer.tokens)
        other = transfer.sender if by == transfer.receiver else transfer.receiver
        if other in self.holders:
            self.pending.append(PendingTransfer(transfer, by))

    def _confirm(self, record: Confirm) -> None:
        holder = self.holders[record.holder]
        if record.complete_from > holder.floor or record.endpoint not in holder.unconfirmed:
            return
        found = dict(holder.found)
        for bill in record.bills:
            if bill.number >= holder.floor and bill.number not in holder.settled:
                before = found.get(bill.number)
                tokens = bill.tokens + (before.tokens if before else 0)
                found[bill.number] = replace(bill, tokens=tokens)
        unconfirmed = holder.unconfirmed - {record.endpoint}
        self._update_holder(record.holder, unconfirmed=unconfirmed, found=found)

    def _raise_limits(self, name: str, limits: dict[str, int]) -> None:
        if limits and name in self.holders:
            known = self.holders[name].limits
            raised = {key: max(limit, known.get(key, 0)) for key, limit in limits.items()}
            self._update_holder(name, limits={**known, **raised})

    def _release(self, record: Release) -> None:
        holder = self.holders[record.holder]
        unconfirmed = holder.unconfirmed if holder.fenced else UNKNOWN_ENDPOINTS
        lost = dict(record.spent)
        self._update_holder(record.holder, fenced=True, unconfirmed=unconfirmed, lost=lost)

    def _free_tokens_of_fenced_holders(self) -> None:
        fenced = [name for name, holder in self.holders.items() if holder.fenced]
        if not fenced:
            return
        self._close(tuple(sorted(closable(self.holders))))
        for name in fenced:
            if name in self.holders:
                self._free_above_limits(name)

    def _free_above_limits(self, name: str) -> None:
        """Free the tokens above a fenced holder's spending limits, which it cannot have spent.

        This needs no confirmation by the endpoints.
        """
        if not is_bounded(name, self.holders):
            return
        limits = self.holders[name].limits
        for budget, state in list(self.budgets.items()):
            if share := state.shares.get(name):
                most = max(0, limits.get(budget, 0) - share.spent)
                if share.held > most:
                    self._adjust_share(name, budget, held=most - share.held)

    def _close(self, names: Iterable[str]) -> None:
        for name in names:
            holder = self.holders[name]
            for bill in holder.found.values():
                self._bill(name, bill)
            if holder.unconfirmed:
                self._write_off(name, holder)
        for name in names:
            self._remove_holder(name)

    def _write_off(self, name: str, holder: HolderState) -> None:
        """Bill the tokens stated by an operator, and all tokens held of budgets not named there."""
        for budget, state in list(self.budgets.items()):
            share = state.shares.get(name)
            if share is None or share.held <= 0:
                continue
            tokens = min(share.held, (holder.lost or {}).get(budget, share.held))
            self._bill(name, Bill("", budget, tokens))

    def _remove_holder(self, name: str) -> None:
        for budget, state in list(self.budgets.items()):
            if name in state.shares:
                shares = {key: share for key, share in state.shares.items() if key != name}
                self.budgets[budget] = replace(state, shares=shares)
        kept = [p for p in self.pending if _unrecorded_side(p) != name]
        self._state.pending = kept
        del self.holders[name]
        self._state.closed = [*self._state.closed, name][-MAX_CLOSED_HOLDERS:]

    def _budget(self, name: str) -> BudgetState:
        return self.budgets.get(name) or BudgetState()

    def _update_holder(self, name: str, **changes: object) -> None:
        self.holders[name] = replace(self.holders[name], **changes)

    def _adjust_share(
        self,
        holder: str,
        name: str,
        held: int = 0,
        claimed: int = 0,
        spent: int = 0,
        short: int | None = None,
    ) -> None:
        budget = self._budget(name)
        old = budget.shares.get(holder) or Share()
        new = Share(
            old.held + held,
            old.claimed + claimed,
            old.spent + spent,
            old.short if short is None else short,
        )
        self.budgets[name] = replace(budget, shares={**budget.shares, holder: new})

    def _add_to_totals(
        self,
        holder: str,
        name: str,
        spent: int = 0,
        asked: int = 0,
        refused: dict[str, int] | None = None,
    ) -> None:
        budget = self._budget(name)
        zone = self.holders[holder].zone
        old = budget.zones.get(zone) or ZoneTotals()
        counts = dict(old.refused)
        for code, number in (refused or {}).items():
            counts[code] = counts.get(code, 0) + number
        new = ZoneTotals(old.spent + spent, old.asked + asked, counts)
        self.budgets[name] = replace(budget, zones={**budget.zones, zone: new})


def _ids_before(times: dict[str, float], oldest: float) -> list[str]:
    found = []
    for name, at in times.items():
        if at >= oldest:
            break
        found.append(name)
    return found


def _unrecorded_side(pending: PendingTransfer) -> str:
    """Return the holder that has not recorded a transfer yet."""
    transfer = pending.transfer
    return transfer.sender if pending.by == transfer.receiver else transfer.receiver
