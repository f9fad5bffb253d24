"""The settings file of an entry host on the platform."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Annotated

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.entry.settings import Activation, EntrySettings, FleetRequirements
from mulberrycleat.settings.check import Fault, line_of
from mulberrycleat.settings.load import syntax_fault

__all__ = ["BOOT_VARIABLE", "SettingsFile", "load_boot_settings", "read_boot_settings"]

# Environment variable with the path of the settings file.
BOOT_VARIABLE = "MULBERRYCLEAT_BOOT"
# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
# Interval between checks whether the settings file has changed, in seconds. The file may change
# without a signal.
FILE_CHECK_INTERVAL_S = 1.0


class _Listen(msgspec.Struct):
    """Addresses to listen on.

    Despite its name, `control` has no control functions: it serves the calls of other entry hosts.
    """

    front: str
    readiness: str
    control: str = ""


class _Bounds(msgspec.Struct):
    """Requirements on the fleet, which :class:`FleetRequirements` describes."""

    grace_s: float = 8.0
    drain_ms: float = 2000.0
    config_apply_ms: float = 2000.0
    retry_budget_ratio: float = 0.1
    budget_window_s: float = 10.0
    retry_slack: float = 0.0
    settle_ms: float = 1500.0
    reuse_window_s: float = 10.0
    pass_ms: float = 0
    contact_ms: float = 3000.0
    cold_overage: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    evacuate_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _StoreAddress(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    """Limits of the host.

    `max_fds` is the number of file descriptors, of which `RESERVED_DESCRIPTORS` are for files only.
    The host has the share `cpu_share` of one processor core, which is `cpu_cores` times as fast as
    a standard one. A process that exceeds `memory_mb` is killed.
    """

    cpu_share: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    cpu_cores: Annotated[float, msgspec.Meta(gt=0)] = 1.0

    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = 512.0
    max_fds: Annotated[int, msgspec.Meta(gt=RESERVED_DESCRIPTORS)] = 4096


class _BootSettings(msgspec.Struct):
    """The settings file.

    `platform` is the address of the store, `seeds` are addresses of other entry hosts, and
    `heartbeat_ms` is the interval between two heartbeats of a server. `port_range` has the first
    and the last port that are free for calls between hosts, the same on all of them.
    `manages_overload` and `zone_exchange` are not the platform's; see :class:`EntrySettings`.
    """

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _StoreAddress
    seeds: list[str] = []
    port_range: list[Annotated[int, msgspec.Meta(gt=0, lt=65536)]] = []
    heartbeat_ms: float = 1000.0
    manages_overload: Activation = Activation.AUTO
    zone_exchange: Activation = Activation.AUTO
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_boot_settings(path: Path) -> Result[EntrySettings, list[Fault]]:
    """Read and decode the settings file at `path`, or return its faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("", f"cannot read {path}: {error}")])
    return load_boot_settings(text)


def load_boot_settings(text: str) -> Result[EntrySettings, list[Fault]]:
    """Decode the text of a settings file, or return its faults with field and line.

    Unknown fields are ignored, because later versions of the platform may add some.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([syntax_fault(text, error)])
    try:
        boot = msgspec.convert(data, _BootSettings, strict=False)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$")
        path = where.strip("`.")
        return Err([Fault(path, reason, line_of(text, path))])
    bounds = boot.bounds
    return Ok(
        EntrySettings(
            host=boot.node_name,
            zone=boot.zone,
            ip=boot.ip,
            front=boot.listen.front,
            readiness=boot.listen.readiness,
            peers_listen=boot.listen.control,
            store=boot.platform.address,
            seeds=tuple(boot.seeds),
            beat_s=boot.heartbeat_ms / 1000,
            tunnel_port=boot.port_range[0] if boot.port_range else 0,
            max_descriptors=boot.limits.max_fds - RESERVED_DESCRIPTORS,
            cores=boot.limits.cpu_share * boot.limits.cpu_cores,
            memory_bytes=int(boot.limits.memory_mb * 1_000_000),
            manages_overload=boot.manages_overload,
            zone_exchange=boot.zone_exchange,
            bounds=FleetRequirements(
                grace_s=bounds.grace_s,
                drain_s=bounds.drain_ms / 1000,
                config_apply_s=bounds.config_apply_ms / 1000,
                retry_share=bounds.retry_budget_ratio,
                retry_window_s=bounds.budget_window_s,
                retry_slack=bounds.retry_slack,
                settle_s=bounds.settle_ms / 1000,
                reuse_window_s=bounds.reuse_window_s,
                pass_s=bounds.pass_ms / 1000,
                contact_s=bounds.contact_ms / 1000,
                cold_overage=bounds.cold_overage,
                cold_slack=bounds.cold_slack,
                evacuate_s=bounds.evacuate_ms / 1000,
            ),
        )
    )


class SettingsFile:
    """The settings file of a running host, which is applied again when it has changed.

    A file that can't be read changes nothing.

    Parameters
    ----------
    path : Path
        The file.
    metrics : str
        Address that serves metrics; it is not in the file.
    apply : callable
        Called with the settings of a changed file.
    decisions : DecisionLog
        Log of files that can't be read.
    """

    def __init__(
        self,
        path: Path,
        metrics: str,
        apply: Callable[[EntrySettings], None],
        decisions: DecisionLog,
    ) -> None:
        self._path = path
        self._metrics = metrics
        self._apply = apply
        self._decisions = decisions
        self._seen = self._signature()

    async def watch(self) -> None:
        """Read the file again whenever it has changed, until cancelled."""
        while True:
            await trio.sleep(FILE_CHECK_INTERVAL_S)
            if self._signature() != self._seen:
                self.read_again()

    def read_again(self) -> None:
        """Read the file and apply its settings."""
        self._seen = self._signature()
        match read_boot_settings(self._path):
            case Ok(settings):
                self._apply(replace(settings, metrics=self._metrics))
            case Err(faults):
                self._decisions.warning("settings unreadable", why="; ".join(map(str, faults)))

    def _signature(self) -> tuple[int, ...]:
        """Return values that differ after the file was changed or replaced."""
        try:
            found = self._path.stat()
        except OSError:
            return ()
        return (found.st_mtime_ns, found.st_size, found.st_ino)
