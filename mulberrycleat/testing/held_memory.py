"""Measures what the product's code holds without the help of the cyclic garbage collector."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["count_large_objects", "held_bytes", "no_collections"]

# The code of an entry host; stand-ins keep what they have received.
HOST_CODE = [
    tracemalloc.Filter(True, f"*/mulberrycleat/{package}/*.py")
    for package in ("core", "endpoint", "entry", "web")
]
NOT_TESTS = tracemalloc.Filter(False, "*/tests/*.py")


@contextmanager
def no_collections() -> Iterator[None]:
    """Trace allocations while the block runs, in which the cyclic collector doesn't run."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


def held_bytes() -> int:
    """Return the bytes that the code of a host has allocated in the block and not freed."""
    found = tracemalloc.take_snapshot().filter_traces(HOST_CODE).filter_traces([NOT_TESTS])
    return sum(trace.size for trace in found.traces)


def count_large_objects(min_bytes: int) -> int:
    """Return how many objects of at least this size any code has allocated and not freed."""
    return sum(trace.size >= min_bytes for trace in tracemalloc.take_snapshot().traces)
