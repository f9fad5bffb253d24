"""The router's way to its controller."""

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
CALL_S = 0.001


class QuietController:
    """A controller that has no manifest yet and waits as long as it is asked to."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, method: Any, message: SyncRequest, timeout_s: float) -> Any:
        self.calls += 1
        await trio.sleep(CALL_S)
        if message.seen == 0:
            await trio.sleep(message.wait_s)
        return Ok(SyncReply(version=0, manifest_version=0))


async def test_router_waits_quietly_for_the_first_manifest():
    controller = QuietController()
    ports = Ports(connect_rpc=lambda address, key: controller)
    link = ControllerLink(SETTINGS, "key", ports)
    with trio.move_on_after(20):
        await link.run()
    assert controller.calls <= 6


class SlowController:
    """A controller that takes settlements slowly."""

    def __init__(self) -> None:
        self.settled: list[str] = []

    async def call(self, method: Any, message: SettleRequest, timeout_s: float) -> Any:
        await trio.sleep(CALL_S)
        self.settled += [settlement.request for settlement in message.settlements]
        return Ok(Ack())


async def test_settlements_sent_twice_at_once_at_a_stop_end_no_process():
    controller = SlowController()
    link = ControllerLink(SETTINGS, "key", Ports(connect_rpc=lambda address, key: controller))
    link.settle_later("r1", 5)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(link.flush)
        nursery.start_soon(link.flush)
        await trio.sleep(CALL_S / 2)
        link.settle_later("r2", 5)
    assert await link.flush()
    assert set(controller.settled) == {"r1", "r2"}
