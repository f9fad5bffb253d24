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
_LONGEST_S = 1e9

Address = Annotated[str, Meta(pattern=rf"^{_ADDRESS}\Z", description="an ip:port")]
OptionalAddress = Annotated[
    str, Meta(pattern=rf"^({_ADDRESS})?\Z", description="an ip:port or nothing")
]
Seconds = Annotated[
    float, Meta(gt=0, le=_LONGEST_S, description=f"seconds above 0 and up to {_LONGEST_S:g}")
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
        ``json`` for one object a line, ``text`` for reading at a terminal.
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
        Its availability zone.
    """

    name: Name
    zone: Name


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services.

    Attributes
    ----------
    log : str
        The log service, as ``ip:port``.
    hosts : str
        The list of live and leaving hosts; empty where there is none.
    weights : str
        The weight store; empty where there is none.
    timeout_s : float
        Longest wait for one answer of the log, in seconds.
    checkpoint_every_s : float
        Time between two checkpoints of the manifest, in seconds; well below the log's retention.
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
        Where it runs.
    platform : PlatformSettings
        The platform's services.
    listen : str
        Address for calls from routers and peers, as ``ip:port``.
    peers : tuple of str
        Controllers of the other hosts in the zone.
    fleet_key_file : str
        File with the key that calls between the fleet's processes carry.
    settle_every_s : float
        Time between two settlements to the log, in seconds.
    drain_timeout_s : float
        Longest time for reservations to be settled after a stop signal, in seconds; not less than
        the router's.
    checkpoint_every_s : float
        Time between two checkpoints of the ledger, in seconds; a fifth of the log's retention or
        less.
    """

    host: HostSettings
    platform: PlatformSettings
    listen: Address
    fleet_key_file: str
    peers: tuple[Address, ...] = ()
    settle_every_s: Seconds = 0.5
    drain_timeout_s: Seconds = 65.0
    checkpoint_every_s: Seconds = 60.0
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """One router process.

    Attributes
    ----------
    host : HostSettings
        Where it runs.
    listen : str
        Address for callers, as ``ip:port``.
    controllers : tuple of str
        Controllers to call, the one of this host first.
    fleet_key_file : str
        File with the key that calls between the fleet's processes carry.
    max_body_bytes : int
        Largest request body that is read, in bytes.
    receive_timeout_s : float
        Longest time for a caller to send its request, in seconds.
    unready_wait_s : float
        Time from the stop signal until no new connection is accepted, in seconds: the balancer
        must have noticed by then that the router is not ready.
    drain_timeout_s : float
        Longest time for streams in flight to end after that, in seconds; no less than the longest
        `timeout_s` of a pool is granted.
    burn_interval_s : float
        Length of the intervals in which answers are counted for the burn report, in seconds.
    burn_intervals : int
        Number of intervals that are kept for the report.
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
    """The operators' command line.

    Attributes
    ----------
    operator : str
        Name under which manifests and top-ups are published.
    platform : PlatformSettings
        The platform's services.
    controllers : tuple of str
        Controllers to ask for the state, one a host.
    routers : tuple of str
        Routers to ask for the burn report, one a host.
    fleet_key_file : str
        File with the key that calls between the fleet's processes carry.
    """

    operator: Name
    platform: PlatformSettings
    fleet_key_file: str
    controllers: tuple[Address, ...] = ()
    routers: tuple[Address, ...] = ()
    log: LogSettings = field(default_factory=lambda: LogSettings("warning", "text"))
