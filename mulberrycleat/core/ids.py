"""Identifiers of hosts, incarnations and requests."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

__all__ = ["Holder", "new_id", "seeded_ids"]

_ID_BITS = 80
_ID_DIGITS = _ID_BITS // 4
_random_sources: list[random.Random] = [random.SystemRandom()]


def new_id() -> str:
    """Return an unguessable identifier of 20 hexadecimal digits.

    >>> len(new_id())
    20
    """
    return f"{_random_sources[-1].getrandbits(_ID_BITS):0{_ID_DIGITS}x}"


@contextmanager
def seeded_ids(seed: int) -> Iterator[None]:
    """Make :func:`new_id` deterministic inside the block, for tests.

    >>> with seeded_ids(1):
    ...     first = new_id()
    >>> with seeded_ids(1):
    ...     first == new_id()
    True
    """
    _random_sources.append(random.Random(seed))
    try:
        yield
    finally:
        _random_sources.pop()


class Holder(NamedTuple):
    """One incarnation of a host's controller, which holds slices of budgets.

    A restarted controller has a new `incarnation` and is a new holder.

    >>> str(Holder("a1", "east-a", "7f"))
    'a1/7f'
    """

    host: str
    zone: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.host}/{self.incarnation}"
