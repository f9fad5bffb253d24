"""Bookings refused while one availability zone is cut off: refusing, key ranges, home zones.

A seeded replay of bookings over an hour in which one zone is cut from the platform and the others.
Callers keep to a zone, but a share of the bookings is repeated, some of those in another zone. A
rule says which zone may run a key. Each rule runs a key at most once; what differs is how many
bookings are refused that could have run.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import NamedTuple

import click

__all__ = ["command"]

ZONES = ("zone-a", "zone-b", "zone-c")
CUT = "zone-a"
BOOKINGS = 30_000


class Booking(NamedTuple):
    """One arrival: its key, where it arrives, and where the key was first used."""

    key: int
    zone: str
    first_zone: str


def refusing(booking: Booking) -> bool:
    """Return whether the zones with the log run a key and the cut zone none."""
    return booking.zone != CUT


def key_ranges(booking: Booking) -> bool:
    """Return whether the home zone of the key's hash is on the side where the booking arrives."""
    home = ZONES[booking.key % len(ZONES)]
    return (home == CUT) == (booking.zone == CUT)


def home_zones(booking: Booking) -> bool:
    """Return whether the zone that the key names, that of its first use, is on the same side."""
    return (booking.first_zone == CUT) == (booking.zone == CUT)


RULES: dict[str, Callable[[Booking], bool]] = {
    "refuse": refusing,
    "key_ranges": key_ranges,
    "home_zones": home_zones,
}


def arrivals(seed: int, repeats: float, elsewhere: float) -> list[Booking]:
    """Return bookings; a share is a repeat, and a share of those arrives in another zone."""
    source = random.Random(seed)
    found: list[Booking] = []
    for key in range(BOOKINGS):
        zone = source.choice(ZONES)
        found.append(Booking(key, zone, zone))
        if source.random() < repeats:
            moved = source.random() < elsewhere
            again = source.choice([z for z in ZONES if z != zone]) if moved else zone
            found.append(Booking(key, again, zone))
    return found


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--repeats", default=0.1, show_default=True, help="Share of bookings repeated.")
def command(seed: int, repeats: float) -> None:
    """Measure the share of bookings refused during a cut, by rule."""
    figures: dict[str, float] = {}
    for elsewhere in (0.0, 0.5, 1.0):
        bookings = arrivals(seed, repeats, elsewhere)
        for name, may_run in RULES.items():
            refused = sum(not may_run(booking) for booking in bookings) / len(bookings)
            figures[f"{name}_{elsewhere:g}"] = round(refused, 4)
            print(f"{name:<12} repeats elsewhere {elsewhere:.1f}: {refused:.4f} refused")
    print(json.dumps(figures))
