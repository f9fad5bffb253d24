"""Filters of an entry host, in the order in which they handle a request."""

from mulberrycleat.entry.filters.admit import AccountFilter, DeadlineFilter, RouteFilter
from mulberrycleat.entry.filters.crashing_parts import CrashingPartFilter
from mulberrycleat.entry.filters.dispatch import DispatchFilter
from mulberrycleat.entry.filters.prepaid import PrepaidFilter
from mulberrycleat.entry.filters.room import OverloadedPools, RoomFilter
from mulberrycleat.entry.filters.stream_version import StreamVersionFilter

__all__ = [
    "AccountFilter",
    "CrashingPartFilter",
    "DeadlineFilter",
    "DispatchFilter",
    "OverloadedPools",
    "PrepaidFilter",
    "RoomFilter",
    "RouteFilter",
    "StreamVersionFilter",
]
