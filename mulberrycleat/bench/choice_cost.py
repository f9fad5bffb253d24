"""``bin/bench choice_cost``: processor time of an endpoint choice and memory of its state."""

from __future__ import annotations

import json
import time
import tracemalloc
from random import Random

import click

from mulberrycleat.endpoint import ChoiceSettings, Chooser, Demand, LoadReport, prefix_keys
from mulberrycleat.manifest.model import Endpoint

__all__ = ["command"]

PROMPT = "Drum 4471: solvent 2019, resin 2021, caustic wash, dent at the lower hoop. " * 430
CHOICES = 300
KEYS = 30_000
KEYS_PER_EVENT = 100


@click.command()
def command() -> None:
    """Measure the choice among 9 and among 127 endpoints; the last line is one JSON object."""
    few_us, _ = _measure(9)
    many_us, state_bytes = _measure(127)
    started_at = time.process_time()
    keys = prefix_keys("m", [PROMPT])
    hash_us = (time.process_time() - started_at) * 1e6
    result = {
        "choice_us_9_endpoints": round(few_us),
        "choice_us_127_endpoints": round(many_us),
        "choice_us_per_endpoint": round((many_us - few_us) / 118, 1),
        "hash_us_8000_token_prompt": round(hash_us),
        "prompt_keys": len(keys),
        "endpoint_state_bytes": round(state_bytes),
        "prefix_key_bytes": round(_bytes_per_key()),
    }
    click.echo(json.dumps(result))


def _measure(count: int) -> tuple[float, float]:
    """Return the microseconds per choice among `count` endpoints, and the bytes per endpoint."""
    endpoints = [Endpoint(f"e{i}", "pool", f"zone-{i % 6}", f"127.0.0.1:{i}") for i in range(count)]
    tracemalloc.start()
    chooser = Chooser(ChoiceSettings(), "zone-0", Random(1))
    for endpoint in endpoints:
        chooser.state(endpoint)
        chooser.record_load_report(endpoint.name, LoadReport(0.5, 6, 0, 4000, 2000))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    demand = Demand(8000, 200, prefix_keys("m", [PROMPT]))
    for number, endpoint in enumerate(endpoints * 2):
        chooser.sent(endpoint, f"r{number}", demand, 1.0)
    started_at = time.process_time()
    for _ in range(CHOICES):
        chooser.choose(endpoints, demand, 2.0)
    return (time.process_time() - started_at) / CHOICES * 1e6, size / count


def _bytes_per_key() -> float:
    """Return the memory of one prefix key that cache events reported as stored, in bytes."""
    tracemalloc.start()
    chooser = Chooser(ChoiceSettings(), "zone-0", Random(1))
    rng = Random(2)
    for _ in range(0, KEYS, KEYS_PER_EVENT):
        keys = tuple(rng.getrandbits(63) for _ in range(KEYS_PER_EVENT))
        chooser.apply_cache_event("e1", "stored", keys)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / KEYS
