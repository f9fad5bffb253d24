"""Budgets of a whole fleet in one event loop: killed hosts, fences, partitions and restarts."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

import trio

from mulberrycleat.budget import Release
from mulberrycleat.cli import operations
from mulberrycleat.controller.messages import ReserveRequest
from mulberrycleat.testing import fixture
from mulberrycleat.testing.inprocess import InProcessFleet, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

ACCOUNT = "dolerite"
MODEL = "survey-large"
HOST, PEER = "zone-a-1", "zone-a-2"
PREPAID = 200_000
PROMPT_TOKENS = 2


@fixture
def plan() -> FleetPlan:
    """Return one zone with two hosts and one endpoint."""
    return FleetPlan(zones=("zone-a",), hosts_per_zone=2, services=())


async def budget_at(fleet: InProcessFleet, host: str) -> dict[str, Any]:
    """Return the account's budget as a host reports it."""
    return (await fleet.operator.statuses())[host]["budgets"][ACCOUNT]


def fencing_manifest(fleet: InProcessFleet) -> dict[str, Any]:
    """Return the fleet's manifest with endpoints that check fencing."""
    manifest = fleet.layout.manifest()
    endpoints = [{**one, "checks_fencing": True} for one in manifest["endpoints"]]
    return {**manifest, "endpoints": endpoints}


