"""Waiting for a version: hosts are shown as they confirm, and unconfirmed zones are named."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

import trio
from result import Err, Ok

from mulberrycleat.cli.confirm import Confirmation, confirm_everywhere, unconfirmed_zones
from mulberrycleat.controller.messages import ConfirmReply, HostVersion
from mulberrycleat.core import PeerError, Step
from mulberrycleat.settings import OperatorSettings, convert_all
from mulberrycleat.testing.inprocess import FLEET_KEY, InProcessFleet, in_process_fleet
from mulberrycleat.testing.layout import FleetPlan

PLAN = FleetPlan(hosts_per_zone=2)
TIMEOUT_S = 15.0


async def test_zone_partitioned_from_the_log_is_named_and_the_other_hosts_are_shown():
    async with in_process_fleet(PLAN) as fleet:
        fleet.network.cut("zone-b", "platform")
        hosts, shown = await _publish_and_confirm(fleet, _settings(fleet))
    assert unconfirmed_zones(hosts) == ["zone-b"]
    assert sorted(host.zone for host in shown) == ["zone-a"] * 2 + ["zone-c"] * 2


async def test_zone_partitioned_from_all_others_is_named_unknown():
    async with in_process_fleet(PLAN) as fleet:
        fleet.network.cut("zone-b")
        hosts, _ = await _publish_and_confirm(fleet, _settings(fleet))
    assert unconfirmed_zones(hosts) == ["unknown"]


async def test_wait_includes_hosts_that_are_known_only_to_their_zone():
    async with in_process_fleet(PLAN) as fleet:
        await trio.sleep(10.0)
        settings = _settings(fleet)
        one_controller = replace(settings, controllers=settings.controllers[:1])
        hosts, shown = await _publish_and_confirm(fleet, one_controller)
    assert {host.host for host in shown} == {"zone-a-1", "zone-a-2"}
    assert unconfirmed_zones(hosts) == []


async def test_wait_excludes_hosts_that_their_zone_reports_as_dead():
    async with in_process_fleet(PLAN) as fleet:
        await trio.sleep(10.0)
        fleet.network.kill("zone-c-2")
        await trio.sleep(30.0)
        hosts, _ = await _publish_and_confirm(fleet, _settings(fleet))
    assert unconfirmed_zones(hosts) == []
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
        lambda address: fleet.caller_ports.connect_rpc(address, FLEET_KEY),
        version,
        TIMEOUT_S,
        shown.append,
    )
    return hosts, shown


class FixedReply:
    """Client of a controller that always gives the same reply, or never one."""

    def __init__(self, reply: ConfirmReply | None) -> None:
        self._reply = reply

    async def call(self, method, request, timeout_s):
        """Return the reply, or an error after a while."""
        await trio.sleep(0.1)
        if self._reply is None:
            return Err(PeerError(Step.CALL, "a2", "no answer"))
        return Ok(self._reply)

    def close(self) -> None:
        """Do nothing."""


async def test_a_host_that_no_other_host_has_heard_from_is_not_gone():
    for contact, gone in (("unknown", False), ("cut", False), ("dead", True)):
        member = HostVersion("a2:1", "", 0, contact)
        reply = ConfirmReply("a1", "zone-a", "1", 5, True, {}, (member,))
        clients = {"a1:1": FixedReply(reply), "a2:1": FixedReply(None)}
        settings = SimpleNamespace(controllers=tuple(clients))
        hosts = await confirm_everywhere(settings, clients.get, 5, 2.0, lambda host: None)
        found = {host.address: host for host in hosts}
        assert found["a1:1"].in_force
        assert found["a2:1"].gone is gone
        assert unconfirmed_zones(hosts) == ([] if gone else ["unknown"])
