"""Whether a request is sent now, waits at the router, or is refused at once."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from mulberrycleat.endpoint.demand import Demand
from mulberrycleat.endpoint.fairness import FairQueue, Waiting
from mulberrycleat.endpoint.state import Estimate

__all__ = ["Admission", "AdmissionSettings", "Applicant", "Hold", "Refuse", "Send"]

MIN_RETRY_S = 1.0
MAX_RETRY_S = 60.0
JITTER = 0.2
RATE_KEPT_SHARE = 0.95
MIN_RATE_SAMPLES = 5


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """When requests wait and when they are refused.

    Attributes
    ----------
    hold_s : float
        A request waits at the router while the best endpoint would begin with it later than this,
        in seconds. What waits at a router can still be shared out fairly.
    passing_tokens : float
        Work by which a client account's short requests may pass a queue beyond its share.
    margin : float
        Part of the time to the deadline that the expected time may fill.
    """

    hold_s: float = 1.0
    passing_tokens: float = 20_000.0
    margin: float = 0.9


class Applicant(NamedTuple):
    """A request that asks to be sent, with its deadline (seconds of the caller's clock)."""

    account: str
    weight: float
    demand: Demand
    deadline: float
    item: Any


class Send(NamedTuple):
    """Send the request now."""


class Hold(NamedTuple):
    """The request waits as `entry`."""

    entry: Waiting


class Refuse(NamedTuple):
    """The request can't be answered in time; come back after `retry_after_s` seconds."""

    retry_after_s: float


class Admission:
    """The queue of one pool at one router. Free of I/O.

    Parameters
    ----------
    settings : AdmissionSettings
        When requests wait and when they are refused.
    random : Random
        Spreads the times at which refused callers come back.
    """

    def __init__(self, settings: AdmissionSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._queue = FairQueue()
        self._rate_work = 0.0
        self._rate_time_s = 0.0
        self._rate_samples = 0
        self._last_release: float | None = None

    def __len__(self) -> int:
        return len(self._queue)

    def offer(self, applicant: Applicant, estimate: Estimate, now: float) -> Send | Hold | Refuse:
        """Decide on a new request; `estimate` is that of the best endpoint."""
        demand = applicant.demand
        wait_s = 0.0
        if not self._may_pass(applicant, estimate):
            before = self._queue.work_before(applicant.account, applicant.weight, demand.is_short)
            wait_s = self._drain_s(before + demand.work_tokens)
        late_s = now + (wait_s + estimate.whole_s) / self._settings.margin - applicant.deadline
        if late_s > 0:
            return Refuse(self._retry_after_s(late_s))
        if self._may_pass(applicant, estimate):
            if self._queue:
                self._queue.charge(applicant.account, applicant.weight, demand.work_tokens)
            return Send()
        entry = self._queue.push(
            applicant.account, applicant.weight, demand.work_tokens, applicant, demand.is_short
        )
        if len(self._queue) == 1:
            self._last_release = now
        return Hold(entry)

    def head(self) -> Applicant | None:
        """Return the request to be released next."""
        entry = self._queue.peek()
        return entry.item if entry else None

    def try_release(self, estimate: Estimate, now: float) -> Send | Refuse | None:
        """Decide on the head; None leaves it waiting, any other answer has taken it out."""
        applicant = self.head()
        if applicant is None:
            return None
        late_s = now + estimate.whole_s - applicant.deadline
        if late_s > 0:
            self._queue.pop()
            return Refuse(self._retry_after_s(late_s))
        if estimate.queue_s > self._settings.hold_s:
            return None
        entry = self._queue.pop()
        self._note_release(entry.work, now)
        return Send()

    def withdraw(self, entry: Waiting) -> None:
        """Take out a request whose caller has gone."""
        self._queue.remove(entry)

    def _may_pass(self, applicant: Applicant, estimate: Estimate) -> bool:
        if estimate.queue_s > self._settings.hold_s:
            return False
        if not self._queue:
            return True
        lead = self._queue.lead(applicant.account) * applicant.weight
        return applicant.demand.is_short and lead <= self._settings.passing_tokens

    def _drain_s(self, work: float) -> float:
        if self._rate_samples < MIN_RATE_SAMPLES or not self._rate_work:
            return 0.0
        return work * self._rate_time_s / self._rate_work

    def _note_release(self, work: float, now: float) -> None:
        if self._last_release is not None:
            self._rate_work = self._rate_work * RATE_KEPT_SHARE + work
            self._rate_time_s = self._rate_time_s * RATE_KEPT_SHARE + now - self._last_release
            self._rate_samples += 1
        self._last_release = now

    def _retry_after_s(self, late_s: float) -> float:
        spread = 1 + JITTER * (2 * self._random.random() - 1)
        return min(max(late_s, MIN_RETRY_S) * spread, MAX_RETRY_S)
