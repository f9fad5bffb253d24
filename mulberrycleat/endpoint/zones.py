"""Which requests leave their availability zone. Free of I/O.

The load at hand is demand that differs between zones, as when their peaks are out of phase. A zone
is short when its own callers' requests need more than it has room for; what is over may go to zones
with room to spare after their own callers. All hosts compute the flows between zones from the same
figures, so they don't have to agree on them. Demand is counted where it comes from and not where it
is served: requests that leave a zone don't lower its demand, so that it does not take them back and
send them away again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

__all__ = ["ZoneBalance", "ZoneBalanceSettings", "ZoneLoad", "flows"]


class ZoneLoad(NamedTuple):
    """Load of one pool in one zone.

    Attributes
    ----------
    demand : float
        Requests in flight or waiting, wherever they are served, of callers of the zone's hosts.
    room : float
        Requests that the zone's endpoints run at the same time.
    at : float
        When the demand was known, in seconds on trio's clock.
    """

    demand: float
    room: float
    at: float


@dataclass(frozen=True, slots=True)
class ZoneBalanceSettings:
    """Parameters of the balance between zones.

    Attributes
    ----------
    short_share : float
        Requests leave a zone while its demand is above this share of its room. Endpoints whose
        slots are taken queue, and the choice among them is not perfect.
    spare_share : float
        A zone takes requests of others while its own demand is below this share of its room. It is
        lower than `short_share`, so that no zone takes requests and sends some away at the same
        time, and leaves room for its own callers' next second.
    rise_per_s, fall_per_s : float
        How fast the share of requests that leave may rise and fall, per second. A rise takes some
        exchanges of figures, so that noise moves little; a need that has ended is over sooner.
    min_share : float
        A smaller share of leaving requests is none: a handful of requests in flight is noise.
    price_s : float
        Time that a request must save to leave its zone without a need, in seconds. It stands for
        the price of the traffic; most answers to plain requests take some 50 ms.
    full_s : float
        The same if the other zone has no room to spare, or none that is known, in seconds. Only
        requests whose wait would cost their target latency (215 ms) still leave.
    save_share : float
        Beside either, such a request must save this share of the time that it takes in its zone.
        The learned speeds of endpoints differ by a quarter without a cause.
    stale_s : float
        What was known of another zone is no longer used at this age, in seconds.
    hold_s : float
        Without news of its own zone, a host keeps its requests there for this time, in seconds.
    """

    short_share: float = 0.9
    spare_share: float = 0.8
    rise_per_s: float = 0.5
    fall_per_s: float = 1.0
    min_share: float = 0.02
    price_s: float = 0.03
    full_s: float = 0.2
    save_share: float = 0.5
    stale_s: float = 3.0
    hold_s: float = 30.0


def flows(
    loads: Mapping[str, ZoneLoad], zone: str, settings: ZoneBalanceSettings
) -> dict[str, float]:
    """Return how many of a zone's requests are to be served in each other zone.

    The room to spare of all zones is divided among those that are short, in proportion to what they
    are short of, and a zone's requests among the zones in proportion to their room to spare.

    >>> settings = ZoneBalanceSettings()
    >>> loads = {"a": ZoneLoad(140, 100, 0), "b": ZoneLoad(30, 100, 0), "c": ZoneLoad(85, 100, 0)}
    >>> flows(loads, "a", settings), flows(loads, "b", settings)
    ({'b': 50.0}, {})
    """
    over = {
        name: max(0.0, load.demand - settings.short_share * load.room)
        for name, load in loads.items()
    }
    if not over.get(zone):
        return {}
    spare = {
        name: found
        for name, load in loads.items()
        if name != zone and (found := settings.spare_share * load.room - load.demand) > 0
    }
    total = sum(spare.values())
    if not total:
        return {}
    covered = min(1.0, total / sum(over.values()))
    return {name: over[zone] * covered * found / total for name, found in spare.items()}


class ZoneBalance:
    """Decides for one pool what a request must gain to leave this host's zone.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    crossing_s : float
        Time that a request to another zone takes on the way and back, in seconds.
    settings : ZoneBalanceSettings, optional
        Parameters of the balance.
    """

    def __init__(
        self, zone: str, crossing_s: float, settings: ZoneBalanceSettings | None = None
    ) -> None:
        self._zone = zone
        self._crossing_s = crossing_s
        self._settings = settings or ZoneBalanceSettings()
        self._loads: dict[str, ZoneLoad] = {}
        self._shares: dict[str, float] = {}
        self._updated_at: float | None = None

    @property
    def shares(self) -> dict[str, float]:
        """Share of this zone's requests that may go to each other zone."""
        return self._shares

    def in_force(self, now: float) -> bool:
        """Whether the load of this host's zone is known, or was not long ago."""
        own = self._loads.get(self._zone)
        return own is not None and now - own.at <= self._settings.hold_s

    def update(self, loads: Mapping[str, ZoneLoad], now: float) -> None:
        """Apply what is known of the zones now; older figures than those known are ignored."""
        for zone, load in loads.items():
            known = self._loads.get(zone)
            if known is None or load.at >= known.at:
                self._loads[zone] = load
        self._move(now)

    def penalties(self, random: Random, now: float, expected_s: float = 0.0) -> dict[str, float]:
        """Return for one request the time that it must save to go to each zone, in seconds.

        Zones that are not named cost :meth:`unknown_s`. The request is drawn to be one of those
        that may leave, so that hosts that know the same don't all send to the same zone at once.

        Parameters
        ----------
        expected_s : float
            Time that the request is expected to take in its own zone, in seconds.
        """
        self._move(now)
        loads = self._fresh(now)
        own = loads.pop(self._zone, None)
        leaving, saving = random.random(), random.random()
        penalties = {}
        for zone, load in loads.items():
            share = self._shares.get(zone, 0.0)
            if 0.0 <= leaving < share:
                penalties[zone] = self._crossing_s
            elif own is not None and not self._shares and saving < self._to_save(own, load, loads):
                price_s = self._settings.price_s + self._settings.save_share * expected_s
                penalties[zone] = self._crossing_s + price_s
            leaving -= share
        return penalties

    def _to_save(self, own: ZoneLoad, load: ZoneLoad, others: Mapping[str, ZoneLoad]) -> float:
        """Return the share of requests that may leave to save time while this zone has room.

        If all of them do, as when the machines of this zone are slow, and the other zones do the
        same, they fill the room to spare and no more.
        """
        spare = self._settings.spare_share * load.room - load.demand
        return spare / len(others) / max(1.0, own.demand)

    def unknown_s(self, expected_s: float = 0.0) -> float:
        """Return the time that a request must save to go to a zone without known room."""
        settings = self._settings
        return self._crossing_s + settings.full_s + settings.save_share * expected_s

    def _fresh(self, now: float) -> dict[str, ZoneLoad]:
        limit_s = self._settings.stale_s
        return {zone: load for zone, load in self._loads.items() if now - load.at <= limit_s}

    def _move(self, now: float) -> None:
        """Move the shares towards what the figures call for, as far as the time allows."""
        settings = self._settings
        loads = self._fresh(now)
        own = loads.get(self._zone)
        wanted: dict[str, float] = {}
        if own is not None and own.demand > 0:
            found = flows(loads, self._zone, settings)
            wanted = {zone: count / own.demand for zone, count in found.items()}
            if sum(wanted.values()) < settings.min_share:
                wanted = {}
        since = max(0.0, now - self._updated_at) if self._updated_at is not None else 0.0
        self._updated_at = now
        moved = {}
        for zone in sorted({*self._shares, *wanted}):
            share, goal = self._shares.get(zone, 0.0), wanted.get(zone, 0.0)
            if zone not in loads:
                share = 0.0
            elif goal > share:
                share = min(goal, share + settings.rise_per_s * since)
            else:
                share = max(goal, share - settings.fall_per_s * since)
            if share > 0:
                moved[zone] = share
        self._shares = moved
