"""One host's view of the other hosts of its zone; free of I/O and clocks."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import NamedTuple

__all__ = ["GossipEntry", "Member", "MemberHealth", "Members"]

NEVER = float("-inf")
HEARTBEAT_TARGETS = 3
GOSSIP_ENTRIES = 8
SLOW_S = 0.5
SILENT_S = 6.0
DEAD_S = 15.0
UNLISTED_RETENTION_S = 600.0
REJECTION_S = 60.0
MAX_ENDED_HOLDERS = 1000


class MemberHealth(Enum):
    """Health of a member as seen by this host.

    ``ALIVE`` answers; ``SLOW`` answers late or misses some heartbeats; ``PARTITIONED``
    does not answer this host while other hosts hear from it, or no member answers this host at all;
    ``DEAD`` refuses connections or no host hears from it; ``UNKNOWN`` has never been heard from.
    """

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SLOW = "slow"
    PARTITIONED = "cut"
    DEAD = "dead"


class GossipEntry(NamedTuple):
    """Gossip entry: what one host reports to another about a third.

    Attributes
    ----------
    address : str
        Address of the third host.
    holder : str
        Its host name and incarnation.
    age_s : float
        Time since it was last heard from, in seconds.
    version : int
        Version of its active manifest.
    """

    address: str
    holder: str
    age_s: float
    version: int


@dataclass(frozen=True, slots=True)
class Member:
    """One host of the zone.

    Attributes
    ----------
    holder : str
        Host name and incarnation; empty until the host has been heard from.
    answered_at, heard_at : float
        Time at which it last answered this host, and at which any host last heard from it, in
        seconds on the clock of the caller's `now`.
    asked_at : float
        Time at which this host last sent it a heartbeat, on the same clock.
    failures : int
        Number of heartbeats to it that failed since its last answer.
    refused : bool
        Whether the last heartbeat to it failed because the connection was refused.
    answer_s : float
        Time that its last answer took, in seconds.
    version : int
        Version of its active manifest.
    configured, listed, leaving : bool
        Whether it is in the settings, whether it is in the platform's list, and whether that list
        marks it as leaving.
    named_at : float
        Time at which it was last in the settings or the list, on the same clock.
    """

    address: str
    holder: str = ""
    answered_at: float = NEVER
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
    """The other hosts of this zone, called members.

    A host becomes a member when it is in the settings or in the platform's list, when another host
    reports it, or when it sends a heartbeat. A host that answers is never removed because one of
    these no longer names it: the list only adds hosts to send heartbeats to, and marks hosts as
    leaving.

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
    <MemberHealth.ALIVE: 'alive'>
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
        """Return whether a different holder was later seen at the address of `holder`."""
        return holder in self._ended

    def contact(self, address: str, now: float) -> MemberHealth:
        """Return the health of the member at `address`."""
        member = self._members[address]
        if member.heard_at == NEVER:
            return MemberHealth.UNKNOWN
        if now - member.answered_at <= SILENT_S and not member.failures:
            return MemberHealth.SLOW if member.answer_s > SLOW_S else MemberHealth.ALIVE
        if member.refused and member.heard_at <= member.asked_at:
            return MemberHealth.DEAD
        if self._is_isolated(now):
            return MemberHealth.PARTITIONED
        if now - member.heard_at > DEAD_S:
            return MemberHealth.DEAD
        if member.failures == 0:
            return MemberHealth.ALIVE
        return MemberHealth.SLOW if now - member.answered_at <= DEAD_S else MemberHealth.PARTITIONED

    def usable(self, now: float) -> list[Member]:
        """Return the members that can be assigned a task: alive or slow, and not leaving."""
        good = (MemberHealth.ALIVE, MemberHealth.SLOW)
        return [
            member
            for address, member in self._members.items()
            if self.contact(address, now) in good and not member.leaving
        ]

    def targets(self, rng: Random) -> list[str]:
        """Return the members to send heartbeats to next, least recently asked first.

        These are at most ``HEARTBEAT_TARGETS`` members, so that the load does not grow with the
        number of hosts.
        """
        order = list(self._members.values())
        rng.shuffle(order)
        order.sort(key=lambda member: member.asked_at)
        return [member.address for member in order[:HEARTBEAT_TARGETS]]

    def gossip(self, now: float, rng: Random) -> tuple[GossipEntry, ...]:
        """Return the gossip for another host.

        This is a random sample of at most ``GOSSIP_ENTRIES`` members heard from in the last
        ``DEAD_S`` seconds.
        """
        heard = [m for m in self._members.values() if now - m.heard_at <= DEAD_S]
        chosen = rng.sample(heard, min(GOSSIP_ENTRIES, len(heard)))
        return tuple(GossipEntry(m.address, m.holder, now - m.heard_at, m.version) for m in chosen)

    def asked(self, address: str, now: float) -> None:
        """Record that a heartbeat is being sent to `address`."""
        self._members.setdefault(address, Member(address))
        self._update(address, asked_at=now)

    def answered(
        self, address: str, holder: str, version: int, answer_s: float, now: float
    ) -> None:
        """Record that the host at `address` answered a heartbeat.

        Parameters
        ----------
        holder : str
            Host name and incarnation in the answer.
        version : int
            Version of its active manifest.
        answer_s : float
            Time that the answer took, in seconds.
        """
        self._record_holder(address, holder, now)
        self._update(
            address, answered_at=now, failures=0, refused=False, answer_s=answer_s, version=version
        )

    def heartbeat_received(self, address: str, holder: str, version: int, now: float) -> None:
        """Record a heartbeat received from the host at `address`."""
        if address and address != self._own_address:
            self._record_holder(address, holder, now)
            self._update(address, version=version)

    def heartbeat_failed(self, address: str, sent: bool) -> None:
        """Record that a heartbeat failed; `sent` is False when the connection was refused."""
        if address not in self._members:
            return
        failures = self._members[address].failures + 1
        self._update(address, failures=failures, refused=not sent)

    def rejected(self, address: str, now: float) -> None:
        """Remove the host at `address`, which is in another zone.

        Gossip and the platform's list don't add the host again for ``REJECTION_S`` seconds.
        """
        self._rejected[address] = now + REJECTION_S
        self._members.pop(address, None)

    def merge_gossip(self, heard: Iterable[GossipEntry], now: float) -> None:
        """Merge the gossip received from another host."""
        for address, holder, age_s, version in heard:
            at = now - max(0.0, age_s)
            known = self._members.get(address, Member(address))
            if (
                address == self._own_address
                or self._rejected.get(address, NEVER) > now
                or holder in self._ended
                or at <= known.heard_at
            ):
                continue
            self._record_holder(address, holder, at)
            self._update(address, version=max(version, known.version))

    def apply_host_list(self, addresses: Iterable[str], leaving: Iterable[str], now: float) -> None:
        """Apply the platform's list of this zone, which may be stale, empty or wrong.

        Members that are not configured, and were neither listed nor heard from for
        ``UNLISTED_RETENTION_S`` seconds, are removed.
        """
        self._rejected = {a: until for a, until in self._rejected.items() if until > now}
        named, leaving_set = set(addresses) - {self._own_address, *self._rejected}, set(leaving)
        for address in named:
            self._members.setdefault(address, Member(address))
        for address, member in list(self._members.items()):
            is_listed = address in named
            at = now if is_listed or member.configured else member.named_at
            self._update(address, listed=is_listed, leaving=address in leaving_set, named_at=at)
            if (
                not is_listed
                and not member.configured
                and now - max(at, member.heard_at) > UNLISTED_RETENTION_S
            ):
                del self._members[address]

    def _is_isolated(self, now: float) -> bool:
        return all(now - member.answered_at > SILENT_S for member in self._members.values())

    def _record_holder(self, address: str, holder: str, at: float) -> None:
        known = self._members.setdefault(address, Member(address))
        if known.holder and known.holder != holder:
            self._ended[known.holder] = None
            if len(self._ended) > MAX_ENDED_HOLDERS:
                self._ended.popitem(last=False)
            known = replace(known, version=0, failures=0, refused=False, answered_at=NEVER)
        heard_at = max(at, known.heard_at)
        self._members[address] = replace(known, holder=holder, heard_at=heard_at)

    def _update(self, address: str, **fields: object) -> None:
        self._members[address] = replace(self._members[address], **fields)
