"""Controller of what all hosts report about endpoints in the store, and of what follows from it."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable, Sequence

import trio
from msgspec.structs import replace
from result import Err, Ok

from mulberrycleat.core import START, Position
from mulberrycleat.endpoint.crashing_parts import CrashingParts, PartChange, RefusedPart
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.rate_limits import EndpointLimits, LimitChange
from mulberrycleat.endpoint.reports import (
    MAX_PARTS,
    AnswerReport,
    CrashReport,
    EndpointReport,
    LimitReport,
    RefusalRenewal,
)
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import EntryTimes, FleetRequirements
from mulberrycleat.entry.store import ReportUpdate, StateStore

__all__ = ["EndpointReports"]

# Interval between checks whether a refusal has to be renewed, in seconds.
RENEWAL_CHECK_INTERVAL_S = 1.0
# Shortest time between two reads, and between two appends, in seconds, so that one call covers what
# several requests or hosts have seen.
MIN_READ_INTERVAL_S, MIN_APPEND_INTERVAL_S = 0.05, 0.01
# Most reports that wait to be appended; further ones are dropped.
MAX_PENDING = 256
# Reports that are remembered with their offsets, to tell which of them a store that was restored
# from an older copy still has.
MAX_REMEMBERED = 4096


class EndpointReports:
    """Reports crashes and stated limits to the other hosts, and applies their reports.

    Prompt parts and contents that crash endpoints are refused, and endpoints get no more requests
    than they state.

    Parameters
    ----------
    host : str
        Name of this host.
    store : StateStore
        Where the hosts' reports are kept.
    times : EntryTimes
        Intervals of the loops.
    bounds : callable
        Returns the requirements on the fleet, which the reads follow from.
    decisions : DecisionLog
        Log of refused parts and failures.
    rank : callable
        Returns this host's place in the order of all hosts for a part, from 0.
    limits : EndpointLimits
        The limits that endpoints state.
    pause : callable, optional
        Waits before a call is repeated that did not reach the store; takes the interval, in
        seconds.
    """

    def __init__(
        self,
        host: str,
        store: StateStore,
        times: EntryTimes,
        bounds: Callable[[], FleetRequirements],
        decisions: DecisionLog,
        rank: Callable[[str], int],
        limits: EndpointLimits,
        pause: Callable[[float], Awaitable[None]] = trio.sleep,
    ) -> None:
        self._pause = pause
        self._host = host
        self._store = store
        self._times = times
        self._bounds = bounds
        self._decisions = decisions
        self._parts = CrashingParts(rank)
        self._limits = limits
        self._position = START
        self._remembered: deque[tuple[int, EndpointReport]] = deque(maxlen=MAX_REMEMBERED)
        self._pending: list[EndpointReport] = []
        self._wake = trio.Event()
        self._failing = False

    @property
    def read_to(self) -> Position:
        """Position to which the reports have been read."""
        return self._position

    @property
    def refused(self) -> tuple[str, ...]:
        """The parts that are refused."""
        return self._parts.refused

    def refusal(self, parts: Sequence[str]) -> RefusedPart | None:
        """Return the part because of which a request must not be sent now, or None."""
        return self._parts.refusal(parts, trio.current_time())

    def record_crash(
        self, endpoint: str, parts: Sequence[str], read_to: Position, retry_after: str = ""
    ) -> None:
        """Report that a connection ended before any part of an answer came.

        Parameters
        ----------
        endpoint : str
            The endpoint and its start.
        parts : sequence of str
            The request's content, and parts of its prompt that other requests may have too.
        read_to : Position
            The value of `read_to` when the request was sent.
        retry_after : str
            The endpoint at which the request had crashed before, and its start.
        """
        reported = tuple(parts[:MAX_PARTS])
        self._report(CrashReport(endpoint, reported, read_to.offset, read_to.era, retry_after))

    def record_answer(self, parts: Sequence[str]) -> None:
        """Note that an endpoint has begun an answer to a request with these parts."""
        self._report(self._parts.record_answer(parts))

    def record_limit(
        self, entry: Entry, limit_per_s: float | None, has_run: bool, sent_at: float
    ) -> None:
        """Note the limit that an answer states, or that it states none.

        Parameters
        ----------
        entry : Entry
            The endpoint that answered.
        limit_per_s : float or None
            The limit, in requests per second.
        has_run : bool
            Whether the endpoint has run the request.
        sent_at : float
            When the request was sent, in seconds on trio's clock.
        """
        now = trio.current_time()
        report = self._limits.observe(entry.incarnation, limit_per_s, has_run, sent_at, now)
        if report is not None:
            self._log_limit(LimitChange(report.endpoint, report.limit_per_s))
            self._report(report)

    def record_send(self, entry: Entry) -> None:
        """Note that a request is sent to an endpoint."""
        self._limits.record_send(entry, trio.current_time())

    async def run_reads(self) -> None:
        """Read reports until cancelled."""
        while True:
            began = trio.current_time()
            wait_s = self._bounds().report_wait_s
            match await self._store.read_reports(self._position, wait_s):
                case Ok(update):
                    self._apply(update)
                    waited = bool(update.records) or trio.current_time() - began >= wait_s / 2
                    await trio.sleep(
                        MIN_READ_INTERVAL_S if waited else self._times.outage_retry_interval_s
                    )
                case Err(error):
                    self._log_failure("read", str(error))
                    await self._pause(self._times.outage_retry_interval_s)

    async def run_appends(self) -> None:
        """Append this host's reports and renewals until cancelled."""
        while True:
            with trio.move_on_after(RENEWAL_CHECK_INTERVAL_S):
                await self._wake.wait()
            self._wake = trio.Event()
            self._renew()
            while self._pending:
                await self._append_pending()

    def _renew(self) -> None:
        """Report the renewals that are due, unless they are pending."""
        renewals = [record for record in self._pending if isinstance(record, RefusalRenewal)]
        pending = {(renewal.part, renewal.failed_trials) for renewal in renewals}
        for renewal in self._parts.renewals(trio.current_time()):
            if (renewal.part, renewal.failed_trials) not in pending:
                era, offset = self._position
                self._report(replace(renewal, read_to=offset, era=era))

    async def _append_pending(self) -> None:
        """Append all pending reports; those that fail stay pending.

        A report may be appended twice if an answer of the store is lost, which changes nothing.
        """
        records = tuple(self._pending)
        match await self._store.append_reports(self._host, records):
            case Ok(_):
                del self._pending[: len(records)]
                self._failing = False
                await trio.sleep(MIN_APPEND_INTERVAL_S)
            case Err(error):
                self._log_failure("append", str(error))
                await self._pause(self._times.outage_retry_interval_s)

    def _report(self, record: EndpointReport | None) -> None:
        """Append a record soon; None is ignored."""
        if record is None:
            return
        if len(self._pending) >= MAX_PENDING:
            self._decisions.warning(
                "endpoint report dropped", step="append", why="too many pending"
            )
            return
        self._pending.append(record)
        self._wake.set()

    def _apply(self, update: ReportUpdate) -> None:
        now = trio.current_time()
        for fault in update.faults:
            self._decisions.warning("endpoint report unreadable", why=fault)
        records = update.records
        if update.next.era > self._position.era:
            records = self._appended_since(update)
            self._remembered.clear()
            self._parts.expire_renewals()
        self._remembered.extend((position.offset, record) for position, record in update.records)
        cleared: list[AnswerReport | None] = []
        for position, record in records:
            if isinstance(record, LimitReport):
                self._log_limit(self._limits.apply(record, now))
                continue
            for change in self._parts.apply(record, position, now):
                self._log_change(change)
            if isinstance(record, CrashReport):
                cleared.append(self._parts.answered_parts(record))
        for report in dict.fromkeys(cleared):
            self._report(report)
        self._position = update.next
        self._failing = False

    def _appended_since(self, update: ReportUpdate) -> tuple[tuple[Position, EndpointReport], ...]:
        """Return the records that were appended after the store was restored from an older copy.

        Those before them were read before, at the same offsets.
        """
        known = dict(self._remembered)
        for number, (position, record) in enumerate(update.records):
            if known.get(position.offset) != record:
                return update.records[number:]
        return ()

    def _log_change(self, change: PartChange) -> None:
        self._decisions.warning(
            "part refused" if change.refused else "part allowed",
            part=change.part,
            endpoints=list(change.endpoints),
            failed_trials=change.failed_trials,
        )

    def _log_limit(self, change: LimitChange | None) -> None:
        if change is not None:
            self._decisions.info(
                "limit known", endpoint=change.endpoint, limit_per_s=change.limit_per_s
            )

    def _log_failure(self, step: str, why: str) -> None:
        if not self._failing:
            self._decisions.warning(
                "endpoint reports not reached", step=step, peer="store", why=why
            )
        self._failing = True
