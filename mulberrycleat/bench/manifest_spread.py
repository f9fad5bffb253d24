"""``bin/bench manifest_spread``: order in which the log reader of a zone serves other hosts.

A seeded model of one reader that serves one page at a time; a host requests its next page after it
received the previous one. Serving the host that is furthest behind first is the slowest-peer-first
strategy of Wu et al., "Time-Critical Data Dissemination in Cooperative Peer-to-Peer Systems".
"""

from __future__ import annotations

import heapq
import json
import statistics
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import click

__all__ = ["command"]

SERVICE_TIME_S = 0.00055
ROUND_TRIP_S = 0.002
ARRIVAL_WINDOW_S = 0.01


class _Request(NamedTuple):
    """Request of a waiting host: when it was sent, and how many pages the host lacks."""

    requested_at: float
    host: int
    missing_pages: int


ORDERS: dict[str, Callable[[_Request], tuple]] = {
    "as asked": lambda r: (r.requested_at, r.host),
    "furthest behind first": lambda r: (-r.missing_pages, r.requested_at, r.host),
    "nearest first": lambda r: (r.missing_pages, r.requested_at, r.host),
}


@click.command()
@click.option("--hosts", default=62, show_default=True, help="Hosts of the zone.")
@click.option("--runs", default=200, show_default=True, help="Seeded runs of each case.")
def command(hosts: int, runs: int) -> None:
    """Compare orders of service by the time until the last host has all pages."""
    cases = {"one page each": 0.0, "one in ten far behind": 0.1, "half far behind": 0.5}
    results: dict[str, dict[str, float]] = {}
    for case, share in cases.items():
        results[case] = {}
        for name, order in ORDERS.items():
            times = [_simulate(Random(seed), hosts, share, order) for seed in range(runs)]
            last_ms = 1000 * statistics.mean(max(done) for done in times)
            mean_ms = 1000 * statistics.mean(statistics.mean(done) for done in times)
            results[case][name] = round(last_ms, 2)
            print(f"{case:<24}{name:<24}last {last_ms:8.2f} ms   mean {mean_ms:8.2f} ms")
    print(json.dumps(results))


def _simulate(
    rng: Random, hosts: int, behind_share: float, order: Callable[[_Request], tuple]
) -> list[float]:
    """Return the time at which each host had all pages, in seconds.

    First requests arrive at random times within ``ARRIVAL_WINDOW_S``.
    """
    arrivals = [
        _Request(rng.uniform(0, ARRIVAL_WINDOW_S), host, _draw_missing_pages(rng, behind_share))
        for host in range(hosts)
    ]
    heapq.heapify(arrivals)
    waiting: list[_Request] = []
    now, done = 0.0, [0.0] * hosts
    while arrivals or waiting:
        if not waiting:
            now = max(now, arrivals[0].requested_at)
        while arrivals and arrivals[0].requested_at <= now:
            waiting.append(heapq.heappop(arrivals))
        request = min(waiting, key=order)
        waiting.remove(request)
        now += SERVICE_TIME_S
        if request.missing_pages == 1:
            done[request.host] = now + ROUND_TRIP_S / 2
        else:
            next_request = _Request(now + ROUND_TRIP_S, request.host, request.missing_pages - 1)
            heapq.heappush(arrivals, next_request)
    return done


def _draw_missing_pages(rng: Random, behind_share: float) -> int:
    """Return the pages that a host lacks: 5 to 20 for a share of the hosts, 1 for the others."""
    return rng.randint(5, 20) if rng.random() < behind_share else 1
