"""Graceful shutdown of a router: not ready, then closed to new connections, then drained."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import trio

from mulberrycleat.manifest import Manifest
from mulberrycleat.settings import RouterSettings

__all__ = ["Drain"]

ANSWER_MARGIN_S = 5.0
QUIET_PERIOD_S = 0.5
MAX_QUIET_WAIT_S = 10.0
CLOSE_HEADER = (b"connection", b"close")


class Drain:
    """Stages of a graceful shutdown.

    At the stop signal the router reports that it is not ready and adds ``Connection: close`` to
    each HTTP/1 answer, so that callers open their next connection elsewhere; it still serves all
    requests. After `unready_wait_s`, and once no request has arrived for ``QUIET_PERIOD_S`` or
    ``MAX_QUIET_WAIT_S`` have passed, it accepts no new connections. It waits for a quiet period
    because a connection that arrives just as the server closes is reset. The process ends when the
    last request has been answered. It waits for the requests for at most `drain_timeout_s` or, if
    that is longer, the longest `timeout_s` of any pool plus ``ANSWER_MARGIN_S``.

    Parameters
    ----------
    settings : RouterSettings
        Settings with the durations of the stages.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._stopping = False
        self._closed = trio.Event()
        self._last_request_at = -math.inf
        self._scope = trio.CancelScope(deadline=math.inf)

    @property
    def stopping(self) -> bool:
        """Whether the stop signal has been received."""
        return self._stopping

    @property
    def closed(self) -> trio.Event:
        """Event that is set when the server must accept no more new connections."""
        return self._closed

    @property
    def scope(self) -> trio.CancelScope:
        """Cancel scope of the HTTP server; its deadline is set when the router closes."""
        return self._scope

    async def run(self, stop: trio.Event, manifest: Callable[[], Manifest]) -> None:
        """Run the stages of the shutdown once `stop` is set.

        `manifest` returns the active manifest, of which the timeouts of the pools are used.
        """
        await stop.wait()
        self._stopping = True
        await trio.sleep(self._settings.unready_wait_s)
        with trio.move_on_after(MAX_QUIET_WAIT_S):
            await self._wait_until_quiet()
        limit_s = max(self._settings.drain_timeout_s, _max_request_s(manifest()))
        self._scope.deadline = trio.current_time() + limit_s
        self._closed.set()

    def wrap(self, app: Any) -> Any:
        """Return an ASGI application whose HTTP/1 answers close their connection while stopping."""

        async def serve(scope: Any, receive: Any, send: Any) -> None:
            if scope.get("method") == "POST":
                self._last_request_at = trio.current_time()

            async def send_with_close(message: dict[str, Any]) -> None:
                if self._stopping and message["type"] == "http.response.start":
                    message = {**message, "headers": [*message.get("headers", ()), CLOSE_HEADER]}
                await send(message)

            is_http_1 = scope["type"] == "http" and scope.get("http_version", "1.1") < "2"
            await app(scope, receive, send_with_close if is_http_1 else send)

        return serve

    async def _wait_until_quiet(self) -> None:
        while (quiet_at := self._last_request_at + QUIET_PERIOD_S) > trio.current_time():
            await trio.sleep_until(quiet_at)


def _max_request_s(manifest: Manifest) -> float:
    longest = max((pool.timeout_s for pool in manifest.pools), default=0.0)
    return longest + ANSWER_MARGIN_S
