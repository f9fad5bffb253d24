"""Deaths, freezes and lost answers on the way of a request through a whole fleet."""

from __future__ import annotations

import trio

from mulberrycleat.testing.inprocess import InProcessFleet, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

MODEL = "survey-large"
HERE, THERE = "zone-a-1", "zone-b-1"
MOMENTS_S = (0.0005, 0.001, 0.002, 0.004, 0.006, 0.01, 0.02, 0.03)
ENGINE = f"pool-{MODEL}-zone-a-1"


async def bookings(fleet: InProcessFleet, key: str) -> int:
    """Return how often a key was booked at all services."""
    members = fleet.layout.of_kind("service")
    stats = [await fleet.stats(member.name) for member in members]
    return sum(one["bookings"].get(key, 0) for one in stats)


async def booked_again_elsewhere(fleet: InProcessFleet, key: str) -> str:
    """Repeat a booking in another zone until its outcome is final, and return that."""
    for _ in range(5):
        answer = await fleet.book(THERE, "dolerite", "bookings", key)
        if answer.outcome != "not_run":
            return answer.outcome
        await trio.sleep(2)
    return "not_run"


async def test_booking_runs_once_whenever_its_router_or_host_dies_and_the_caller_repeats():
    for victim in (f"router-{HERE}", HERE):
        async with in_process_fleet() as fleet:
            for number, moment_s in enumerate(MOMENTS_S):
                key = f"k{number}"
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.book, HERE, "dolerite", "bookings", key)
                    await trio.sleep(moment_s)
                    fleet.network.kill(victim)
                outcome = await booked_again_elsewhere(fleet, key)
                count = await bookings(fleet, key)
                assert count <= 1, (victim, moment_s)
                assert outcome != "served" or count == 1, (victim, moment_s)
                assert outcome in ("served", "may_have_run"), (victim, moment_s)
                await fleet.start(HERE)
                await fleet.wait_until_ready(HERE)


async def test_booking_runs_once_whichever_answer_is_lost_and_the_caller_repeats():
    service = "bookings-zone-a-1"
    controller, router = f"controller-{HERE}", f"router-{HERE}"
    links = ((router, controller), (controller, "log"), (router, service), ("outside", router))
    for source, target in links:
        for count in (1, 2, 3):
            async with in_process_fleet() as fleet:
                fleet.network.lose_answers(source, target, count)
                with trio.move_on_after(30):
                    await fleet.book(HERE, "dolerite", "bookings", "k")
                outcome = await booked_again_elsewhere(fleet, "k")
                found = await bookings(fleet, "k")
                where = (source, target, count, outcome)
                assert found <= 1 and (outcome != "served" or found == 1), where


async def test_booking_runs_once_when_its_router_freezes_and_the_caller_repeats_meanwhile():
    for moment_s in MOMENTS_S:
        async with in_process_fleet() as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.book, HERE, "dolerite", "bookings", "k")
            await trio.sleep(moment_s)
            fleet.network.freeze(f"router-{HERE}")
            outcome = await booked_again_elsewhere(fleet, "k")
            fleet.network.thaw(f"router-{HERE}")
            await trio.sleep(30)
            count = await bookings(fleet, "k")
            assert count <= 1 and (outcome != "served" or count == 1), moment_s


async def test_two_routers_with_one_key_book_once_and_give_one_answer():
    async with in_process_fleet() as fleet:
        answers = []

        async def book(host: str) -> None:
            answers.append(await fleet.book(host, "dolerite", "bookings", "k"))

        async with trio.open_nursery() as nursery:
            for host in (HERE, THERE, "zone-c-1", HERE):
                nursery.start_soon(book, host)
        assert await bookings(fleet, "k") == 1
        bodies = {answer.body for answer in answers if answer.outcome == "served"}
        assert len(bodies) == 1
        assert {answer.outcome for answer in answers} <= {"served", "may_have_run"}


async def test_answer_is_whole_when_its_engine_dies_freezes_or_cuts_the_stream():
    async with in_process_fleet(FleetPlan(engines_per_zone=2)) as fleet:
        question = {"max_tokens": 60, "text": "Is the east track open?"}
        whole = await fleet.chat(HERE, "dolerite", MODEL, **question)
        for fault in (fleet.network.kill, fleet.network.freeze):
            answers = []

            async def ask(answers: list = answers) -> None:
                answers.append(await fleet.chat(HERE, "dolerite", MODEL, **question))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.3)
                busy = await busiest(fleet)
                fault(busy)
            assert answers[0].outcome == "served", fault
            assert answers[0].text == whole.text, fault
            fleet.network.thaw(busy)
            await fleet.start(busy)
        for member in fleet.layout.of_kind("engine"):
            if member.zone == "zone-a":
                await fleet.set_faults(member.name, truncate_after=7)
        cut = await fleet.chat(HERE, "dolerite", MODEL, **question)
        assert (cut.outcome, cut.text) == ("served", whole.text)


async def busiest(fleet: InProcessFleet) -> str:
    """Return the engine that is at work."""
    for member in fleet.layout.of_kind("engine"):
        if fleet.standin(member.name).works.open:
            return member.name
    raise LookupError("no engine is at work")
