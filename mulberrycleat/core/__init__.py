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
from mulberrycleat.core.ids import Holder, new_id

__all__ = [
    "Holder",
    "MayHaveRun",
    "NotRun",
    "PeerError",
    "Refusal",
    "RequestResult",
    "Served",
    "Step",
    "new_id",
]
