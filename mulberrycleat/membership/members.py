"""The hosts of one zone as one of them sees the others; free of I/O and clocks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import NamedTuple

__all__ = ["Contact", "Heard", "Member", "Members"]

NEVER = float("-inf")
SAMPLE = 3
GOSSIP = 8
SLOW_S = 0.5
SILENT_S = 6.0
DEAD_S = 15.0
FORGET_S = 600.0
REJECTED_S = 60.0
ENDED_KEPT = 1000


class Contact(Enum):
    """How a member stands.

    ``ALIVE`` answers; ``SLOW`` answers late or not always; ``CUT`` is heard of through others but
    does not answer here, or nobody answers here at all; ``DEAD`` refuses connections or is heard
    of by nobody; ``UNKNOWN`` has never been heard of.
    """

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SLOW = "slow"
    CUT = "cut"
    DEAD = "dead"


class Heard(NamedTuple):
    """What one host tells another of a third.

    Attributes
    ----------
    holder : str
        Host and incarnation.
    age_s : float
        Time since it was last heard from, in seconds.
    """

    address: str
    holder: str
    age_s: float
    version: int


@dataclass(frozen=True, slots=True)
class Member:
    """One host.

    Attributes
    ----------
    holder : str
        Host and incarnation; empty until it has been heard of.
    direct_at, heard_at : float
        When it last answered here, and when anyone last heard from it, in seconds.
    asked_at : float
        When it was last asked.
    failures : int
        Exchanges that failed since its last answer.
    refused : bool
        Whether the last exchange ended in a refused connection.
    answer_s : float
        Time that its last answer took, in seconds.
    version : int
        Version of the manifest that it has in force.
    configured, listed, leaving : bool
        Whether the settings name it, the platform's list names it, and calls it leaving.
    named_at : float
        When settings or list last named it, in seconds.
    """

    address: str
    holder: str = ""
    direct_at: float = NEVER
    heard_at: float = NEVER
    asked_at: float = NEVER
    failures: int = 0
    refused: bool = False
    answer_s: float = 0.0
    version: int = 0
    configured: bool = False
    listed: bool = False
    leaving: bool = False
    named_at: float = NEVER

    @property
    def host(self) -> str:
        """Name of the host, without its incarnation."""
        return self.holder.partition("/")[0]


class Members:
    """The other hosts of this zone.

    A host is known because the settings name it, the platform's list names it, another host tells
    of it, or it called. None of these can take a host away that answers; the list only adds hosts
    to be asked and marks those that are leaving.

    Parameters
    ----------
    own_address : str
        Address of this host, which is never a member.
    configured : iterable of str
        Addresses from the settings.

    Examples
    --------
    >>> members = Members("10.0.0.1:7000", ["10.0.0.2:7000"])
    >>> members.answered("10.0.0.2:7000", "a2/7f", 3, 0.01, now=1.0)
    >>> members.contact("10.0.0.2:7000", now=2.0)
    <Contact.ALIVE: 'alive'>
    """

    def __init__(self, own_address: str, configured: Iterable[str]) -> None:
        self._own_address = own_address
        self._members = {
            address: Member(address, configured=True)
            for address in configured
            if address != own_address
        }
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._rejected: dict[str, float] = {}

    @property
    def members(self) -> dict[str, Member]:
        """Members by address."""
        return self._members

    def has_ended(self, holder: str) -> bool:
        """Return whether another incarnation was met at the address of `holder`."""
        return holder in self._ended

    def contact(self, address: str, now: float) -> Contact:
        """Return how a member stands."""
        member = self._members[address]
        if member.heard_at == NEVER:
            return Contact.UNKNOWN
        if now - member.direct_at <= SILENT_S and not member.failures:
            return Contact.SLOW if member.answer_s > SLOW_S else Contact.ALIVE
        if member.refused and member.heard_at <= member.asked_at:
            return Contact.DEAD
        if self._alone(now):
            return Contact.CUT
        if now - member.heard_at > DEAD_S:
            return Contact.DEAD
        if member.failures == 0:
            return Contact.ALIVE
        return Contact.SLOW if now - member.direct_at <= DEAD_S else Contact.CUT

    def usable(self, now: float) -> list[Member]:
        """Return the members that can be given a task: alive or slow, and not leaving."""
        good = (Contact.ALIVE, Contact.SLOW)
        return [
            member
            for address, member in self._members.items()
            if self.contact(address, now) in good and not member.leaving
        ]

    def targets(self, rng: Random) -> list[str]:
        """Return a bounded number of members to ask next, the longest not asked first."""
        order = list(self._members.values())
        rng.shuffle(order)
        order.sort(key=lambda member: member.asked_at)
        return [member.address for member in order[:SAMPLE]]

    def gossip(self, now: float, rng: Random) -> tuple[Heard, ...]:
        """Return what to tell another host: a bounded sample of the members heard from."""
        heard = [m for m in self._members.values() if now - m.heard_at <= DEAD_S]
        chosen = rng.sample(heard, min(GOSSIP, len(heard)))
        return tuple(Heard(m.address, m.holder, now - m.heard_at, m.version) for m in chosen)

    def asked(self, address: str, now: float) -> None:
        """Note that a heartbeat is being sent."""
        self._members.setdefault(address, Member(address))
        self._change(address, asked_at=now)

    def answered(
        self, address: str, holder: str, version: int, answer_s: float, now: float
    ) -> None:
        """Note an answer from the host at `address`, which settles who is there."""
        self._meet(address, holder, now)
        self._change(
            address, direct_at=now, failures=0, refused=False, answer_s=answer_s, version=version
        )

    def called(self, address: str, holder: str, version: int, now: float) -> None:
        """Note a heartbeat received from the host at `address`."""
        if address and address != self._own_address:
            self._meet(address, holder, now)
            self._change(address, version=version)

    def failed(self, address: str, sent: bool) -> None:
        """Note that a heartbeat failed; `sent` is False when the connection was refused."""
        if address not in self._members:
            return
        failures = self._members[address].failures + 1
        self._change(address, failures=failures, refused=not sent)

    def rejected(self, address: str, now: float) -> None:
        """Note that the host at `address` is not of this zone; it is not asked for a while."""
        self._rejected[address] = now + REJECTED_S
        self._members.pop(address, None)

    def told(self, heard: Iterable[Heard], now: float) -> None:
        """Take in what another host tells."""
        for address, holder, age_s, version in heard:
            at = now - max(0.0, age_s)
            known = self._members.get(address, Member(address))
            if (
                address in (self._own_address, *self._rejected)
                or holder in self._ended
                or at <= known.heard_at
            ):
                continue
            self._meet(address, holder, at)
            self._change(address, version=max(version, known.version))

    def listed(self, addresses: Iterable[str], leaving: Iterable[str], now: float) -> None:
        """Take in the platform's list of this zone, which may be stale, empty or wrong."""
        self._rejected = {a: until for a, until in self._rejected.items() if until > now}
        named, going = set(addresses) - {self._own_address, *self._rejected}, set(leaving)
        for address in named:
            self._members.setdefault(address, Member(address))
        for address, member in list(self._members.items()):
            here = address in named
            at = now if here or member.configured else member.named_at
            self._change(address, listed=here, leaving=address in going, named_at=at)
            if not here and not member.configured and now - max(at, member.heard_at) > FORGET_S:
                del self._members[address]

    def _alone(self, now: float) -> bool:
        return all(now - member.direct_at > SILENT_S for member in self._members.values())

    def _meet(self, address: str, holder: str, at: float) -> None:
        known = self._members.setdefault(address, Member(address))
        if known.holder and known.holder != holder:
            self._ended[known.holder] = None
            if len(self._ended) > ENDED_KEPT:
                self._ended.popitem(last=False)
            known = replace(known, version=0, failures=0, refused=False, direct_at=NEVER)
        heard_at = max(at, known.heard_at)
        self._members[address] = replace(known, holder=holder, heard_at=heard_at)

    def _change(self, address: str, **fields: object) -> None:
        self._members[address] = replace(self._members[address], **fields)
