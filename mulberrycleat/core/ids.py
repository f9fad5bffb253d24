"""Identifiers of hosts, incarnations and requests."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from hashlib import blake2b
from typing import NamedTuple

__all__ = ["Holder", "bounded_id", "new_id", "seeded_ids"]

# Size of the digest in place of an id that is too long, in bytes.
_DIGEST_BYTES = 16
_ID_BITS = 80
_ID_DIGITS = _ID_BITS // 4
_random_sources: list[random.Random] = [random.SystemRandom()]


def new_id() -> str:
    """Return an unguessable identifier of 20 hexadecimal digits.

    >>> len(new_id())
    20
    """
    return f"{_random_sources[-1].getrandbits(_ID_BITS):0{_ID_DIGITS}x}"


def bounded_id(value: str, max_length: int) -> str:
    """Return an id that others have chosen, or a digest of it if it is too long to be kept.

    Parameters
    ----------
    max_length : int
        Length up to which an id is returned as it is, in characters; 40 at least.

    Examples
    --------
    >>> bounded_id("aa", 64), bounded_id("a" * 65, 64)
    ('aa', 'digest-6c79be0b5947a7307cdad5a8757bb005')
    """
    if len(value) <= max_length:
        return value
    digest = blake2b(value.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES)
    return f"digest-{digest.hexdigest()}"


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
