"""Data that a placement of requests is computed from: prompts, settings and what was observed.

The code in this module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from mulberrycleat.endpoint.cached_prefixes import Part, Prefix, prefixes_of
from mulberrycleat.endpoint.directory import Entry
from mulberrycleat.endpoint.shared_load import LoadSeen

__all__ = [
    "EndpointState",
    "InFlightRequest",
    "Part",
    "Placement",
    "PlacerSettings",
    "Work",
    "ZonePartition",
]

# A zone is taken to be partitioned when this many of its endpoints did not answer a connection
# attempt within this time, in seconds.
PARTITION_MIN_ENDPOINTS, PARTITION_WINDOW_S = 2, 1.5
# After a pause, one request is sent to the zone in each period of this length, in seconds. A
# failure to open a connection is detected in less time.
PARTITION_TRIAL_S = 0.4


@dataclass(frozen=True, slots=True)
class Work:
    """Work that a request causes at an endpoint.

    Attributes
    ----------
    prompt_tokens : int
        Length of the prompt; 0 for a service other than a model.
    parts : tuple of Part
        Shared parts of the prompt, in order. The rest of the prompt, which only this request has,
        is not included.
    shared_tokens : int
        Length of these parts together.
    prefixes : tuple of Prefix
        Sequences of leading parts that are remembered of endpoints, the shortest first.
    """

    prompt_tokens: int = 0
    parts: tuple[Part, ...] = ()
    shared_tokens: int = field(init=False)
    prefixes: tuple[Prefix, ...] = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "prefixes", prefixes_of(self.parts))
        shared_tokens = self.prefixes[-1].tokens if self.prefixes else 0
        object.__setattr__(self, "shared_tokens", shared_tokens)


@dataclass(frozen=True, slots=True)
class PlacerSettings:
    """Parameters for comparing endpoints. Times are in seconds.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Assumed prefill speed of an engine, in prompt tokens per second. The data sheets of the
        engines state 56,000.
    base_s : float
        Time to an answer, or to the first event of a streamed one, without queueing and prefill.
    affinity : float
        Weight of the time to prefill shared parts again. It is more than 1 because a prefill also
        delays the tokens of the requests that run at the same time.
    other_zone_penalty_s : float
        Time that an endpoint of another availability zone must save to be preferred.
    failure_cost_s : float
        Time that a failure costs the caller; multiplied by the failure rate.
    outcome_half_life_s, slowness_half_life_s : float
        Half-life of the counts of outcomes; and half-life of the difference in slowness between an
        endpoint that gets no work and the best one.
    load_report_ttl_s : float
        A load report of an endpoint is used for this time.
    shared_load_ttl_s : float
        What all hosts together know of an endpoint's load is used for this time.
    stated_slowness_ttl_s : float
        The slowness that an endpoint states is used for this time: it changes many times per
        second, and older values mislead.
    silence_s : float
        An endpoint with requests in flight is left out after it has sent no byte for this time.
    ejection_s, max_ejection_s : float
        First and longest ejection of an unreachable endpoint, or pause of a partitioned zone; the
        time doubles with each one in a row.
    near_s : float
        The choice is random among the endpoints whose score, the expected time plus penalties, is
        within this time of the best.
    cache_ttl_s : float
        A part is assumed to be cached for this time after its last use.
    """

    prefill_tokens_per_s: float = 50_000.0
    base_s: float = 0.04
    affinity: float = 3.0
    other_zone_penalty_s: float = 0.003
    failure_cost_s: float = 1.0
    outcome_half_life_s: float = 4.0
    slowness_half_life_s: float = 10.0
    load_report_ttl_s: float = 1.0
    shared_load_ttl_s: float = 1.5
    stated_slowness_ttl_s: float = 0.05
    silence_s: float = 1.0
    ejection_s: float = 1.0
    max_ejection_s: float = 4.0
    near_s: float = 0.002
    cache_ttl_s: float = 60.0


class Placement(NamedTuple):
    """A chosen endpoint.

    Attributes
    ----------
    expected_s : float
        Expected time until the answer, or the first event, in seconds.
    cached_tokens : int
        Prompt tokens that the endpoint is assumed to have cached.
    candidates : int
        Number of endpoints compared.
    slowness : float
        Expected response time relative to that of an endpoint of normal speed.
    """

    entry: Entry
    expected_s: float
    cached_tokens: int
    candidates: int
    slowness: float = 1.0


@dataclass(slots=True)
class InFlightRequest:
    """A request of this host at an endpoint; times are in seconds on trio's clock."""

    sent_at: float
    expected_s: float
    uncached_tokens: int
    slowness: float
    first_byte_at: float | None = None


