"""Token transfers between hosts: requests for tokens of another host's slice, and usage reports.

The donor passes tokens of its slice to the recipient. The recipient reports to the donor how many
of the tokens it has spent, and returns the others.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated, NamedTuple

import msgspec
import trio

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.entry.report_batches import Report, ReportSender
from mulberrycleat.prepaid import (
    Allowance,
    Donor,
    Grant,
    OutstandingTransfer,
    ReservationStatus,
    TransferTracker,
    TransferUsage,
)
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = [
    "TRANSFER_PATH",
    "TransferClient",
    "TransferOutcome",
    "TransferReply",
    "TransferRequest",
    "TransferServer",
]

# A host that did not answer gets no transfer request for this time, doubled after each further
# failure up to the maximum, in seconds.
BACKOFF_S, MAX_BACKOFF_S = 1.0, 4.0
# Paths of the calls of one shard, whose number is in the path.
TRANSFER_PATH = "/tokens/{shard}"
USAGE_PATH = "/tokens/{shard}/use"
# A usage report that the donor has not accepted is sent again for up to this time, in seconds.
# That is about the longest time that a host may be partitioned. After that, the report is dropped
# and the donor goes on counting its tokens as donated.
USAGE_REPORT_RETRY_S = 20.0
# Status of the answer to a usage report for an earlier incarnation of the donor. Its donations have
# been counted as spent.
DONOR_ENDED_STATUS = 410


class TransferRequest(msgspec.Struct):
    """Request for tokens of an account.

    Attributes
    ----------
    account : str
        Name of the client account.
    tokens : int
        Tokens that the recipient lacks.
    taker : str
        The incarnation of the recipient.
    number : int
        Number of the request among those of this recipient to all hosts, from 1.
    """

    account: str
    tokens: Annotated[int, msgspec.Meta(ge=1)]
    taker: str
    number: Annotated[int, msgspec.Meta(ge=1)]


class TransferReply(msgspec.Struct):
    """Answer to a :class:`TransferRequest`.

    Attributes
    ----------
    tokens : int
        Tokens donated, 0 for none.
    incarnation : str
        The incarnation of the donor.
    wait_s : float or None
        If none were donated, the time until the donor's slice will have grown enough, in seconds;
        None if it will not, or if tokens were donated.
    exhausted : bool
        Whether the account's total does not cover the tokens.
    connected : bool
        Whether the donor reaches the store, and so could have enlarged its slice.
    """

    tokens: Annotated[int, msgspec.Meta(ge=0)]
    incarnation: str
    wait_s: Annotated[float, msgspec.Meta(ge=0)] | None = None
    exhausted: bool = False
    connected: bool = False


class TransferOutcome(NamedTuple):
    """Outcome of requests for tokens to several hosts.

    Attributes
    ----------
    grant : Grant
        The reservation. If no host has enough, `wait_s` is the shortest time in the replies, in
        seconds; infinite if none states one.
    connected : bool
        Whether any host has answered that reaches the store.
    """

    grant: Grant
    connected: bool


class _UsageReport(msgspec.Struct):
    """Usage report on transfers from one incarnation of the donor.

    Attributes
    ----------
    incarnation : str
        The incarnation of the donor; empty if none of its replies has arrived, so that the report
        states lost replies only.
    taker, number : str, int
        The incarnation of the recipient, and the number of its report to this donor, from 1.
    closed_to : int
        All requests of the recipient up to this number have ended.
    lost : list of int
        Numbers of the ended requests that got no answer: tokens donated for them were never
        received.
    uses : list of TransferUsage
        Tokens spent and tokens returned, by account.
    """

    incarnation: str
    taker: str
    number: int
    closed_to: int
    lost: list[int]
    uses: list[TransferUsage]


class _Backoff(NamedTuple):
    """End of a host's backoff on trio's clock, and its length, both in seconds."""

    until: float
    pause_s: float


# The first backoff is twice this pause, that is `BACKOFF_S`.
_NO_BACKOFF = _Backoff(float("-inf"), BACKOFF_S / 2)


@dataclass(slots=True)
class _Outbox:
    """Usage to report to one incarnation of a donor.

    Attributes
    ----------
    uses, lost : list
        Usage and numbers of unanswered requests for the next report.
    reported_lost : list of int
        Numbers of unanswered requests in the latest report.
    message : bytes
        The latest report, encoded, until it is answered; empty after that.
    composed_at : float
        When the latest report was composed, in seconds on trio's clock.
    """

    uses: list[TransferUsage] = field(default_factory=list)
    lost: list[int] = field(default_factory=list)
    reported_lost: list[int] = field(default_factory=list)
    message: bytes = b""
    composed_at: float = 0.0


class TransferClient:
    """Requests tokens from other hosts, and reports to the donors how they were used.

    Parameters
    ----------
    allowance : Allowance
        Holds the tokens received.
    peers : PeerCalls
        Calls to other hosts.
    decisions : DecisionLog
        Log of transfers.
    shard : int
        Shard of the accounts.
    """

    def __init__(
        self, allowance: Allowance, peers: PeerCalls, decisions: DecisionLog, shard: int
    ) -> None:
        self._transfer_path = TRANSFER_PATH.format(shard=shard)
        self._usage_path = USAGE_PATH.format(shard=shard)
        self._allowance = allowance
        self._peers = peers
        self._sender = ReportSender(peers, decisions)
        self._decisions = decisions
        self._backoffs: dict[str, _Backoff] = {}
        self._last_request_number = 0
        self._pending: set[int] = set()
        self._unanswered: dict[str, list[int]] = {}
        self._outboxes: dict[Donor, _Outbox] = {}
        self._report_numbers: dict[Donor, int] = {}

    async def reserve(
        self, account: str, tokens: int, deadline: float, peers: Sequence[str]
    ) -> TransferOutcome:
        """Request tokens from one host after another until enough can be reserved.

        Parameters
        ----------
        account : str
            Name of the client account.
        tokens : int
            Tokens to reserve.
        deadline : float
            No host is asked after this time, in seconds on trio's clock.
        peers : sequence of str
            Addresses of the hosts, as ``ip:port``, in the order in which they are asked; those in
            backoff are left out.

        Returns
        -------
        TransferOutcome
            The reservation, and whether any host has answered that reaches the store.
        """
        wait_s, connected = math.inf, False
        for peer in peers:
            now = trio.current_time()
            if now < self._backoffs.get(peer, _NO_BACKOFF).until:
                continue
            if now >= deadline:
                break
            reply = await self._request(account, tokens, peer, deadline - now)
            if reply is None:
                continue
            connected = connected or reply.connected
            if reply.exhausted:
                return TransferOutcome(Grant(ReservationStatus.EXHAUSTED), connected)
            if reply.wait_s is not None:
                wait_s = min(wait_s, reply.wait_s)
            if reply.tokens:
                self._allowance.receive_transfer(
                    account, reply.tokens, Donor(peer, reply.incarnation)
                )
            grant = self._allowance.reserve(account, tokens, trio.current_time())
            if grant.status is not ReservationStatus.LACKING:
                return TransferOutcome(grant, connected)
        return TransferOutcome(Grant(ReservationStatus.LACKING, wait_s=wait_s), connected)

    @property
    def has_reports(self) -> bool:
        """Whether there is something to report to a donor."""
        return bool(
            self._unanswered
            or self._allowance.has_usage
            or any(box.message or box.uses or box.lost for box in self._outboxes.values())
        )

    async def report_usage(self) -> None:
        """Report spent tokens to their donors, and return unspent tokens."""
        await self._sender.send(self.usage_reports())

    def usage_reports(self) -> list[Report]:
        """Return reports of spent tokens to their donors, which return unspent tokens.

        A report without an answer is returned again by the next call.
        """
        for giver, uses in self._allowance.collect_usage().items():
            self._outboxes.setdefault(giver, _Outbox()).uses.extend(uses)
        known = {giver.address for giver in self._outboxes}
        for address in self._unanswered.keys() - known:
            self._outboxes[Donor(address, "")] = _Outbox()
        reports = []
        for giver, outbox in self._outboxes.items():
            lost = outbox.lost or self._unanswered.get(giver.address)
            if outbox.message or outbox.uses or lost:
                if not outbox.message:
                    self._compose_report(giver, outbox)
                answered = partial(self._apply_answer, giver, outbox, outbox.message)
                reports.append(Report(giver.address, self._usage_path, outbox.message, answered))
        return reports

    async def _request(
        self, account: str, tokens: int, peer: str, bound_s: float
    ) -> TransferReply | None:
        """Return a host's reply, or None if it refuses or does not answer in `bound_s` seconds."""
        self._last_request_number += 1
        number = self._last_request_number
        lacking = max(1, tokens - self._allowance.unused_received(account, peer))
        wanted = TransferRequest(account, lacking, self._allowance.incarnation, number)
        self._pending.add(number)
        answered = False
        try:
            answer = await self._peers.call(
                "POST", peer, self._transfer_path, msgspec.msgpack.encode(wanted), bound_s
            )
            if answer is None:
                self._back_off(peer)
                return None
            self._backoffs.pop(peer, None)
            if answer.status != 200:
                answered = True
                self._decisions.info("no tokens", account=account, peer=peer, why=answer.status)
                return None
            reply = msgspec.msgpack.decode(answer.body, type=TransferReply)
            answered = True
        except msgspec.DecodeError as error:
            self._decisions.warning("tokens unreadable", account=account, peer=peer, why=str(error))
            return None
        finally:
            self._pending.discard(number)
            if not answered:
                self._unanswered.setdefault(peer, []).append(number)
        self._decisions.info("tokens received", account=account, peer=peer, tokens=reply.tokens)
        return reply

    def _apply_answer(
        self, giver: Donor, outbox: _Outbox, message: bytes, status: int | None
    ) -> None:
        """Apply the answer to a report; None if there is none.

        A report that the stopping host sends a second time may be answered twice.
        """
        if self._outboxes.get(giver) is not outbox or outbox.message is not message:
            return
        if status == DONOR_ENDED_STATUS:
            self._drop_outbox(giver, outbox, "the donor's incarnation has ended")
            self._report_numbers.pop(giver, None)
        elif status is not None and status < 400:
            outbox.message = b""
            if not giver.incarnation and not outbox.lost:
                del self._outboxes[giver]
        elif trio.current_time() - outbox.composed_at > USAGE_REPORT_RETRY_S:
            why = "no answer" if status is None else f"status {status}"
            self._drop_outbox(giver, outbox, why)

    def _compose_report(self, giver: Donor, outbox: _Outbox) -> None:
        """Compose and encode the next report to a donor.

        An unanswered request is reported only once all requests with lower numbers have ended.
        """
        outbox.lost.extend(self._unanswered.pop(giver.address, ()))
        closed_to = min(self._pending, default=self._last_request_number + 1) - 1
        outbox.reported_lost = [number for number in outbox.lost if number <= closed_to]
        outbox.lost = [number for number in outbox.lost if number > closed_to]
        number = self._report_numbers.get(giver, 0) + 1
        self._report_numbers[giver] = number
        outbox.composed_at = trio.current_time()
        report = _UsageReport(
            giver.incarnation,
            self._allowance.incarnation,
            number,
            closed_to,
            outbox.reported_lost,
            outbox.uses,
        )
        outbox.uses = []
        outbox.message = msgspec.msgpack.encode(report)

    def _drop_outbox(self, giver: Donor, outbox: _Outbox, why: str) -> None:
        """Send no more reports to an incarnation of a donor.

        The unanswered requests are kept for its next incarnation, which may have received them. If
        no incarnation has been heard from in all that time, they are dropped too.
        """
        del self._outboxes[giver]
        lost = [*outbox.reported_lost, *outbox.lost]
        if giver.incarnation and lost:
            self._unanswered.setdefault(giver.address, []).extend(lost)
        self._decisions.info("uses not told", peer=giver.address, why=why)

    def _back_off(self, peer: str) -> None:
        pause_s = min(2 * self._backoffs.get(peer, _NO_BACKOFF).pause_s, MAX_BACKOFF_S)
        self._backoffs[peer] = _Backoff(trio.current_time() + pause_s, pause_s)


