"""The manifest on the hosts: its version never decreases in partitions, outages or restarts."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import trio
from result import Ok

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.manifests import MAX_RECENT_RECORDS, ManifestController
from mulberrycleat.controller.messages import ConfirmRequest, SyncReply, SyncRequest
from mulberrycleat.core import Holder
from mulberrycleat.eventlog import FakeEventLog, MemoryStreams, RelayedLog
from mulberrycleat.manifest import STREAM, Change, ManifestRecord, ManifestState, decode_snapshot
from mulberrycleat.settings import ControllerSettings, HostSettings, PlatformSettings

SETTLE_S = 15.0
CHECKPOINT_S = 60.0
RETENTION_S = 300.0


class FakeHosts:
    """The other hosts of a zone, reached by direct calls."""

    def __init__(self, zone: dict[str, Host]) -> None:
        self._zone = zone

    def announce(self, version: int) -> None:
        """Heartbeats are not modelled."""

    def versions(self) -> tuple:
        """Members are not modelled."""
        return ()

    def rank(self, task: str) -> int:
        """Return the first rank, so that every host writes checkpoints."""
        return 0

    def find_newer_peer(self, version: int) -> str | None:
        """Return the name of a host with a newer version, or None."""
        later = [n for n, host in self._zone.items() if host.manifests.state.version > version]
        return later[0] if later else None

    async def call(self, name: str, method: Any, message: Any, timeout_s: float) -> Any:
        """Call another host directly for its state."""
        return Ok(await self._zone[name].manifests.catch_up(message))


class Host:
    """A manifest controller with its own connection to the log."""

    def __init__(self, name: str, streams: MemoryStreams, zone: dict[str, Host]) -> None:
        self.log = FakeEventLog(streams)
        self.changes = Changes()
        settings = ControllerSettings(
            HostSettings(name, "east"),
            PlatformSettings("127.0.0.1:1", checkpoint_every_s=CHECKPOINT_S),
            "127.0.0.1:2",
            "unused",
        )
        relay = RelayedLog(self.log, lambda stream, avoided: None, None)
        holder = Holder(name, "east", "1")
        self.manifests = ManifestController(
            settings, holder, relay, FakeHosts(zone), self.changes, trio.current_time
        )
        zone[name] = self
        self.versions: list[int] = []

    async def run(self) -> None:
        """Run until cancelled and record each active version."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.manifests.run)
            nursery.start_soon(self._record_versions)

    async def _record_versions(self) -> None:
        while True:
            self.versions.append(self.manifests.state.version)
            await self.changes.wait_until(self._changed, 1.0)

    def _changed(self) -> bool:
        return self.manifests.state.version != self.versions[-1]


async def test_partitioned_zone_keeps_its_version_and_gets_the_new_one_after_the_partition():
    streams = _streams()
    partitioned, connected = Host("a1", streams, {}), Host("b1", streams, {})
    async with trio.open_nursery() as nursery:
        _start(nursery, partitioned, connected)
        _publish(streams, 1)
        await trio.sleep(SETTLE_S)
        partitioned.log.down = True
        _publish(streams, 2)
        await trio.sleep(2 * RETENTION_S)
        assert [h.manifests.state.version for h in (partitioned, connected)] == [1, 2]
        partitioned.log.down = False
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    assert partitioned.manifests.state.version == 2
    assert partitioned.versions == sorted(partitioned.versions)
    assert connected.versions == sorted(connected.versions)


async def test_host_that_starts_while_the_log_is_unreachable_gets_the_manifest_from_a_peer():
    streams, zone = _streams(), {}
    old = Host("a1", streams, zone)
    async with trio.open_nursery() as nursery:
        _start(nursery, old)
        _publish(streams, 1)
        await trio.sleep(SETTLE_S)
        old.log.down = True
        new = Host("a2", streams, zone)
        new.log.down = True
        _start(nursery, new)
        await trio.sleep(SETTLE_S)
        assert new.manifests.state.version == 1
        without_peers = Host("c1", streams, {})
        without_peers.log.down = True
        _start(nursery, without_peers)
        await trio.sleep(SETTLE_S)
        assert without_peers.manifests.state.version == 0
        nursery.cancel_scope.cancel()


