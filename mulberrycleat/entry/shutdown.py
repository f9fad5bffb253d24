"""Graceful shutdown of an entry host."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio
from result import Err, Result

from mulberrycleat.core import MayHaveRun, NotRun, Refusal, Served, Step
from mulberrycleat.entry.call import EntryCall, Progress
from mulberrycleat.entry.settings import EntryTimes, FleetRequirements

__all__ = ["GracefulShutdown", "ShutdownFilter", "stopping_refusal"]

Proceed = Callable[[EntryCall], Awaitable[Result[Served, Refusal]]]

CLOSE_HEADER = (b"connection", b"close")
# Time from the stop signal until the host is out of rotation, in seconds: callers open new
# connections to other hosts after two failed readiness checks, one each second. Requests that come
# later are refused. The platform accepts that a host aborts requests sent up to 3 s after the
# signal; the difference is for a signal that the process notices late.
OUT_OF_ROTATION_S = 2.5
# A request that may run again is accepted if this share of its remaining time limit is left until
# requests are aborted: most end far earlier, and one that is aborted runs again at another host.
REPEATABLE_TIME_SHARE = 0.25
# Requests in flight are aborted this share of the grace period before the process would be killed,
# and at most this time, in seconds. The platform expects a host to let endpoints go on with them
# until the last sixth of the grace period.
ABORT_SHARE, MAX_ABORT_MARGIN_S = 1 / 12, 0.7
# The same for the end of the process.
END_SHARE, MAX_END_MARGIN_S = 1 / 40, 0.2
# Share of the time between abort and end that the answers to aborted requests may take, before the
# final record is written.
ABORT_ANSWER_SHARE = 0.5
# Interval between checks whether requests are in flight, in seconds.
CHECK_INTERVAL_S, ABORT_CHECK_INTERVAL_S = 0.05, 0.01
# Retry-after of a host that shuts down, in seconds: callers retry at once on a new connection,
# which reaches another host.
RETRY_AFTER_S = 0.1


class GracefulShutdown:
    """Graceful shutdown: the host is unready at once, but serves until callers use other hosts.

    From the stop signal on, each answer closes its connection. Requests that can end in time are
    accepted until the host is out of rotation. The process ends when it is out of rotation and has
    had no request for `EntryTimes.shutdown_idle_s`. Requests that are still in flight shortly
    before the end of its grace period are aborted, and there is time left for their answers.

    Parameters
    ----------
    bounds : FleetRequirements
        Grace period between stop signal and end of the process.
    times : EntryTimes
        Time without requests after which the process can end.
    """

    def __init__(self, bounds: FleetRequirements, times: EntryTimes) -> None:
        self._bounds = bounds
        self._times = times
        self._stopping = False
        self._accept_until = float("inf")
        self._abort_at = float("inf")
        self._end_at = float("inf")
        self._exit_at = float("inf")
        self._begun = trio.Event()
        self._abortable: set[trio.CancelScope] = set()
        self._running = 0
        self._last_request_ended_at = float("-inf")

    def apply_bounds(self, bounds: FleetRequirements) -> None:
        """Use another grace period, if the shutdown has not begun."""
        self._bounds = bounds

    @property
    def stopping(self) -> bool:
        """Whether the stop signal has been received."""
        return self._stopping

    @property
    def refuses_requests(self) -> bool:
        """Whether new requests are refused, because they could not end in time."""
        return trio.current_time() >= self._accept_until

    @property
    def left_s(self) -> float:
        """Time until requests in flight are aborted, in seconds; infinite before the stop."""
        return self._abort_at - trio.current_time()

    @property
    def end_at(self) -> float:
        """When the process ends at the latest, in seconds on trio's clock."""
        return self._end_at

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request while the block runs."""
        self._running += 1
        try:
            yield
        finally:
            self._running -= 1
            self._last_request_ended_at = trio.current_time()

    @contextmanager
    def abortable(self) -> Iterator[trio.CancelScope]:
        """Cancel the block if it is still running when requests in flight are aborted."""
        with trio.CancelScope(deadline=self._abort_at) as scope:
            self._abortable.add(scope)
            try:
                yield scope
            finally:
                self._abortable.discard(scope)

    def closing(
        self, send: Callable[[dict[str, Any]], Awaitable[None]]
    ) -> Callable[[dict[str, Any]], Awaitable[None]]:
        """Wrap `send` so that answers close their connection once the host is stopping."""

        async def send_closing(message: dict[str, Any]) -> None:
            if self._stopping and message["type"] == "http.response.start":
                message = {**message, "headers": [*message.get("headers", ()), CLOSE_HEADER]}
            await send(message)

        return send_closing

    async def run(self) -> None:
        """Begin the shutdown, and return when no request is served any more.

        Requests are refused from then on, or from `OUT_OF_ROTATION_S` after the start if that is
        earlier.
        """
        self._stopping = True
        signalled_at = trio.current_time()
        grace_s = self._bounds.grace_s
        killed_at = signalled_at + grace_s
        self._abort_at = killed_at - min(ABORT_SHARE * grace_s, MAX_ABORT_MARGIN_S)
        self._end_at = killed_at - min(END_SHARE * grace_s, MAX_END_MARGIN_S)
        self._accept_until = min(signalled_at + OUT_OF_ROTATION_S, self._abort_at)
        self._exit_at = (self._end_at + killed_at) / 2
        self._begun.set()
        for scope in self._abortable:
            scope.deadline = self._abort_at
        with trio.move_on_at(self._abort_at):
            await trio.sleep_until(self._accept_until)
            while self._running or not self._is_idle():
                await trio.sleep(CHECK_INTERVAL_S)
        self._accept_until = trio.current_time()
        if self._running:
            left_s = self._end_at - trio.current_time()
            await self._abort(trio.current_time() + ABORT_ANSWER_SHARE * left_s)

    async def finish(self) -> None:
        """Abort what has begun since, and return when its answers are sent or the time is up."""
        await self._abort(self._end_at)

    async def exit_due(self) -> None:
        """Wait until the process has to exit, whatever still holds it up."""
        await self._begun.wait()
        await trio.sleep_until(self._exit_at)

    async def _abort(self, until: float) -> None:
        """Abort the requests in flight, and wait until they are answered, at most until `until`."""
        self._abort_at = trio.current_time()
        for scope in self._abortable:
            scope.deadline = self._abort_at
        with trio.move_on_at(until):
            while self._running:
                await trio.sleep(ABORT_CHECK_INTERVAL_S)

    def _is_idle(self) -> bool:
        return trio.current_time() - self._last_request_ended_at >= self._times.shutdown_idle_s


class ShutdownFilter:
    """Refuse requests that a stopping host might have to abort.

    One that may run once only is accepted if its time limit ends before, one that may run again if
    `REPEATABLE_TIME_SHARE` of the limit does.

    Parameters
    ----------
    shutdown : GracefulShutdown
        Tells how much time is left.
    """

    def __init__(self, shutdown: GracefulShutdown) -> None:
        self._shutdown = shutdown

    async def handle(self, call: EntryCall, proceed: Proceed) -> Result[Served, Refusal]:
        """Refuse with 503, so that the caller comes back to another host."""
        needed_s = call.deadline - trio.current_time()
        if call.route.retryable:
            needed_s *= REPEATABLE_TIME_SHARE
        left_s = self._shutdown.left_s
        if needed_s > left_s:
            reason = f"this host ends in {left_s:.2f} s"
            return Err(stopping_refusal(call.progress, reason))
        return await proceed(call)


def stopping_refusal(progress: Progress, reason: str) -> Refusal:
    """Return the refusal of a request that a stopping host aborts or does not begin."""
    if progress.runs:
        return MayHaveRun(Step.DISPATCH, progress.endpoint, reason, 502, "stopping")
    return NotRun(Step.RECEIVE, "", reason, 503, RETRY_AFTER_S, "stopping")