@dataclass(slots=True)
class EndpointState:
    """State that one entry host keeps of one endpoint.

    Attributes
    ----------
    slowness : float
        Smoothed response time, relative to that of an endpoint of normal speed.
    failures, samples : float
        Failed requests, and all with a known outcome; both decay, as of `decayed_at`.
    other_requests : float
        Requests of other hosts at the endpoint, as of the load report at `load_reported_at`.
    load_seen : LoadSeen or None
        That report as the endpoint stated it.
    stated_slowness : float
        How long work took on the endpoint's machine at `slowness_stated_at`, relative to the usual.
    ejections : int
        Ejections as unreachable since the last success.
    cold_until : float
        Time until which the endpoint is assumed to be slow after its start.
    newest_answered_sent_at : float
        Latest send time of those requests that have been answered.
    """

    entry: Entry
    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    slowness: float = 1.0
    failures: float = 0.0
    samples: float = 0.0
    decayed_at: float = 0.0
    last_activity_at: float = 0.0
    other_requests: float = 0.0
    load_reported_at: float = float("-inf")
    load_seen: LoadSeen | None = None
    stated_slowness: float = 1.0
    slowness_stated_at: float = float("-inf")
    ejections: int = 0
    ejected_until: float = float("-inf")
    cold_until: float = 0.0
    newest_answered_sent_at: float = float("-inf")

    def longest_wait_s(self, now: float) -> float:
        """Return the longest time that a request has been waiting for its first byte, in seconds.

        This is a lower bound of the endpoint's response time. A request is not counted if one that
        was sent after it has been answered: the answer to the earlier one is assumed to be lost.
        """
        waiting = [f.sent_at for f in self.in_flight.values() if f.first_byte_at is None]
        return now - min((at for at in waiting if at > self.newest_answered_sent_at), default=now)


@dataclass(slots=True)
class ZonePartition:
    """Detection of a partition between this host and another availability zone.

    While a zone is paused, its endpoints are left out if there are others.

    Attributes
    ----------
    silent : dict of str to float
        Time of the last connection attempt that got no answer at all, by endpoint id.
    times : int
        Number of pauses in a row; the length of a pause doubles each time.
    pause_until : float
        End of the latest pause.
    """

    silent: dict[str, float] = field(default_factory=dict)
    times: int = 0
    pause_until: float = float("-inf")

    def record_silence(self, entry_id: str, now: float, settings: PlacerSettings) -> None:
        """Record that a connection attempt got no answer; pause a partitioned zone."""
        self.silent = {i: at for i, at in self.silent.items() if now - at < PARTITION_WINDOW_S}
        self.silent[entry_id] = now
        if now - self.pause_until > settings.max_ejection_s:
            self.times = 0
        if (
            len(self.silent) >= PARTITION_MIN_ENDPOINTS or self.times
        ) and now >= self.pause_until - PARTITION_TRIAL_S:
            self.pause_until = now + min(
                settings.ejection_s * 2**self.times, settings.max_ejection_s
            )
            self.times += 1

    def record_trial(self, now: float) -> None:
        """Record that a request is sent to the zone.

        After a pause, no other request is sent there for ``PARTITION_TRIAL_S`` seconds.
        """
        if self.times:
            self.pause_until = max(self.pause_until, now + PARTITION_TRIAL_S)
