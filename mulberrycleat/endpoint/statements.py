"""What endpoints state of themselves in their answers, and whether they get requests. Free of I/O.

An endpoint that leaves says so before its entry in the directory does, and also while this host
can't read the directory. An endpoint that declines a request may ask for a pause. Both belong to
one incarnation of the endpoint.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from mulberrycleat.endpoint.directory import Entry

__all__ = ["DRAIN_MARGIN_S", "EndpointStatements", "Leaving", "Pause", "Statement"]

# Longest pause that is taken as stated, in seconds; longer ones are cut to it.
MAX_PAUSE_S = 600.0
# After a pause, one request is sent first. If its answer has not come after this time, in seconds,
# another one is.
TRIAL_TIMEOUT_S = 2.0
# Time before the end of the drain from which on a leaving endpoint gets no request, in seconds: a
# request that is accepted in the last moment still has to reach it.
DRAIN_MARGIN_S = 0.2
# A statement is remembered for this time after it was made or has ended, in seconds. It outlasts
# entries that disappear for a while and come back.
STATEMENT_TTL_S = 600.0
# Most endpoints whose statements are remembered.
MAX_STATEMENTS = 4096


class Leaving(NamedTuple):
    """The endpoint leaves, and wants no new requests."""


class Pause(NamedTuple):
    """The endpoint wants no requests of this host for `seconds`."""

    seconds: float


Statement = Leaving | Pause


@dataclass(slots=True)
class _Stated:
    """Statements of one incarnation; times are in seconds.

    Attributes
    ----------
    stated_at : float
        When the latest statement came.
    leaving_since : float or None
        When it first stated that it leaves.
    paused_until : float or None
        End of the pause; None without one.
    tried_at : float
        When the first request after a pause was sent.
    """

    stated_at: float
    leaving_since: float | None = None
    paused_until: float | None = None
    tried_at: float = float("-inf")


class EndpointStatements:
    """Statements of endpoints by incarnation.

    Times `now` are in seconds, on any clock that does not go back.

    Examples
    --------
    >>> first, second = (Entry(i, "huts", f"10.0.0.{i}:80", "a") for i in "12")
    >>> statements = EndpointStatements()
    >>> statements.observe(first.incarnation, Pause(1.5), now=0.0)
    True
    >>> [entry.id for entry in statements.sendable([first, second], now=1.0, drain_s=2.0)]
    ['2']
    >>> statements.wait_s([first], now=1.0)
    0.5
    """

    def __init__(self) -> None:
        self._stated: dict[str, _Stated] = {}

    def leaving(self, now: float) -> frozenset[str]:
        """Return the incarnations that have stated that they leave."""
        self._drop_expired(now)
        return frozenset(i for i, s in self._stated.items() if s.leaving_since is not None)

    def paused(self, now: float) -> frozenset[str]:
        """Return the incarnations that want no request now."""
        return frozenset(i for i in self._stated if self._pause_s(i, now) > 0)

    def observe(self, endpoint: str, statement: Statement, now: float) -> bool:
        """Apply a statement of an incarnation; return whether it changes anything."""
        self._drop_expired(now)
        stated = self._stated.setdefault(endpoint, _Stated(now))
        stated.stated_at = now
        match statement:
            case Leaving():
                is_new = stated.leaving_since is None
                if is_new:
                    stated.leaving_since = now
                return is_new
            case Pause(seconds):
                until = now + min(seconds, MAX_PAUSE_S)
                if stated.paused_until is not None and until <= stated.paused_until:
                    return False
                stated.paused_until = until
                return True

    def record_send(self, endpoint: str, now: float) -> None:
        """Record that a request was sent to an incarnation."""
        stated = self._stated.get(endpoint)
        if stated is not None and stated.paused_until is not None:
            stated.tried_at = now

    def record_answer(self, endpoint: str, sent_at: float) -> bool:
        """Record an answer without a pause; return whether it ends one.

        Only the answer to a request that was sent after a pause ends it.
        """
        stated = self._stated.get(endpoint)
        if stated is None or stated.paused_until is None or sent_at < stated.paused_until:
            return False
        stated.paused_until = None
        return True

    def sendable(self, entries: Sequence[Entry], now: float, drain_s: float) -> list[Entry]:
        """Return the endpoints that take a request now.

        Leaving ones are used only while there are no others, and only for the time `drain_s` after
        their statement, in seconds.
        """
        if not self._stated:
            return list(entries)
        staying, leaving = [], []
        for entry in entries:
            if self._pause_s(entry.incarnation, now) > 0:
                continue
            since = self._leaving_since(entry)
            if since is None:
                staying.append(entry)
            elif now < since + drain_s - DRAIN_MARGIN_S:
                leaving.append(entry)
        return staying or leaving

    def wait_s(self, entries: Sequence[Entry], now: float) -> float | None:
        """Return the time until the first pause of some endpoints ends, in seconds.

        None if none of them is paused.
        """
        waits = [
            self._pause_s(entry.incarnation, now)
            for entry in entries
            if self._leaving_since(entry) is None
        ]
        return min((wait_s for wait_s in waits if wait_s > 0), default=None)

    def _leaving_since(self, entry: Entry) -> float | None:
        stated = self._stated.get(entry.incarnation)
        return None if stated is None else stated.leaving_since

    def _pause_s(self, endpoint: str, now: float) -> float:
        """Return for how long an incarnation gets no request, in seconds."""
        stated = self._stated.get(endpoint)
        if stated is None or stated.paused_until is None:
            return 0.0
        if now < stated.paused_until:
            return stated.paused_until - now
        if stated.tried_at < stated.paused_until:
            return 0.0
        return max(0.0, stated.tried_at + TRIAL_TIMEOUT_S - now)

    def _drop_expired(self, now: float) -> None:
        for endpoint, stated in list(self._stated.items()):
            if now - max(stated.stated_at, stated.paused_until or 0.0) >= STATEMENT_TTL_S:
                del self._stated[endpoint]
        while len(self._stated) > MAX_STATEMENTS:
            del self._stated[next(iter(self._stated))]