async def kill_in_flight(fleet: InProcessFleet, host: str) -> None:
    """Kill a host's processes while one of its requests runs."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(fleet.chat, host, ACCOUNT, MODEL, "Open?", max_tokens=200))
        await trio.sleep(0.3)
        fleet.network.kill(f"router-{host}")
        fleet.network.kill(f"controller-{host}")


async def generated(fleet: InProcessFleet) -> int:
    """Return the tokens that the engine generated."""
    return (await fleet.stats("pool-survey-large-zone-a-1"))["generated"]


async def generated_at(fleet: InProcessFleet, endpoint: dict[str, Any]) -> int:
    """Return the tokens that one engine generated."""
    return (await fleet.stats(endpoint["name"]))["generated"]


async def test_replaced_host_is_fenced_and_its_unspent_tokens_are_returned(plan):
    async with in_process_fleet(plan) as fleet:
        await fleet.operator.publish_and_wait(fencing_manifest(fleet))
        await trio.sleep(5)
        await kill_in_flight(fleet, HOST)
        await fleet.start(HOST)
        await fleet.wait_until_ready(HOST)
        await trio.sleep(20)
        budget = await budget_at(fleet, PEER)
        assert budget["stranded"] == 0
        assert budget["spent"] >= await generated(fleet) > 0
        assert budget["held"] + budget["available"] + budget["spent"] == PREPAID


async def test_fence_reaches_an_endpoint_that_was_removed_from_the_manifest(plan):
    async with in_process_fleet(replace(plan, engines_per_zone=2)) as fleet:
        manifest = fencing_manifest(fleet)
        await fleet.operator.publish_and_wait(manifest)
        await trio.sleep(5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(fleet.chat, HOST, ACCOUNT, MODEL, "Open?", max_tokens=200))
            await trio.sleep(0.3)
            busy = [one for one in manifest["endpoints"] if await generated_at(fleet, one)]
            others = [one for one in manifest["endpoints"] if one not in busy]
            fleet.network.kill(f"router-{HOST}")
            fleet.network.kill(f"controller-{HOST}")
        (await fleet.operator.publish({**manifest, "endpoints": others})).unwrap()
        await fleet.start(HOST)
        await fleet.wait_until_ready(HOST)
        await trio.sleep(20)
        budget = await budget_at(fleet, PEER)
        assert budget["spent"] >= sum([await generated_at(fleet, one) for one in busy]) > 0
        assert budget["held"] + budget["available"] + budget["spent"] == PREPAID


async def test_only_tokens_that_a_killed_host_may_have_spent_stay_stranded(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        share = fleet.controller(HOST).budgets.manager.free(ACCOUNT)
        await kill_in_flight(fleet, HOST)
        await fleet.start(HOST)
        await fleet.wait_until_ready(HOST)
        await trio.sleep(120)
        budget = await budget_at(fleet, PEER)
        assert await generated(fleet) < budget["stranded"] < 0.2 * share
        assert budget["zones"]["zone-a"]["stranded"] == budget["stranded"]


async def test_fenced_holder_that_still_runs_spends_nothing(plan):
    async with in_process_fleet(plan) as fleet:
        await fleet.operator.publish_and_wait(fencing_manifest(fleet))
        await trio.sleep(5)
        before = await generated(fleet)
        endpoint = fleet.layout.manifest()["endpoints"][0]["address"]
        holder = fleet.controller(HOST).budgets.manager.holder
        url = f"http://{endpoint}/v1/fence"
        (
            await fleet.caller_ports.http.send_json("POST", url, {"holder": holder, "number": 1})
        ).unwrap()
        answer = await fleet.chat(HOST, ACCOUNT, MODEL, "Is it open?")
        assert answer.outcome == "not_run"
        assert await generated(fleet) == before
        assert (await budget_at(fleet, PEER))["spent"] == 0


async def test_graceful_shutdown_returns_all_unspent_tokens(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        await fleet.chat(HOST, ACCOUNT, MODEL, "Is it open?", max_tokens=5)
        await fleet.network.stop(f"router-{HOST}")
        await fleet.network.stop(f"controller-{HOST}")
        await trio.sleep(5)
        budget = await budget_at(fleet, PEER)
        assert budget["stranded"] == 0
        assert [name.rpartition("/")[0] for name in budget["shares"]] == [PEER]
        assert budget["held"] + budget["available"] + budget["spent"] == PREPAID


async def test_hosts_of_a_partitioned_zone_transfer_tokens_to_each_other(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        fleet.network.cut("zone-a", "platform")
        budgets = fleet.controller(HOST).budgets
        all_but_ten = budgets.manager.free(ACCOUNT) - 10
        assert (await budgets.reserve(ReserveRequest("router", "r0", ACCOUNT, all_but_ten))).granted
        answer = await fleet.chat(HOST, ACCOUNT, MODEL, "Is it open?", max_tokens=5)
        assert answer.outcome == "served"


async def test_restarted_host_gets_its_slice_after_the_records_expired(plan):
    standin = {"log": {"retention_s": 60.0}}
    short_retention = replace(plan, standin=standin, controller={"checkpoint_every_s": 10.0})
    async with in_process_fleet(short_retention) as fleet:
        await fleet.chat(HOST, ACCOUNT, MODEL, "Is it open?", max_tokens=5)
        await trio.sleep(10)
        spent = (await budget_at(fleet, PEER))["spent"]
        await trio.sleep(150)
        await fleet.network.stop(f"controller-{HOST}")
        await fleet.start(HOST)
        await trio.sleep(30)
        budget = await budget_at(fleet, HOST)
        assert (budget["prepaid"], budget["spent"]) == (PREPAID, spent)
        assert fleet.controller(HOST).budgets.manager.free(ACCOUNT) > 0


async def test_reservations_of_a_killed_router_are_settled_by_the_tokens_that_engines_report(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(fleet.chat, HOST, ACCOUNT, MODEL, "Open?", max_tokens=200))
            await trio.sleep(0.3)
            fleet.network.kill(f"router-{HOST}")
        manager = fleet.controller(HOST).budgets.manager
        assert len(manager.reservations) == 1
        await fleet.start(HOST)
        await trio.sleep(30)
        assert not manager.reservations
        budget = await budget_at(fleet, PEER)
        assert 0 < budget["spent"] - await generated(fleet) < 20


async def test_each_request_is_billed_once_when_answers_of_the_log_are_lost(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        await fleet.set_faults("log", lose_answers=30)
        for _ in range(5):
            answer = await fleet.chat(HOST, ACCOUNT, MODEL, "Open?", max_tokens=10)
            assert answer.outcome == "served"
        await trio.sleep(120)
        budget = await budget_at(fleet, PEER)
        assert budget["spent"] == await generated(fleet) + 5 * PROMPT_TOKENS
        assert budget["held"] + budget["available"] + budget["spent"] == PREPAID


async def test_top_up_during_a_partition_reaches_the_zone_after_it(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        fleet.network.cut("zone-a", "platform")
        (await fleet.operator.top_up(ACCOUNT, 1000, "second")).unwrap()
        await trio.sleep(60)
        held = sum(fleet.controller(host).budgets.manager.free(ACCOUNT) for host in (HOST, PEER))
        assert held <= PREPAID
        fleet.network.heal("zone-a", "platform")
        await trio.sleep(30)
        budget = await budget_at(fleet, HOST)
        assert budget["prepaid"] == PREPAID + 1000
        assert budget["held"] + budget["available"] == PREPAID + 1000


async def test_release_by_an_operator_returns_unspent_tokens(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        holder = fleet.controller(HOST).budgets.manager.holder
        await kill_in_flight(fleet, HOST)
        await trio.sleep(5)
        record = Release(holder, "ann", {ACCOUNT: 200})
        (await operations.release(fleet.operator.event_log, record)).unwrap()
        await trio.sleep(20)
        budget = await budget_at(fleet, PEER)
        assert (budget["spent"], budget["stranded"]) == (200, 0)
        assert budget["held"] + budget["available"] == PREPAID - 200


async def test_host_serves_requests_while_no_peer_of_its_zone_answers(plan):
    async with in_process_fleet(plan) as fleet:
        await trio.sleep(5)
        await kill_in_flight(fleet, PEER)
        for _ in range(20):
            answer = await fleet.chat(HOST, ACCOUNT, MODEL, "Open?", max_tokens=200)
            assert answer.outcome == "served"
