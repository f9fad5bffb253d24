"""Work that a request causes at an endpoint, and the priority that follows from it."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LOWEST_PRIORITY", "SHORT_WORK_TOKENS", "Demand", "priority_of"]

LOWEST_PRIORITY = 9
DECODE_WEIGHT = 4
SHORT_WORK_TOKENS = 2000
# Priorities of requests with less work than each of the limits; the last one is for all others.
_WORK_LIMITS_TOKENS = (SHORT_WORK_TOKENS, 4000, 8000, 16000)
_PRIORITIES = (1, 3, 4, 5, 6)


class Demand(NamedTuple):
    """Work of one request.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt in tokens.
    max_tokens : int
        Upper limit of generated tokens.
    keys : tuple of int
        Keys of the prompt's prefixes, see :func:`~mulberrycleat.endpoint.prefix.prefix_keys`.
    """

    prompt_tokens: int
    max_tokens: int
    keys: tuple[int, ...] = ()

    @property
    def work_tokens(self) -> int:
        """Work in prompt tokens; a generated token counts as ``DECODE_WEIGHT`` prompt tokens."""
        return self.prompt_tokens + DECODE_WEIGHT * self.max_tokens

    @property
    def is_short(self) -> bool:
        """Whether the request may be served ahead of longer ones."""
        return self.work_tokens < SHORT_WORK_TOKENS


def priority_of(demand: Demand) -> int:
    """Return the priority for the engine; lower numbers are served sooner.

    >>> priority_of(Demand(60, 40)), priority_of(Demand(6000, 300))
    (1, 4)
    """
    for limit, priority in zip(_WORK_LIMITS_TOKENS, _PRIORITIES, strict=False):
        if demand.work_tokens < limit:
            return priority
    return _PRIORITIES[-1]
