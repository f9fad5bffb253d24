"""An endpoint's speed, learned from the outcomes of requests."""

from __future__ import annotations

__all__ = ["Speed"]

PRIOR_PREFILL_TOKENS_PER_S = 4000.0
PRIOR_WEIGHT_TOKENS = 1000.0
PRIOR_TOKEN_S = 0.02
KEPT_SHARE = 0.95
TOKEN_GAIN = 0.1
SLOWDOWN_PER_REQUEST = 0.03
MIN_TOKENS = 4


class Speed:
    """Prefill and decode speed.

    Prefill speed is tokens read over time waited, with decayed sums, so that long prompts weigh
    more than short ones. Decode time is kept for an engine that runs one request; each further one
    adds a fixed share to it.
    """

    def __init__(self) -> None:
        self._tokens = PRIOR_WEIGHT_TOKENS
        self._time_s = PRIOR_WEIGHT_TOKENS / PRIOR_PREFILL_TOKENS_PER_S
        self._alone_s = PRIOR_TOKEN_S
        self._samples = 0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens read a second."""
        return self._tokens / self._time_s

    def token_s(self, running: float) -> float:
        """Return the time of one token with `running` requests at once, in seconds."""
        return self._alone_s * (1 + SLOWDOWN_PER_REQUEST * running)

    def note_first_token(self, tokens: int, waited_s: float) -> None:
        """Note that `tokens`, those ahead included, were read in `waited_s`."""
        self._tokens = self._tokens * KEPT_SHARE + tokens
        self._time_s = self._time_s * KEPT_SHARE + waited_s

    def note_decode(self, tokens: int, time_s: float, running: float) -> None:
        """Note that `tokens` came in `time_s` while `running` requests ran."""
        if tokens < MIN_TOKENS:
            return
        alone_s = time_s / tokens / (1 + SLOWDOWN_PER_REQUEST * running)
        self._samples += 1
        gain = max(TOKEN_GAIN, 1 / self._samples)
        self._alone_s += gain * (alone_s - self._alone_s)
