"""Settings of the entry host process."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["EntrySettings", "EntryTimes", "FleetBounds"]


@dataclass(frozen=True, slots=True)
class FleetBounds:
    """What is asked of the fleet as a whole, as the deployment states it.

    Attributes
    ----------
    grace_s : float
        Time from the stop signal to the end of the process, in seconds.
    drain_s : float
        An endpoint that leaves is left alone after this time, in seconds.
    repeat_share, repeat_slack : float
        In any `repeat_window_s` a pool gets at most `repeat_share` times its requests, and
        `repeat_slack` more, as repeats; over all hosts.
    repeat_window_s : float
        See above, in seconds.
    settle_s : float
        Tokens of a request that has ended are free again after this time, in seconds.
    reuse_window_s : float
        Shared prompt parts that were used within this time are worth keeping, in seconds.
    """

    grace_s: float = 8.0
    drain_s: float = 2.0
    repeat_share: float = 0.1
    repeat_window_s: float = 10.0
    repeat_slack: float = 0.0
    settle_s: float = 1.5
    reuse_window_s: float = 10.0


@dataclass(frozen=True, slots=True)
class EntryTimes:
    """Times of the process's own loops, in seconds.

    Attributes
    ----------
    map_wait_s : float
        Longest wait of one read of the route map at the store.
    entries_every_s : float
        Between two reads of the endpoints' entries; well below the time in which an endpoint that
        leaves has to be left alone.
    slices_every_s : float
        Between two looks at the slices; well below the time in which tokens are free again.
    slices_due_s : float
        A host's record is renewed after this time when its spending has changed.
    peer_every_s : float
        Between two questions to peers while the store does not answer.
    store_timeout_s : float
        Longest wait for an answer of the store, beside a wait that was asked for.
    slice_wait_s : float
        Longest wait of a request for a larger slice.
    stop_quiet_s : float
        A stopping process ends once no request has been there for so long.
    """

    map_wait_s: float = 1.5
    entries_every_s: float = 0.6
    slices_every_s: float = 0.35
    slices_due_s: float = 0.3
    peer_every_s: float = 0.3
    store_timeout_s: float = 0.4
    slice_wait_s: float = 0.4
    stop_quiet_s: float = 0.5


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """One entry host.

    Attributes
    ----------
    host, zone, ip : str
        Name of the host, its availability zone and its address.
    front, readiness, peers_listen : str
        Addresses to serve callers, questions for readiness, and the other hosts at, as ``ip:port``.
    store : str
        The platform's store, as ``ip:port``.
    seeds : tuple of str
        Addresses of some other hosts, which may be stale.
    beat_s : float
        Time between two announcements of an endpoint, in seconds.
    metrics : str
        Address to serve metrics at; empty for none.
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
    metrics: str = ""
    bounds: FleetBounds = field(default_factory=FleetBounds)
    times: EntryTimes = field(default_factory=EntryTimes)
