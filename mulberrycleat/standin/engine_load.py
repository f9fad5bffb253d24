"""An engine's load report, shown with a lag."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

import trio

from mulberrycleat.standin.engine_work import WorkTable
from mulberrycleat.standin.settings import StandinSettings

__all__ = ["LoadHistory"]

KEPT_SAMPLES = 4000


class _Sample(NamedTuple):
    at: float
    requests: int
    prefill_tokens: int
    decode_tokens: int


class LoadHistory:
    """Samples of an engine's open work, of which reports show old ones.

    Parameters
    ----------
    settings : StandinSettings
        Lag of the reports.
    works : WorkTable
        The engine's work.
    """

    def __init__(self, settings: StandinSettings, works: WorkTable) -> None:
        self._settings = settings
        self._works = works
        self._samples: deque[_Sample] = deque(maxlen=KEPT_SAMPLES)

    def sample(self) -> None:
        """Remember the load of now."""
        open_works = self._works.open
        prefill = sum(w.prompt_tokens - w.cached_tokens for w in open_works if not w.prefilled)
        decode = sum(max(0, w.max_tokens - w.generated_tokens) for w in open_works)
        self._samples.append(_Sample(trio.current_time(), len(open_works), prefill, decode))

    def report(self, running: int, waiting: int) -> dict[str, Any]:
        """Return the newest sample that is old enough to show.

        ``age_s`` is the sample's age, ``prefill_tokens`` the prompt tokens still to be read and
        ``decode_tokens`` the most tokens still to be generated.
        """
        self.sample()
        now = trio.current_time()
        shown = _Sample(now - self._settings.load_lag_s, 0, 0, 0)
        for sample in self._samples:
            if sample.at > now - self._settings.load_lag_s:
                break
            shown = sample
        return {
            "age_s": round(now - shown.at, 3),
            "requests": shown.requests,
            "prefill_tokens": shown.prefill_tokens,
            "decode_tokens": shown.decode_tokens,
            "running": running,
            "waiting": waiting,
        }
