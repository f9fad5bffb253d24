"""Settings of the entry host process."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["EntrySettings", "EntryTimes", "Activation", "FleetRequirements"]


class Activation(Enum):
    """When a host uses a feature that most deployments don't need."""

    # From the first answer of an endpoint that states a slowness in its load report.
    AUTO = "auto"
    ON = "on"
    OFF = "off"


@dataclass(frozen=True, slots=True)
class FleetRequirements:
    """Requirements on the fleet as a whole, as the deployment states them.

    Attributes
    ----------
    grace_s : float
        Time from the stop signal to the end of the process, in seconds.
    drain_s : float
        Time after which a leaving endpoint gets no more requests, in seconds.
    config_apply_s : float
        Time after which a new route map is in force everywhere, in seconds.
    retry_share, retry_slack : float
        Retries that all hosts together may send to a pool: in any window of `retry_window_s`, at
        most `retry_share` times the number of the pool's requests, plus `retry_slack`.
    retry_window_s : float
        Length of the window, in seconds.
    settle_s : float
        Longest time until the unused tokens of an ended request are free again, in seconds.
    pass_s : float
        Time in which an event of a stream has to be passed on to the caller, in seconds; 0 if the
        deployment states none.
    reuse_window_s : float
        Shared prompt parts that were used within this time are worth caching, in seconds.
    contact_s : float
        Time within which what one host has learned is known to all hosts in touch with the store,
        in seconds.
    cold_overage, cold_slack : float
        Requests that all hosts together may send to a cold endpoint: in any one second, at most
        `cold_overage` times the rate that the route map states, plus `cold_slack`. No bound if
        `cold_overage` is 0.
    evacuate_s : float
        Time after which no request reaches the endpoints of a zone that operators have evacuated,
        in seconds; 0 if the deployment states none.
    """

    grace_s: float = 8.0
    drain_s: float = 2.0
    config_apply_s: float = 2.0
    retry_share: float = 0.1
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    settle_s: float = 1.5
    reuse_window_s: float = 10.0
    pass_s: float = 0.0
    contact_s: float = 3.0
    cold_overage: float = 0.0
    cold_slack: float = 0.0
    evacuate_s: float = 0.0

    @property
    def directory_read_interval_s(self) -> float:
        """Interval between reads of the endpoints' entries, in seconds.

        A failed read and the next one still fall into the time after which a leaving endpoint gets
        no more requests.
        """
        return 0.3 * self.drain_s

    @property
    def map_wait_s(self) -> float:
        """Longest time that one read waits at the store for a new route map, in seconds.

        If the connection has gone silent, the next read still finds the map in time, or an order to
        evacuate a zone.
        """
        # An order takes effect with requests that are sent later: half of its time is left to
        # those whose connection is being opened, and to a process that was frozen for a moment.
        evacuate_s = 0.5 * self.evacuate_s if self.evacuate_s > 0 else self.config_apply_s
        return 0.75 * min(self.config_apply_s, evacuate_s)

    @property
    def report_wait_s(self) -> float:
        """Longest time that one read waits at the store for reports on endpoints, in seconds.

        If the connection has gone silent, the next read still finds them in time.
        """
        return 0.75 * self.contact_s


@dataclass(frozen=True, slots=True)
class EntryTimes:
    """Intervals and timeouts of the process's own loops, in seconds.

    Attributes
    ----------
    slice_check_interval_s : float
        Longest interval between checks whether the slices need a new record; well below `settle_s`,
        the time after which unused tokens are free again.
    record_renewal_interval_s, zone_record_renewal_interval_s : float
        Age from which a coordinator, or a zone coordinator, renews a record whose slices grow,
        however little has changed; less than half of the age at which they start to grow.
    outage_retry_interval_s : float
        Interval between reads while the store can't be read, neither directly nor through other
        hosts.
    store_timeout_s : float
        Longest time without any part of an answer of the store; until the answer begins, in
        addition to any wait that a call asks for.
    slice_wait_s : float
        Longest time that a request waits for a larger slice.
    shutdown_idle_s : float
        Time without any request after which a stopping process ends.
    """

    slice_check_interval_s: float = 0.35
    record_renewal_interval_s: float = 0.3
    zone_record_renewal_interval_s: float = 0.9
    outage_retry_interval_s: float = 0.3
    store_timeout_s: float = 0.4
    slice_wait_s: float = 0.4
    shutdown_idle_s: float = 0.5


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry host.

    Attributes
    ----------
    host, zone, ip : str
        Name of the host, its availability zone and its address.
    front, readiness, peers_listen : str
        Addresses that serve callers, readiness checks and other hosts, as ``ip:port``.
    store : str
        Address of the platform's store, as ``ip:port``.
    seeds : tuple of str
        Addresses of some other hosts, as ``ip:port``; they may be outdated.
    beat_s : float
        Interval between two heartbeats of an endpoint, in seconds.
    tunnel_port : int
        Port at which each host opens connections for the others; 0 for none.
    metrics : str
        Address that serves metrics, as ``ip:port``; empty for none.
    bounds : FleetRequirements
        Requirements on the fleet.
    times : EntryTimes
        Intervals and timeouts of the loops.
    max_descriptors : int
        Number of file descriptors that the process may use for connections.
    cores : float
        Processor capacity of the host, as a multiple of a standard core.
    memory_bytes : int
        Memory that the process may use, in bytes.
    manages_overload : Activation
        When requests to an overloaded pool wait, and are refused by fair shares.
    zone_exchange : Activation
        When the host reports load to the collector of its zone.
    """

    host: str
    zone: str
    ip: str
    front: str
    readiness: str
    peers_listen: str
    store: str
    seeds: tuple[str, ...] = ()
    beat_s: float = 1.0
    tunnel_port: int = 0
    metrics: str = ""
    bounds: FleetRequirements = field(default_factory=FleetRequirements)
    times: EntryTimes = field(default_factory=EntryTimes)
    max_descriptors: int = 4096
    cores: float = 1.0
    memory_bytes: int = 512 * 2**20
    manages_overload: Activation = Activation.AUTO
    zone_exchange: Activation = Activation.AUTO
