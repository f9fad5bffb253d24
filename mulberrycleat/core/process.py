"""Process startup: settings, logging and stop signals."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import trio
import trio_asyncio
from result import Err, Ok, Result

from mulberrycleat.core.exit_status import EXIT_BAD_SETTINGS
from mulberrycleat.core.logs import configure_logging
from mulberrycleat.settings import Fault, load_settings
from mulberrycleat.web import stop_on_signal

__all__ = ["run_process", "settings_or_exit"]

T = TypeVar("T")


def settings_or_exit(path: Path, kind: type[T]) -> T:
    """Return the settings in `path`, or print all their faults and exit with status 2."""
    return value_or_exit(path, load_settings(path, kind))


def value_or_exit(path: Path, outcome: Result[T, list[Fault]]) -> T:
    """Return the value of `outcome`, or print all its faults and exit with status 2."""
    match outcome:
        case Ok(value):
            return value
        case Err(faults):
            for fault in faults:
                print(f"{path}: {fault}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)


def run_process(main: Callable[[trio.Event], Awaitable[None]], settings: object) -> None:
    """Run `main` under trio with a trio-asyncio loop until SIGTERM or SIGINT.

    Parameters
    ----------
    main : callable
        Called with an event that is set on SIGTERM or SIGINT; returns when its shutdown is
        complete.
    settings : object
        Settings with the attribute ``log`` and, for processes of a host, ``host``.
    """
    host = getattr(settings, "host", None)
    static_fields = {"host": host.name, "zone": host.zone} if host else {}
    configure_logging(settings.log, **static_fields)

    async def start() -> None:
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            await nursery.start(_watch_signals, stop)
            await main(stop)
            nursery.cancel_scope.cancel()

    trio_asyncio.run(start)


async def _watch_signals(stop: trio.Event, task_status: trio.TaskStatus) -> None:
    await stop_on_signal(stop.set, task_status)
