"""Several entry hosts: relayed calls, token transfers, restarts."""

from __future__ import annotations

import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_hosts
from mulberrycleat.testing import fixture

TOKEN_HEADERS = {"model": "m", "token_counts": "900,20"}


@fixture
def booking_server():
    return ServerStandin("h1", "10.2.0.1:80", "bookings")


@fixture
def engine():
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=4)


async def test_a_host_refused_by_the_store_gets_changes_through_a_peer(booking_server):
    async with entry_hosts(2, booking_server) as (first, second):
        first.store.turned_away.add("a2")
        await trio.sleep(0.5)
        second.store.put("keyed.op", "config", {**CONFIG, "version": 9, "routes": []})
        await trio.sleep(2.5)
        assert (await second.send_request("/book/x")).status == 404


async def test_a_host_refused_by_the_store_still_gets_tokens(engine):
    async with entry_hosts(2, engine) as (first, second):
        first.store.turned_away.add("a2")
        statuses = []
        for number in range(40):
            statuses.append(
                (await second.send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)).status
            )
            await trio.sleep(0.1)
    assert statuses.count(200) >= 38


async def test_hosts_transfer_tokens_to_each_other_while_the_store_is_down(engine):
    async with entry_hosts(3, engine) as harnesses:
        for number in range(30):
            await harnesses[0].send_request("/ask/x", f"w{number}", **TOKEN_HEADERS)
        harnesses[0].store.down = True
        await trio.sleep(2.0)
        statuses = [
            (await harness.send_request("/ask/x", f"r{n}-{i}", **TOKEN_HEADERS)).status
            for i, harness in enumerate(harnesses)
            for n in range(2)
        ]
    assert statuses == [200] * 6


async def test_all_hosts_together_never_exceed_a_prepaid_total(engine):
    async with entry_hosts(3, engine) as harnesses:
        for number in range(150):
            await harnesses[number % 3].send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)
    assert 95_000 <= len(engine.seen) * 920 <= 100_000


async def test_a_prepaid_total_is_not_exceeded_when_all_hosts_are_killed_repeatedly(engine):
    async with entry_hosts(3, engine) as harnesses:
        for round_number in range(4):
            for number in range(40):
                await harnesses[number % 3].send_request(
                    "/ask/x", f"r{round_number}-{number}", **TOKEN_HEADERS
                )
            harnesses = [harness.restart(f"a{n}") for n, harness in enumerate(harnesses, 1)]
            await trio.sleep(1.0)
    assert len(engine.seen) * 920 <= 100_000


async def test_a_host_that_starts_while_the_store_is_down_gets_its_state_from_a_peer(
    booking_server,
):
    async with entry_hosts(2, booking_server) as (first, second):
        first.store.down = True
        await trio.sleep(2.0)
        restarted = second.restart("a2")
        await trio.sleep(6.0)
        assert restarted.host.ready
        assert (await restarted.send_request("/book/x")).status == 200


async def test_waiting_for_unavailable_tokens_makes_few_store_calls(engine):
    async with entry_hosts(1, engine) as (harness,):
        for number in range(120):
            await harness.send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)
        before, began = harness.store.calls, trio.current_time()
        for number in range(20):
            assert (await harness.send_request("/ask/x", f"s{number}", **TOKEN_HEADERS)).status in (
                402,
                503,
            )
        calls_per_s = (harness.store.calls - before) / max(1.0, trio.current_time() - began)
    assert calls_per_s < 100


async def test_an_outage_of_the_store_for_all_hosts_causes_few_refusals(engine):
    """The load would use up the prepaid total in about 55 s; the store is down for nine seconds."""
    async with entry_hosts(3, engine) as harnesses:
        statuses = []
        for number in range(36):
            if number == 18:
                harnesses[0].store.down = True
            asked = await harnesses[number % 3].send_request(
                "/ask/x", f"r{number}", **TOKEN_HEADERS
            )
            statuses.append(asked.status)
            await trio.sleep(0.5)
    assert statuses[:18] == [200] * 18
    assert statuses[18:].count(200) >= 16


async def test_a_host_that_stops_after_a_store_outage_leaves_no_tokens_stranded(engine):
    """The record whose append got no answer in the outage is not mistaken for the final record."""
    async with entry_hosts(2, engine) as (first, _):
        await first.send_request("/ask/x", "r0", **TOKEN_HEADERS)
        first.store.down = True
        await trio.sleep(1.0)
        first.stop.set()
        await trio.sleep(2.45)
        first.store.down = False
        await trio.sleep(1.0)
        restarted = first.restart("a1")
        await trio.sleep(1.0)
        assert restarted.host.describe_tokens("rangers")["stranded"] == 0


async def test_a_host_that_stops_during_a_store_outage_leaves_no_tokens_stranded(engine):
    """The other hosts keep its final record for the next incarnation."""
    async with entry_hosts(2, engine) as (first, _):
        for number in range(8):
            await first.send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)
        await trio.sleep(1.0)
        first.store.down = True
        await trio.sleep(1.0)
        first.stop.set()
        await trio.sleep(8.0)
        restarted = first.restart("a1")
        await trio.sleep(1.0)
        first.store.down = False
        await trio.sleep(2.0)
        assert restarted.host.describe_tokens("rangers")["stranded"] == 0
        assert restarted.host.describe_tokens("rangers")["surely_spent"] == 8 * 920


async def test_retry_after_of_a_token_refusal_states_when_the_slice_has_grown_enough(engine):
    async with entry_hosts(2, engine) as harnesses:
        for number in range(10):
            await harnesses[number % 2].send_request("/ask/x", f"w{number}", **TOKEN_HEADERS)
            await trio.sleep(0.4)
        harnesses[0].store.down = True
        await trio.sleep(0.1)
        for number in range(10):
            refused = await harnesses[0].send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)
            if refused.status == 503:
                break
        await trio.sleep(float(refused.headers["retry-after"]) + 0.01)
        answer = await harnesses[0].send_request("/ask/x", "again", **TOKEN_HEADERS)
    assert refused.status == 503
    assert answer.status == 200


async def test_tokens_of_a_transfer_whose_reply_was_lost_return_to_the_donor(engine):
    async with entry_hosts(2, engine) as harnesses:
        for number in range(12):
            await harnesses[number % 2].send_request("/ask/x", f"w{number}", **TOKEN_HEADERS)
        await trio.sleep(1.0)
        harnesses[0].store.down = True
        harnesses[0].apps.lose_answers = True
        await trio.sleep(1.5)
        for number in range(2):
            for harness in harnesses:
                await harness.send_request("/ask/x", f"r{number}", **TOKEN_HEADERS)
        harnesses[0].apps.lose_answers = False
        await trio.sleep(2.0)
        kept = [harness.host.describe_tokens("rangers")["given"] for harness in harnesses]
    assert sum(kept) == 0
