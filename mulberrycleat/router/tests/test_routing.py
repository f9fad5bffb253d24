"""Endpoint choice, load reports, refusal on overload, and endpoints that take no new requests."""

from __future__ import annotations

from collections import Counter

import trio

from mulberrycleat.controller.messages import LOADS, LoadsRequest
from mulberrycleat.router.endpoints import EndpointTable
from mulberrycleat.router.filters import DispatchFilter
from mulberrycleat.router.tests.fakes import (
    IN_ORDER,
    MODEL_POOL,
    FakeClient,
    FakeEngine,
    make_call,
)
from mulberrycleat.testing.inprocess import FLEET_KEY, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

MODEL = "survey-large"
TWO_ENGINES = FleetPlan(engines_per_zone=2, hosts_per_zone=2, services=())
ONE_SLOW = FleetPlan(
    zones=("zone-a",),
    services=(),
    standin={"engine": {"step_s": 0.1, "max_batch": 2, "prefill_s_per_1000": 1.0}},
)
ARRIVAL_INTERVAL_S = 2.5
LONG_TEXT = "Day 3, east track: two washouts, one fallen myrtle. " * 150


async def loads_of(fleet, host):
    ports = fleet.ports(f"router-{host}")
    client = ports.connect_rpc(fleet.layout.members[f"controller-{host}"].address, FLEET_KEY)
    return (await client.call(LOADS, LoadsRequest("test", 0))).unwrap()


def shares(fleet, hosts):
    return Counter(e.name for host in hosts for e in fleet.controller(host).loads.share())


async def test_each_engine_is_polled_once_per_zone_and_every_host_there_gets_its_load():
    async with in_process_fleet(TWO_ENGINES) as fleet:
        await trio.sleep(5)
        hosts = ("zone-a-1", "zone-a-2")
        assert set(shares(fleet, hosts).values()) == {1}
        assert len(shares(fleet, hosts)) == 6
        for host in hosts:
            assert len((await loads_of(fleet, host)).loads) == 6


async def test_controller_takes_over_polling_from_a_dead_peer():
    async with in_process_fleet(TWO_ENGINES) as fleet:
        await trio.sleep(5)
        fleet.network.kill("controller-zone-a-2")
        await trio.sleep(5)
        assert len(shares(fleet, ["zone-a-1"])) == 6


async def test_partitioned_zone_still_gets_the_loads_of_its_own_engines():
    async with in_process_fleet(TWO_ENGINES) as fleet:
        fleet.network.cut("zone-a")
        await trio.sleep(20)
        own = {e.name for e in fleet.controller("zone-a-1").loads.share() if e.zone == "zone-a"}
        own |= {e.name for e in fleet.controller("zone-a-2").loads.share() if e.zone == "zone-a"}
        assert len(own) == 2


async def test_engine_that_reports_leaving_gets_no_new_requests_in_a_partitioned_zone():
    async with in_process_fleet(TWO_ENGINES) as fleet:
        for _ in range(4):
            await fleet.chat("zone-a-1", "dolerite", MODEL, "Open?", max_tokens=50)
            await trio.sleep(1)
        fleet.network.cut("zone-a", "platform")
        fleet.network.cut("zone-a", "zone-b")
        fleet.network.cut("zone-a", "zone-c")
        leaving = "pool-survey-large-zone-a-1"
        await fleet.set_faults(leaving, leaving=True)
        before = await fleet.stats(leaving)
        for _ in range(8):
            answer = await fleet.chat("zone-a-1", "dolerite", MODEL, "?", max_tokens=3)
            assert answer.outcome == "served"
        assert await fleet.stats(leaving) == before


async def test_busy_endpoint_gets_no_new_requests_until_its_pause_ends():
    busy, good = FakeEngine(status=503), FakeEngine()
    client = FakeClient({"127.0.0.1:1": busy, "127.0.0.1:2": good})
    dispatch = DispatchFilter(EndpointTable("z", IN_ORDER), client)
    for _ in range(5):
        assert (await dispatch.handle(make_call(MODEL_POOL), unexpected_proceed)).is_ok()
    assert len(busy.bodies) == 1
    await trio.sleep(4)
    busy.status, good.status = 200, 503
    await dispatch.handle(make_call(MODEL_POOL), unexpected_proceed)
    assert len(busy.bodies) == 2


async def unexpected_proceed(call):
    raise AssertionError("the last filter has nothing to proceed to")


async def test_overload_is_refused_immediately_as_not_run_with_retry_after():
    async with in_process_fleet(ONE_SLOW) as fleet:
        answers, waits = [], []

        async def send_request(number):
            await trio.sleep(number * ARRIVAL_INTERVAL_S)
            started_at = trio.current_time()
            answer = await fleet.chat(
                "zone-a-1",
                "dolerite",
                MODEL,
                f"{number} {LONG_TEXT}",
                max_tokens=60,
                x_timeout_s="25",
            )
            answers.append(answer)
            if answer.outcome == "not_run":
                waits.append(trio.current_time() - started_at)

        async with trio.open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(send_request, number)
        stats = await fleet.stats("pool-survey-large-zone-a-1")
        outcomes = Counter(answer.outcome for answer in answers)
        refused = [answer for answer in answers if answer.outcome == "not_run"]
        assert set(outcomes) == {"served", "not_run"}
        assert outcomes["not_run"] >= 20
        assert stats["generated"] == 60 * outcomes["served"]
        assert all(a.status == 503 and int(a.headers["retry-after"]) >= 1 for a in refused)
        assert max(waits) < 0.1


async def test_load_calls_per_host_are_bounded_and_every_host_gets_the_loads():
    async with in_process_fleet(FleetPlan(zones=("zone-a",), hosts_per_zone=12)) as fleet:
        hosts = [f"zone-a-{number}" for number in range(1, 13)]
        await trio.sleep(10)
        asked: Counter[str] = Counter()
        for host in hosts:
            loads = fleet.controller(host).loads
            loads._relay = _counted(loads._relay, asked, host)
        await trio.sleep(10)
        assert all(count <= 3 * 11 for count in asked.values()), asked
        for host in hosts:
            known = (await loads_of(fleet, host)).loads
            assert len(known) == 1 and known[0].age_s < 6.0, (host, known)


def _counted(call, counts, name):
    async def counted(address):
        counts[name] += 1
        await call(address)

    return counted
