"""Settings of hypothesis that make a run repeatable."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import hypothesis

__all__ = ["fuzz"]


def fuzz(examples: int, shrink: bool = True) -> Callable[[Any], Any]:
    """Return the decorator of a fuzzed test: the same examples each time, no time bound.

    Parameters
    ----------
    shrink : bool
        Whether a failing example is made smaller; not worth it where each runs a whole fleet.
    """
    phases = [hypothesis.Phase.explicit, hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
