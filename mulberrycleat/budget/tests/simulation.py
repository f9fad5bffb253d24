"""Simulation for tests of the slice protocol: hosts, the log, and an endpoint."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from mulberrycleat.budget import (
    Bill,
    Confirm,
    Fence,
    Join,
    Ledger,
    LedgerRecord,
    SliceManager,
    TopUp,
    Transfer,
)

__all__ = ["BUDGET", "Host", "Simulation"]

BUDGET = "huts"
ENDPOINT = "e1"


@dataclass
class Host:
    """One holder with its own ledger, built from the records that it has read.

    Attributes
    ----------
    read : int
        Number of records of the log that it has read.
    lost : list of Transfer
        Transfers to this host that did not arrive; :meth:`Simulation.deliver_late` delivers them.
    """

    manager: SliceManager
    read: int = 0
    alive: bool = True
    frozen: bool = False
    lost: list[Transfer] = field(default_factory=list)


class Simulation:
    """Simulated hosts, log and endpoint, driven by tests.

    Tokens spent by the endpoint are counted at once, independently of the ledger.

    Parameters
    ----------
    zones : tuple of str
        Zone of each host.
    prepaid : int
        Tokens of the first top-up.
    """

    def __init__(self, zones: tuple[str, ...], prepaid: int) -> None:
        self.log: list[LedgerRecord] = [TopUp("t0", BUDGET, prepaid)]
        self.fold = Ledger()
        self.folded = 0
        self.hosts: list[Host] = []
        self.spent = 0
        self.fenced: set[str] = set()
        self.work: dict[str, dict[int, Bill]] = {}
        self.requests = 0
        for zone in zones:
            self.start(zone)

    @property
    def prepaid(self) -> int:
        """Prepaid tokens: the sum of the top-ups in the log, each id counted once."""
        paid = {one.id: one.tokens for one in self.log if isinstance(one, TopUp)}
        return sum(paid.values())

    def start(self, zone: str) -> None:
        """Start a host that reads the whole log and joins."""
        name = f"h{len(self.hosts)}/1"
        host = Host(SliceManager(name, zone, Ledger()))
        self.hosts.append(host)
        self.log.append(Join(name, zone))
        self.read(host)

    def is_running(self, host: Host) -> bool:
        """Return whether a host is alive and not frozen."""
        return host.alive and not host.frozen

    def read(self, host: Host, records: int = 1_000_000) -> None:
        """Let a host read up to `records` more records."""
        new = self.log[host.read : host.read + records]
        for record in new:
            host.manager.ledger.apply(record)
            host.manager.refresh()
        host.read += len(new)

    def write(self, host: Host) -> None:
        """Let a host write its settlement, or write it again."""
        if record := host.manager.next_record():
            self.log.append(record)

    def request_limit(self, host: Host, peer: Host, tokens: int, arrives: bool) -> None:
        """Let a host request a higher spending limit from a peer; the reply may be lost."""
        limit = host.manager.limit_for(BUDGET, tokens)
        if limit is not None and self.is_running(peer):
            taken_in = peer.manager.record_peer_limit(host.manager.holder, BUDGET, limit)
            if taken_in and arrives:
                host.manager.raise_limit(peer.manager.holder, BUDGET, limit)

    def run_request(self, host: Host, bound: int, cost: int) -> bool:
        """Reserve and dispatch a request; the endpoint spends `cost` or refuses the holder."""
        self.requests += 1
        request = f"r{self.requests}"
        found = host.manager.reserve(request, BUDGET, bound)
        if found is None:
            return False
        holder = host.manager.holder
        if holder in self.fenced:
            host.manager.settle(request, 0)
            return False
        self.work.setdefault(holder, {})[found.number] = Bill(request, BUDGET, cost, found.number)
        self.spent += cost
        return True

    def settle(self, host: Host) -> None:
        """End the oldest request of a host."""
        open_requests = host.manager.reservations.values()
        if found := next(iter(open_requests), None):
            done = self.work.get(host.manager.holder, {}).get(found.number)
            host.manager.settle(found.request, done.tokens if done else 0)

    def transfer(self, sender: Host, receiver: Host, tokens: int, arrives: bool) -> None:
        """Send tokens to a peer; the transfer may be lost or delivered late."""
        sent = sender.manager.send(receiver.manager.holder, BUDGET, tokens)
        if sent and arrives and self.is_running(receiver):
            receiver.manager.receive(sent)
        elif sent:
            receiver.lost.append(sent)

    def deliver_late(self, receiver: Host) -> None:
        """Deliver a transfer after its sender has stopped waiting for the reply."""
        if receiver.lost:
            receiver.manager.receive(receiver.lost.pop(0))

    def fence(self, host: Host) -> None:
        """Declare a holder dead, whether or not it is."""
        self.log.append(Fence(host.manager.holder, (ENDPOINT,)))

    def confirm(self, host: Host) -> None:
        """Let the endpoint refuse a fenced holder and report the work done for it."""
        holder = host.manager.holder
        if Fence(holder, (ENDPOINT,)) in self.log:
            self.fenced.add(holder)
            bills = tuple(self.work.get(holder, {}).values())
            self.log.append(Confirm(holder, ENDPOINT, bills))

    def quiesce(self) -> None:
        """Unfreeze all hosts, fence dead ones, end all requests, and let hosts read and write."""
        for host in self.hosts:
            host.frozen = False
            if not host.alive:
                self.fence(host)
            self.confirm(host)
        for _ in range(4):
            for host in self.hosts:
                if host.alive:
                    while host.manager.reservations:
                        self.settle(host)
                    self.read(host)
                    self.write(host)
        for host in self.hosts:
            self.read(host)
        self.fold_all()

    def fold_all(self) -> Ledger:
        """Return the ledger built from the whole log."""
        for record in self.log[self.folded :]:
            self.fold.apply(record)
        self.folded = len(self.log)
        return self.fold

    def check(self) -> None:
        """Check the invariant that holds in every state: no overspending."""
        assert self.spent <= self.prepaid, f"{self.spent} spent of {self.prepaid}"

    def check_final_state(self) -> None:
        """Check the invariants that hold after :meth:`quiesce`."""
        self.check()
        budget = self.fold.budgets[BUDGET]
        assert budget.spent == self.spent, f"billed {budget.spent}, spent {self.spent}"
        assert budget.available >= 0
        held = Counter()
        for host in self.hosts:
            if self.fold.is_open(host.manager.holder):
                held[host.manager.holder] += host.manager.free(BUDGET)
        shares = {name: share.held for name, share in budget.shares.items() if share.held}
        assert shares == {name: tokens for name, tokens in held.items() if tokens}
