"""The router's table of endpoints."""

from __future__ import annotations

from mulberrycleat.endpoint import EndpointView, choose
from mulberrycleat.router.call import Call

__all__ = ["EndpointTable"]


class EndpointTable:
    """Views of endpoints by name, kept over changes of the manifest.

    Parameters
    ----------
    zone : str
        Availability zone of this router.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._views: dict[str, EndpointView] = {}

    def choose(self, call: Call, tried: set[str]) -> EndpointView | None:
        """Return the endpoint for a call, leaving out those in `tried`."""
        views = [
            self._views.get(endpoint.name) or EndpointView(endpoint)
            for endpoint in call.view.manifest.endpoints
            if endpoint.pool == call.pool.name
            and endpoint.name not in tried
            and endpoint.name not in call.view.leaving
        ]
        found = choose(views, call.reserve_tokens, self._zone)
        if found is not None:
            self._views[found.endpoint.name] = found
        return found

    def started(self, name: str, tokens: int) -> None:
        """Note that a request of `tokens` has been sent."""
        self._views[name] = self._views[name].started(tokens)

    def ended(self, name: str, tokens: int, failed: bool) -> None:
        """Note that a request of `tokens` has ended."""
        self._views[name] = self._views[name].ended(tokens, failed)
