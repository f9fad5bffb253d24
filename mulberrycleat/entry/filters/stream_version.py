"""Filter that lets a stream which a caller takes up go on at the version that began it."""

from __future__ import annotations

from dataclasses import replace

from result import Err, Result

from mulberrycleat.core import NotRun, Refusal, Served, Step
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.endpoints import EndpointRegistry
from mulberrycleat.entry.filters.admit import Proceed
from mulberrycleat.entry.stream_origins import OriginController

__all__ = ["StreamVersionFilter"]

# Retry-after when the origin of a stream is not known, in seconds: by then, the host that began the
# stream may have recorded it.
UNKNOWN_RETRY_AFTER_S = 0.3


class StreamVersionFilter:
    """Find the pool and the software version of a stream that a caller takes up.

    Parameters
    ----------
    origins : OriginController
        Which version began which stream.
    registry : EndpointRegistry
        The endpoints.
    decisions : DecisionLog
        Log of the origins found.
    """

    def __init__(
        self, origins: OriginController, registry: EndpointRegistry, decisions: DecisionLog
    ) -> None:
        self._origins = origins
        self._registry = registry
        self._decisions = decisions

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 503 if the stream can't go on, as its version has left or is not known."""
        if not call.is_taken_up:
            return await proceed(call)
        origin = await self._origins.find(call.facts.resumes, call.pool.name)
        self._decisions.info(
            "stream taken up",
            request=call.facts.request_id,
            resumes=call.facts.resumes,
            last_event_id=call.facts.last_event_id,
            pool=origin.pool if origin else None,
            version=origin.version if origin else None,
        )
        if origin is None:
            reason = "it is not known which version began the stream"
            retry_s = UNKNOWN_RETRY_AFTER_S
            return Err(NotRun(Step.CHOOSE, "", reason, 503, retry_s, "origin_unknown"))
        pool = call.table.pool(origin.pool)
        allowed = any(share.pool == origin.pool for share in call.route.pools)
        call = replace(call, pool=pool if allowed else None, version=origin.version)
        if call.pool is None or not self._registry.has_endpoint(call):
            reason = f"version {origin.version!r} of pool {origin.pool!r} has left"
            return Err(NotRun(Step.CHOOSE, "", reason, 503, None, "version_left"))
        return await proceed(call)
