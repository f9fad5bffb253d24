"""Filter that measures outcomes and latencies of validated requests as the caller sees them."""

from __future__ import annotations

from dataclasses import replace

import trio
from result import Result

from mulberrycleat.burn.recorder import Recorder
from mulberrycleat.core import Refusal, Served
from mulberrycleat.router.call import Call, Proceed, Sink

__all__ = ["ObserveFilter", "TimedSink"]

_TEXT_FIELD = b'"content":'
_STREAM_HEADER = ("content-type", "text/event-stream")


class TimedSink:
    """A sink that records the latencies of the tokens written to it.

    Each write to a stream that contains a ``content`` field counts as one token.

    Parameters
    ----------
    inner : Sink
        Sink to which everything is forwarded unchanged.
    recorder : Recorder
        Recorder of the latencies.
    account, pool : str
        Client account and pool of the series.
    """

    def __init__(self, inner: Sink, recorder: Recorder, account: str, pool: str) -> None:
        self._inner = inner
        self._recorder = recorder
        self._key = (account, pool)
        self._started_at = trio.current_time()
        self._last_token_at: float | None = None
        self._is_stream = False

    @property
    def started(self) -> bool:
        """Whether part of the answer has been sent."""
        return self._inner.started

    def end(self, outcome: Result[Served, Refusal]) -> None:
        """Record the outcome of the request and, if served, its total latency."""
        series = self._recorder.series(*self._key)
        series.count_outcome(outcome)
        if outcome.is_ok():
            series.record("whole_answer", trio.current_time() - self._started_at)

    async def start(self, status: int, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the status line and the headers."""
        self._is_stream = _STREAM_HEADER in headers
        await self._inner.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._is_stream and _TEXT_FIELD in data:
            self._record_token()
        await self._inner.write(data)

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body."""
        await self._inner.finish(data)

    def _record_token(self) -> None:
        now = trio.current_time()
        series = self._recorder.series(*self._key)
        if self._last_token_at is None:
            series.record("first_token", now - self._started_at)
        else:
            series.record("between_tokens", now - self._last_token_at)
        self._last_token_at = now


class ObserveFilter:
    """Count and time requests by client account and pool.

    Parameters
    ----------
    recorder : Recorder
        Recorder of the series.
    """

    def __init__(self, recorder: Recorder) -> None:
        self._recorder = recorder

    async def handle(self, call: Call, proceed: Proceed) -> Result[Served, Refusal]:
        """Forward the call with a timed sink; a call that its caller cancels is not counted."""
        timed = TimedSink(call.sink, self._recorder, call.account, call.pool.name)
        outcome = await proceed(replace(call, sink=timed))
        timed.end(outcome)
        return outcome
