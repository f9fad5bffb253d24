"""Attempts of one request at endpoints, and the replacement of one by the next."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mulberrycleat.core import Position
from mulberrycleat.endpoint.placer import Placement
from mulberrycleat.entry.exchange import (
    ConnectionFailed,
    Declined,
    Exchange,
    ExchangeFailed,
    FullResponse,
    Outcome,
)

__all__ = ["TAKEOVER_S", "Attempt", "Attempts", "Takeover"]

# One of two endpoints is given up this time after the request began to be sent to the second one,
# which has neither answered nor declined it, in seconds. The platform allows that two endpoints run
# the same request for 0.4 s; the other half is for delays of the event loop.
TAKEOVER_S = 0.2
# An endpoint that has begun a stream keeps it through a silence of this time, in seconds, unless
# another one can be seen to go on with it: sound endpoints may be silent for a second or so, and
# callers wait for at least two seconds for the next event.
SOUND_SILENCE_S = 2.0
# Time to read what either endpoint has sent by then, in seconds: the event loop may have been late.
LATE_READ_S = 0.02


@dataclass(slots=True)
class Attempts:
    """Attempts made for one request.

    Attributes
    ----------
    endpoint_ids : set of str
        Endpoints that have been tried.
    let_go : set of str
        Those among them that were given up for a silent one, which may be tried once more.
    declined : set of str
        Those that declined the request because they were full.
    count : int
        Number of attempts, including those without a connection to the endpoint.
    failed_response : FullResponse or None
        Latest response with a server error; forwarded if no later attempt succeeds.
    last : str
        How the last attempt failed.
    crashed : str
        The endpoint that ended its connection last before an answer, and its start.
    retry_after_s : float or None
        Retry-after of the endpoint that declined the request last, in seconds.
    expected_s : float or None
        Expected time until the answer, in seconds, if the request was not sent because of it.
    """

    endpoint_ids: set[str] = field(default_factory=set)
    let_go: set[str] = field(default_factory=set)
    declined: set[str] = field(default_factory=set)
    count: int = 0
    failed_response: FullResponse | None = None
    last: str = ""
    crashed: str = ""
    retry_after_s: float | None = None
    expected_s: float | None = None

    def readmit_declined(self) -> None:
        """Let the endpoints that were full be tried once more, as they may have room by now."""
        self.endpoint_ids -= self.declined
        self.declined.clear()

    def note(self, outcome: Outcome) -> None:
        """Remember how an attempt failed; a success changes nothing that is used afterwards."""
        match outcome:
            case FullResponse(head=head):
                self.failed_response = outcome
                self.last = f"status {head.status}"
            case Declined(status=status, retry_after_s=retry_after_s):
                self.last = f"turned away with {status}"
                self.retry_after_s = retry_after_s
            case ConnectionFailed(reason=reason) | ExchangeFailed(reason=reason):
                self.last = reason


@dataclass(slots=True)
class Attempt:
    """One attempt in progress.

    Attributes
    ----------
    sent_at : float
        When it began, in seconds on trio's clock.
    read_to : Position
        Position to which the hosts' reports had been read then.
    retry_after : str
        The endpoint at which the request crashed before, and its start; empty if it did not.
    answered : bool
        Whether an answer has begun.
    limit_per_s : float or None
        Requests a second that the endpoint takes from all hosts, if the answer states a limit.
    exchange : Exchange or None
        The exchange with the endpoint, once it has begun.
    helper : str
        Address of the host through which it is made, once another endpoint is tried beside it.
    replaced : bool
        Whether another endpoint has taken over; the end of the attempt is recorded then.
    """

    placement: Placement
    sent_at: float
    read_to: Position
    retry_after: str
    answered: bool = False
    limit_per_s: float | None = None
    exchange: Exchange | None = None
    helper: str = ""
    replaced: bool = False

    def keeps_stream(self, after_s: float = 0.0) -> bool:
        """Whether the endpoint wins over one that can't be seen to go on, now or after a time.

        It does if it has forwarded events of the stream, has not failed, and has been silent for no
        longer than a sound one may be.
        """
        exchange = self.exchange
        is_sound = exchange.failure is None and exchange.silent_s + after_s < SOUND_SILENCE_S
        return exchange.has_forwarded and is_sound


class Takeover:
    """Two endpoints that have the same request, of which one is given up.

    An endpoint that goes on wins. If neither does in time, one that has begun a stream wins unless
    it has been silent for longer than a sound one may be, and the second one wins otherwise.

    Parameters
    ----------
    silent : Attempt
        The attempt at the first endpoint.
    give_up : callable
        Called when the first endpoint is given up, with the reason: what the second one has sent,
        or that time is over.
    nursery : trio.Nursery
        Runs the second attempt and the time limit; it is cancelled when the second endpoint is
        given up.
    """

    def __init__(
        self, silent: Attempt, give_up: Callable[[str], None], nursery: trio.Nursery
    ) -> None:
        self._silent = silent
        self._give_up = give_up
        self._nursery = nursery
        self._is_over = False

    @property
    def keeps_first(self) -> bool:
        """Whether the first endpoint wins if neither goes on."""
        return not self._silent.replaced and self._silent.keeps_stream()

    def note_sending(self) -> None:
        """Begin the time limit, at the end of which one of the two is given up.

        It does not wait until the request is sent: an endpoint may begin to run a request before it
        has read the body.
        """
        self._nursery.start_soon(self._end_at, trio.current_time() + TAKEOVER_S)

    def accept(self, reason: str) -> None:
        """Give the silent endpoint up, unless it has gone on already or is kept."""
        if self._is_over:
            return
        if not self._silent.replaced and not self._silent.exchange.went_on:
            self._silent.replaced = True
            self._give_up(reason)

    async def _end_at(self, until: float) -> None:
        await trio.sleep_until(until)
        await trio.sleep(LATE_READ_S)
        if self.keeps_first:
            self._is_over = True
            self._silent.exchange.note_vain_try()
            self._nursery.cancel_scope.cancel()
        else:
            self.accept("time")
