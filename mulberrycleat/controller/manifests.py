"""Controller of the manifest: the version active here, on the routers and on the peers."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.checkpoints import CheckpointSchedule
from mulberrycleat.controller.hosts import HostController
from mulberrycleat.controller.messages import (
    CATCH_UP,
    CatchUpReply,
    CatchUpRequest,
    ConfirmReply,
    ConfirmRequest,
    SyncReply,
    SyncRequest,
)
from mulberrycleat.core import Holder, PeerError
from mulberrycleat.eventlog import Page, RelayedLog, follow
from mulberrycleat.manifest import (
    STREAM,
    Checkpoint,
    ManifestRecord,
    ManifestState,
    StreamFold,
    decode_snapshot,
    encode_snapshot,
    load_checkpoint,
    write_checkpoint,
)
from mulberrycleat.settings import ControllerSettings

__all__ = ["ManifestController"]

log = logging.getLogger(__name__)

MAX_RECENT_RECORDS = 256
ROUTER_EXPIRY_S = 10.0
CHECK_PEERS_EVERY_S = 0.5
CATCH_UP_TIMEOUT_S = 5.0
CHECK_DUE_EVERY_S = 1.0


class _RecentRecord(NamedTuple):
    """The record that led to `version`, as MessagePack."""

    version: int
    record: bytes


class _RouterVersion(NamedTuple):
    """The version active on a router, and when it last called, in seconds on trio's clock."""

    version: int
    at: float


