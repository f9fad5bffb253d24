"""``bin/bench platform``: processor time of an entry host per request and streamed event."""

from __future__ import annotations

import json
import logging
import os
import time
from functools import partial
from typing import NamedTuple

import click

from mulberrycleat.entry.decisions import LineWriter, configure_decision_logging
from mulberrycleat.platform.standin import ServerStandin
from mulberrycleat.platform.tests.fixtures import CONFIG, entry_host
from mulberrycleat.testing.harness import run_virtual

__all__ = ["command"]

SHORT_EVENTS, LONG_EVENTS = 5, 105
PREPAID = 1_000_000_000


class Cost(NamedTuple):
    """Processor time, in microseconds, per plain request, streamed request and streamed event."""

    plain_us: float
    stream_us: float
    event_us: float


@click.command()
@click.option("--requests", default=400, show_default=True, help="Requests of each kind.")
def command(requests: int) -> None:
    """Print the processor time per request; the last line is one JSON object, in microseconds.

    HTTP and sockets of callers are left out: the application is called directly, and endpoints are
    reached over in-memory pipes.
    """
    _measure(requests // 4)
    unlogged = _measure(requests)
    logged = _measure(requests, log=True)
    click.echo(f"{'':<10}{'plain us':>12}{'stream us':>12}{'event us':>12}")
    for name, cost in (("no log", unlogged), ("with log", logged)):
        click.echo(f"{name:<10}" + "".join(f"{figure:>12.1f}" for figure in cost))
    figures = {f"{name}": round(figure, 1) for name, figure in unlogged._asdict().items()}
    figures |= {f"logged_{name}": round(figure, 1) for name, figure in logged._asdict().items()}
    click.echo(json.dumps(figures))


def _measure(requests: int, log: bool = False) -> Cost:
    """Return the cost with or without decision logging; the log is written to the null device."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    sink = os.open(os.devnull, os.O_WRONLY)
    try:
        root.handlers[:] = [logging.NullHandler()]
        root.setLevel(logging.CRITICAL)
        if log:
            configure_decision_logging(LineWriter(sink), host="a1", zone="z-a")
        plain = run_virtual(partial(_run_requests, requests, "/find/x", 0))
        short = run_virtual(partial(_run_requests, requests // 4, "/ask/x", SHORT_EVENTS))
        long = run_virtual(partial(_run_requests, requests // 4, "/ask/x", LONG_EVENTS))
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
        os.close(sink)
    event_us = (long - short) / (LONG_EVENTS - SHORT_EVENTS)
    return Cost(plain, short - SHORT_EVENTS * event_us, event_us)


async def _run_requests(requests: int, path: str, events: int) -> float:
    """Return the processor time per request, stand-in endpoint included, in microseconds."""
    server = ServerStandin(
        "s1", "10.1.0.1:80", "engines" if events else "bookings", events=events, work_s=0.001
    )
    accounts = [{**CONFIG["tenants"][0], "prepaid": PREPAID}]
    method = "POST" if events else "GET"
    async with entry_host(server, config={**CONFIG, "tenants": accounts}) as harness:
        for warm_up_number in range(10):
            await harness.send_request(path, f"w{warm_up_number}", method)
        started_at = time.process_time()
        for number in range(requests):
            answer = await harness.send_request(path, f"r{number}", method, token_counts="100,50")
            assert answer.status == 200
        return (time.process_time() - started_at) / requests * 1e6
