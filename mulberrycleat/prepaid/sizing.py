"""How large a slice is drawn, from demand and from what is left of the total."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

__all__ = ["AllowanceSettings", "Need", "Role", "Slice", "size_slice"]

# A rate below this is taken for none, in tokens a second.
LEAST_RATE = 1.0


class Role(Enum):
    """What a host is to an account.

    ``COORDINATOR``: the host where the demand of all hosts meets. ``ZONE_COORDINATOR``: the host
    where the demand of one availability zone meets while the home can't be reached. ``OTHER``: any
    other.
    """

    COORDINATOR = "home"
    ZONE_COORDINATOR = "zone_home"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class AllowanceSettings:
    """How large slices are.

    Attributes
    ----------
    ready_s : float
        A slice covers at once what the host is expected to reserve in this time, in seconds: about
        the time until it grows. The death of the host strands this, and what the slice has grown by
        beyond what was spent.
    home_growth_after_s, zone_growth_after_s : float
        Ages of a record at which the slice begins to grow, in seconds. Hosts in touch with the
        store renew theirs in less than half of the first; the second is longer, because the homes
        of zones are needed only while a zone is cut off.
    home_growth, zone_growth : float
        An old slice grows by so many times the expected demand, so that most of what it grows by
        is spent while the store is out of reach. The homes of zones are the reserve.
    lump_s : float
        It grows by the largest late request besides in this time, in seconds: few large requests
        come unevenly.
    horizon_s : float
        A slice grows for so long, which is the longest outage of the store that is served through,
        in seconds; the sheets' outages last up to 9.
    home_share : float
        Largest part of the unspent total that the home holds beyond what runs. What no host holds
        is left for those in touch with the store while the home is cut off.
    zone_share : float
        The same for the homes of all other zones together.
    least_share : float
        Part of the total that a home holds without any demand, so that a first request need not
        wait for the store.
    change_share : float
        A slice is drawn anew when it differs by more than this part from what it should be.
    """

    ready_s: float = 0.6
    home_growth_after_s: float = 0.8
    zone_growth_after_s: float = 2.0
    home_growth: float = 1.2
    zone_growth: float = 1.35
    lump_s: float = 4.0
    horizon_s: float = 12.0
    home_share: float = 0.4
    zone_share: float = 0.2
    least_share: float = 0.001
    change_share: float = 0.25


class Need(NamedTuple):
    """What the size of a slice depends on.

    Attributes
    ----------
    role : Role
        What the host is to the account.
    zones : int
        Number of availability zones.
    held : int
        Spent, reserved and given to other hosts, in tokens.
    wanted : int
        Tokens that waiting requests lack.
    served : float
        Tokens a second that were lately taken from the slice.
    expected : float
        Tokens a second to expect if the store, or the home, can't be reached.
    largest_request : int
        In tokens.
    total : int
        The account's total.
    room : int
        The most that the limit may be, as the other hosts' records leave it.
    unspent : int
        What is left of the total beyond what is spent for sure and what is held here.
    """

    role: Role
    zones: int
    held: int
    wanted: int
    served: float
    expected: float
    largest_request: int
    total: int
    room: int
    unspent: int


class Slice(NamedTuple):
    """Limit now, growth in tokens a second from an age in seconds on, and its ceiling."""

    limit: int
    growth: float
    growth_after_s: float
    ceiling: int


def size_slice(settings: AllowanceSettings, need: Need) -> Slice:
    """Return the slice to draw.

    Examples
    --------
    A home grows to what its demand takes in an outage, with a reserve:

    >>> need = Need(Role.COORDINATOR, 3, 0, 0, 100.0, 100.0, 40, 100_000, 100_000, 100_000)
    >>> size_slice(AllowanceSettings(), need)
    Slice(limit=100, growth=130.0, growth_after_s=0.8, ceiling=1660)

    Any other host holds what its requests take:

    >>> size_slice(AllowanceSettings(), need._replace(role=Role.OTHER, wanted=40))
    Slice(limit=40, growth=0.0, growth_after_s=2.0, ceiling=40)
    """
    if need.room < need.held:
        return Slice(need.held, 0.0, 0.0, need.held)
    demand, ready_spare = max(need.served, need.expected), 0.0
    factor, after_s = settings.zone_growth, settings.zone_growth_after_s
    match need.role:
        case Role.COORDINATOR:
            share = settings.home_share
            factor, after_s = settings.home_growth, settings.home_growth_after_s
            ready_spare = max(need.served * settings.ready_s, settings.least_share * need.total)
        case Role.ZONE_COORDINATOR:
            share = settings.zone_share / max(1, need.zones - 1)
        case Role.OTHER:
            share, demand = 0.0, 0.0
    growth = 0.0
    if demand > LEAST_RATE:
        growth = factor * demand + need.largest_request / settings.lump_s
    ready = min(need.room, need.held + need.wanted + int(ready_spare))
    spare = min(growth * settings.horizon_s, share * need.unspent)
    return Slice(ready, growth, after_s, min(need.room, ready + int(spare)))
