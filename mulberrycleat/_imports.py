"""Import of trio without starting another process.

On import, trio asks ``ctypes.util.find_library`` for the thread library, which runs ``ldconfig``
and, where that fails, a compiler. Processes of the fleet don't start other processes.
"""

from __future__ import annotations

import ctypes.util
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["import_trio"]

LIBRARY_FILES = {"pthread": "libpthread.so.0"}


def import_trio() -> None:
    """Import trio while ``find_library`` looks library names up in a fixed table."""
    with _fixed_find_library():
        import trio  # noqa: F401


@contextmanager
def _fixed_find_library() -> Iterator[None]:
    original = ctypes.util.find_library
    ctypes.util.find_library = LIBRARY_FILES.get
    try:
        yield
    finally:
        ctypes.util.find_library = original
