"""Counters and latency histograms of an entry host."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

import trio
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from result import Err, Ok, Result

from mulberrycleat.core import Refusal, Served
from mulberrycleat.entry.call import EntryCall
from mulberrycleat.entry.zone_exchange import ExchangeState
from mulberrycleat.web import Reply
from mulberrycleat.web.connections import ConnectionCounts

__all__ = ["EntryMetrics"]

log = logging.getLogger(__name__)

METRICS_TYPE = (("content-type", "text/plain; version=0.0.4"),)
PREFIX = "mulberrycleat_entry_"
TIME_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0)
# Interval between measurements of the event loop's delay, in seconds.
LOOP_CHECK_INTERVAL_S = 0.25
# Delays of the event loop from this length on are logged, in seconds: a tenth of the shortest time
# limits of callers and endpoints.
LOGGED_LOOP_DELAY_S = 0.1


class EntryMetrics:
    """Metrics of one process. Labels are names and codes of bounded number, such as routes.

    Parameters
    ----------
    on_delay : callable, optional
        Called with each measured delay of the event loop, in seconds.
    """

    def __init__(self, on_delay: Callable[[float], None] = lambda delay_s: None) -> None:
        self._on_delay = on_delay
        registry = self._registry = CollectorRegistry()
        self._longest_delay_s = 0.0
        self._requests = Counter(
            f"{PREFIX}requests",
            "Requests by outcome",
            ["route", "outcome", "code"],
            registry=registry,
        )
        self._sends = Counter(
            f"{PREFIX}sends", "Sends to endpoints, repeats included", ["route"], registry=registry
        )
        self._first_s = Histogram(
            f"{PREFIX}first_seconds",
            "Time to the answer or the first event, in seconds",
            ["route"],
            buckets=TIME_BUCKETS_S,
            registry=registry,
        )
        self._loop_s = Histogram(
            f"{PREFIX}loop_delay_seconds",
            "Delay of the event loop, in seconds",
            buckets=TIME_BUCKETS_S,
            registry=registry,
        )
        self._loop_longest_s = Gauge(
            f"{PREFIX}loop_delay_longest_seconds",
            "Longest delay of the event loop since the last read of the metrics, in seconds",
            registry=registry,
        )
        self._callers_accepted = Gauge(
            f"{PREFIX}callers_accepted",
            "Connections of callers accepted so far",
            registry=registry,
        )
        self._callers_open = Gauge(
            f"{PREFIX}callers_open", "Open connections of callers", registry=registry
        )
        self._callers_closed = Gauge(
            f"{PREFIX}callers_closed",
            "Connections of callers closed so far",
            ["reason"],
            registry=registry,
        )
        self._given_up = Gauge(
            f"{PREFIX}callers_given_up",
            "Requests so far whose callers had gone before they were read",
            registry=registry,
        )
        self._refused_heads = Gauge(
            f"{PREFIX}heads_refused",
            "Requests refused for the number of their header fields so far",
            registry=registry,
        )
        self._unsent_answers = Gauge(
            f"{PREFIX}unsent_answers",
            "Answers so far of which a part could not be sent to the caller",
            registry=registry,
        )
        self.running = Gauge(f"{PREFIX}running", "Requests in flight", registry=registry)
        self.map_age_s = Gauge(
            f"{PREFIX}map_age_seconds",
            "Since the route map was read, in seconds",
            registry=registry,
        )
        self.directory_age_s = Gauge(
            f"{PREFIX}directory_age_seconds",
            "Since the directory was read, in seconds",
            registry=registry,
        )
        self.connections_opened = Gauge(
            f"{PREFIX}connections_opened", "Connections opened to endpoints", registry=registry
        )

        self.connections_idle = Gauge(
            f"{PREFIX}connections_idle", "Idle connections to endpoints", registry=registry
        )
        self.refused_parts = Gauge(
            f"{PREFIX}refused_parts",
            "Prompt parts that are refused because they crash endpoints",
            registry=registry,
        )
        self.limited_endpoints = Gauge(
            f"{PREFIX}limited_endpoints", "Endpoints that state a limit", registry=registry
        )
        self.cold_endpoints = Gauge(
            f"{PREFIX}cold_endpoints", "Endpoints with a bound, as they are cold", registry=registry
        )
        self.evacuated_zones = Gauge(
            f"{PREFIX}evacuated_zones", "Zones that operators have evacuated", registry=registry
        )
        self.leaving_endpoints = Gauge(
            f"{PREFIX}leaving_endpoints", "Endpoints that state that they leave", registry=registry
        )
        self.paused_endpoints = Gauge(
            f"{PREFIX}paused_endpoints", "Endpoints that want no request now", registry=registry
        )
        self.hosts = Gauge(f"{PREFIX}hosts", "Hosts that share budgets", registry=registry)
        self.relayed_calls = Gauge(
            f"{PREFIX}relayed_calls", "Store calls through other hosts so far", registry=registry
        )
        self.store_lost = Gauge(
            f"{PREFIX}store_lost", "1 while the store does not answer this host", registry=registry
        )
        self.brittle_pools = Gauge(
            f"{PREFIX}brittle_pools", "Pools whose endpoints are brittle", registry=registry
        )
        self.kept_bytes = Gauge(
            f"{PREFIX}kept_bytes", "Bytes of request bodies that are kept", registry=registry
        )
        self.bodies_refused = Gauge(
            f"{PREFIX}bodies_refused", "Bodies refused for want of room so far", registry=registry
        )
        self.connections_held_bytes = Gauge(
            f"{PREFIX}connections_held_bytes",
            "Memory counted for connections of callers, by address",
            ["address"],
            registry=registry,
        )
        self.connections_closed_for_room = Gauge(
            f"{PREFIX}connections_closed_for_room",
            "Connections of callers closed to make room so far, by address",
            ["address"],
            registry=registry,
        )
        self.lost_paths = Gauge(
            f"{PREFIX}lost_paths", "Endpoints that only other hosts reach", registry=registry
        )
        self.tunnels_served = Gauge(
            f"{PREFIX}tunnels_served", "Connections opened for other hosts", registry=registry
        )
        self.pending_origins = Gauge(
            f"{PREFIX}pending_origins",
            "Streams whose origin waits to be recorded",
            registry=registry,
        )
        self.overloaded_pools = Gauge(
            f"{PREFIX}overloaded_pools", "Pools that are overloaded now", registry=registry
        )
        self.waiting = Gauge(
            f"{PREFIX}waiting", "Requests that wait for a place", registry=registry
        )
        self.lines_left_out = Gauge(
            f"{PREFIX}log_lines_left_out", "Log lines left out so far", registry=registry
        )
        self._datagrams = Gauge(
            f"{PREFIX}datagrams",
            "Datagrams of the zone exchange so far",
            ["direction"],
            registry=registry,
        )
        self._datagram_bytes = Gauge(
            f"{PREFIX}datagram_bytes",
            "Bytes of the zone exchange so far, with headers",
            ["direction"],
            registry=registry,
        )
        self._datagrams_refused = Gauge(
            f"{PREFIX}datagrams_refused",
            "Datagrams and sections of the zone exchange that were not used so far",
            ["reason"],
            registry=registry,
        )
        self._digest_age_s = Gauge(
            f"{PREFIX}digest_age_seconds",
            "Age of the newest digest of the zone exchange, in seconds; -1 without any",
            registry=registry,
        )
        self._collects = Gauge(
            f"{PREFIX}collects", "1 while this host collects for its zone", registry=registry
        )
        self.leaving_share = Gauge(
            f"{PREFIX}leaving_share",
            "Share of the requests from this zone that may go to another zone",
            ["pool", "zone"],
            registry=registry,
        )
        self.repeats_left = Gauge(
            f"{PREFIX}repeats_left", "Repeats that may be sent now", ["pool"], registry=registry
        )
        self.tokens = Gauge(
            f"{PREFIX}account_tokens",
            "Tokens of an account as this host knows them",
            ["account", "of"],
            registry=registry,
        )

    def count(self, call: EntryCall, outcome: Result[Served, Refusal] | None) -> None:
        """Count an ended request; `outcome` is None if the caller disconnected."""
        route = call.progress.route
        self._sends.labels(route).inc(call.progress.sends)
        match outcome:
            case Ok(_):
                self._requests.labels(route, "served", "").inc()
                first_at = call.progress.first_at or trio.current_time()
                self._first_s.labels(route).observe(first_at - call.arrived)
            case Err(refusal):
                self._requests.labels(route, refusal.outcome, refusal.code).inc()
            case None:
                self._requests.labels(route, "gone", "").inc()

    async def watch_loop(self) -> None:
        """Measure by how much the event loop wakes a task too late, until cancelled."""
        while True:
            due = trio.current_time() + LOOP_CHECK_INTERVAL_S
            await trio.sleep_until(due)
            delay_s = trio.current_time() - due
            self._loop_s.observe(delay_s)
            self._on_delay(delay_s)
            self._longest_delay_s = max(self._longest_delay_s, delay_s)
            if delay_s >= LOGGED_LOOP_DELAY_S:
                log.warning("event loop delayed", extra={"delay_s": round(delay_s, 3)})

    def set_connections(self, counts: ConnectionCounts) -> None:
        """Take over the counts of callers' connections."""
        self._callers_accepted.set(counts.accepted)
        self._callers_open.set(counts.open)
        for reason, number in counts.closed.items():
            self._callers_closed.labels(reason.value).set(number)
        self._given_up.set(counts.given_up)
        self._refused_heads.set(counts.refused_heads)
        self._unsent_answers.set(counts.unsent_answers)

    def set_exchange(self, state: ExchangeState, now: float) -> None:
        """Take over the counts of the zone exchange."""
        counts = state.counts
        for direction, number, size in (
            ("sent", counts.sent, counts.sent_bytes),
            ("received", counts.received, counts.received_bytes),
        ):
            self._datagrams.labels(direction).set(number)
            self._datagram_bytes.labels(direction).set(size)
        for reason, number in counts.refused.items():
            self._datagrams_refused.labels(reason).set(number)
        age_s = state.digest_age_s(now)
        self._digest_age_s.set(age_s if math.isfinite(age_s) else -1)
        self._collects.set(state.is_collecting(now))

    def reply(self) -> Reply:
        """Return all metrics in Prometheus text format."""
        self._loop_longest_s.set(self._longest_delay_s)
        self._longest_delay_s = 0.0
        return Reply(200, generate_latest(self._registry), METRICS_TYPE)
