"""Admission control: a request is sent at once, waits at the router, or is refused."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from mulberrycleat.endpoint.demand import Demand
from mulberrycleat.endpoint.fairness import FairQueue, QueueEntry
from mulberrycleat.endpoint.state import Estimate

__all__ = ["Admission", "AdmissionRequest", "AdmissionSettings", "Lane", "Queued", "Refuse", "Send"]

MIN_RETRY_S = 1.0
MAX_RETRY_S = 50.0
JITTER = 0.2
RATE_DECAY = 0.95
MIN_RATE_SAMPLES = 5


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Parameters that decide when requests wait and when they are refused.

    Attributes
    ----------
    max_queue_s : float
        Longest expected queue time at the best endpoint, in seconds. Above it, a request waits at
        the router, where the order among client accounts can still be changed.
    short_lead_tokens : float
        Work, in tokens, by which a client account may exceed its fair share while its short
        requests still pass the queue of long ones.
    deadline_share, standing_deadline_share, short_deadline_share : float
        Fraction of the remaining time that the expected time may take: for a long request, for a
        long one that arrives at a standing queue, and for a short one. Short requests cost little,
        so they are sent even if they may miss the deadline.
    standing_queue_s : float
        Time for which a queue must have been non-empty to be a standing queue, in seconds.
    """

    max_queue_s: float = 2.0
    short_lead_tokens: float = 100_000.0
    deadline_share: float = 0.9
    standing_deadline_share: float = 0.45
    standing_queue_s: float = 2.0
    short_deadline_share: float = 2.0


class AdmissionRequest(NamedTuple):
    """A request to be sent, with its deadline in seconds on the clock of the calling code.

    The calling code recognizes the request by `item`, which is not used here.
    """

    account: str
    weight: float
    demand: Demand
    deadline: float
    item: Any


class Send(NamedTuple):
    """Send the request now."""


class Queued(NamedTuple):
    """The request waits in a queue as `entry`."""

    entry: QueueEntry


class Refuse(NamedTuple):
    """The request can't be answered in time; it may be retried after `retry_after_s`."""

    retry_after_s: float


class Lane:
    """A fair queue, with the rate at which it drains."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self._released_work = 0.0
        self._release_time_s = 0.0
        self._releases = 0
        self._last_release_at = 0.0
        self._nonempty_since = 0.0

    @property
    def nonempty_since(self) -> float:
        """Time at which the queue last became non-empty."""
        return self._nonempty_since

    @property
    def head(self) -> AdmissionRequest | None:
        """The request to be released next, or None if the queue is empty."""
        entry = self.queue.peek()
        return entry.item if entry else None

    def push(self, applicant: AdmissionRequest, now: float) -> QueueEntry:
        """Add a request."""
        if not self.queue:
            self._last_release_at = self._nonempty_since = now
        demand = applicant.demand
        return self.queue.push(
            applicant.account, applicant.weight, demand.work_tokens, applicant, demand.is_short
        )

    def release(self, now: float) -> None:
        """Remove the head and update the drain rate."""
        entry = self.queue.pop()
        self._released_work = self._released_work * RATE_DECAY + entry.work
        self._release_time_s = self._release_time_s * RATE_DECAY + now - self._last_release_at
        self._releases += 1
        self._last_release_at = now

    def wait_s(self, applicant: AdmissionRequest, estimate: Estimate) -> float:
        """Return the expected wait of a new request, in seconds.

        Until ``MIN_RATE_SAMPLES`` requests have been released, the lane is assumed to drain at the
        rate of a single endpoint.
        """
        demand = applicant.demand
        before = self.queue.work_before(applicant.account, applicant.weight, demand.is_short)
        if self._releases < MIN_RATE_SAMPLES:
            return before / demand.work_tokens * estimate.work_s
        return (before + demand.work_tokens) * self._release_time_s / self._released_work


class Admission:
    """The queues of one pool at one router. Does no I/O.

    Short requests have a separate lane, so that they don't wait behind long ones. Each lane is
    shared fairly among client accounts. The short requests of an account that has exceeded its fair
    share by more than ``short_lead_tokens`` are put into the lane of the long ones.

    Parameters
    ----------
    settings : AdmissionSettings
        Parameters that decide when requests wait and when they are refused.
    random : Random
        Source of the jitter that spreads the retries of refused requests.
    """

    def __init__(self, settings: AdmissionSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._short = Lane()
        self._long = Lane()

    def __len__(self) -> int:
        return len(self._short.queue) + len(self._long.queue)

    @property
    def lanes(self) -> tuple[Lane, Lane]:
        """The lane of short requests and the lane of long ones."""
        return self._short, self._long

    def offer(
        self, applicant: AdmissionRequest, estimate: Estimate, now: float
    ) -> Send | Queued | Refuse:
        """Decide on a new request; `estimate` is that of the best endpoint."""
        lane = self._lane(applicant)
        work = applicant.demand.work_tokens
        send_now = not lane.queue and estimate.queue_s <= self._settings.max_queue_s
        wait_s = 0.0 if send_now else lane.wait_s(applicant, estimate)
        deadline_share = self._deadline_share(applicant, lane, now)
        late_s = now + (wait_s + estimate.full_response_s) / deadline_share - applicant.deadline
        if late_s > 0:
            return Refuse(self._retry_after_s(late_s))
        if send_now:
            self._long.queue.charge(applicant.account, applicant.weight, work)
            return Send()
        return Queued(lane.push(applicant, now))

    def try_release(self, lane: Lane, estimate: Estimate, now: float) -> Send | Refuse | None:
        """Decide on the head of a lane, and remove it unless it has to wait longer.

        None is returned if the head stays there, or if the lane is empty. `estimate` is that of the
        best endpoint for the head.
        """
        applicant = lane.head
        if applicant is None:
            return None
        late_s = now + estimate.first_s - applicant.deadline
        if late_s > 0:
            lane.queue.pop()
            return Refuse(self._retry_after_s(late_s))
        if estimate.queue_s > self._settings.max_queue_s:
            return None
        lane.release(now)
        if lane is self._short:
            work = applicant.demand.work_tokens
            self._long.queue.charge(applicant.account, applicant.weight, work)
        return Send()

    def withdraw(self, entry: QueueEntry) -> None:
        """Remove a waiting request whose caller has disconnected."""
        for lane in self.lanes:
            lane.queue.remove(entry)

    def _deadline_share(self, applicant: AdmissionRequest, lane: Lane, now: float) -> float:
        if applicant.demand.is_short:
            return self._settings.short_deadline_share
        if lane.queue and now - lane.nonempty_since > self._settings.standing_queue_s:
            return self._settings.standing_deadline_share
        return self._settings.deadline_share

    def _lane(self, applicant: AdmissionRequest) -> Lane:
        if not applicant.demand.is_short:
            return self._long
        if not self._long.queue:
            return self._short
        lead = self._long.queue.lead(applicant.account) * applicant.weight
        return self._short if lead <= self._settings.short_lead_tokens else self._long

    def _retry_after_s(self, late_s: float) -> float:
        spread = 1 + JITTER * self._random.random()
        return min(max(late_s, MIN_RETRY_S), MAX_RETRY_S) * spread
