"""What a request asks of an endpoint, and how urgent that makes it."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["LOWEST_PRIORITY", "SHORT_WORK_TOKENS", "Demand", "priority_of"]

LOWEST_PRIORITY = 9
DECODE_WEIGHT = 4
SHORT_WORK_TOKENS = 2000
_BOUNDS_TOKENS = (SHORT_WORK_TOKENS, 4000, 8000, 16000)
_PRIORITIES = (1, 3, 4, 5, 6)


class Demand(NamedTuple):
    """The work of one request.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt.
    max_tokens : int
        Bound on generated tokens.
    keys : tuple of int
        Keys of the prompt's prefixes, see :func:`~mulberrycleat.endpoint.prefix.prefix_keys`.
    """

    prompt_tokens: int
    max_tokens: int
    keys: tuple[int, ...] = ()

    @property
    def work_tokens(self) -> int:
        """Work in prompt tokens; a generated token counts as several of them."""
        return self.prompt_tokens + DECODE_WEIGHT * self.max_tokens

    @property
    def is_short(self) -> bool:
        """Whether the request may pass longer ones."""
        return self.work_tokens < SHORT_WORK_TOKENS


def priority_of(demand: Demand) -> int:
    """Return the priority for the engine; a lower number is served sooner.

    >>> priority_of(Demand(60, 40)), priority_of(Demand(6000, 300))
    (1, 4)
    """
    for bound, priority in zip(_BOUNDS_TOKENS, _PRIORITIES, strict=False):
        if demand.work_tokens < bound:
            return priority
    return _PRIORITIES[-1]
