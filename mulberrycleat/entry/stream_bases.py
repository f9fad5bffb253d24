"""Controller of the bases of pools: at which version streams may begin before they are recorded."""

from __future__ import annotations

from collections.abc import Callable

import trio

from mulberrycleat.endpoint.directory import Directory
from mulberrycleat.endpoint.stream_bases import BaseStatement, StreamBases
from mulberrycleat.endpoint.stream_origins import ORIGIN_TTL_S, StreamOrigin
from mulberrycleat.entry.decisions import DecisionLog

__all__ = ["BaseController"]

# A pool that has got a second version keeps its base for this time, in seconds. Hosts learn of the
# version within a read of the directory, and callers take up the streams of a host that was killed
# before within seconds. While the store is away, new streams begin at the base only.
BASE_KEPT_S = 8.0
# A stream is taken to have begun at the base if the log had a statement of it in this time, in
# seconds: half of that for which the log keeps its records, so that hosts which have started since
# know the base.
BASE_STATED_S = 10.0


class BaseController:
    """States the bases of pools and their ends, as the directory shows them.

    Parameters
    ----------
    directory : Directory
        The endpoints and their versions.
    versions : callable
        Returns the versions of a pool of which streams may still be taken up.
    decisions : DecisionLog
        Log of statements.
    """

    def __init__(
        self, directory: Directory, versions: Callable[[str], set[str]], decisions: DecisionLog
    ) -> None:
        self._directory = directory
        self._versions = versions
        self._decisions = decisions
        self._bases = StreamBases()
        # When a pool with a base was first seen with several versions.
        self._mixed_since: dict[str, float] = {}
        # Pools in which streams began, or were taken up, at this host.
        self._pools: set[str] = set()
        # Era of the store in which the log was read to its end; None before that.
        self._era: int | None = None

    @property
    def unlogged(self) -> dict[str, BaseStatement]:
        """Statements, by pool, that are not known to be in the log."""
        return self._bases.unlogged

    def statement(self, pool: str) -> BaseStatement | None:
        """Return the latest statement about a pool."""
        return self._bases.statement(pool)

    def apply(self, pool: str, statement: BaseStatement) -> None:
        """Apply a statement that the log has."""
        self._bases.apply(pool, statement, trio.current_time())

    def note_read(self, era: int) -> None:
        """Note that the log was read to its end, in an era of the store."""
        self._era = era

    def note_pool(self, pool: str) -> None:
        """State the base of a pool from now on, if it has one."""
        if pool not in self._pools:
            self._pools.add(pool)
            self._update(pool)

    def update(self) -> None:
        """State the bases of pools, or their ends, where that is due."""
        for pool in self._pools:
            self._update(pool)

    def in_force(self, pool: str) -> str | None:
        """Return the base of a pool as far as the log was read, None if it has none."""
        return None if self._era is None else self._bases.in_force(pool, self._era)

    def usable(self, pool: str) -> str | None:
        """Return the base that any host may take to be in force, None if no stream can begin there.

        A host that has not read the log since its start takes the version of the endpoint that has
        run for longest.
        """
        ready = self._directory.ready(pool, trio.current_time())
        if self._era is None:
            return min(ready, key=lambda entry: entry.born).version if ready else None
        base = self._bases.may_be_in_force(pool)
        return base if any(entry.version == base for entry in ready) else None

    def allows_unrecorded(self, origin: StreamOrigin) -> bool:
        """Whether a stream of this origin may begin before it is recorded.

        No host may take it for one of another version. This can't be held for an endpoint that has
        started again while the store is away, as all endpoints may have.
        """
        if not origin.is_known or origin.version == self._bases.may_be_in_force(origin.pool):
            return True
        return self.usable(origin.pool) in (None, origin.version)

    def unrecorded_origin(self, pool: str) -> StreamOrigin | None:
        """Return where a stream began that the log, just read, doesn't have; None if unknown."""
        self._update(pool)
        base = self.in_force(pool)
        if base is None or self._bases.logged_age_s(pool, trio.current_time()) > BASE_STATED_S:
            return None
        return StreamOrigin(pool, base)

    def _update(self, pool: str) -> None:
        now = trio.current_time()
        if self._era is None or not self._directory.is_complete(now):
            return
        versions, base = self._versions(pool), self.in_force(pool)
        if base is None:
            self._mixed_since.pop(pool, None)
            statement = self._bases.statement(pool)
            is_due = statement is None or statement.era < self._era
            if len(versions) == 1 and (is_due or self._bases.age_s(pool, now) >= ORIGIN_TTL_S):
                self._bases.declare(pool, *versions, self._era, now)
                self._log(pool, "the only version")
        elif all(entry.version != base for entry in self._directory.ready(pool, now)):
            self._withdraw(pool, "the version leaves")
        elif len(versions) < 2:
            self._mixed_since.pop(pool, None)
        elif now - self._mixed_since.setdefault(pool, now) >= BASE_KEPT_S:
            self._withdraw(pool, "there are several versions")

    def _withdraw(self, pool: str, why: str) -> None:
        self._bases.withdraw(pool, trio.current_time())
        self._log(pool, why)

    def _log(self, pool: str, why: str) -> None:
        statement = self._bases.statement(pool)
        self._decisions.info(
            "base of streams stated",
            pool=pool,
            version=statement.version,
            number=statement.number,
            why=why,
        )