class ManifestController:
    """Keep the active manifest and write its checkpoints.

    Parameters
    ----------
    settings : ControllerSettings
        Time between checkpoints.
    holder : Holder
        This incarnation of the host.
    event_log : RelayedLog
        The platform's log.
    hosts : HostController
        The other hosts of the zone.
    changes : Changes
        Notified when another version becomes active.
    clock : callable
        Returns Unix time in seconds, like the timestamps of the log's records.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        holder: Holder,
        event_log: RelayedLog,
        hosts: HostController,
        changes: Changes,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._event_log = event_log
        self._hosts = hosts
        self._changes = changes
        self._fold = StreamFold(self._load, self._add_recent)
        self._recent: deque[_RecentRecord] = deque(maxlen=MAX_RECENT_RECORDS)
        self._routers: dict[str, _RouterVersion] = {}
        self._version_changes = Changes()
        self._schedule = CheckpointSchedule(settings.platform.checkpoint_every_s, holder.zone)

    @property
    def state(self) -> ManifestState:
        """The manifest and its version, built from the stream."""
        return self._fold.state

    @property
    def routers(self) -> dict[str, int]:
        """Active version by router, without those silent for over ``ROUTER_EXPIRY_S`` seconds."""
        oldest = trio.current_time() - ROUTER_EXPIRY_S
        return {name: r.version for name, r in self._routers.items() if r.at >= oldest}

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream until cancelled.

        Reports that it has started without waiting for the log, because a peer may have the
        manifest while the log is unreachable.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._check_peers)
            nursery.start_soon(self._write_checkpoints)
            task_status.started()

    def sync(
        self, request: SyncRequest, leaving: tuple[str, ...], moved: dict[str, str]
    ) -> SyncReply:
        """Return the changes from a router's version to the active one, or a snapshot.

        The reply repeats `leaving`, the endpoints that get no new requests, and `moved`, the pool
        that each swapped endpoint serves, by endpoint.
        """
        known = request.manifest_version
        version = self.state.version
        changes = tuple(kept.record for kept in self._recent if kept.version > known)
        needs_snapshot = version > known and len(changes) != version - known
        return SyncReply(
            version=self._changes.version,
            manifest_version=version,
            changes=() if needs_snapshot else changes,
            snapshot=encode_snapshot(self.state) if needs_snapshot else b"",
            leaving=leaving,
            moved=moved,
        )

    def record_router_version(self, request: SyncRequest) -> None:
        """Record which version is active on a router."""
        now = trio.current_time()
        current = self._routers.items()
        self._routers = {name: r for name, r in current if now - r.at <= ROUTER_EXPIRY_S}
        before = self._routers.get(request.router)
        self._routers[request.router] = _RouterVersion(request.manifest_version, now)
        if before is None or before.version != request.manifest_version:
            self._version_changes.notify()

    async def confirm(self, request: ConfirmRequest) -> ConfirmReply:
        """Return whether a version is active here and on the routers of this host.

        Waits until it is, for up to the request's `wait_s` seconds.
        """
        in_force = await self._version_changes.wait_until(
            lambda: self._is_active(request.version), request.wait_s
        )
        return ConfirmReply(
            self._holder.host,
            self._holder.zone,
            self._holder.incarnation,
            self.state.version,
            in_force,
            self.routers,
            self._hosts.versions(),
        )

    async def catch_up(self, request: CatchUpRequest) -> CatchUpReply:
        """Return the full state to a peer if this host's version is newer."""
        if not self._fold.complete or self.state.version <= request.version:
            return CatchUpReply(0)
        return CatchUpReply(self._fold.next, encode_snapshot(self.state))

    def _is_active(self, version: int) -> bool:
        return min((self.state.version, *self.routers.values())) >= version

    async def _load(self, checkpoint: Checkpoint) -> Result[ManifestState, PeerError]:
        return await load_checkpoint(self._event_log, checkpoint)

    def _add_recent(self, record: ManifestRecord, state: ManifestState) -> None:
        if self._recent and self._recent[-1].version != state.version - 1:
            self._recent.clear()
        self._recent.append(_RecentRecord(state.version, msgspec.msgpack.encode(record)))

    async def _follow(self) -> None:
        await follow(self._event_log, STREAM, self._on_page)

    async def _on_page(self, page: Page) -> None:
        before = self.state.version
        await self._fold.apply_page(page)
        self._announce_change(before)

    def _announce_change(self, before: int) -> None:
        version = self.state.version
        if version == before:
            return
        log.info("manifest active", extra={"version": version})
        self._hosts.announce(version)
        self._changes.notify()
        self._version_changes.notify()

    async def _check_peers(self) -> None:
        """Catch up from a peer when two checks in a row find a peer with a newer manifest."""
        checks_behind = 0
        while True:
            await trio.sleep(CHECK_PEERS_EVERY_S)
            address = self._hosts.find_newer_peer(self.state.version)
            checks_behind = checks_behind + 1 if address else 0
            if address and checks_behind > 1:
                await self._catch_up(address)

    async def _catch_up(self, address: str) -> None:
        """Read new records directly from the log; if that fails, get the state of a peer."""
        match await self._event_log.read_directly(STREAM, self._fold.next):
            case Ok(page):
                await self._on_page(page)
                return
            case Err(_):
                pass
        request = CatchUpRequest(self.state.version)
        match await self._hosts.call(address, CATCH_UP, request, CATCH_UP_TIMEOUT_S):
            case Ok(CatchUpReply(next=offset, snapshot=snapshot)) if snapshot:
                self._adopt(address, offset, snapshot)
            case Err(error):
                log.warning(
                    "catch-up from a peer failed", extra={"peer": address, "why": error.reason}
                )

    def _adopt(self, address: str, offset: int, snapshot: bytes) -> None:
        before = self.state.version
        match decode_snapshot(snapshot):
            case Ok(state):
                self._fold.adopt(state, offset)
                self._announce_change(before)
            case Err(faults):
                why = "; ".join(map(str, faults))
                log.error("invalid manifest of a peer refused", extra={"peer": address, "why": why})

    async def _write_checkpoints(self) -> None:
        while True:
            await trio.sleep(CHECK_DUE_EVERY_S)
            rank = self._hosts.rank(self._schedule.task(self._fold))
            if self._schedule.due(self._fold, rank, self._clock()):
                outcome = await write_checkpoint(self._event_log, self.state, self._fold.next)
                if isinstance(outcome, Err):
                    self._schedule.record_failure(self._clock())
                    log.warning(
                        "write of a manifest checkpoint failed",
                        extra={"why": str(outcome.err_value)},
                    )
