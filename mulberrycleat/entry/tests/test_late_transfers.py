"""Random histories of transfers whose requests, reports and answers are late or get lost."""

from __future__ import annotations

import random
from functools import partial

import msgspec
import trio
from trio.testing import MockClock

from mulberrycleat.core import START
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.peers import PEER_TIMEOUT_S
from mulberrycleat.entry.report_batches import ReportServer
from mulberrycleat.entry.tests.test_transfers import DONOR, SHARD, TOKENS, new_allowance
from mulberrycleat.entry.transfers import (
    TRANSFER_PATH,
    TransferClient,
    TransferReply,
    TransferRequest,
    TransferServer,
)
from mulberrycleat.prepaid import Allowance, ClockReading, Grant, ReservationStatus
from mulberrycleat.web import Request
from mulberrycleat.web.client import HttpAnswer

SEEDS, RECIPIENTS, REQUESTS = 40, 3, 15
# Times that a message may take, in seconds: several are longer than a host waits for an answer.
DELAYS_S = (0.001, 0.01, 0.2, 0.3, 1.0, 3.0)
LOSS = 0.1
# Longer than a call is under way.
SETTLED_S = 8.0


class LateCalls:
    """Calls to a donor, which runs them also after they were given up; stands in for PeerCalls."""

    def __init__(self, donor: Allowance, rng: random.Random, nursery: trio.Nursery) -> None:
        self._server = TransferServer(donor, SHARD)
        self._incarnation = donor.incarnation
        self._rng = rng
        self._nursery = nursery
        self.is_sound = False
        routes = self._server.routes()
        self._handlers = {r.pattern: r.handler for r in (*routes, *ReportServer(routes).routes())}

    async def call(
        self, method: str, peer: str, path: str, body: bytes, bound_s: float = PEER_TIMEOUT_S
    ) -> HttpAnswer | None:
        """Send a call, and return the answer if it comes in time."""
        answers: list[HttpAnswer] = []
        answered = trio.Event()
        self._nursery.start_soon(self._run, path, body, answers, answered)
        with trio.move_on_after(min(PEER_TIMEOUT_S, bound_s)):
            await answered.wait()
        return answers[0] if answers else None

    async def _run(
        self, path: str, body: bytes, answers: list[HttpAnswer], answered: trio.Event
    ) -> None:
        if await self._is_lost():
            return
        answer = await self._answer(path, body)
        if not await self._is_lost():
            answers.append(answer)
            answered.set()

    async def _answer(self, path: str, body: bytes) -> HttpAnswer:
        if path != TRANSFER_PATH.format(shard=SHARD):
            reply = await self._handlers[path](Request("POST", path, {}, {}, body, {}), None)
            return HttpAnswer(reply.status, {}, reply.body)
        wanted = msgspec.msgpack.decode(body, type=TransferRequest)
        reply = TransferReply(self._server.donate(wanted), self._incarnation)
        return HttpAnswer(200, {}, msgspec.msgpack.encode(reply))

    async def _is_lost(self) -> bool:
        """Wait as long as a message takes; return whether it is lost."""
        await trio.sleep(DELAYS_S[0] if self.is_sound else self._rng.choice(DELAYS_S))
        return not self.is_sound and self._rng.random() < LOSS


async def play(seed: int) -> list[str]:
    """Play transfers from one donor to several recipients; return what is broken."""
    rng, faults = random.Random(seed), []
    held: list[Grant] = []
    spent = 0
    donor = new_allowance("a")
    donor.add_pending_demand("huts", 20 * TOKENS)
    donor.record_appended(donor.draft_record(0.0, ClockReading()), START, ClockReading())
    takers = [new_allowance(f"t{n}") for n in range(RECIPIENTS)]

    def given() -> int:
        return donor.describe("huts", trio.current_time())["given"]

    async def spend(taker: Allowance, client: TransferClient) -> None:
        nonlocal spent
        for _ in range(REQUESTS):
            deadline = trio.current_time() + 1.0
            grant = (await client.reserve("huts", TOKENS, deadline, [DONOR])).grant
            if grant.status is ReservationStatus.GRANTED:
                held.append(grant)
                await trio.sleep(rng.random() / 2)
                held.remove(grant)
                used = rng.randrange(TOKENS + 1)
                spent += used
                taker.settle("huts", grant, used)
            usable = sum(grant.tokens for grant in held)
            usable += sum(taker.unused_received("huts", DONOR) for taker in takers)
            if usable > given():
                faults.append(f"seed {seed}: {usable} usable of {given()} given")
            if rng.random() < 0.5:
                await client.report_usage()

    async with trio.open_nursery() as network:
        calls = LateCalls(donor, rng, network)
        decisions = DecisionLog(trio.current_time)
        clients = [TransferClient(taker, calls, decisions, SHARD) for taker in takers]
        async with trio.open_nursery() as nursery:
            for taker, client in zip(takers, clients, strict=True):
                nursery.start_soon(spend, taker, client)
        calls.is_sound = True
        await trio.sleep(SETTLED_S)
        for _ in range(3):
            for client in clients:
                await client.report_usage()
    if given() or donor.finalize(ClockReading()).shares["huts"].spent != spent:
        faults.append(f"seed {seed}: {given()} still given, {spent} were spent")
    return faults


def test_late_and_lost_transfers_and_reports_give_no_tokens_twice_and_lose_none():
    clock = partial(MockClock, autojump_threshold=0)
    faults = [fault for seed in range(SEEDS) for fault in trio.run(play, seed, clock=clock())]
    assert not faults, faults[:10]
