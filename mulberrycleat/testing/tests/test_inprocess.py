"""Faults of the simulated network (cut, freeze, kill, lost answer) act as they do on sockets."""

from __future__ import annotations

import trio

from mulberrycleat.testing import run_virtual
from mulberrycleat.testing.inprocess import in_process_fleet

MODEL = "survey-large"
HOST = "zone-a-1"


async def test_fleet_serves_streams_and_deduplicates_bookings():
    async with in_process_fleet() as fleet:
        answer = await fleet.chat(HOST, "dolerite", MODEL, "Is the east track open?", max_tokens=5)
        assert (answer.outcome, len(answer.text.split())) == ("served", 5)
        first = await fleet.book(HOST, "dolerite", "bookings", "k1")
        again = await fleet.book("zone-b-1", "dolerite", "bookings", "k1")
        assert first.outcome == again.outcome == "served"
        assert first.body == again.body


def test_runs_with_the_same_seed_have_equal_times_and_answers():
    async def run() -> tuple[float, bytes]:
        async with in_process_fleet(seed=3) as fleet:
            fleet.network.cut("zone-a", "platform")
            answer = await fleet.chat(HOST, "dolerite", MODEL, "Open?", max_tokens=20)
            await fleet.book("zone-b-1", "dolerite", "bookings", "k1")
            return trio.current_time(), answer.body

    assert run_virtual(run, seed=5) == run_virtual(run, seed=5)


async def test_zone_cut_from_the_platform_gets_a_manifest_only_after_healing():
    async with in_process_fleet() as fleet:
        fleet.network.cut("zone-a", "platform")
        before = (await fleet.operator.statuses())[HOST]["manifest_version"]
        published = await fleet.operator.publish(fleet.layout.manifest())
        await trio.sleep(20)
        states = await fleet.operator.statuses()
        assert states[HOST]["manifest_version"] == before
        assert states["zone-b-1"]["manifest_version"] == published.unwrap().version
        fleet.network.heal("zone-a", "platform")
        await fleet.operator.wait_until_active(published.unwrap().version)


async def test_killed_router_aborts_streams_and_refuses_connections():
    async with in_process_fleet() as fleet:
        answers = []

        async def request_stream() -> None:
            answers.append(await fleet.chat(HOST, "dolerite", MODEL, "Open?", max_tokens=100))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request_stream)
            await trio.sleep(0.3)
            fleet.network.kill(f"router-{HOST}")
        assert answers[0].outcome == "broken"
        assert answers[0].status == 200
        refused = await fleet.chat(HOST, "dolerite", MODEL, "Open?")
        assert "ConnectError" in refused.broken
        await fleet.start(HOST)
        await fleet.wait_until_ready(HOST)
        assert (await fleet.chat(HOST, "dolerite", MODEL, "Open?")).outcome == "served"


async def test_requests_are_refused_until_a_frozen_controller_is_thawed():
    async with in_process_fleet() as fleet:
        fleet.network.freeze(f"controller-{HOST}")
        answer = await fleet.chat(HOST, "dolerite", MODEL, "Open?")
        assert answer.outcome == "not_run"
        fleet.network.thaw(f"controller-{HOST}")
        await trio.sleep(10)
        assert (await fleet.chat(HOST, "dolerite", MODEL, "Open?")).outcome == "served"


async def test_request_takes_effect_although_its_answer_is_lost():
    async with in_process_fleet() as fleet:
        fleet.network.lose_answers(f"router-{HOST}", "bookings-zone-a-1")
        answer = await fleet.book(HOST, "dolerite", "bookings", "k1")
        assert answer.outcome == "may_have_run"
        assert (await fleet.stats("bookings-zone-a-1"))["bookings"] == {"k1": 1}


async def test_stopped_router_completes_the_stream_in_flight():
    async with in_process_fleet() as fleet:
        answers = []

        async def request_stream() -> None:
            answers.append(await fleet.chat(HOST, "dolerite", MODEL, "Open?", max_tokens=100))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(request_stream)
            await trio.sleep(0.3)
            await fleet.network.stop(f"router-{HOST}")
        assert answers[0].outcome == "served"
