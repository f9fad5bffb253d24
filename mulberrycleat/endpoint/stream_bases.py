"""The version at which streams may begin without a record, of each pool. Free of I/O.

Hosts state in the log of origins at which version of a pool streams may begin before they are
recorded: the base, the only version there is. At any other version, a stream begins only once it is
recorded. So a stream that is recorded nowhere began at the base, if the base was in force when the
log was read: no host begins an unrecorded stream elsewhere before it knows that the log has the end
of the base. Only the order of the log is compared, no clock.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = ["BaseStatement", "StreamBases"]

# Longest name of a version, in characters; the same as in records of origins.
MAX_VERSION_LENGTH = 256


class BaseStatement(msgspec.Struct, frozen=True, order=True):
    """Statement about the base of a pool; a later one has the greater era or number.

    Attributes
    ----------
    era : int
        Era of the store in which it was made. One from before the store was restored says nothing
        of the streams whose records were lost then.
    number : int
        Number of the statement within the pool.
    version : str
        The base; empty if there is none from now on.
    """

    era: int
    number: int
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_LENGTH)]


class StreamBases:
    """What a host knows of the bases, from the log and from its own statements.

    Times `now` are in seconds, on any clock that does not go back.

    Examples
    --------
    >>> bases = StreamBases()
    >>> bases.declare("engines", "v1", era=1, now=0.0)
    >>> bases.in_force("engines", era=1), bases.in_force("engines", era=2)
    ('v1', None)
    >>> bases.apply("engines", BaseStatement(1, 1, "v1"), now=0.1)
    >>> bases.withdraw("engines", now=8.0)
    >>> bases.in_force("engines", era=1), bases.may_be_in_force("engines")
    (None, 'v1')
    >>> bases.apply("engines", BaseStatement(1, 2, ""), now=9.0)
    >>> bases.may_be_in_force("engines") is None
    True
    """

    def __init__(self) -> None:
        self._newest: dict[str, BaseStatement] = {}
        self._changed_at: dict[str, float] = {}
        # The latest statements that the log is known to have, and when they were last seen in it.
        self._logged: dict[str, BaseStatement] = {}
        self._logged_at: dict[str, float] = {}

    @property
    def unlogged(self) -> dict[str, BaseStatement]:
        """Statements, by pool, that are not known to be in the log."""
        return {pool: s for pool, s in self._newest.items() if self._logged.get(pool) != s}

    def statement(self, pool: str) -> BaseStatement | None:
        """Return the latest statement about a pool."""
        return self._newest.get(pool)

    def age_s(self, pool: str, now: float) -> float:
        """Return the time since the latest statement was made or learned; infinite without one."""
        return now - self._changed_at.get(pool, float("-inf"))

    def logged_age_s(self, pool: str, now: float) -> float:
        """Return the time since the latest statement was read in the log, or written there.

        A statement that hosts no longer repeat is not found by hosts that start: the log keeps its
        records for a limited time.
        """
        return now - self._logged_at.get(pool, float("-inf"))

    def in_force(self, pool: str, era: int) -> str | None:
        """Return the base of a pool, None if there is none in this era of the store."""
        statement = self._newest.get(pool)
        if statement is None or statement.era != era:
            return None
        return statement.version or None

    def may_be_in_force(self, pool: str) -> str | None:
        """Return the base that hosts which know the log only may take to be in force."""
        for statement in (self._newest.get(pool), self._logged.get(pool)):
            if statement is not None and statement.version:
                return statement.version
        return None

    def declare(self, pool: str, version: str, era: int, now: float) -> None:
        """State the base of a pool."""
        newest = self._newest.get(pool)
        number = 1 if newest is None else newest.number + 1
        self._update(pool, BaseStatement(era, number, version), now)

    def withdraw(self, pool: str, now: float) -> None:
        """State that a pool has no base from now on."""
        newest = self._newest[pool]
        self._update(pool, BaseStatement(newest.era, newest.number + 1, ""), now)

    def apply(self, pool: str, statement: BaseStatement, now: float) -> None:
        """Apply a statement that the log has."""
        logged = self._logged.get(pool)
        self._logged[pool] = statement if logged is None else _later(logged, statement)
        newest = self._newest.get(pool)
        later = statement if newest is None else _later(newest, statement)
        if later != newest:
            self._update(pool, later, now)
        if later == statement:
            self._logged_at[pool] = now

    def _update(self, pool: str, statement: BaseStatement, now: float) -> None:
        self._newest[pool], self._changed_at[pool] = statement, now


def _later(one: BaseStatement, other: BaseStatement) -> BaseStatement:
    """Return the later statement; hosts that state two bases at the same time state none."""
    if (one.era, one.number) == (other.era, other.number) and one.version != other.version:
        return BaseStatement(one.era, one.number, "")
    return max(one, other)
