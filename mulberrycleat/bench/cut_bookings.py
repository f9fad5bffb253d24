"""Bookings refused while an availability zone is partitioned, under three rules.

A seeded replay of bookings over an hour in which one zone is partitioned from the platform and the
other zones. Each booking arrives in one zone; a share of the bookings is retried, and some of the
retries arrive in another zone. A rule decides which zone may run a key: any zone but the
partitioned one, the zone assigned by the hash of the key, or the zone in which the key was first
used. Each rule runs a key at most once; the rules differ in how many bookings they refuse that
could have run.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import NamedTuple

import click

__all__ = ["command"]

ZONES = ("zone-a", "zone-b", "zone-c")
PARTITIONED_ZONE = "zone-a"
BOOKINGS = 30_000


class Booking(NamedTuple):
    """One arrival: its key, the zone of arrival, and the zone in which the key was first used."""

    key: int
    zone: str
    first_zone: str


def may_run_outside_partition(booking: Booking) -> bool:
    """Return whether the booking arrives outside the partitioned zone, which runs no key."""
    return booking.zone != PARTITIONED_ZONE


def may_run_by_hash(booking: Booking) -> bool:
    """Return whether the zone assigned to the key is on the arrival's side of the partition."""
    home = ZONES[booking.key % len(ZONES)]
    return (home == PARTITIONED_ZONE) == (booking.zone == PARTITIONED_ZONE)


def may_run_by_first_use(booking: Booking) -> bool:
    """Return whether the zone of the key's first use is on the arrival's side of the partition."""
    return (booking.first_zone == PARTITIONED_ZONE) == (booking.zone == PARTITIONED_ZONE)


RULES: dict[str, Callable[[Booking], bool]] = {
    "refuse": may_run_outside_partition,
    "key_ranges": may_run_by_hash,
    "home_zones": may_run_by_first_use,
}


def make_bookings(seed: int, repeats: float, moved_share: float) -> list[Booking]:
    """Return the arrivals: bookings and their retries.

    A share `repeats` of the bookings is retried; a share `moved_share` of the retries arrives in
    another zone.
    """
    rng = random.Random(seed)
    found: list[Booking] = []
    for key in range(BOOKINGS):
        zone = rng.choice(ZONES)
        found.append(Booking(key, zone, zone))
        if rng.random() < repeats:
            moved = rng.random() < moved_share
            retry_zone = rng.choice([z for z in ZONES if z != zone]) if moved else zone
            found.append(Booking(key, retry_zone, zone))
    return found


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--repeats", default=0.1, show_default=True, help="Share of bookings that are retried."
)
def command(seed: int, repeats: float) -> None:
    """Measure the share of bookings refused during a partition, by rule."""
    figures: dict[str, float] = {}
    for moved_share in (0.0, 0.5, 1.0):
        bookings = make_bookings(seed, repeats, moved_share)
        for name, may_run in RULES.items():
            refused = sum(not may_run(booking) for booking in bookings) / len(bookings)
            figures[f"{name}_{moved_share:g}"] = round(refused, 4)
            print(f"{name:<12} retries in another zone {moved_share:.1f}: {refused:.4f} refused")
    print(json.dumps(figures))
