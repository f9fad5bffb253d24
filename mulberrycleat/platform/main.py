"""Command that runs an entry host on the platform."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

import click
import trio
from result import Err, Ok

from mulberrycleat.core.exit_status import EXIT_BAD_SETTINGS
from mulberrycleat.entry.app import EntryHost
from mulberrycleat.entry.decisions import (
    DecisionLog,
    LineWriter,
    RecordWriter,
    configure_decision_logging,
)
from mulberrycleat.entry.settings import EntrySettings
from mulberrycleat.platform.headers import PlatformHeaderCodec
from mulberrycleat.platform.settings import BOOT_VARIABLE, SettingsFile, read_boot_settings
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.web import HttpClient

__all__ = ["main", "run_to_end"]

log = logging.getLogger(__name__)

# Time limit for a connection to the store and for the acknowledgement of sent data. The store
# answers within a few milliseconds; if it takes this long, it is unreachable.
STORE_CONNECTION_TIMEOUT_S = 0.6
# New container objects before a garbage collection, and collections of each generation before one
# of the next. What requests leave in reference cycles until then is small beside the memory of the
# smallest host, 150 MB.
COLLECTION_THRESHOLDS = (10_000, 10, 20)


@click.command()
@click.option("--metrics-port", default=0, help="Port to serve metrics at; 0 for none.")
def main(metrics_port: int) -> None:
    """Run an entry host with the settings file that MULBERRYCLEAT_BOOT names."""
    if not os.environ.get(BOOT_VARIABLE):
        print(
            f"{BOOT_VARIABLE} is not set: it holds the path of the settings file", file=sys.stderr
        )
        sys.exit(EXIT_BAD_SETTINGS)
    path = Path(os.environ[BOOT_VARIABLE])
    match read_boot_settings(path):
        case Err(faults):
            for fault in faults:
                print(f"{path}: {fault}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            gc.freeze()
            gc.set_threshold(*COLLECTION_THRESHOLDS)
            trio.run(_run, settings, metrics_port, path)


async def _run(settings: EntrySettings, metrics_port: int, path: Path) -> None:
    writer = LineWriter(sys.stdout.fileno())
    configure_decision_logging(writer, host=settings.host, zone=settings.zone)
    records = RecordWriter(writer, host=settings.host, zone=settings.zone)
    decisions = DecisionLog(trio.current_time, records=records)
    times = settings.times
    client = HttpClient(
        STORE_CONNECTION_TIMEOUT_S, unacknowledged_timeout_s=STORE_CONNECTION_TIMEOUT_S
    )
    store = PlatformStore(settings.store, client, times.store_timeout_s)
    if metrics_port:
        settings = _with_metrics(settings, metrics_port)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        host = EntryHost(settings, PlatformHeaderCodec(), store, decisions)
        settings_file = SettingsFile(path, settings.metrics, host.apply_settings, decisions)
        await nursery.start(_watch_signals, stop, settings_file)
        nursery.start_soon(settings_file.watch)
        await run_to_end(host, stop, decisions, partial(os._exit, 0))
        nursery.cancel_scope.cancel()


async def run_to_end(
    host: EntryHost, stop: trio.Event, decisions: DecisionLog, exit_process: Callable[[], None]
) -> None:
    """Run a host until it has stopped, or exit when its grace period is almost over.

    A message to a caller that does not read can't be cancelled, and the tasks of a host end only
    with all their messages.
    """
    waiting = trio.CancelScope(shield=True)

    async def exit_in_time() -> None:
        with waiting:
            await host.exit_due()
            decisions.warning("exited with open connections", step="stop")
            exit_process()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(exit_in_time)
        try:
            await host.run(stop)
        finally:
            waiting.cancel()


def _with_metrics(settings: EntrySettings, port: int) -> EntrySettings:
    return replace(settings, metrics=f"{settings.ip}:{port}")


async def _watch_signals(
    stop: trio.Event, settings_file: SettingsFile, task_status: trio.TaskStatus
) -> None:
    """Set `stop` on SIGTERM or SIGINT; on SIGHUP, read the settings file again."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGHUP:
                settings_file.read_again()
            else:
                stop.set()


if __name__ == "__main__":
    main()
