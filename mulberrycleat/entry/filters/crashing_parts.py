"""Filter that refuses requests with a prompt part that crashes endpoints."""

from __future__ import annotations

from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.endpoint_reports import EndpointReports
from mulberrycleat.entry.filters.admit import Proceed

__all__ = ["CrashingPartFilter"]


class CrashingPartFilter:
    """Refuse a request that would crash the endpoint that answers it.

    Parameters
    ----------
    reports : EndpointReports
        The parts that are refused.
    """

    def __init__(self, reports: EndpointReports) -> None:
        self._reports = reports

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 503 until the time of the next trial."""
        refusal = self._reports.refusal([part.id for part in call.facts.shared_parts])
        if refusal is None:
            return await proceed(call)
        reason = f"requests with the prompt part {refusal.part} crash endpoints"
        return Err(
            NotRun(Step.CHOOSE, "", reason, 503, round(refusal.retry_after_s, 1), "crashing_part")
        )
