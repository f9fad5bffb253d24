"""Rendezvous hashing: hosts that know the same hosts choose the same one for a task."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

__all__ = ["first_by_rank", "ranked"]

_SCORE_BYTES = 8


def ranked(task: str, names: Iterable[str]) -> list[str]:
    """Return `names` ranked for `task`; removing a name does not change the order of the others.

    >>> order = ranked("manifest", ["a", "b", "c"])
    >>> ranked("manifest", [name for name in "abc" if name != order[0]]) == order[1:]
    True
    """
    return sorted(names, key=lambda name: (_score(task, name), name))


def first_by_rank(task: str, names: Iterable[str]) -> str | None:
    """Return the first of `names` as ranked for `task`, or None when there are no names."""
    return next(iter(ranked(task, names)), None)


def _score(task: str, name: str) -> bytes:
    return hashlib.blake2b(f"{task}\0{name}".encode(), digest_size=_SCORE_BYTES).digest()