async def test_all_hosts_replaced_one_by_one_through_outages_and_expiry_keep_every_change():
    streams, zone, rng = _streams(), {}, Random(9)
    running: list[Host] = []
    async with trio.open_nursery() as nursery:
        for round_ in range(1, 13):
            host = Host(f"a{round_}", streams, zone)
            running.append(host)
            _start(nursery, host)
            _publish(streams, round_)
            await trio.sleep(rng.uniform(0.4, 0.9) * RETENTION_S)
            if len(running) > 2:
                zone.pop(f"a{round_ - 2}")
                running.pop(0)
        for host in running:
            host.log.down = True
        last = Host("last", streams, zone)
        last.log.down = True
        _start(nursery, last)
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    assert last.manifests.state.version == 12
    assert len(last.manifests.state.manifest.accounts) == 12
    assert all(host.versions == sorted(host.versions) for host in (*running, last))


async def test_outage_longer_than_the_retention_loses_no_change():
    streams = _streams()
    host = Host("a1", streams, {})
    async with trio.open_nursery() as nursery:
        _start(nursery, host)
        _publish(streams, 1)
        await trio.sleep(SETTLE_S)
        host.log.down = True
        await trio.sleep(3 * RETENTION_S)
        host.log.down = False
        await trio.sleep(2 * CHECKPOINT_S)
        later = Host("b1", streams, {})
        _start(nursery, later)
        await trio.sleep(SETTLE_S)
        assert later.manifests.state.version == 1
        nursery.cancel_scope.cancel()


async def test_routers_get_changes_and_a_snapshot_only_when_far_behind():
    streams = _streams()
    host = Host("a1", streams, {})
    many = MAX_RECENT_RECORDS + 5
    async with trio.open_nursery() as nursery:
        _start(nursery, host)
        for version in range(1, many + 1):
            _publish(streams, version)
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
        sync = host.manifests.sync
        near = sync(SyncRequest("r", 0, 0.0, many - 3), (), {})
        far = sync(SyncRequest("r", 0, 0.0, 1), (), {})
        up_to_date = sync(SyncRequest("r", 0, 0.0, many), (), {})
    assert len(near.changes) == 3 and not near.snapshot
    assert far.snapshot and not far.changes
    assert not up_to_date.snapshot and not up_to_date.changes
    behind = ManifestState(many - 3, sections=_sections(many - 3))
    for reply, state in ((near, behind), (far, ManifestState())):
        assert _applied(reply, state).sections == host.manifests.state.sections


async def test_version_is_active_only_when_the_routers_have_it():
    streams = _streams()
    host = Host("a1", streams, {})
    async with trio.open_nursery() as nursery:
        _start(nursery, host)
        _publish(streams, 1)
        await trio.sleep(SETTLE_S)
        host.manifests.record_router_version(SyncRequest("r", 0, 0.0, 0))
        reply = await host.manifests.confirm(ConfirmRequest(1, 1.0))
        assert not reply.in_force and reply.routers == {"r": 0}
        host.manifests.record_router_version(SyncRequest("r", 0, 0.0, 1))
        assert (await host.manifests.confirm(ConfirmRequest(1, 1.0))).in_force
        nursery.cancel_scope.cancel()


def _streams() -> MemoryStreams:
    return MemoryStreams(trio.current_time, RETENTION_S)


def _start(nursery: trio.Nursery, *hosts: Host) -> None:
    for host in hosts:
        nursery.start_soon(host.run)


def _put(version: int) -> dict[str, list[dict[str, str]]]:
    return {"accounts": [{"name": f"account-{version}"}]}


def _publish(streams: MemoryStreams, version: int) -> None:
    record = Change(f"p{version}", version - 1, "ann", _put(version))
    streams.append(STREAM, (msgspec.to_builtins(record),))


def _sections(version: int) -> Any:
    state = ManifestState()
    for number in range(1, version + 1):
        state = state.apply(Change(f"p{number}", number - 1, "ann", _put(number)))
    return state.sections


def _applied(reply: SyncReply, state: ManifestState) -> ManifestState:
    if reply.snapshot:
        state = decode_snapshot(reply.snapshot).unwrap()
    for record in reply.changes:
        state = state.apply(msgspec.msgpack.decode(record, type=ManifestRecord))
    return state
