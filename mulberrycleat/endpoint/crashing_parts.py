"""Prompt parts that crash endpoints, found from what all entry hosts report. Free of I/O.

A request may crash every endpoint that begins to answer it, because of one part of its prompt. A
host sees that a connection broke before any part of an answer came. That says little by itself,
since the requests of all hosts that ran at the endpoint break at the same time. The hosts therefore
share what they see in one log, and each of them draws the same conclusions from it: a part is
refused after a chain of `CHAIN_LENGTH` crashes of different endpoints, with no answer to any
request with the part since the first of them. Each request of a chain was sent by a host that had
read the report of the previous crash, so that endpoints that crash together, for another reason,
do not form a chain.

The whole content of a request can crash endpoints, too. It is tracked like a part, under an id of
its own. As only requests with the same content have it, a retry by the host that saw the previous
crash also lengthens its chain.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from mulberrycleat.core import START, Position
from mulberrycleat.endpoint.reports import (
    AnswerReport,
    CrashReport,
    PartReport,
    RefusalRenewal,
)

__all__ = ["CrashingParts", "PartChange", "RefusedPart", "content_id", "is_content"]

# Crashes in a chain after which a part is refused.
CHAIN_LENGTH = 3
# Crashes in a chain from which on an answer is reported to the other hosts.
REPORTED_CHAIN_LENGTH = 2
# A chain without a further crash for this time is dropped, in seconds.
CHAIN_TTL_S = 60.0
# Time after which one request with a refused part is tried, in seconds; doubled after each trial
# that crashed an endpoint, up to the maximum.
TRIAL_INTERVAL_S, MAX_TRIAL_INTERVAL_S = 20.0, 640.0
# A host may try this time later than the host before it in the order for the part, in seconds: long
# enough for most trials to end and be reported.
TRIAL_STEP_S = 2.0
# A trial without a known end is repeated after this time, in seconds.
TRIAL_TIMEOUT_S = 10.0
# Age of the latest record of a refusal from which on it is renewed, in seconds, so that the store's
# history always has one; and the further time that each next host in the order waits.
RENEWAL_INTERVAL_S, RENEWAL_STEP_S = 5.0, 0.5
# A host renews a refusal for this time after its latest request with the part; a refusal that no
# host has renewed for this time is dropped. In seconds.
REFUSAL_TTL_S = 120.0
# Largest number of parts that are tracked.
MAX_TRACKED_PARTS = 4096
# Retry-after of a refused request, in seconds.
MIN_RETRY_AFTER_S = 1.0


# Prefix of the ids of whole contents; ids of prompt parts are hexadecimal numbers. And the size of
# the digest that follows it, in bytes.
CONTENT_PREFIX, DIGEST_BYTES = "content-", 12


def content_id(fields: Iterable[bytes]) -> str:
    """Return the id of a request's content, given the fields that it consists of.

    >>> content_id((b"GET", b"/find/1")) == content_id((b"GET/find/1", b""))
    False
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for value in fields:
        digest.update(b"%d:" % len(value))
        digest.update(value)
    return CONTENT_PREFIX + digest.hexdigest()


def is_content(part: str) -> bool:
    """Whether an id stands for the whole content of a request, rather than for a prompt part."""
    return part.startswith(CONTENT_PREFIX)


class RefusedPart(NamedTuple):
    """A refused part, and the time until the next trial, in seconds."""

    part: str
    retry_after_s: float


class PartChange(NamedTuple):
    """A part that is refused from now on, or no longer.

    Attributes
    ----------
    endpoints : tuple of str
        The endpoints that crashed; empty if another host's renewal states the refusal.
    """

    part: str
    refused: bool
    endpoints: tuple[str, ...]
    failed_trials: int


@dataclass(slots=True)
class _TrackedPart:
    """What is known of a part; times are in seconds, on the clock of the calling code.

    Attributes
    ----------
    endpoints : list of str
        The endpoints that crashed.
    chain : int
        Length of the chain of crashes.
    chain_position : Position
        Position of the report that lengthened the chain last. Of a refused part, it is where the
        part was refused, or where its last trial failed.
    chain_endpoint : str
        The endpoint that crashed then.
    changed_at : float
        When the chain was last lengthened.
    answered : bool
        Whether this host has seen an answer since the first crash.
    refused_at : float or None
        Start of the refusal or of its last trial interval; None if the part is not refused.
    renewed_at : float
        When the latest record of the refusal was read.
    requested_at : float
        When this host last had a request with the part.
    tried_at : float
        When this host last sent a trial.
    """

    changed_at: float
    endpoints: list[str] = field(default_factory=list)
    chain: int = 0
    chain_position: Position = START
    chain_endpoint: str = ""
    answered: bool = False
    refused_at: float | None = None
    renewed_at: float = float("-inf")
    requested_at: float = float("-inf")
    tried_at: float = float("-inf")
    failed_trials: int = 0


