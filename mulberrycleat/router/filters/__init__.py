"""Filters of the request chain."""

from mulberrycleat.router.filters.admission import AdmissionFilter
from mulberrycleat.router.filters.authenticate import AuthenticateFilter
from mulberrycleat.router.filters.budget import BudgetFilter
from mulberrycleat.router.filters.dispatch import DispatchFilter
from mulberrycleat.router.filters.idempotency import ClaimFilter, RecallFilter
from mulberrycleat.router.filters.observe import ObserveFilter
from mulberrycleat.router.filters.validation import ValidationFilter

__all__ = [
    "AdmissionFilter",
    "AuthenticateFilter",
    "BudgetFilter",
    "ClaimFilter",
    "DispatchFilter",
    "ObserveFilter",
    "RecallFilter",
    "ValidationFilter",
]
