"""Prepaid totals of client accounts, divided into slices of the entry hosts. Free of I/O.

Each host keeps one record in the platform's store that says what it has spent of each account's
total and the most that it may have spent. The sum of these limits over all hosts never exceeds the
total, so that no partitioned or dead host can cause overspending.
"""

from mulberrycleat.prepaid.allowance import Allowance
from mulberrycleat.prepaid.demand import TokenRate
from mulberrycleat.prepaid.grants import Donor, Grant, Inherited, ReservationStatus, TransferUsage
from mulberrycleat.prepaid.ledger import (
    AccountShare,
    ClockReading,
    HolderRecord,
    SliceLedger,
    silence_s,
)
from mulberrycleat.prepaid.sizing import AllowanceSettings, Role, Slice, SliceInputs, size_slice
from mulberrycleat.prepaid.transfer_tracker import OutstandingTransfer, TransferTracker

__all__ = [
    "AccountShare",
    "Allowance",
    "AllowanceSettings",
    "ClockReading",
    "Donor",
    "Grant",
    "HolderRecord",
    "Inherited",
    "OutstandingTransfer",
    "ReservationStatus",
    "Role",
    "Slice",
    "SliceInputs",
    "SliceLedger",
    "TokenRate",
    "TransferTracker",
    "TransferUsage",
    "silence_s",
    "size_slice",
]
