"""Settings of each process, as frozen data classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

__all__ = [
    "Address",
    "ControllerSettings",
    "HostSettings",
    "LogSettings",
    "OperatorSettings",
    "PlatformSettings",
    "RouterSettings",
]

_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
_ADDRESS = rf"{_OCTET}(\.{_OCTET}){{3}}:{_PORT}"
_MAX_SECONDS = 1e9

Address = Annotated[str, Meta(pattern=rf"^{_ADDRESS}\Z", description="an ip:port")]
OptionalAddress = Annotated[
    str, Meta(pattern=rf"^({_ADDRESS})?\Z", description="an ip:port or nothing")
]
Seconds = Annotated[
    float, Meta(gt=0, le=_MAX_SECONDS, description=f"seconds above 0 and up to {_MAX_SECONDS:g}")
]
Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z",
        description="a name of letters, digits, '.', '_' and '-'",
    ),
]


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Logging.

    Attributes
    ----------
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    format : str
        ``json`` writes one JSON object per line; ``text`` is meant for a terminal.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["json", "text"] = "json"


@dataclass(frozen=True, slots=True)
class HostSettings:
    """The entry host on which a process runs.

    Attributes
    ----------
    name : str
        Unique name of the host in the fleet.
    zone : str
        Availability zone of the host.
    """

    name: Name
    zone: Name


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services.

    Attributes
    ----------
    log : str
        Address of the log service, as ``ip:port``.
    hosts : str
        Address of the list of live and leaving hosts; empty if there is none.
    weights : str
        Address of the weight store; empty if there is none.
    timeout_s : float
        Maximum wait for an answer from the log, in seconds.
    checkpoint_every_s : float
        Interval between checkpoints of the manifest, in seconds; it must be well below the log's
        retention.
    """

    log: Address
    hosts: OptionalAddress = ""
    weights: OptionalAddress = ""
    timeout_s: Seconds = 2.0
    checkpoint_every_s: Seconds = 3600.0


@dataclass(frozen=True, slots=True)
class ControllerSettings:
    """One controller process.

    Attributes
    ----------
    host : HostSettings
        Host on which it runs.
    platform : PlatformSettings
        Services of the platform.
    listen : str
        Address for calls from routers and peers, as ``ip:port``.
    peers : tuple of str
        Addresses of the controllers on the other hosts of the zone.
    fleet_key_file : str
        Path of the file with the key for calls between the fleet's processes.
    settle_every_s : float
        Interval between settlements to the log, in seconds.
    drain_timeout_s : float
        Maximum time for settling reservations after a stop signal, in seconds; at least the
        router's `drain_timeout_s` and the longest `timeout_s` of any pool.
    checkpoint_every_s : float
        Interval between checkpoints of the ledger, in seconds; at most a fifth of the log's
        retention.
    """

    host: HostSettings
    platform: PlatformSettings
    listen: Address
    fleet_key_file: str
    peers: tuple[Address, ...] = ()
    settle_every_s: Seconds = 0.5
    drain_timeout_s: Seconds = 130.0
    checkpoint_every_s: Seconds = 60.0
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """One router process.

    Attributes
    ----------
    host : HostSettings
        Host on which it runs.
    listen : str
        Address for callers, as ``ip:port``.
    controllers : tuple of str
        Addresses of the controllers to call; the controller of this host comes first.
    fleet_key_file : str
        Path of the file with the key for calls between the fleet's processes.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    receive_timeout_s : float
        Maximum time for a caller to send its request, in seconds.
    unready_wait_s : float
        Time from the stop signal until the router accepts no new connections, in seconds. It must
        be long enough for the load balancer to notice that the router is not ready.
    drain_timeout_s : float
        Maximum time for streams in flight to end after `unready_wait_s`, in seconds. Streams get at
        least the longest `timeout_s` of any pool.
    burn_interval_s : float
        Length of the intervals over which answers are counted for the burn report, in seconds.
    burn_intervals : int
        Number of intervals that the router keeps for the report.
    """

    host: HostSettings
    listen: Address
    controllers: Annotated[tuple[Address, ...], Meta(min_length=1)]
    fleet_key_file: str
    max_body_bytes: Annotated[int, Meta(gt=0)] = 1_048_576
    receive_timeout_s: Seconds = 10.0
    unready_wait_s: Annotated[float, Meta(ge=0)] = 2.0
    drain_timeout_s: Seconds = 60.0
    burn_interval_s: Seconds = 60.0
    burn_intervals: Annotated[int, Meta(ge=1, le=10_000)] = 60
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The command line of the operators.

    Attributes
    ----------
    operator : str
        Operator name under which manifests and top-ups are published.
    platform : PlatformSettings
        Services of the platform.
    controllers : tuple of str
        Addresses of the controllers to ask for their state, one per host.
    routers : tuple of str
        Addresses of the routers to ask for burn intervals, one per host.
    fleet_key_file : str
        Path of the file with the key for calls between the fleet's processes.
    """

    operator: Name
    platform: PlatformSettings
    fleet_key_file: str
    controllers: tuple[Address, ...] = ()
    routers: tuple[Address, ...] = ()
    log: LogSettings = field(default_factory=lambda: LogSettings("warning", "text"))
