"""Route map: which requests an entry host accepts, for which accounts, and their pools. No I/O."""

from mulberrycleat.routes.model import (
    ClientLimits,
    EngineProperties,
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
    "EngineProperties",
    "Pool",
    "PoolShare",
    "PrepaidAccount",
    "Route",
    "RouteKind",
    "RouteMap",
    "RouteTable",
]
