"""Names of hosts, incarnations and requests."""

from __future__ import annotations

import secrets
from typing import NamedTuple

__all__ = ["Holder", "new_id"]

_ID_BYTES = 10


def new_id() -> str:
    """Return an unguessable identifier of 20 hexadecimal digits.

    >>> len(new_id())
    20
    """
    return secrets.token_hex(_ID_BYTES)


class Holder(NamedTuple):
    """One incarnation of a host: a host that restarts is another holder.

    >>> str(Holder("a1", "east-a", "7f"))
    'a1/7f'
    """

    host: str
    zone: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.host}/{self.incarnation}"
