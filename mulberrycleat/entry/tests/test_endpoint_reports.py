"""Reports on endpoints whose appends get no answer."""

from __future__ import annotations

from dataclasses import dataclass, field

import trio
from result import Err, Ok

from mulberrycleat.core import PeerError, Position, Step
from mulberrycleat.endpoint.crashing_parts import RENEWAL_INTERVAL_S
from mulberrycleat.endpoint.rate_limits import EndpointLimits
from mulberrycleat.endpoint.reports import AnswerReport, CrashReport, EndpointReport
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.endpoint_reports import EndpointReports
from mulberrycleat.entry.settings import EntryTimes, FleetRequirements
from mulberrycleat.entry.store import AppendOutcome, ReportUpdate
from mulberrycleat.testing import fixture

PART = "5c1e07a2"


@dataclass
class LosingStore:
    """The store's log of reports.

    Attributes
    ----------
    loses : bool
        Whether appends get no answer.
    given_up : list of tuple of EndpointReport
        Appends that got no answer; the store may still do them.
    """

    records: list[EndpointReport] = field(default_factory=list)
    loses: bool = False
    given_up: list[tuple[EndpointReport, ...]] = field(default_factory=list)

    async def append_reports(self, host, records):
        """Append reports."""
        await trio.sleep(0.005)
        if self.loses:
            self.given_up.append(records)
            return Err(PeerError(Step.APPEND, "store", "no answer"))
        self.records += records
        return Ok(AppendOutcome(True, Position(0, len(self.records) - len(records))))

    async def read_reports(self, position, wait_s):
        """Return the reports since a position."""
        await trio.sleep(0.01)
        found = enumerate(self.records[position.offset :], start=position.offset)
        records = tuple((Position(0, offset), record) for offset, record in found)
        return Ok(ReportUpdate(Position(0, len(self.records)), records, ()))


def reports_of(store: LosingStore) -> EndpointReports:
    return EndpointReports(
        "a",
        store,
        EntryTimes(),
        FleetRequirements,
        DecisionLog(trio.current_time),
        lambda part: 0,
        EndpointLimits(lambda part, zone: None),
    )


@fixture
def store() -> LosingStore:
    return LosingStore()


async def lose_a_renewal(store: LosingStore, reports: EndpointReports) -> None:
    """Have a part refused, and the first renewal of the refusal get no answer."""
    store.records += [CrashReport(f"e{n}", (PART,), n) for n in range(3)]
    await trio.sleep(1.0)
    assert reports.refused == (PART,)
    assert reports.refusal((PART,)) is not None
    store.loses = True
    with trio.fail_after(2 * RENEWAL_INTERVAL_S):
        while not store.given_up:
            await trio.sleep(0.01)


async def test_a_renewal_that_is_sent_again_refuses_no_part_that_was_freed_in_between(store):
    reports = reports_of(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reports.run_reads)
        nursery.start_soon(reports.run_appends)
        await lose_a_renewal(store, reports)
        store.records.append(AnswerReport((PART,)))
        await trio.sleep(1.0)
        assert reports.refused == ()
        store.loses = False
        await trio.sleep(1.0)
        assert reports.refused == ()
        nursery.cancel_scope.cancel()


async def test_a_renewal_that_is_done_late_refuses_no_part_that_was_freed_in_between(store):
    """The store may do an append seconds after it was given up; all hosts would refuse the part."""
    reports, other = reports_of(store), reports_of(store)
    async with trio.open_nursery() as nursery:
        for host in (reports, other):
            nursery.start_soon(host.run_reads)
        nursery.start_soon(reports.run_appends)
        await lose_a_renewal(store, reports)
        store.records.append(AnswerReport((PART,)))
        await trio.sleep(1.0)
        store.records += store.given_up[0]
        await trio.sleep(1.0)
        assert (reports.refused, other.refused) == ((), ())
        nursery.cancel_scope.cancel()


async def test_a_refusal_is_renewed_though_the_first_renewal_was_lost(store):
    """A host that starts later knows of the refusal from renewals only."""
    reports, other = reports_of(store), reports_of(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reports.run_reads)
        nursery.start_soon(reports.run_appends)
        await lose_a_renewal(store, reports)
        store.loses = False
        await trio.sleep(1.0)
        store.records[:3] = [AnswerReport(()) for _ in range(3)]
        nursery.start_soon(other.run_reads)
        await trio.sleep(1.0)
        assert other.refused == (PART,)
        nursery.cancel_scope.cancel()


async def test_a_part_that_crashes_endpoints_again_after_it_was_freed_is_refused_and_renewed(store):
    reports, other = reports_of(store), reports_of(store)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reports.run_reads)
        nursery.start_soon(reports.run_appends)
        store.records += [CrashReport(f"e{n}", (PART,), n) for n in range(3)]
        store.records.append(AnswerReport((PART,)))
        store.records += [CrashReport(f"e{n}", (PART,), n) for n in range(4, 7)]
        await trio.sleep(1.0)
        assert reports.refusal((PART,)) is not None
        await trio.sleep(2 * RENEWAL_INTERVAL_S)
        store.records[4:7] = [AnswerReport(()) for _ in range(3)]
        nursery.start_soon(other.run_reads)
        await trio.sleep(1.0)
        assert other.refused == (PART,)
        nursery.cancel_scope.cancel()
