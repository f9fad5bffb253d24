"""Crashes, freezes and lost answers in a fleet while it processes a request."""

from __future__ import annotations

import trio

from mulberrycleat.testing.inprocess import InProcessFleet, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

MODEL = "survey-large"
HERE, THERE = "zone-a-1", "zone-b-1"
FAULT_TIMES_S = (0.0005, 0.001, 0.002, 0.004, 0.006, 0.01, 0.02, 0.03)
ENGINE = f"pool-{MODEL}-zone-a-1"


async def bookings(fleet: InProcessFleet, key: str) -> int:
    """Return the number of bookings with a key, summed over all services."""
    members = fleet.layout.of_kind("service")
    stats = [await fleet.stats(member.name) for member in members]
    return sum(one["bookings"].get(key, 0) for one in stats)


async def retry_in_another_zone(fleet: InProcessFleet, key: str) -> str:
    """Retry a booking in another zone until its outcome is not ``not_run``; return the outcome.

    Returns ``not_run`` after five attempts with that outcome.
    """
    for _ in range(5):
        answer = await fleet.book(THERE, "dolerite", "bookings", key)
        if answer.outcome != "not_run":
            return answer.outcome
        await trio.sleep(2)
    return "not_run"


async def test_booking_runs_at_most_once_if_its_router_or_host_crashes_and_the_caller_retries():
    for victim in (f"router-{HERE}", HERE):
        async with in_process_fleet() as fleet:
            for number, fault_at_s in enumerate(FAULT_TIMES_S):
                key = f"k{number}"
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(fleet.book, HERE, "dolerite", "bookings", key)
                    await trio.sleep(fault_at_s)
                    fleet.network.kill(victim)
                outcome = await retry_in_another_zone(fleet, key)
                count = await bookings(fleet, key)
                assert count <= 1, (victim, fault_at_s)
                assert outcome != "served" or count == 1, (victim, fault_at_s)
                assert outcome in ("served", "may_have_run"), (victim, fault_at_s)
                await fleet.start(HERE)
                await fleet.wait_until_ready(HERE)


async def test_booking_runs_at_most_once_if_an_answer_is_lost_and_the_caller_retries():
    service = "bookings-zone-a-1"
    controller, router = f"controller-{HERE}", f"router-{HERE}"
    links = ((router, controller), (controller, "log"), (router, service), ("outside", router))
    for source, target in links:
        for count in (1, 2, 3):
            async with in_process_fleet() as fleet:
                fleet.network.lose_answers(source, target, count)
                with trio.move_on_after(30):
                    await fleet.book(HERE, "dolerite", "bookings", "k")
                outcome = await retry_in_another_zone(fleet, "k")
                found = await bookings(fleet, "k")
                where = (source, target, count, outcome)
                assert found <= 1 and (outcome != "served" or found == 1), where


async def test_booking_runs_at_most_once_if_its_router_freezes_and_the_caller_retries_meanwhile():
    for fault_at_s in FAULT_TIMES_S:
        async with in_process_fleet() as fleet, trio.open_nursery() as nursery:
            nursery.start_soon(fleet.book, HERE, "dolerite", "bookings", "k")
            await trio.sleep(fault_at_s)
            fleet.network.freeze(f"router-{HERE}")
            outcome = await retry_in_another_zone(fleet, "k")
            fleet.network.thaw(f"router-{HERE}")
            await trio.sleep(30)
            count = await bookings(fleet, "k")
            assert count <= 1 and (outcome != "served" or count == 1), fault_at_s


async def test_partitioned_zone_refuses_bookings_as_not_run_and_all_but_the_first_immediately():
    async with in_process_fleet() as fleet:
        await fleet.book(HERE, "dolerite", "bookings", "warm")
        fleet.network.cut("zone-a", "platform")
        waits = []
        for number in range(4):
            started = trio.current_time()
            answer = await fleet.book(HERE, "dolerite", "bookings", f"k{number}")
            assert answer.outcome == "not_run" and "retry-after" in answer.headers
            assert await bookings(fleet, f"k{number}") == 0
            waits.append(trio.current_time() - started)
        assert max(waits[1:]) < 0.1, waits
        fleet.network.heal("zone-a", "platform")
        await trio.sleep(10)
        for number in range(4):
            retried = await fleet.book(THERE, "dolerite", "bookings", f"k{number}")
            assert retried.outcome == "served"
            assert await bookings(fleet, f"k{number}") == 1


async def test_concurrent_bookings_with_one_key_run_once_and_get_one_answer():
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


async def test_answer_is_complete_if_its_engine_crashes_freezes_or_truncates_the_stream():
    async with in_process_fleet(FleetPlan(engines_per_zone=2)) as fleet:
        question = {"max_tokens": 60, "text": "Is the east track open?"}
        reference = await fleet.chat(HERE, "dolerite", MODEL, **question)
        for fault in (fleet.network.kill, fleet.network.freeze):
            answers = []

            async def send_question(answers: list = answers) -> None:
                answers.append(await fleet.chat(HERE, "dolerite", MODEL, **question))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_question)
                await trio.sleep(0.3)
                busy = await find_busy_engine(fleet)
                fault(busy)
            assert answers[0].outcome == "served", fault
            assert answers[0].text == reference.text, fault
            fleet.network.thaw(busy)
            await fleet.start(busy)
        for member in fleet.layout.of_kind("engine"):
            if member.zone == "zone-a":
                await fleet.set_faults(member.name, truncate_after=7)
        cut = await fleet.chat(HERE, "dolerite", MODEL, **question)
        assert (cut.outcome, cut.text) == ("served", reference.text)


async def test_stream_of_a_crashed_router_has_no_done_event_and_a_retry_elsewhere_is_complete():
    async with in_process_fleet() as fleet:
        question = {"max_tokens": 40, "text": "Is the east track open?"}
        reference = await fleet.chat(THERE, "dolerite", MODEL, **question)
        answers = []

        async def send_question() -> None:
            answers.append(await fleet.chat(HERE, "dolerite", MODEL, **question))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_question)
            await trio.sleep(0.3)
            fleet.network.kill(f"router-{HERE}")
        assert answers[0].outcome == "broken" and "[DONE]" not in answers[0].events
        retried = await fleet.chat(THERE, "dolerite", MODEL, **question)
        assert (retried.outcome, retried.text) == ("served", reference.text)


async def find_busy_engine(fleet: InProcessFleet) -> str:
    """Return the name of an engine that is working on a request."""
    for member in fleet.layout.of_kind("engine"):
        if fleet.standin(member.name).dispatches.open:
            return member.name
    raise LookupError("no engine is at work")
