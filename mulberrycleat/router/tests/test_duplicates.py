"""Duplicates of an idempotent request with a key get the same answer and are not run again."""

from __future__ import annotations

import trio

from mulberrycleat.testing.inprocess import in_process_fleet

MODEL = "survey-large"
HERE, THERE = "zone-a-1", "zone-b-1"
QUESTION = {"text": "Is the east track open?", "max_tokens": 6, "idempotency_key": "q1"}


async def test_duplicate_in_another_zone_gets_the_same_answer_and_is_not_run():
    for stream in (True, False):
        async with in_process_fleet() as fleet:
            first = await fleet.chat(HERE, "dolerite", MODEL, stream=stream, **QUESTION)
            await trio.sleep(1)
            again = await fleet.chat(THERE, "dolerite", MODEL, stream=stream, **QUESTION)
            assert (again.outcome, again.body) == ("served", first.body)
            assert again.headers["idempotent-replayed"] == "true"
            served = [await fleet.stats(m.name) for m in fleet.layout.of_kind("engine")]
            assert sum(one["served"] for one in served) == 1
            other = {**QUESTION, "text": "And the west track?"}
            refused = await fleet.chat(THERE, "dolerite", MODEL, stream=stream, **other)
            assert (refused.status, refused.outcome) == (422, "not_run")


async def test_idempotent_request_with_a_key_runs_while_the_log_is_unreachable():
    async with in_process_fleet() as fleet:
        await fleet.chat(HERE, "dolerite", MODEL, "Warm up the slice.")
        fleet.network.cut("zone-a", "platform")
        answer = await fleet.chat(HERE, "dolerite", MODEL, **QUESTION)
        assert answer.outcome == "served"


async def test_keys_of_different_accounts_are_separate():
    async with in_process_fleet() as fleet:
        await fleet.chat(HERE, "dolerite", MODEL, **QUESTION)
        await trio.sleep(1)
        answer = await fleet.chat(HERE, "swan-coastal", MODEL, **QUESTION)
        assert "idempotent-replayed" not in answer.headers
