"""``mulberrycleat-router``: serves callers on one host."""

from __future__ import annotations

from pathlib import Path

import click
import trio

from mulberrycleat.core.process import run_process, settings_or_exit, value_or_exit
from mulberrycleat.router.app import Router
from mulberrycleat.settings import RouterSettings, read_fleet_key

__all__ = ["main"]


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False, path_type=Path))
def main(settings_file: Path) -> None:
    """Run the router of one host with the settings in SETTINGS_FILE.

    On SIGTERM the router reports that it is not ready, waits until the requests in flight have
    ended, settles them and exits.
    """
    settings = settings_or_exit(settings_file, RouterSettings)
    fleet_key = value_or_exit(settings_file, read_fleet_key(settings.fleet_key_file))

    async def run(stop: trio.Event) -> None:
        await Router(settings, fleet_key).run(stop)

    run_process(run, settings)


if __name__ == "__main__":
    main()
