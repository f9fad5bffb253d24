"""``bin/bench recording``: time and memory that a router uses to record data for burn reports."""

from __future__ import annotations

import json
import time
import tracemalloc

import click

from mulberrycleat.burn.model import MEASURES, Series
from mulberrycleat.burn.recorder import LiveSeries

__all__ = ["command"]

TOKENS = 200_000
LIVE_SERIES = 200
KEPT_SERIES = 2000
GAPS_S = tuple(0.005 + 0.0001 * number for number in range(300))


@click.command()
def command() -> None:
    """Measure the time and memory of recording; the last line is one JSON object."""
    record_us = _measure_recording()
    live_kb, kept_kb, encode_us = _measure_sizes()
    click.echo(f"recording a token: {record_us:.2f} us")
    click.echo(f"a live series of three measures: {live_kb:.1f} KB")
    click.echo(f"a kept series of one interval: {kept_kb:.2f} KB, encoded in {encode_us:.0f} us")
    result = {
        "record_us": round(record_us, 2),
        "live_series_kb": round(live_kb, 1),
        "kept_series_kb": round(kept_kb, 2),
        "encode_series_us": round(encode_us),
    }
    click.echo(json.dumps(result))


def _measure_recording() -> float:
    """Return the microseconds to record the gap before one token."""
    series = LiveSeries("account", "pool")
    started_at = time.perf_counter()
    for number in range(TOKENS):
        series.record("between_tokens", GAPS_S[number % len(GAPS_S)])
    return (time.perf_counter() - started_at) / TOKENS * 1e6


def _measure_sizes() -> tuple[float, float, float]:
    """Return the KB of a live and of an encoded series, and the microseconds to encode one."""
    tracemalloc.start()
    live = [_make_series(number) for number in range(LIVE_SERIES)]
    live_kb = tracemalloc.get_traced_memory()[0] / LIVE_SERIES / 1024
    tracemalloc.stop()
    started_at = time.perf_counter()
    for number in range(LIVE_SERIES):
        live[number].snapshot()
    encode_us = (time.perf_counter() - started_at) / LIVE_SERIES * 1e6
    tracemalloc.start()
    kept: list[Series] = [live[number % LIVE_SERIES].snapshot() for number in range(KEPT_SERIES)]
    kept_kb = tracemalloc.get_traced_memory()[0] / len(kept) / 1024
    tracemalloc.stop()
    return live_kb, kept_kb, encode_us


def _make_series(number: int) -> LiveSeries:
    series = LiveSeries(f"account-{number}", "pool")
    for measure in MEASURES:
        for gap_s in GAPS_S:
            series.record(measure, gap_s)
    return series
