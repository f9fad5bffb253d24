"""The router's connection to its controller."""

from __future__ import annotations

from typing import Any

import trio
from result import Ok

from mulberrycleat.controller.messages import Ack, SettleRequest, SyncReply, SyncRequest
from mulberrycleat.core.ports import Ports
from mulberrycleat.router.link import ControllerLink
from mulberrycleat.settings import HostSettings, RouterSettings

SETTINGS = RouterSettings(
    HostSettings("zone-a-1", "zone-a"), "10.0.0.1:80", ("10.0.0.2:80",), "fleet.key"
)
CALL_DURATION_S = 0.001


class ControllerWithoutManifest:
    """A controller without a manifest; delays the reply to a router that has seen version 0."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, method: Any, message: SyncRequest, timeout_s: float) -> Any:
        self.calls += 1
        await trio.sleep(CALL_DURATION_S)
        if message.seen == 0:
            await trio.sleep(message.wait_s)
        return Ok(SyncReply(version=0, manifest_version=0))


async def test_router_without_manifest_does_not_sync_in_a_busy_loop():
    controller = ControllerWithoutManifest()
    ports = Ports(connect_rpc=lambda address, key: controller)
    link = ControllerLink(SETTINGS, "key", ports)
    with trio.move_on_after(20):
        await link.run()
    assert controller.calls <= 6


class SlowController:
    """A controller that confirms settlements after a delay."""

    def __init__(self) -> None:
        self.settled: list[str] = []

    async def call(self, method: Any, message: SettleRequest, timeout_s: float) -> Any:
        await trio.sleep(CALL_DURATION_S)
        self.settled += [settlement.request for settlement in message.settlements]
        return Ok(Ack())


async def test_concurrent_flushes_send_all_settlements_without_an_error():
    """Guards against an exception, which ends the process, if two flushes send one settlement."""
    controller = SlowController()
    link = ControllerLink(SETTINGS, "key", Ports(connect_rpc=lambda address, key: controller))
    link.settle_later("r1", 5)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.flush)
        nursery.start_soon(link.flush)
        await trio.sleep(CALL_DURATION_S / 2)
        link.settle_later("r2", 5)
    assert await link.flush()
    assert set(controller.settled) == {"r1", "r2"}
