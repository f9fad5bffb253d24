"""Import of trio without starting a process.

On import, trio asks ``ctypes.util.find_library`` for the thread library, which runs ``ldconfig``
and, where that fails, a compiler. Processes of the fleet start no other process.
"""

from __future__ import annotations

import ctypes.util
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["import_trio"]

THREAD_LIBRARIES = {"pthread": "libpthread.so.0"}


def import_trio() -> None:
    """Import trio while names of libraries are answered from a table."""
    with _libraries_by_table():
        import trio  # noqa: F401


@contextmanager
def _libraries_by_table() -> Iterator[None]:
    original = ctypes.util.find_library
    ctypes.util.find_library = THREAD_LIBRARIES.get
    try:
        yield
    finally:
        ctypes.util.find_library = original
