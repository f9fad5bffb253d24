"""The planned stop of a router: unready, then closed to new connections, then drained."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import trio

from mulberrycleat.manifest import Manifest
from mulberrycleat.settings import RouterSettings

__all__ = ["Drain"]

ANSWER_MARGIN_S = 5.0
QUIET_S = 0.5
LONGEST_QUIET_WAIT_S = 10.0
CLOSE_HEADER = (b"connection", b"close")


class Drain:
    """Stages of a stop.

    At the stop signal the router turns unready and asks callers, answer by answer, to open their
    next connection elsewhere, while it still serves what comes. After `unready_wait_s`, and once no
    request has come for a while, it takes no new connection: a connection that arrives just as the
    server closes is reset. It ends when the last request has its answer; a request that outlives
    its own time limit does not hold it up.

    Parameters
    ----------
    settings : RouterSettings
        Times.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._stopping = False
        self._closed = trio.Event()
        self._last_request = -math.inf
        self._scope = trio.CancelScope(deadline=math.inf)

    @property
    def stopping(self) -> bool:
        """Whether the stop signal has come."""
        return self._stopping

    @property
    def closed(self) -> trio.Event:
        """Set when no new connection is to be accepted."""
        return self._closed

    @property
    def scope(self) -> trio.CancelScope:
        """Scope of the serving; its deadline is set when the router closes."""
        return self._scope

    async def run(self, stop: trio.Event, manifest: Callable[[], Manifest]) -> None:
        """Go through the stages once `stop` is set."""
        await stop.wait()
        self._stopping = True
        await trio.sleep(self._settings.unready_wait_s)
        with trio.move_on_after(LONGEST_QUIET_WAIT_S):
            await self._until_quiet()
        limit_s = max(self._settings.drain_timeout_s, _longest_request_s(manifest()))
        self._scope.deadline = trio.current_time() + limit_s
        self._closed.set()

    def wrap(self, app: Any) -> Any:
        """Return the ASGI application with answers that close their connection while stopping."""

        async def serve(scope: Any, receive: Any, send: Any) -> None:
            if scope.get("method") == "POST":
                self._last_request = trio.current_time()

            async def send_closing(message: dict[str, Any]) -> None:
                if self._stopping and message["type"] == "http.response.start":
                    message = {**message, "headers": [*message.get("headers", ()), CLOSE_HEADER]}
                await send(message)

            is_http_1 = scope["type"] == "http" and scope.get("http_version", "1.1") < "2"
            await app(scope, receive, send_closing if is_http_1 else send)

        return serve

    async def _until_quiet(self) -> None:
        while (quiet_at := self._last_request + QUIET_S) > trio.current_time():
            await trio.sleep_until(quiet_at)


def _longest_request_s(manifest: Manifest) -> float:
    longest = max((pool.timeout_s for pool in manifest.pools), default=0.0)
    return longest + ANSWER_MARGIN_S
