"""Operators' orders that evacuate zones: which of them are in force. Free of I/O.

An order is a record of the store. Hosts remember each one with its position in the store's log, so
that what several hosts know can be merged: the state with the latest position holds. A store that
was restored from an older copy may lack an order. A missing record therefore ends an order only in
the era in which the order was read.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from mulberrycleat.core.positions import Position

__all__ = ["Evacuation", "EvacuationChange", "Evacuations", "FreezeWatch"]

# Ended orders that are remembered, so that a host that has missed the end learns of it.
MAX_ENDED = 64
# A process that has not run for this time, in seconds, may have missed an order. With the longest
# wait of a read, 2.25 s at the default settings, it is within the 5 s that deployments allow.
FREEZE_S = 2.0
# Longest time for which a process that was frozen sends nothing until it has read the orders, in
# seconds: a read that timed out during the freeze, the pause after it, and the next read.
MAX_HOLD_S = 0.6


class Evacuation(NamedTuple):
    """State of one zone as stated by a record, or by its absence, up to a position of the log."""

    zone: str
    in_force: bool
    position: Position


class EvacuationChange(NamedTuple):
    """A zone whose order has come into force or has ended."""

    zone: str
    in_force: bool


class Evacuations:
    """The zones that operators have evacuated.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> order = Evacuation("z-a", True, Position(0, 4))
    >>> evacuations.apply([order], complete_to=Position(0, 5))
    (EvacuationChange(zone='z-a', in_force=True),)
    >>> evacuations.apply_snapshot([], complete_to=Position(1, 2))
    ()
    >>> evacuations.zones, evacuations.kept
    (frozenset({'z-a'}), frozenset({'z-a'}))
    >>> evacuations.apply([Evacuation("z-a", False, Position(1, 2))], Position(1, 3))
    (EvacuationChange(zone='z-a', in_force=False),)
    """

    def __init__(self) -> None:
        self._known: dict[str, Evacuation] = {}
        self._complete_to: Position | None = None
        self._zones: frozenset[str] = frozenset()

    @property
    def zones(self) -> frozenset[str]:
        """The evacuated zones."""
        return self._zones

    @property
    def kept(self) -> frozenset[str]:
        """Evacuated zones whose order was read in an earlier era of the store, not in this one."""
        if self._complete_to is None:
            return frozenset()
        era = self._complete_to.era
        return frozenset(z for z in self._zones if self._known[z].position.era < era)

    @property
    def known(self) -> tuple[Evacuation, ...]:
        """All states that are remembered, those of ended orders included."""
        return tuple(self._known.values())

    def apply(
        self, found: Iterable[Evacuation], complete_to: Position
    ) -> tuple[EvacuationChange, ...]:
        """Apply the records of the store up to a position; return what has changed."""
        for state in found:
            self._put(state)
        self._complete_to = max(complete_to, self._complete_to or complete_to)
        return self._update()

    def apply_snapshot(
        self, found: Iterable[Evacuation], complete_to: Position
    ) -> tuple[EvacuationChange, ...]:
        """Apply the newest record of each key; return what has changed.

        An order of the same era without a record has ended, as its record was removed.
        """
        found = tuple(found)
        stated = {state.zone for state in found}
        last = complete_to.after(-1)
        for zone in self._zones - stated:
            position = self._known[zone].position
            if position.era == last.era and position <= last:
                self._put(Evacuation(zone, False, last))
        return self.apply(found, complete_to)

    def merge(self, found: Iterable[Evacuation]) -> tuple[EvacuationChange, ...]:
        """Apply what other hosts remember; return what has changed.

        An order that this host would have read itself, and has not found, was removed since.
        """
        for state in found:
            if state.zone in self._known or not self._has_read(state.position):
                self._put(state)
        return self._update()

    def _has_read(self, position: Position) -> bool:
        read_to = self._complete_to
        return read_to is not None and position.era == read_to.era and position < read_to

    def _put(self, state: Evacuation) -> None:
        known = self._known.get(state.zone)
        if known is None or state.position > known.position:
            # The zone is added last, so that the oldest ended orders come first.
            self._known.pop(state.zone, None)
            self._known[state.zone] = state

    def _update(self) -> tuple[EvacuationChange, ...]:
        ended = [state.zone for state in self._known.values() if not state.in_force]
        for zone in ended[: max(0, len(ended) - MAX_ENDED)]:
            del self._known[zone]
        zones = frozenset(state.zone for state in self._known.values() if state.in_force)
        changed = sorted(zones ^ self._zones)
        self._zones = zones
        return tuple(EvacuationChange(zone, zone in zones) for zone in changed)


class FreezeWatch:
    """Finds that the process was frozen, after which it may lack an order that others know.

    Times are in seconds, on any clock that goes on while the process is frozen.

    Examples
    --------
    >>> watch = FreezeWatch()
    >>> watch.may_lack_orders(read_at=0.0, now=0.0), watch.may_lack_orders(read_at=0.0, now=1.0)
    (False, False)
    >>> watch.may_lack_orders(read_at=0.0, now=8.0), watch.may_lack_orders(read_at=8.1, now=8.2)
    (True, False)
    """

    def __init__(self) -> None:
        self._ran_at: float | None = None
        self._woke_at = float("-inf")

    def note_running(self, now: float) -> None:
        """Note that the process runs; called more often than each `FREEZE_S`."""
        if self._ran_at is not None and now - self._ran_at >= FREEZE_S:
            self._woke_at = now
        self._ran_at = now

    def may_lack_orders(self, read_at: float, now: float) -> bool:
        """Whether the orders have not been read since the process was frozen, in `MAX_HOLD_S`."""
        self.note_running(now)
        return read_at < self._woke_at and now < self._woke_at + MAX_HOLD_S
