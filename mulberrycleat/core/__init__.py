"""Types that the other subpackages share."""

from mulberrycleat.core.errors import MayHaveRun, NotRun, PeerError, Refusal, Served, Step, Verdict
from mulberrycleat.core.ids import Holder, new_id

__all__ = [
    "Holder",
    "MayHaveRun",
    "NotRun",
    "PeerError",
    "Refusal",
    "Served",
    "Step",
    "Verdict",
    "new_id",
]
