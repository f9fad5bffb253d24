"""Choice among endpoints, admission of requests, and the endpoint state that both use."""

from mulberrycleat.endpoint.admission import (
    Admission,
    AdmissionRequest,
    AdmissionSettings,
    Lane,
    Queued,
    Refuse,
    Send,
)
from mulberrycleat.endpoint.chooser import Choice, ChoiceSettings, Chooser
from mulberrycleat.endpoint.demand import Demand, priority_of
from mulberrycleat.endpoint.prefix import BLOCK_BYTES, prefix_keys
from mulberrycleat.endpoint.state import Estimate, LoadReport

__all__ = [
    "BLOCK_BYTES",
    "Admission",
    "AdmissionRequest",
    "AdmissionSettings",
    "Choice",
    "ChoiceSettings",
    "Chooser",
    "Demand",
    "Estimate",
    "Lane",
    "LoadReport",
    "Queued",
    "Refuse",
    "Send",
    "prefix_keys",
    "priority_of",
]
