"""An endpoint's speed, learned from the outcomes of requests."""

from __future__ import annotations

__all__ = ["Speed"]

PRIOR_PREFILL_TOKENS_PER_S = 4000.0
PRIOR_WEIGHT_TOKENS = 1000.0
PRIOR_TOKEN_S = 0.02
KEPT_SHARE = 0.95
FASTER_GAIN = 0.3
SLOWER_GAIN = 0.03
USUAL_GAIN = 0.1
KEPT_PEAK = 0.98
CHUNK_TOKENS = 384
SLOWDOWN_PER_REQUEST = 0.03
MIN_TOKENS = 4


class Speed:
    """Prefill and decode speed.

    Prefill speed is tokens read over time waited, with decayed sums, so that long prompts weigh
    more than short ones. The time of a token is kept for an engine that runs one request; each
    further request adds a fixed share to it. It is kept twice: as usually met, and as met while no
    prompt is read, which follows faster answers sooner than slower ones. A prompt that is read adds
    the time of one chunk to each token.
    """

    def __init__(self) -> None:
        self._tokens = PRIOR_WEIGHT_TOKENS
        self._time_s = PRIOR_WEIGHT_TOKENS / PRIOR_PREFILL_TOKENS_PER_S
        self._alone_s = PRIOR_TOKEN_S
        self._usual_s = PRIOR_TOKEN_S
        self._peak = PRIOR_PREFILL_TOKENS_PER_S

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens read a second."""
        return self._tokens / self._time_s

    def hopeful(self) -> Speed:
        """Return the speed at this endpoint's best of late, for one that was long not tried."""
        speed = Speed()
        speed._tokens = PRIOR_WEIGHT_TOKENS
        speed._time_s = PRIOR_WEIGHT_TOKENS / max(self._peak, self.prefill_tokens_per_s)
        speed._alone_s = self._alone_s
        speed._usual_s = min(self._alone_s, self._usual_s)
        return speed

    def token_s(self, running: float) -> float:
        """Return the usual time of one token with `running` requests at once, in seconds."""
        return self._usual_s * (1 + SLOWDOWN_PER_REQUEST * running)

    def decode_s(self, tokens: float, running: float, reading_s: float) -> float:
        """Return the time of `tokens`, while prompts are read for the first `reading_s` of it."""
        usual_s = self.token_s(running)
        alone_s = self._alone_s * (1 + SLOWDOWN_PER_REQUEST * running)
        slowed_s = max(usual_s, alone_s + CHUNK_TOKENS / self.prefill_tokens_per_s)
        slowed_tokens = min(tokens, reading_s / slowed_s)
        return slowed_tokens * slowed_s + (tokens - slowed_tokens) * usual_s

    def note_first_token(self, tokens: int, waited_s: float) -> None:
        """Note that `tokens`, those ahead included, were read in `waited_s`."""
        self._tokens = self._tokens * KEPT_SHARE + tokens
        self._time_s = self._time_s * KEPT_SHARE + waited_s
        self._peak = max(self._peak * KEPT_PEAK, self.prefill_tokens_per_s)

    def note_decode(self, tokens: int, time_s: float, running: float) -> None:
        """Note that `tokens` came in `time_s` while `running` requests ran."""
        if tokens < MIN_TOKENS:
            return
        alone_s = time_s / tokens / (1 + SLOWDOWN_PER_REQUEST * running)
        gain = FASTER_GAIN if alone_s < self._alone_s else SLOWER_GAIN
        self._alone_s += gain * (alone_s - self._alone_s)
        self._usual_s += USUAL_GAIN * (alone_s - self._usual_s)
