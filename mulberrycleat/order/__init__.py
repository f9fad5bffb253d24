"""Orders to endpoints: the lease needed to send them, the desired state, and the next steps."""

from mulberrycleat.order.fold import (
    STREAM,
    Claim,
    Hold,
    Lease,
    OrderRecord,
    OrderState,
    Out,
    Phase,
    Release,
)
from mulberrycleat.order.steps import (
    Observed,
    Order,
    PutBack,
    Scope,
    Step,
    TakeOut,
    has_work,
    next_steps,
    progress,
)
from mulberrycleat.order.wanted import Target, target_of

__all__ = [
    "STREAM",
    "Claim",
    "Hold",
    "Lease",
    "Observed",
    "Order",
    "OrderRecord",
    "OrderState",
    "Out",
    "Phase",
    "PutBack",
    "Release",
    "Scope",
    "Step",
    "TakeOut",
    "Target",
    "has_work",
    "next_steps",
    "progress",
    "target_of",
]
