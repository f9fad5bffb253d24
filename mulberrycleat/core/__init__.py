"""Types that the other subpackages share."""

from mulberrycleat.core.errors import (
    MayHaveRun,
    NotRun,
    PeerError,
    Refusal,
    RequestResult,
    Served,
    Step,
)
from mulberrycleat.core.ids import Holder, bounded_id, new_id
from mulberrycleat.core.positions import START, Position

__all__ = [
    "START",
    "Holder",
    "MayHaveRun",
    "NotRun",
    "PeerError",
    "Position",
    "Refusal",
    "RequestResult",
    "Served",
    "Step",
    "bounded_id",
    "new_id",
]
