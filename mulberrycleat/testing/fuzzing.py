"""Hypothesis settings for reproducible runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import hypothesis

__all__ = ["fuzz"]


def fuzz(examples: int, shrink: bool = True) -> Callable[[Any], Any]:
    """Return the decorator of a fuzz test: the same examples in each run, without a deadline.

    Parameters
    ----------
    examples : int
        Maximum number of examples.
    shrink : bool
        Whether to shrink a failing example; shrinking is too slow if each example runs a fleet.
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
