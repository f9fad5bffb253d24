"""An engine's load report, which lags behind its load."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

import trio

from mulberrycleat.standin.engine_dispatch import DispatchTable
from mulberrycleat.standin.settings import StandinSettings

__all__ = ["LoadHistory"]

MAX_SAMPLES = 4000


class _Sample(NamedTuple):
    at: float
    requests: int
    prefill_tokens: int
    decode_tokens: int


class LoadHistory:
    """Samples of an engine's load; reports are made from a sample of `load_lag_s` ago.

    Parameters
    ----------
    settings : StandinSettings
        Lag of the reports.
    dispatches : DispatchTable
        The engine's dispatches.
    """

    def __init__(self, settings: StandinSettings, dispatches: DispatchTable) -> None:
        self._settings = settings
        self._dispatches = dispatches
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)

    def sample(self) -> None:
        """Record the current load."""
        open_dispatches = self._dispatches.open
        prefill = sum(d.prompt_tokens - d.cached_tokens for d in open_dispatches if not d.prefilled)
        decode = sum(max(0, d.max_tokens - d.generated_tokens) for d in open_dispatches)
        self._samples.append(_Sample(trio.current_time(), len(open_dispatches), prefill, decode))

    def report(self, running: int, waiting: int) -> dict[str, Any]:
        """Return the newest sample that is at least `load_lag_s` old.

        ``age_s`` is the sample's age in seconds, ``prefill_tokens`` the number of prompt tokens
        still to be read and ``decode_tokens`` the maximum number of tokens still to be generated.
        ``running`` and ``waiting`` are the current numbers that the caller passes.
        """
        self.sample()
        now = trio.current_time()
        visible = _Sample(now - self._settings.load_lag_s, 0, 0, 0)
        for sample in self._samples:
            if sample.at > now - self._settings.load_lag_s:
                break
            visible = sample
        return {
            "age_s": round(now - visible.at, 3),
            "requests": visible.requests,
            "prefill_tokens": visible.prefill_tokens,
            "decode_tokens": visible.decode_tokens,
            "running": running,
            "waiting": waiting,
        }
