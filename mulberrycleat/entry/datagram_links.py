"""Order and age of the datagrams between this host and another one. Free of I/O.

Hosts' clocks differ, so an age is measured on one clock only. Each datagram names the newest one
that its sender has received from the receiver, and for how long the sender has held it. The
receiver knows when it sent that one: what the datagram says is no older than the time since then,
less the time held.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["DatagramLink", "Echo"]

# Own datagrams whose time of sending is remembered: several seconds of reports.
MAX_SENT = 16
# Ended incarnations of the other host that are remembered; delayed datagrams come from the latest.
MAX_ENDED = 4
# Greatest age of a datagram that can tell of a later process, in seconds: the time for which a
# report or a digest is used.
NEW_PROCESS_MAX_AGE_S = 1.5


class Echo(NamedTuple):
    """The newest datagram that was received, 0 for none, and for how long it has been held."""

    number: int
    held_ms: int


NO_ECHO = Echo(0, 0)
# Stands for the incarnation of a host that was not heard; hosts state none below 0.
NO_INCARNATION = -1


@dataclass(slots=True)
class DatagramLink:
    """What is known of the datagrams exchanged with one host; times are on trio's clock.

    Examples
    --------
    >>> link = DatagramLink()
    >>> link.record_sent(7, now=1.0)
    >>> link.accept(incarnation=5, number=41, slot="loads", now=1.5)
    True
    >>> link.accept(incarnation=5, number=41, slot="loads", now=1.6)
    False
    >>> round(link.age_s(Echo(7, 300), now=1.6), 3), link.age_s(Echo(8, 0), now=1.6)
    (0.3, None)
    """

    incarnation: int = NO_INCARNATION
    newest: dict[Hashable, int] = field(default_factory=dict)
    sent: dict[int, float] = field(default_factory=dict)
    ended: list[int] = field(default_factory=list)
    received_number: int = 0
    received_at: float = 0.0

    def record_sent(self, number: int, now: float) -> None:
        """Record that a datagram is sent to the other host."""
        self.sent[number] = now
        if len(self.sent) > MAX_SENT:
            del self.sent[next(iter(self.sent))]

    def accept(
        self,
        incarnation: int,
        number: int,
        slot: Hashable,
        now: float,
        echo: Echo = NO_ECHO,
    ) -> bool:
        """Whether content for `slot` is newer than all that came before; it is recorded if so.

        Incarnations have no order. One that was not heard before is a later one, unless `echo`
        shows that the datagram was delayed: then the process may have ended before the present one
        started.
        """
        if incarnation in self.ended:
            return False
        if incarnation != self.incarnation:
            if self.incarnation != NO_INCARNATION and not self._is_recent(echo, now):
                return False
            self.ended = [*self.ended, self.incarnation][-MAX_ENDED:]
            self.incarnation, self.received_number = incarnation, 0
            self.newest.clear()
        if number <= self.newest.get(slot, 0):
            return False
        self.newest[slot] = number
        if number > self.received_number:
            self.received_number, self.received_at = number, now
        return True

    def echo(self, now: float) -> Echo:
        """Return what a datagram to the other host states of the newest received one."""
        if not self.received_number:
            return NO_ECHO
        return Echo(self.received_number, max(0, int((now - self.received_at) * 1000)))

    def _is_recent(self, echo: Echo, now: float) -> bool:
        """Whether a datagram is recent as far as its echo tells.

        A process that has just started echoes none. An unknown echo names a datagram of an earlier
        process of this host, or one sent long ago.
        """
        if not echo.number:
            return True
        age_s = self.age_s(echo, now)
        return age_s is not None and age_s <= NEW_PROCESS_MAX_AGE_S

    def age_s(self, echo: Echo, now: float) -> float | None:
        """Return the greatest age of a datagram with this echo; None if the echo is unknown."""
        sent_at = self.sent.get(echo.number)
        if sent_at is None:
            return None
        return max(0.0, now - sent_at - echo.held_ms / 1000)
