"""Size of a slice, computed from demand and the unspent part of the total."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

__all__ = ["AllowanceSettings", "Role", "Slice", "SliceInputs", "size_slice"]

# Demand at or below this rate, in tokens per second, counts as none.
MIN_RATE = 1.0


class Role(Enum):
    """Role of a host for an account.

    ``COORDINATOR``: the host where the demand of all hosts meets. ``ZONE_COORDINATOR``: the host
    where the demand of one availability zone meets while the coordinator can't be reached.
    ``OTHER``: any other host.
    """

    COORDINATOR = "home"
    ZONE_COORDINATOR = "zone_home"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class AllowanceSettings:
    """Parameters that the size of a slice is computed from.

    Attributes
    ----------
    ready_s : float
        The coordinator's limit covers the demand expected in this time, in seconds: about the time
        until the slice starts to grow. If the host dies, these tokens are stranded, and so are
        the unspent ones of those by which the slice has grown.
    coordinator_growth_after_s, zone_coordinator_growth_after_s : float
        Ages of a record at which the slice starts to grow, in seconds. Hosts that are connected to
        the store renew their records in less than half of the first; the second is longer, because
        zone coordinators are needed only while a zone is partitioned.
    coordinator_growth_factor, zone_coordinator_growth_factor : float
        Growth rate of a slice, once it grows, as a multiple of the expected demand. The multiples
        are low, so that most of the growth is spent while the store is unreachable; the one of zone
        coordinators is higher, since they hold the reserve.
    burst_s : float
        The slice also grows by the largest recent request in each period of this length, in
        seconds, since a few large requests arrive unevenly.
    growth_duration_s : float
        Time for which a slice grows, in seconds, and so the longest outage of the store during
        which requests are served. Outages in the deployments' data sheets last up to 9 s.
    coordinator_share : float
        Largest fraction of the unspent total by which the coordinator's ceiling exceeds its limit.
        Tokens that no host holds are left for the hosts that are connected to the store while the
        coordinator is partitioned.
    zone_coordinator_share : float
        The same fraction for the zone coordinators, divided evenly among all zones but one.
    reserve_requests : float
        Zone coordinators hold a reserve only while this many of the largest recent requests are
        left of the total. Reserves that are each smaller than a request serve none, and keep the
        coordinator from serving it.
    min_share : float
        Fraction of the total that a coordinator's limit covers without any demand, so that a first
        request need not wait for the store.
    max_stranded_share : float
        Largest fraction of the total by which stranded tokens count as spent when a request is
        refused for good.
    resize_threshold : float
        A slice is resized when its unspent part would change by more than this fraction, or when
        this fraction of it was spent since the last record.
    """

    ready_s: float = 0.6
    coordinator_growth_after_s: float = 0.8
    zone_coordinator_growth_after_s: float = 2.0
    coordinator_growth_factor: float = 1.2
    zone_coordinator_growth_factor: float = 1.35
    burst_s: float = 4.0
    growth_duration_s: float = 12.0
    coordinator_share: float = 0.4
    zone_coordinator_share: float = 0.2
    reserve_requests: float = 2.0
    min_share: float = 0.001
    max_stranded_share: float = 0.03
    resize_threshold: float = 0.25


class SliceInputs(NamedTuple):
    """Values from which the size of a slice is computed.

    Attributes
    ----------
    role : Role
        Role of the host for the account.
    zones : int
        Number of availability zones.
    held : int
        Tokens spent, reserved and donated to other hosts.
    pending : tuple of int
        Tokens of each waiting request, in the order of arrival.
    served : float
        Recent rate of tokens taken from the slice, in tokens per second.
    expected : float
        Expected demand if the store, or the coordinator, can't be reached, in tokens per second.
    largest_request : int
        Tokens of the largest recent request, which may be waiting.
    total : int
        The account's total.
    max_limit : int
        Largest limit that the records of the other hosts allow.
    unspent : int
        Part of the total that is neither gone elsewhere nor held here.
    """

    role: Role
    zones: int
    held: int
    pending: tuple[int, ...]
    served: float
    expected: float
    largest_request: int
    total: int
    max_limit: int
    unspent: int


class Slice(NamedTuple):
    """Size of a slice, in tokens.

    The limit grows by `growth` tokens per second from the age `growth_after_s` of its record, in
    seconds, until it reaches the ceiling.
    """

    limit: int
    growth: float
    growth_after_s: float
    ceiling: int


def size_slice(settings: AllowanceSettings, inputs: SliceInputs) -> Slice:
    """Return the slice that a host should hold.

    It covers those waiting requests that fit into it whole: tokens for a part of one serve nothing
    here, and another host may lack just these.

    Examples
    --------
    A coordinator's slice grows by the expected demand and a reserve:

    >>> need = SliceInputs(Role.COORDINATOR, 3, 0, (), 100.0, 100.0, 40, 100_000, 100_000, 100_000)
    >>> size_slice(AllowanceSettings(), need)
    Slice(limit=100, growth=130.0, growth_after_s=0.8, ceiling=1660)

    A host with any other role holds only what its requests use:

    >>> size_slice(AllowanceSettings(), need._replace(role=Role.OTHER, pending=(40,)))
    Slice(limit=40, growth=0.0, growth_after_s=2.0, ceiling=40)

    It holds no part of a request:

    >>> size_slice(AllowanceSettings(), need._replace(role=Role.OTHER, pending=(40,), max_limit=39))
    Slice(limit=0, growth=0.0, growth_after_s=2.0, ceiling=0)
    """
    if inputs.max_limit < inputs.held:
        return Slice(inputs.held, 0.0, 0.0, inputs.held)
    demand, headroom = max(inputs.served, inputs.expected), 0.0
    factor, after_s = (
        settings.zone_coordinator_growth_factor,
        settings.zone_coordinator_growth_after_s,
    )
    match inputs.role:
        case Role.COORDINATOR:
            share = settings.coordinator_share
            factor, after_s = (
                settings.coordinator_growth_factor,
                settings.coordinator_growth_after_s,
            )
            headroom = max(inputs.served * settings.ready_s, settings.min_share * inputs.total)
        case Role.ZONE_COORDINATOR:
            share = settings.zone_coordinator_share / max(1, inputs.zones - 1)
            if inputs.unspent < settings.reserve_requests * inputs.largest_request:
                share = 0.0
        case Role.OTHER:
            share, demand = 0.0, 0.0
    growth = 0.0
    if demand > MIN_RATE:
        growth = factor * demand + inputs.largest_request / settings.burst_s
    covered = inputs.held
    for tokens in inputs.pending:
        if covered + tokens <= inputs.max_limit:
            covered += tokens
    ready = min(inputs.max_limit, covered + int(headroom))
    max_growth = min(growth * settings.growth_duration_s, share * inputs.unspent)
    return Slice(ready, growth, after_s, min(inputs.max_limit, ready + int(max_growth)))
