"""The filter chain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Result

from mulberrycleat.core import Refusal, Served

if TYPE_CHECKING:
    from mulberrycleat.router.call import Call, Filter

__all__ = ["FilterChain"]


class FilterChain:
    """Run a call through filters; the last filter must not call `proceed`.

    Parameters
    ----------
    filters : tuple of Filter
        Filters in the order in which a call passes through them.
    """

    def __init__(self, filters: tuple[Filter, ...]) -> None:
        self._filters = filters

    async def run(self, call: Call) -> Result[Served, Refusal]:
        """Return the outcome of the call."""
        return await self._run_from(0, call)

    async def _run_from(self, index: int, call: Call) -> Result[Served, Refusal]:
        async def proceed(changed: Call) -> Result[Served, Refusal]:
            return await self._run_from(index + 1, changed)

        return await self._filters[index].handle(call, proceed)
