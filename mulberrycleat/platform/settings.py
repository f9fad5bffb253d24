"""The settings file of an entry host on the platform."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from mulberrycleat.entry.settings import EntrySettings, FleetRequirements
from mulberrycleat.settings.check import Fault, line_of
from mulberrycleat.settings.load import syntax_fault

__all__ = ["BOOT_VARIABLE", "load_boot_settings", "read_boot_settings"]

# Environment variable with the path of the settings file.
BOOT_VARIABLE = "MULBERRYCLEAT_BOOT"


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
    retry_budget_ratio: float = 0.1
    budget_window_s: float = 10.0
    retry_slack: float = 0.0
    settle_ms: float = 1500.0
    reuse_window_s: float = 10.0


class _StoreAddress(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    """Limits of the host; they are decoded but not used."""

    max_fds: int = 1024


class _BootSettings(msgspec.Struct):
    """The settings file.

    `platform` is the address of the store, `seeds` are addresses of other entry hosts, and
    `heartbeat_ms` is the interval between two heartbeats of a server.
    """

    node_name: str
    ip: str
    zone: str
    listen: _Listen
    platform: _StoreAddress
    seeds: list[str] = []
    heartbeat_ms: float = 1000.0
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
            bounds=FleetRequirements(
                grace_s=bounds.grace_s,
                drain_s=bounds.drain_ms / 1000,
                retry_share=bounds.retry_budget_ratio,
                retry_window_s=bounds.budget_window_s,
                retry_slack=bounds.retry_slack,
                settle_s=bounds.settle_ms / 1000,
                reuse_window_s=bounds.reuse_window_s,
            ),
        )
    )
