"""Filter that refuses requests with a prompt part or a content that crashes endpoints."""

from __future__ import annotations

from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.endpoint.crashing_parts import is_content
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.endpoint_reports import EndpointReports
from mulberrycleat.entry.filters.admit import Proceed

__all__ = ["CrashingPartFilter"]


class CrashingPartFilter:
    """Refuse a request that would crash the endpoint that answers it.

    Parameters
    ----------
    reports : EndpointReports
        The parts and contents that are refused.
    """

    def __init__(self, reports: EndpointReports) -> None:
        self._reports = reports

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 503 until the time of the next trial."""
        refusal = self._reports.refusal(call.suspects)
        if refusal is None:
            return await proceed(call)
        if is_content(refusal.part):
            reason, code = "requests with this content crash endpoints", "crashing_request"
        else:
            reason = f"requests with the prompt part {refusal.part} crash endpoints"
            code = "crashing_part"
        retry_after_s = round(refusal.retry_after_s, 1)
        return Err(NotRun(Step.CHOOSE, "", reason, 503, retry_after_s, code))
