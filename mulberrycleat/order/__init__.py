"""Orders to endpoints: the lease needed to send them, the desired state, and the next steps."""

from mulberrycleat.order.fold import (
    STREAM,
    Claim,
    Hold,
    Lease,
    LeaseState,
    OrderRecord,
    OutOfService,
    Phase,
    Release,
)
from mulberrycleat.order.steps import (
    EndpointStatus,
    Order,
    PoolView,
    RemoveFromService,
    ReturnToService,
    Step,
    has_work,
    next_steps,
    progress,
)
from mulberrycleat.order.target import Target, target_of

__all__ = [
    "STREAM",
    "Claim",
    "EndpointStatus",
    "Hold",
    "Lease",
    "LeaseState",
    "Order",
    "OrderRecord",
    "OutOfService",
    "Phase",
    "PoolView",
    "Release",
    "RemoveFromService",
    "ReturnToService",
    "Step",
    "Target",
    "has_work",
    "next_steps",
    "progress",
    "target_of",
]
