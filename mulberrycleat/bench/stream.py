"""``bin/bench stream``: processor time of one router per token and per request."""

from __future__ import annotations

import json
import os
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import click

from mulberrycleat.bench.stream_client import StreamPlan, StreamTiming, read_streams
from mulberrycleat.demo.main import prepare_fleet
from mulberrycleat.testing.fleet import FleetPlan, LocalFleet, local_fleet

__all__ = ["command"]

MODEL = "survey-large"
ROUTER = "router-zone-a-1"
CONTROLLER = "controller-zone-a-1"
TARGET_BETWEEN_TOKENS_MS = 36.0
SHORT_TOKENS = 10
KB_PER_MB = 1024
WARM_UP_REQUESTS = 20


class RunMeasurement(NamedTuple):
    """Results of one run: processor time of router and controller, elapsed time, and streams.

    Times are in seconds.
    """

    router_s: float
    controller_s: float
    elapsed_s: float
    streams: list[StreamTiming]


@click.command()
@click.option("--requests", default=120, show_default=True)
@click.option("--concurrent", default=30, show_default=True, help="Number of streams at once.")
@click.option("--tokens", default=120, show_default=True, help="Tokens of a long answer.")
@click.option("--step-ms", default=25.0, show_default=True, help="Time of an engine per token.")
def command(requests: int, concurrent: int, tokens: int, step_ms: float) -> None:
    """Measure a router process that forwards streams of engines to callers."""
    engine = {"step_s": step_ms / 1000, "step_per_request_s": 0.0, "max_batch": 64}
    plan = FleetPlan(
        zones=("zone-a",),
        engines_per_zone=4,
        models=(MODEL,),
        services=(),
        accounts=("dolerite",),
        standin={"engine": engine},
    )
    temporary_directory = tempfile.TemporaryDirectory(prefix="mulberrycleat-")
    with temporary_directory as directory, local_fleet(plan, Path(directory)) as fleet:
        prepare_fleet(fleet, Path(directory))
        _measure(fleet, WARM_UP_REQUESTS, 10, SHORT_TOKENS)
        idle = _measure_idle(fleet)
        short = _measure(fleet, requests, concurrent, SHORT_TOKENS)
        long = _measure(fleet, requests, concurrent, tokens)
        resident_mb = {name: _resident_mb(fleet, name) for name in (ROUTER, CONTROLLER)}
    per_token = (long.router_s - short.router_s) / (requests * (tokens - SHORT_TOKENS))
    per_request = short.router_s / requests - SHORT_TOKENS * per_token
    waits = [wait for timing in long.streams for wait in timing.waits_s]
    click.echo(
        f"{requests} streams of {tokens} tokens, {concurrent} at once, {long.elapsed_s:.1f} s"
    )
    click.echo(
        f"router busy {long.router_s / long.elapsed_s:.0%} of a core; engine step {step_ms} ms"
    )
    result = {
        "cpu_us_per_token": round(per_token * 1e6, 1),
        "cpu_ms_per_request": round(per_request * 1e3, 2),
        "controller_cpu_ms_per_request": round(short.controller_s / requests * 1e3, 2),
        "idle_router_cpu_ms_per_s": round(idle[0] * 1e3, 1),
        "idle_controller_cpu_ms_per_s": round(idle[1] * 1e3, 1),
        "between_tokens_p95_ms": round(_p95(waits) * 1e3, 1),
        "engine_step_ms": step_ms,
        "between_tokens_target_ms": TARGET_BETWEEN_TOKENS_MS,
        "first_token_p95_s": round(_p95([timing.first_s for timing in long.streams]), 3),
        "router_resident_mb": resident_mb[ROUTER],
        "controller_resident_mb": resident_mb[CONTROLLER],
    }
    click.echo(json.dumps(result))


def _measure(fleet: LocalFleet, requests: int, concurrent: int, tokens: int) -> RunMeasurement:
    before = _processor_time_s(fleet, ROUTER), _processor_time_s(fleet, CONTROLLER)
    started_at = time.monotonic()
    address = fleet.members[ROUTER].address
    plan = StreamPlan(address, fleet.keys["dolerite"], MODEL, requests, concurrent, tokens)
    streams = read_streams(plan)
    elapsed_s = time.monotonic() - started_at
    return RunMeasurement(
        _processor_time_s(fleet, ROUTER) - before[0],
        _processor_time_s(fleet, CONTROLLER) - before[1],
        elapsed_s,
        streams,
    )


def _measure_idle(fleet: LocalFleet, seconds: float = 5.0) -> tuple[float, float]:
    """Return the processor seconds per second of router and controller without requests."""
    before = _processor_time_s(fleet, ROUTER), _processor_time_s(fleet, CONTROLLER)
    time.sleep(seconds)
    return (
        (_processor_time_s(fleet, ROUTER) - before[0]) / seconds,
        (_processor_time_s(fleet, CONTROLLER) - before[1]) / seconds,
    )


def _processor_time_s(fleet: LocalFleet, name: str) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = Path(f"/proc/{fleet.pid(name)}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(fleet: LocalFleet, name: str) -> float:
    for line in Path(f"/proc/{fleet.pid(name)}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / KB_PER_MB, 1)
    return 0.0


def _p95(values: list[float]) -> float:
    return sorted(values)[int(len(values) * 0.95)]
