"""Reports of several shards to one host in one call.

Two hosts of a zone coordinate all shards, so that most reports of a host go to the same few hosts.
Each report is composed, accepted, and repeated by the rules of its shard; only the call is shared.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import NamedTuple

import msgspec
import trio

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PeerCalls
from mulberrycleat.web import Reply, Request, Responder, Route

__all__ = ["REPORTS_PATH", "Report", "ReportSender", "ReportServer"]

REPORTS_PATH = "/tokens/reports"
# A host of a former version, which does not serve the path, gets single reports for this time, in
# seconds. It restarts to change its version, which takes some seconds.
FORMER_VERSION_S = 30.0


class Report(NamedTuple):
    """A report to another host.

    Attributes
    ----------
    peer : str
        Address of the host, as ``ip:port``.
    path : str
        Path that accepts the report when it is sent on its own.
    body : bytes
        The encoded report.
    answered : callable
        Called with the status of the answer, or None if there is none.
    """

    peer: str
    path: str
    body: bytes
    answered: Callable[[int | None], None]


class _BatchedReport(msgspec.Struct):
    """A report within a batch: the path that accepts it on its own, and its body."""

    path: str
    body: bytes


class ReportSender:
    """Sends reports, one call for all that go to the same host.

    Parameters
    ----------
    peers : PeerCalls
        Calls to other hosts.
    decisions : DecisionLog
        Log of unreadable answers.
    """

    def __init__(self, peers: PeerCalls, decisions: DecisionLog) -> None:
        self._peers = peers
        self._decisions = decisions
        self._former_until: dict[str, float] = {}

    async def send(self, reports: Iterable[Report]) -> None:
        """Send the reports, and return once each is answered or timed out."""
        by_peer: dict[str, list[Report]] = {}
        for report in reports:
            by_peer.setdefault(report.peer, []).append(report)
        if not by_peer:
            return
        async with trio.open_nursery() as nursery:
            for peer, found in by_peer.items():
                nursery.start_soon(self._send_to, peer, found)

    async def _send_to(self, peer: str, reports: Sequence[Report]) -> None:
        now = trio.current_time()
        is_former = now < self._former_until.get(peer, now)
        if len(reports) > 1 and not is_former:
            statuses = await self._send_batch(peer, reports)
            if statuses is not None:
                for report, status in zip(reports, statuses, strict=True):
                    report.answered(status)
                return
            self._former_until[peer] = trio.current_time() + FORMER_VERSION_S
        async with trio.open_nursery() as nursery:
            for report in reports:
                nursery.start_soon(self._send_single, report)

    async def _send_batch(
        self, peer: str, reports: Sequence[Report]
    ) -> Sequence[int | None] | None:
        """Return the status of each report, or None if the host does not accept batches."""
        batch = [_BatchedReport(report.path, report.body) for report in reports]
        answer = await self._peers.call("POST", peer, REPORTS_PATH, msgspec.msgpack.encode(batch))
        if answer is None:
            return [None] * len(reports)
        if answer.status == 404:
            return None
        if answer.status != 200:
            return [answer.status] * len(reports)
        try:
            statuses = msgspec.msgpack.decode(answer.body, type=list[int])
        except msgspec.DecodeError as error:
            self._decisions.warning("reports unanswered", peer=peer, why=str(error))
            return [None] * len(reports)
        if len(statuses) != len(reports):
            why = f"{len(statuses)} statuses for {len(reports)} reports"
            self._decisions.warning("reports unanswered", peer=peer, why=why)
            return [None] * len(reports)
        return statuses

    async def _send_single(self, report: Report) -> None:
        answer = await self._peers.call("POST", report.peer, report.path, report.body)
        report.answered(None if answer is None else answer.status)


class ReportServer:
    """Accepts batches of reports, each by the route that accepts it on its own.

    Parameters
    ----------
    routes : iterable of Route
        The routes that accept single reports.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._handlers = {route.pattern: route.handler for route in routes}

    def routes(self) -> tuple[Route, ...]:
        """Return the HTTP routes that serve other hosts."""
        return (Route("POST", REPORTS_PATH, self._accept),)

    async def _accept(self, request: Request, responder: Responder) -> Reply:
        try:
            batch = msgspec.msgpack.decode(request.body, type=list[_BatchedReport])
        except msgspec.DecodeError as error:
            return Reply(400, str(error).encode())
        statuses = []
        for report in batch:
            handler = self._handlers.get(report.path)
            if handler is None:
                statuses.append(404)
                continue
            single = replace(request, path=report.path, body=report.body)
            statuses.append((await handler(single, responder)).status)
        return Reply(200, msgspec.msgpack.encode(statuses))