class CrashingParts:
    """The parts that are refused, and those that may have crashed endpoints.

    Times `now` are in seconds, on any clock that does not go back.

    Parameters
    ----------
    rank : callable
        Returns this host's place, from 0, in the order of all hosts for a part, which is the same
        at all hosts. Trials and renewals follow it, so that few hosts make them at the same time.

    Examples
    --------
    >>> parts = CrashingParts(lambda part: 0)
    >>> for offset, endpoint in enumerate(("e1", "e2", "e3")):
    ...     report = CrashReport(endpoint, ("p", "q"), offset)
    ...     changes = parts.apply(report, Position(0, offset), now=1.0)
    ...     _ = parts.record_answer(("q",))
    >>> parts.apply(AnswerReport(("q",)), Position(0, 3), now=1.0)
    (PartChange(part='q', refused=False, endpoints=('e1', 'e2', 'e3'), failed_trials=0),)
    >>> parts.refusal(("q",), now=1.0), parts.refusal(("p",), now=1.0)
    (None, RefusedPart(part='p', retry_after_s=20.0))
    """

    def __init__(self, rank: Callable[[str], int]) -> None:
        self._rank = rank
        self._tracked: dict[str, _TrackedPart] = {}
        # Position of the latest answer report on each part.
        self._answered_at: dict[str, Position] = {}

    @property
    def refused(self) -> tuple[str, ...]:
        """The parts and contents that are refused."""
        return tuple(p for p, found in self._tracked.items() if found.refused_at is not None)

    def apply(self, record: PartReport, position: Position, now: float) -> tuple[PartChange, ...]:
        """Apply the record at a position of the log; return the parts refused or freed by it."""
        self._drop_expired(now)
        match record:
            case CrashReport():
                changes = [self._apply_crash(part, record, position, now) for part in record.parts]
            case AnswerReport():
                changes = [self._free(part, position) for part in record.parts]
            case RefusalRenewal():
                changes = [self._apply_renewal(record, position, now)]
        return tuple(change for change in changes if change is not None)

    def refusal(self, parts: Sequence[str], now: float) -> RefusedPart | None:
        """Return the first part because of which a request must not be sent now, or None.

        None is also returned for a trial; the request must then be sent at once.
        """
        found = [(part, self._tracked[part]) for part in parts if part in self._tracked]
        refused = [(part, tracked) for part, tracked in found if tracked.refused_at is not None]
        for part, tracked in refused:
            tracked.requested_at = now
            ambiguous = self._is_ambiguous(part, tracked, parts)
            due_in_s = self._trial_due_at(part, tracked, ambiguous, now) - now
            if due_in_s > 0:
                return RefusedPart(part, max(due_in_s, MIN_RETRY_AFTER_S))
        for _, tracked in refused:
            tracked.tried_at = now
        return None

    def record_answer(self, parts: Iterable[str]) -> AnswerReport | None:
        """Note that an answer has begun; return what to report to the other hosts, if anything."""
        cleared = []
        for part in parts:
            tracked = self._tracked.get(part)
            if tracked is None:
                continue
            if not tracked.answered and _is_reported(tracked):
                cleared.append(part)
            tracked.answered = True
        return AnswerReport(tuple(cleared)) if cleared else None

    def answered_parts(self, record: CrashReport) -> AnswerReport | None:
        """Return what to report after a crash report: parts answered since their first crash."""
        cleared = []
        for part in record.parts:
            tracked = self._tracked.get(part)
            if tracked is not None and tracked.answered and _is_reported(tracked):
                cleared.append(part)
        return AnswerReport(tuple(cleared)) if cleared else None

    def renewals(self, now: float) -> tuple[RefusalRenewal, ...]:
        """Return the renewals that this host has to append now, and drop what has expired."""
        self._drop_expired(now)
        found = []
        for part, tracked in self._tracked.items():
            if tracked.refused_at is None or now - tracked.requested_at >= REFUSAL_TTL_S:
                continue
            age_s = now - tracked.renewed_at - RENEWAL_INTERVAL_S
            if age_s >= 0 and age_s >= RENEWAL_STEP_S * self._rank(part):
                found.append(RefusalRenewal(part, tracked.failed_trials))
        return tuple(found)

    def expire_renewals(self) -> None:
        """Have the refusals renewed soon, as the store may have lost their records."""
        for tracked in self._tracked.values():
            tracked.renewed_at -= RENEWAL_INTERVAL_S

    def _apply_crash(
        self, part: str, report: CrashReport, position: Position, now: float
    ) -> PartChange | None:
        tracked = self._tracked.setdefault(part, _TrackedPart(now))
        if tracked.refused_at is not None:
            # The request was sent by a host that refused the part: it was a trial.
            if report.read_position > tracked.chain_position:
                tracked.failed_trials += 1
                return self._refuse(part, tracked, position, now)
            return None
        if report.endpoint in tracked.endpoints:
            return None
        tracked.endpoints.append(report.endpoint)
        if tracked.chain and not self._lengthens_chain(part, tracked, report):
            return None
        tracked.chain += 1
        tracked.chain_position, tracked.changed_at = position, now
        tracked.chain_endpoint = report.endpoint
        if tracked.chain < CHAIN_LENGTH:
            return None
        tracked.requested_at = now
        return self._refuse(part, tracked, position, now)

    def _lengthens_chain(self, part: str, tracked: _TrackedPart, report: CrashReport) -> bool:
        """Whether a request was sent after the crash that lengthened the chain last was known."""
        if report.read_position > tracked.chain_position:
            return True
        return is_content(part) and report.retry_after == tracked.chain_endpoint

    def _apply_renewal(
        self, renewal: RefusalRenewal, position: Position, now: float
    ) -> PartChange | None:
        if self._is_outdated(renewal):
            return None
        tracked = self._tracked.setdefault(renewal.part, _TrackedPart(now))
        tracked.renewed_at = now
        tracked.failed_trials = max(tracked.failed_trials, renewal.failed_trials)
        if tracked.refused_at is not None:
            return None
        return self._refuse(renewal.part, tracked, position, now)

    def _is_outdated(self, renewal: RefusalRenewal) -> bool:
        """Whether a renewal was made before its host had read that the part is answered.

        The store may do an append that got no answer seconds later, and hosts send it again.
        """
        answered_at = self._answered_at.get(renewal.part)
        if answered_at is None or renewal.read_position is None:
            return False
        return renewal.read_position <= answered_at

    def _refuse(
        self, part: str, tracked: _TrackedPart, position: Position, now: float
    ) -> PartChange:
        """Refuse a part from now on, for a whole trial interval."""
        tracked.refused_at = tracked.renewed_at = now
        tracked.chain_position, tracked.answered = position, False
        return self._change(part, tracked)

    def _free(self, part: str, position: Position) -> PartChange | None:
        self._answered_at.pop(part, None)
        self._answered_at[part] = position
        if len(self._answered_at) > MAX_TRACKED_PARTS:
            del self._answered_at[next(iter(self._answered_at))]
        tracked = self._tracked.pop(part, None)
        if tracked is None or tracked.refused_at is None:
            return None
        return self._change(part, tracked, refused=False)

    def _change(self, part: str, tracked: _TrackedPart, refused: bool = True) -> PartChange:
        return PartChange(part, refused, tuple(tracked.endpoints), tracked.failed_trials)

    def _is_ambiguous(self, part: str, tracked: _TrackedPart, parts: Sequence[str]) -> bool:
        """Whether a request tells a part from another that was refused for the same crashes.

        All requests that crashed had both parts, and the request with `parts` has only one. Sound
        requests are retried at the same endpoints as a content that crashes them, so that contents
        may share some crashes only.
        """
        if tracked.failed_trials or not tracked.endpoints:
            return False
        found = set(tracked.endpoints)
        return any(
            other.refused_at is not None
            and (other.endpoints == tracked.endpoints or _share_crashes(part, name, found, other))
            and name not in parts
            and name != part
            for name, other in self._tracked.items()
        )

    def _trial_due_at(self, part: str, tracked: _TrackedPart, ambiguous: bool, now: float) -> float:
        interval_s = min(TRIAL_INTERVAL_S * 2**tracked.failed_trials, MAX_TRIAL_INTERVAL_S)
        if ambiguous:
            interval_s = 0.0
        due_at = tracked.refused_at + interval_s
        if now >= due_at:
            due_at += TRIAL_STEP_S * self._rank(part)
        return max(due_at, tracked.tried_at + TRIAL_TIMEOUT_S)

    def _drop_expired(self, now: float) -> None:
        for part, tracked in list(self._tracked.items()):
            if tracked.refused_at is None:
                expired = now - tracked.changed_at >= CHAIN_TTL_S
            else:
                expired = now - tracked.renewed_at >= REFUSAL_TTL_S
            if expired:
                del self._tracked[part]
        excess = len(self._tracked) - MAX_TRACKED_PARTS
        if excess > 0:
            free = [p for p, tracked in self._tracked.items() if tracked.refused_at is None]
            for part in sorted(free, key=lambda p: self._tracked[p].changed_at)[:excess]:
                del self._tracked[part]


def _share_crashes(part: str, name: str, endpoints: set[str], other: _TrackedPart) -> bool:
    """Whether two contents were in requests to an endpoint that crashed."""
    return is_content(part) and is_content(name) and not endpoints.isdisjoint(other.endpoints)


def _is_reported(tracked: _TrackedPart) -> bool:
    return tracked.chain >= REPORTED_CHAIN_LENGTH or tracked.refused_at is not None
