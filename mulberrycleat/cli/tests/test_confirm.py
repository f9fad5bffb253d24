"""Waiting for a version: host by host, and the zone that has not confirmed is named."""

from __future__ import annotations

from dataclasses import replace

import trio

from mulberrycleat.cli.confirm import Confirmation, confirm_everywhere, zones_without
from mulberrycleat.settings import OperatorSettings, convert_all
from mulberrycleat.testing.inprocess import FLEET_KEY, InProcessFleet, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

PLAN = FleetPlan(hosts_per_zone=2)
TIMEOUT_S = 15.0


async def test_zone_that_is_cut_off_is_named_and_the_others_are_shown_as_they_confirm():
    async with in_process_fleet(PLAN) as fleet:
        fleet.network.cut("zone-b", "platform")
        hosts, shown = await _publish_and_confirm(fleet, _settings(fleet))
    assert zones_without(hosts) == ["zone-b"]
    assert sorted(host.zone for host in shown) == ["zone-a"] * 2 + ["zone-c"] * 2


async def test_zone_that_answers_nobody_is_named_as_unknown():
    async with in_process_fleet(PLAN) as fleet:
        fleet.network.cut("zone-b")
        hosts, _ = await _publish_and_confirm(fleet, _settings(fleet))
    assert zones_without(hosts) == ["unknown"]


async def test_hosts_that_only_their_zone_knows_are_waited_for():
    async with in_process_fleet(PLAN) as fleet:
        await trio.sleep(10.0)
        settings = _settings(fleet)
        some = replace(settings, controllers=settings.controllers[:1])
        hosts, shown = await _publish_and_confirm(fleet, some)
    assert {host.host for host in shown} == {"zone-a-1", "zone-a-2"}
    assert zones_without(hosts) == []


async def test_host_that_its_zone_calls_dead_is_not_waited_for():
    async with in_process_fleet(PLAN) as fleet:
        await trio.sleep(10.0)
        fleet.network.kill("zone-c-2")
        await trio.sleep(30.0)
        hosts, _ = await _publish_and_confirm(fleet, _settings(fleet))
    assert zones_without(hosts) == []
    assert [host.zone for host in hosts if host.gone] == ["zone-c"]


def _settings(fleet: InProcessFleet) -> OperatorSettings:
    return convert_all(fleet.layout.operator(), OperatorSettings).unwrap()


async def _publish_and_confirm(
    fleet: InProcessFleet, settings: OperatorSettings
) -> tuple[list[Confirmation], list[Confirmation]]:
    content = fleet.layout.manifest()
    content["accounts"] += [{"name": "new"}]
    version = (await fleet.operator.publish(content)).unwrap().version
    shown: list[Confirmation] = []
    hosts = await confirm_everywhere(
        settings,
        lambda address: fleet.outside.connect_rpc(address, FLEET_KEY),
        version,
        TIMEOUT_S,
        shown.append,
    )
    return hosts, shown
