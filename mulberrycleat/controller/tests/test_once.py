"""Claims of idempotency keys over a log whose appends fail or lose their answers."""

from __future__ import annotations

from typing import Any

import trio
from result import Err, Ok, Result

from mulberrycleat.controller.messages import BeginRequest, FinishRequest, RecallRequest
from mulberrycleat.controller.once import OnceController
from mulberrycleat.core import Holder, PeerError, Step
from mulberrycleat.eventlog import MemoryStreams, Page

LOST = "lost"
FAILED = "failed"
WINDOW_S = 900.0


class FaultyLog:
    """A log whose next appends fail, or take effect although their answers are lost."""

    def __init__(self, *faults: str) -> None:
        self.streams = MemoryStreams(trio.current_time)
        self.faults = list(faults)
        self.delay_s = 0.01
        self._appended = trio.Event()

    async def append(self, stream: str, records: tuple[Any, ...]) -> Result[int, PeerError]:
        fault = self.faults.pop(0) if self.faults else ""
        await trio.sleep(self.delay_s)
        if fault == FAILED:
            return Err(PeerError(Step.APPEND, "log", "no answer"))
        offset = self.streams.append(stream, records)
        event, self._appended = self._appended, trio.Event()
        event.set()
        if fault == LOST:
            return Err(PeerError(Step.APPEND, "log", "no answer"))
        return Ok(offset)

    async def read(self, stream: str, offset: int, wait_s: float = 0.0) -> Result[Page, PeerError]:
        with trio.move_on_after(wait_s):
            while self.streams.read(stream, offset, 1).end <= offset:
                await self._appended.wait()
        return Ok(self.streams.read(stream, offset))


def controller(log: FaultyLog, host: str) -> OnceController:
    holder = Holder(host, "zone-a", "1")
    return OnceController(holder, log, checkpoint_every_s=60.0, window_s=WINDOW_S)


async def test_key_runs_once_when_appends_fail_or_lose_their_answers():
    for faults in ((), (LOST,), (FAILED,), (LOST, LOST), (FAILED, LOST), (LOST, FAILED, LOST)):
        log = FaultyLog(*faults)
        one, other = controller(log, "a1"), controller(log, "b1")
        async with trio.open_nursery() as nursery:
            await nursery.start(one.run)
            await nursery.start(other.run)
            assert (await one.begin(BeginRequest("i1", "k", "d"))).state == "won", faults
            log.faults = list(faults)
            await one.finish(FinishRequest("i1", "k", 200, "text/plain", b"booked"))
            await trio.sleep(5)
            again = await other.begin(BeginRequest("i2", "k", "d"))
            assert (again.state, again.body) == ("done", b"booked"), faults
            nursery.cancel_scope.cancel()


async def test_exactly_one_of_the_hosts_that_claim_a_key_wins():
    for seed in range(5):
        log = FaultyLog(*((LOST, FAILED, "", LOST)[seed % 3 :]))
        hosts = [controller(log, f"h{number}") for number in range(4)]
        states: list[str] = []

        async def claim(host: OnceController, number: int, states: list[str] = states) -> None:
            states.append((await host.begin(BeginRequest(f"i{number}", "k", "d"))).state)

        async with trio.open_nursery() as nursery:
            for host in hosts:
                await nursery.start(host.run)
            async with trio.open_nursery() as claiming:
                for number, host in enumerate(hosts):
                    claiming.start_soon(claim, host, number)
            nursery.cancel_scope.cancel()
        assert sorted(states) == ["open", "open", "open", "won"], seed


async def test_intent_of_a_stopped_holder_stays_in_doubt():
    log = FaultyLog()
    dead, other = controller(log, "a1"), controller(log, "b1")
    async with trio.open_nursery() as nursery:
        await nursery.start(dead.run)
        assert (await dead.begin(BeginRequest("i1", "k", "d"))).state == "won"
        nursery.cancel_scope.cancel()
    async with trio.open_nursery() as nursery:
        await nursery.start(other.run)
        for _ in range(3):
            assert (await other.recall(RecallRequest("k", "d"))).state == "open"
            assert (await other.begin(BeginRequest("i2", "k", "d"))).state == "open"
            await trio.sleep(WINDOW_S / 4)
        nursery.cancel_scope.cancel()


async def test_outcomes_that_arrive_during_a_write_are_all_recorded():
    log = FaultyLog()
    one = controller(log, "a1")
    async with trio.open_nursery() as nursery:
        await nursery.start(one.run)
        for number in range(30):
            await one.begin(BeginRequest(f"i{number}", f"k{number}", "d"))
        log.delay_s = 0.3
        log.faults = ["", FAILED, ""] * 40
        for number in range(30):
            message = FinishRequest(f"i{number}", f"k{number}", 200, "text/plain", b"booked")
            nursery.start_soon(one.finish, message)
            await trio.sleep(0.17)
        await trio.sleep(60)
        states = [one.history.state.find(f"k{number}") for number in range(30)]
        assert all(state.outcome for state in states)
        nursery.cancel_scope.cancel()


async def test_controller_started_after_expiry_claims_nothing_until_a_checkpoint():
    log = FaultyLog()
    log.streams = MemoryStreams(trio.current_time, retention_s=200.0)
    first = controller(log, "a1")
    async with trio.open_nursery() as nursery:
        await nursery.start(first.run)
        await first.begin(BeginRequest("i1", "k", "d"))
        await trio.sleep(3 * 200)
        late = controller(log, "b1")
        await nursery.start(late.run)
        assert (await late.begin(BeginRequest("i2", "k", "d"))).state == "open"
        nursery.cancel_scope.cancel()
    log.streams = MemoryStreams(trio.current_time, retention_s=200.0)
    log.streams.append("once", ({"type": "abandon", "id": "i0", "key": "k0"},))
    await trio.sleep(300)
    async with trio.open_nursery() as nursery:
        only_host = controller(log, "c1")
        await nursery.start(only_host.run)
        assert (await only_host.begin(BeginRequest("i3", "k", "d"))).state == "unavailable"
        await trio.sleep(1.3 * WINDOW_S)
        assert (await only_host.begin(BeginRequest("i4", "k", "d"))).state == "won"
        nursery.cancel_scope.cancel()
