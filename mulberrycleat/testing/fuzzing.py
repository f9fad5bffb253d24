"""Settings of hypothesis that make a run repeatable."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import hypothesis

__all__ = ["fuzz"]


def fuzz(examples: int) -> Callable[[Any], Any]:
    """Return the decorator of a fuzzed test: the same examples each time, no time bound."""
    return hypothesis.settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
