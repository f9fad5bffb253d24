"""Prefill and decode speed of an endpoint, estimated from completed requests."""

from __future__ import annotations

__all__ = ["Speed"]

PRIOR_PREFILL_TOKENS_PER_S = 4000.0
PRIOR_WEIGHT_TOKENS = 1000.0
PRIOR_TOKEN_S = 0.02
PREFILL_DECAY = 0.95
FASTER_GAIN = 0.3
SLOWER_GAIN = 0.03
AVERAGE_GAIN = 0.1
PEAK_DECAY = 0.98
# Prompt tokens that an engine is assumed to prefill between two generated tokens.
CHUNK_TOKENS = 384
# Fraction of the time per token that each other running request adds to it.
SLOWDOWN_PER_REQUEST = 0.03
# Answers with fewer generated tokens don't change the times per token.
MIN_TOKENS = 4


class Speed:
    """Prefill and decode speed of one endpoint.

    The prefill speed is the number of prefilled tokens divided by the time waited, both as decaying
    sums, so that long prompts count more than short ones. The time per generated token is stored
    for an engine that runs a single request; each further request adds a fixed fraction to it.
    There are two such estimates: the average, and the one for times without any prefill, which
    adapts to faster answers sooner than to slower ones. A prefill that runs at the same time adds
    the time of one chunk to each token.
    """

    def __init__(self) -> None:
        self._prefill_tokens = PRIOR_WEIGHT_TOKENS
        self._prefill_s = PRIOR_WEIGHT_TOKENS / PRIOR_PREFILL_TOKENS_PER_S
        self._undisturbed_token_s = PRIOR_TOKEN_S
        self._average_token_s = PRIOR_TOKEN_S
        self._peak_tokens_per_s = PRIOR_PREFILL_TOKENS_PER_S

    @property
    def prefill_tokens_per_s(self) -> float:
        """Prompt tokens prefilled per second."""
        return self._prefill_tokens / self._prefill_s

    def recent_best(self) -> Speed:
        """Return the recent best speed, for an endpoint without recent requests."""
        speed = Speed()
        speed._prefill_tokens = PRIOR_WEIGHT_TOKENS
        speed._prefill_s = PRIOR_WEIGHT_TOKENS / max(
            self._peak_tokens_per_s, self.prefill_tokens_per_s
        )
        speed._undisturbed_token_s = self._undisturbed_token_s
        speed._average_token_s = min(self._undisturbed_token_s, self._average_token_s)
        return speed

    def token_s(self, running: float) -> float:
        """Return the average time per token, in seconds, beside `running` other requests."""
        return self._average_token_s * (1 + SLOWDOWN_PER_REQUEST * running)

    def decode_s(self, tokens: float, running: float, prefill_s: float) -> float:
        """Return the seconds to generate `tokens`, with prefill during the first `prefill_s`."""
        average_s = self.token_s(running)
        undisturbed_s = self._undisturbed_token_s * (1 + SLOWDOWN_PER_REQUEST * running)
        slowed_s = max(average_s, undisturbed_s + CHUNK_TOKENS / self.prefill_tokens_per_s)
        slowed_tokens = min(tokens, prefill_s / slowed_s)
        return slowed_tokens * slowed_s + (tokens - slowed_tokens) * average_s

    def record_first_token(self, tokens: int, waited_s: float) -> None:
        """Record that `tokens`, including those queued ahead, were prefilled in `waited_s`."""
        self._prefill_tokens = self._prefill_tokens * PREFILL_DECAY + tokens
        self._prefill_s = self._prefill_s * PREFILL_DECAY + waited_s
        self._peak_tokens_per_s = max(
            self._peak_tokens_per_s * PEAK_DECAY, self.prefill_tokens_per_s
        )

    def record_decode(self, tokens: int, time_s: float, running: float) -> None:
        """Record that `tokens` were generated in `time_s` beside `running` other requests."""
        if tokens < MIN_TOKENS:
            return
        single_s = time_s / tokens / (1 + SLOWDOWN_PER_REQUEST * running)
        gain = FASTER_GAIN if single_s < self._undisturbed_token_s else SLOWER_GAIN
        self._undisturbed_token_s += gain * (single_s - self._undisturbed_token_s)
        self._average_token_s += AVERAGE_GAIN * (single_s - self._average_token_s)
