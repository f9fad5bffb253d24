"""Requests that wait at a host while a pool is full. Free of I/O.

The most urgent priority goes first; within a priority, the account that was served least. A request
waits only as long as it can still be served in time, and is refused at once if its turn is expected
later. As with CoDel, a queue may hold a burst but must not stand: once an account's requests have
waited without a break for longer than the target latency, further ones wait only for the time that
a refusal costs nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from mulberrycleat.endpoint.fair_shares import Flow
from mulberrycleat.endpoint.fairness import FairQueue, QueueEntry

__all__ = [
    "QueueRequest",
    "Refused",
    "RequestQueue",
    "Unservable",
    "WaitingRequest",
    "is_unservable",
    "latest_start",
]

# A refusal within this share of the target latency costs a caller nothing.
FREE_REFUSAL_SHARE = 1 / 8
# Longest share of the caller's time for which a request is held. A request that is held for three
# quarters of it is lost; the rest of the time is for the caller's return to another host.
HELD_SHARE = 1 / 2
# A request can't be served any more if less than this share of the usual time to an answer is left:
# single requests may be faster than usual.
SERVABLE_SHARE = 1 / 2


class QueueRequest(NamedTuple):
    """A request that asks for a place; times are in seconds on the clock of the calling code.

    Attributes
    ----------
    work : float
        Work in the units of the drain rate.
    arrived, deadline : float
        When the request arrived and when its caller leaves.
    target_s : float
        Target latency.
    item : Any
        Identifies the request to the calling code; not used here.
    """

    flow: Flow
    work: float
    arrived: float
    deadline: float
    target_s: float
    item: Any = None


class Refused(NamedTuple):
    """The request's turn would come too late: after `wait_s` seconds."""

    wait_s: float


class Unservable(NamedTuple):
    """The request can't be answered before its deadline, even if it is sent at once."""


@dataclass(slots=True)
class WaitingRequest:
    """A request in the queue; times are in seconds.

    Attributes
    ----------
    until : float
        When the request is refused if it still waits.
    standing_since : float
        Since when requests of its flow have waited without a break, as of its last removal.
    entry : QueueEntry or None
        Its position.
    """

    request: QueueRequest
    until: float
    standing_since: float
    entry: QueueEntry | None = None


def latest_start(request: QueueRequest, answer_s: float, standing: bool) -> float:
    """Return the time until which a request may wait, in seconds.

    Parameters
    ----------
    answer_s : float
        Usual time to an answer or to the first event once a request is sent, in seconds.
    standing : bool
        Whether the queue of its account stands.
    """
    free_s = FREE_REFUSAL_SHARE * request.target_s
    wait_s = free_s if standing else max(free_s, request.target_s - answer_s)
    held_s = HELD_SHARE * (request.deadline - request.arrived)
    return min(request.arrived + min(wait_s, held_s), request.deadline - answer_s)


class RequestQueue:
    """Requests of one pool that wait at one host."""

    def __init__(self) -> None:
        self._queues: dict[int, FairQueue] = {}
        # Number of waiting requests of a flow, and since when there has been one.
        self._waiting: dict[Flow, int] = {}
        self._waiting_since: dict[Flow, float] = {}

    def __len__(self) -> int:
        return sum(self._waiting.values())

    @property
    def work(self) -> float:
        """Work of all waiting requests."""
        return sum(queue.work for queue in self._queues.values())

    def is_first(self, flow: Flow) -> bool:
        """Whether a new request of a flow would go before all that wait."""
        return not any(
            other.priority < flow.priority
            or other == flow
            or (other.priority == flow.priority and self._is_behind(flow, other))
            for other in self._waiting
        )

    def charge(self, request: QueueRequest) -> None:
        """Count the work of a request that is sent without waiting."""
        flow = request.flow
        self._queue(flow.priority).charge(flow.account, 1.0, request.work)

    def offer(
        self, request: QueueRequest, rate: float, answer_s: float, now: float
    ) -> WaitingRequest | Refused | Unservable:
        """Decide whether a new request waits.

        Parameters
        ----------
        rate : float
            Work of this host that the pool completes per second; 0 if not known.
        answer_s : float
            Usual time to an answer or to the first event once a request is sent, in seconds.
        """
        if is_unservable(request, answer_s, now):
            return Unservable()
        flow = request.flow
        wait_s = self._expected_wait_s(request, rate)
        until = latest_start(request, answer_s, self._is_standing(request, now))
        if now + wait_s > until:
            return Refused(wait_s)
        waiting = WaitingRequest(request, until, now)
        queue = self._queue(flow.priority)
        waiting.entry = queue.push(flow.account, 1.0, request.work, waiting)
        self._count(flow, now)
        return waiting

    def pop(self) -> WaitingRequest | None:
        """Remove and return the request that goes next, None if none waits."""
        for priority in sorted(self._queues):
            entry = self._queues[priority].pop()
            if entry is not None:
                waiting: WaitingRequest = entry.item
                waiting.standing_since = self._waiting_since[waiting.request.flow]
                self._uncount(waiting.request.flow)
                return waiting
        return None

    def put_back(self, waiting: WaitingRequest, now: float) -> bool:
        """Return a request that found no place to its position; False if it may wait no longer."""
        if now >= waiting.until:
            return False
        self._queue(waiting.request.flow.priority).put_back(waiting.entry)
        self._count(waiting.request.flow, waiting.standing_since)
        return True

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a waiting request whose time is over, or whose caller has disconnected."""
        if self._queue(waiting.request.flow.priority).remove(waiting.entry):
            self._uncount(waiting.request.flow)

    def _queue(self, priority: int) -> FairQueue:
        return self._queues.setdefault(priority, FairQueue())

    def _is_behind(self, flow: Flow, other: Flow) -> bool:
        """Whether a flow of the same priority has been served as much as another, or more."""
        queue = self._queue(flow.priority)
        return queue.lead(flow.account) >= queue.lead(other.account)

    def _expected_wait_s(self, request: QueueRequest, rate: float) -> float:
        if rate <= 0:
            return 0.0
        flow = request.flow
        ahead = sum(queue.work for p, queue in self._queues.items() if p < flow.priority)
        ahead += self._queue(flow.priority).work_before(flow.account, 1.0)
        return ahead / rate

    def _is_standing(self, request: QueueRequest, now: float) -> bool:
        since = self._waiting_since.get(request.flow)
        return since is not None and now - since > request.target_s

    def _count(self, flow: Flow, since: float) -> None:
        self._waiting[flow] = self._waiting.get(flow, 0) + 1
        self._waiting_since[flow] = min(since, self._waiting_since.get(flow, since))

    def _uncount(self, flow: Flow) -> None:
        self._waiting[flow] -= 1
        if not self._waiting[flow]:
            del self._waiting[flow], self._waiting_since[flow]


def is_unservable(request: QueueRequest, answer_s: float, now: float) -> bool:
    """Whether a request can't be answered before its deadline, even if it is sent now."""
    return now + SERVABLE_SHARE * answer_s > request.deadline
