"""Route map: which requests an entry host accepts, for which accounts, and their pools. No I/O."""

from mulberrycleat.routes.model import (
    ClientAccount,
    ClientLimits,
    EngineProperties,
    Pool,
    PoolShare,
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
    "ClientAccount",
    "Route",
    "RouteKind",
    "RouteMap",
    "RouteTable",
]
