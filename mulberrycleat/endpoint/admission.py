"""Whether a request is sent now, waits at the router, or is refused at once."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from mulberrycleat.endpoint.demand import Demand
from mulberrycleat.endpoint.fairness import FairQueue, Waiting
from mulberrycleat.endpoint.state import Estimate

__all__ = ["Admission", "AdmissionSettings", "Applicant", "Hold", "Lane", "Refuse", "Send"]

MIN_RETRY_S = 1.0
MAX_RETRY_S = 50.0
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
    margin, standing_margin, short_margin : float
        Part of the time to the deadline that the expected time may fill: of a long request, of one
        that meets a standing queue, and of a short one. Short requests cost little, so that one
        which may just come late is tried.
    standing_s : float
        A queue that has not been empty for this long is a standing one, in seconds.
    """

    hold_s: float = 2.0
    passing_tokens: float = 100_000.0
    margin: float = 0.9
    standing_margin: float = 0.5
    standing_s: float = 2.0
    short_margin: float = 2.0


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


class Lane:
    """A fair queue with the rate at which it drains."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self._work = 0.0
        self._time_s = 0.0
        self._samples = 0
        self._last = 0.0
        self._since = 0.0

    @property
    def since(self) -> float:
        """When the queue was last empty."""
        return self._since

    @property
    def head(self) -> Applicant | None:
        """The request to be released next."""
        entry = self.queue.peek()
        return entry.item if entry else None

    def push(self, applicant: Applicant, now: float) -> Waiting:
        """Add a request."""
        if not self.queue:
            self._last = self._since = now
        demand = applicant.demand
        return self.queue.push(
            applicant.account, applicant.weight, demand.work_tokens, applicant, demand.is_short
        )

    def release(self, now: float) -> None:
        """Take out the head and learn the rate."""
        entry = self.queue.pop()
        self._work = self._work * RATE_KEPT_SHARE + entry.work
        self._time_s = self._time_s * RATE_KEPT_SHARE + now - self._last
        self._samples += 1
        self._last = now

    def wait_s(self, applicant: Applicant, estimate: Estimate) -> float:
        """Return the expected wait of a new request, in seconds.

        Until enough requests have been released, the lane is taken to drain as one endpoint would.
        """
        demand = applicant.demand
        before = self.queue.work_before(applicant.account, applicant.weight, demand.is_short)
        if self._samples < MIN_RATE_SAMPLES:
            return before / demand.work_tokens * estimate.work_s
        return (before + demand.work_tokens) * self._time_s / self._work


class Admission:
    """The queues of one pool at one router. Free of I/O.

    Short requests have a lane of their own, so that they never stand behind long ones. Each lane is
    shared out fairly; a client account that has passed others by more than its allowance has its
    short requests in the lane of the long ones.

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
        self._short = Lane()
        self._long = Lane()

    def __len__(self) -> int:
        return len(self._short.queue) + len(self._long.queue)

    @property
    def lanes(self) -> tuple[Lane, Lane]:
        """The lane of short requests and that of long ones."""
        return self._short, self._long

    def offer(self, applicant: Applicant, estimate: Estimate, now: float) -> Send | Hold | Refuse:
        """Decide on a new request; `estimate` is that of the best endpoint."""
        lane = self._lane(applicant)
        work = applicant.demand.work_tokens
        passes = not lane.queue and estimate.queue_s <= self._settings.hold_s
        wait_s = 0.0 if passes else lane.wait_s(applicant, estimate)
        margin = self._margin(applicant, lane, now)
        late_s = now + (wait_s + estimate.whole_s) / margin - applicant.deadline
        if late_s > 0:
            return Refuse(self._retry_after_s(late_s))
        if passes:
            self._long.queue.charge(applicant.account, applicant.weight, work)
            return Send()
        return Hold(lane.push(applicant, now))

    def try_release(self, lane: Lane, estimate: Estimate, now: float) -> Send | Refuse | None:
        """Decide on a lane's head; None leaves it waiting, any other answer has taken it out."""
        applicant = lane.head
        if applicant is None:
            return None
        late_s = now + estimate.first_s - applicant.deadline
        if late_s > 0:
            lane.queue.pop()
            return Refuse(self._retry_after_s(late_s))
        if estimate.queue_s > self._settings.hold_s:
            return None
        lane.release(now)
        if lane is self._short:
            work = applicant.demand.work_tokens
            self._long.queue.charge(applicant.account, applicant.weight, work)
        return Send()

    def withdraw(self, entry: Waiting) -> None:
        """Take out a request whose caller has gone."""
        for lane in self.lanes:
            lane.queue.remove(entry)

    def _margin(self, applicant: Applicant, lane: Lane, now: float) -> float:
        if applicant.demand.is_short:
            return self._settings.short_margin
        if lane.queue and now - lane.since > self._settings.standing_s:
            return self._settings.standing_margin
        return self._settings.margin

    def _lane(self, applicant: Applicant) -> Lane:
        if not applicant.demand.is_short:
            return self._long
        if not self._long.queue:
            return self._short
        lead = self._long.queue.lead(applicant.account) * applicant.weight
        return self._short if lead <= self._settings.passing_tokens else self._long

    def _retry_after_s(self, late_s: float) -> float:
        spread = 1 + JITTER * self._random.random()
        return min(max(late_s, MIN_RETRY_S), MAX_RETRY_S) * spread