class TransferServer:
    """Donates tokens to other hosts, and applies their usage reports.

    Parameters
    ----------
    allowance : Allowance
        The slices that tokens are donated from.
    shard : int
        Shard of the accounts.
    """

    def __init__(self, allowance: Allowance, shard: int) -> None:
        self._usage_path = USAGE_PATH.format(shard=shard)
        self._allowance = allowance
        self._outstanding = TransferTracker()

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (Route("POST", self._usage_path, self._accept_report),)

    def donate(self, wanted: TransferRequest) -> int:
        """Donate tokens if the slice has enough and the recipient still waits for them.

        Parameters
        ----------
        wanted : TransferRequest
            The recipient, and the account and number of tokens that it lacks.

        Returns
        -------
        int
            Number of tokens donated: all that are requested, or 0.
        """
        if self._outstanding.is_request_closed(wanted.taker, wanted.number):
            return 0
        donated = self._allowance.donate(wanted.account, wanted.tokens, trio.current_time())
        if donated:
            self._outstanding.record_transfer(
                wanted.taker, wanted.number, OutstandingTransfer(wanted.account, donated)
            )
        return donated

    def lost(self, account: str, has_ended: Callable[[str], bool]) -> int:
        """Return the tokens donated to incarnations that have ended without a report on them."""
        return self._outstanding.unreported(account, has_ended)

    async def _accept_report(self, request: Request, responder: Responder) -> Reply:
        try:
            report = msgspec.msgpack.decode(request.body, type=_UsageReport)
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        incarnation = self._allowance.incarnation
        if report.incarnation not in ("", incarnation):
            return Reply(DONOR_ENDED_STATUS)
        # A report of lost replies only has the same effect if it arrives twice.
        if not report.incarnation or self._outstanding.accept_report(report.taker, report.number):
            for usage in report.uses:
                tokens = usage.used + usage.unused
                self._outstanding.record_usage(report.taker, usage.account, tokens)
                self._allowance.apply_usage(usage, incarnation)
            for account, tokens in self._outstanding.close_requests(
                report.taker, report.closed_to, report.lost
            ):
                self._outstanding.record_usage(report.taker, account, tokens)
                self._allowance.apply_usage(TransferUsage(account, 0, tokens), incarnation)
        return Reply(204)
