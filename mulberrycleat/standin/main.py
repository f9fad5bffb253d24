"""``mulberrycleat-standin``: run a stand-in for a platform service or an endpoint."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import trio

from mulberrycleat.core.process import run_process, settings_or_exit
from mulberrycleat.standin.engine import EngineStandin
from mulberrycleat.standin.link import LinkStandin
from mulberrycleat.standin.log import LogStandin
from mulberrycleat.standin.platform import HostListStandin, WeightStandin
from mulberrycleat.standin.service import ServiceStandin
from mulberrycleat.standin.settings import StandinSettings
from mulberrycleat.web import App, serve_app

__all__ = ["main", "make_standin"]

DRAIN_TIMEOUT_S = 1.0


def make_standin(settings: StandinSettings, now: Callable[[], float] = time.time) -> Any:
    """Return a stand-in of the kind in the settings; `now` returns the log's Unix time."""
    match settings.kind:
        case "log":
            return LogStandin(settings, now)
        case "hosts":
            return HostListStandin(settings)
        case "weights":
            return WeightStandin(settings)
        case "engine":
            return EngineStandin(settings)
        case "service":
            return ServiceStandin(settings)
        case "link":
            return LinkStandin(settings)


async def run_standin(settings: StandinSettings, stop: trio.Event) -> None:
    """Serve one stand-in until `stop` is set."""
    standin = make_standin(settings)
    app = App(standin.routes())
    address = settings.listen
    async with trio.open_nursery() as nursery:
        if isinstance(standin, LinkStandin):
            nursery.start_soon(standin.run)
            address = settings.control
        await serve_app(app, address, stop, DRAIN_TIMEOUT_S)
        nursery.cancel_scope.cancel()


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False, path_type=Path))
def main(settings_file: Path) -> None:
    """Run one stand-in with the settings in SETTINGS_FILE.

    Faults are injected with ``PUT /faults``, for example ``{"down": true}``.
    """
    settings = settings_or_exit(settings_file, StandinSettings)

    async def run(stop: trio.Event) -> None:
        await run_standin(settings, stop)

    run_process(run, settings)


if __name__ == "__main__":
    main()
