"""Routes: which requests an entry host takes, for whom, and where they go. Free of I/O."""

from mulberrycleat.routes.model import (
    ClientLimits,
    EngineFacts,
    Pool,
    PoolShare,
    PrepaidAccount,
    Route,
    RouteKind,
    RouteMap,
)
from mulberrycleat.routes.table import RouteTable

__all__ = [
    "ClientLimits",
    "EngineFacts",
    "Pool",
    "PoolShare",
    "PrepaidAccount",
    "Route",
    "RouteKind",
    "RouteMap",
    "RouteTable",
]
