"""Fleets in which only some hosts of a zone hold slices of the prepaid totals."""

from __future__ import annotations

from random import Random

import msgspec
import trio

from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.store_standin import StoreStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_hosts
from mulberrycleat.prepaid.sharding import shard_of
from mulberrycleat.testing import fixture

TOKEN_HEADERS = {"model": "m", "token_counts": "900,20"}
COST = 920
HOSTS = 12
SLICES = f"keyed.slices.{shard_of('rangers')}"


@fixture
def engine():
    return ServerStandin("e1", "10.1.0.1:80", "engines", events=4)


def holders(store: StoreStandin) -> set[str]:
    """Return the hosts that have written a record of their slices."""
    return set(store.newest(SLICES))


def candidates(harnesses) -> list:
    return [h for h in harnesses if h.host._slices.controller("rangers")._is_coordinator()]


async def send_to_each(harnesses, prefix: str, rounds: int = 1) -> list[int]:
    return [
        (await harness.send_request("/ask/x", f"{prefix}{n}-{i}", **TOKEN_HEADERS)).status
        for n in range(rounds)
        for i, harness in enumerate(harnesses)
    ]


async def test_only_some_hosts_of_a_zone_hold_slices_and_all_serve(engine):
    async with entry_hosts(HOSTS, engine, wait_s=2.0) as harnesses:
        statuses = await send_to_each(harnesses, "r", 3)
        await trio.sleep(2.0)
        found = holders(harnesses[0].store)
        assert all(harness.host.ready for harness in harnesses)
    assert statuses == [200] * 3 * HOSTS
    assert len(found) == 1


async def test_store_calls_of_a_host_do_not_grow_with_the_number_of_hosts(engine):
    rates = []
    for count in (6, 24):
        async with entry_hosts(count, engine, wait_s=5.0) as harnesses:
            store = harnesses[0].store
            before = store.calls
            await trio.sleep(20.0)
            rates.append((store.calls - before) / 20.0 / count)
    assert rates[1] <= 1.2 * rates[0]


async def test_a_host_without_slices_refuses_with_402_what_the_total_does_not_cover(engine):
    config = {**CONFIG, "tenants": [{**CONFIG["tenants"][0], "prepaid": 20_000}]}
    async with entry_hosts(HOSTS, engine, config=config, wait_s=2.0) as harnesses:
        others = [h for h in harnesses if h not in candidates(harnesses)]
        statuses = await send_to_each(others, "r", 4)
        await trio.sleep(3.0)
        late = await send_to_each(others, "s")
    assert statuses.count(200) * COST > 0.9 * 20_000
    assert len(engine.seen) * COST <= 20_000
    assert set(late) == {402}


async def test_hosts_without_slices_serve_during_an_outage_of_the_store(engine):
    config = {**CONFIG, "tenants": [{**CONFIG["tenants"][0], "prepaid": 400_000}]}
    async with entry_hosts(HOSTS, engine, config=config, wait_s=2.0) as harnesses:
        others = [h for h in harnesses if h not in candidates(harnesses)]
        for number in range(4):
            await send_to_each(others, f"w{number}")
            await trio.sleep(1.0)
        harnesses[0].store.down = True
        await trio.sleep(2.0)
        statuses = []
        for number in range(4):
            statuses += await send_to_each(others, f"r{number}")
            await trio.sleep(1.0)
    assert statuses.count(200) >= 0.9 * len(statuses)


async def test_a_host_serves_from_its_own_slice_while_no_coordinator_answers(engine):
    async with entry_hosts(HOSTS, engine, wait_s=2.0) as harnesses:
        chosen = candidates(harnesses)
        other = next(h for h in harnesses if h not in chosen)
        apps = dict(harnesses[0].apps)
        for harness in chosen:
            del harnesses[0].apps[harness.host._settings.peers_listen]
        statuses = [
            (await other.send_request("/ask/x", f"r{n}", **TOKEN_HEADERS)).status for n in range(6)
        ]
        assert other.host._settings.host in holders(other.store)
        harnesses[0].apps.update(apps)
        await trio.sleep(10.0)
        assert not other.host._slices.controller("rangers")._participates()
    assert statuses.count(200) >= 5


async def test_a_host_that_starts_during_an_outage_gets_tokens_from_the_coordinators(engine):
    async with entry_hosts(HOSTS, engine, wait_s=2.0) as harnesses:
        chosen = candidates(harnesses)
        others = [h for h in harnesses if h not in chosen]
        for number in range(6):
            await send_to_each(others, f"w{number}")
            await trio.sleep(0.5)
        harnesses[0].store.down = True
        await trio.sleep(2.0)
        # The seed of all hosts is a1, which has to live.
        name = next(h.host._settings.host for h in others if h.host._settings.host != "a1")
        restarted = others[0].restart(name)
        await trio.sleep(3.5)
        answer = await restarted.send_request("/ask/x", "r1", **TOKEN_HEADERS)
    assert answer.status == 200


async def test_a_total_is_never_exceeded_whichever_hosts_are_killed(engine):
    """Hosts are killed and restarted at random, at times all at once, and the store fails."""
    served = 0
    for seed in range(6):
        random, store = Random(seed), StoreStandin(seed)
        server = ServerStandin("e1", "10.1.0.1:80", "engines", events=4)
        async with entry_hosts(8, server, store=store, wait_s=2.0) as harnesses:
            for number in range(60):
                match random.randrange(12):
                    case 0:
                        index = random.randrange(8)
                        harnesses[index] = harnesses[index].restart(f"a{index + 1}")
                    case 1:
                        for index in range(8):
                            harnesses[index] = harnesses[index].restart(f"a{index + 1}")
                    case 2:
                        store.down = not store.down
                    case 3:
                        store.lose_answers = random.choice((0.0, 0.3))
                    case _:
                        await send_to_each(random.sample(harnesses, 3), f"r{seed}-{number}-")
                await trio.sleep(random.uniform(0.0, 0.6))
        assert len(server.seen) * COST <= 100_000, f"seed {seed}"
        served += len(server.seen)
    assert served > 6 * 20


async def test_reported_demand_enlarges_the_reserve_of_a_zone_for_an_outage(engine):
    async with entry_hosts(HOSTS, engine, wait_s=2.0) as harnesses:
        others = [h for h in harnesses if h not in candidates(harnesses)]
        for number in range(8):
            await send_to_each(others, f"r{number}")
            await trio.sleep(0.5)
        reported = [
            harness.host._slices.controller("rangers")._allowance._reported_demand.total(
                "rangers", trio.current_time()
            )
            for harness in candidates(harnesses)
        ]
    assert min(reported) > 100


async def test_unreadable_demand_reports_are_refused(engine):
    async with entry_hosts(2, engine) as harnesses:
        client = harnesses[0].host._peer_http
        for rates in ({"a": -1.0}, {"a": float("nan")}, {"a": 1e300}, {"a": "x"}, 5):
            body = msgspec.msgpack.encode({"host": "x", "rates": rates})
            answer = await client.request("POST", "http://a2:3/tokens/0/demand", body)
            assert answer.unwrap().status == 400
