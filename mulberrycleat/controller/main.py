"""The command ``mulberrycleat-controller``, which keeps the state of one host."""

from __future__ import annotations

from pathlib import Path

import click
import trio

from mulberrycleat.controller.app import Controller
from mulberrycleat.core.process import run_process, settings_or_exit, value_or_exit
from mulberrycleat.settings import ControllerSettings, read_fleet_key

__all__ = ["main"]


@click.command()
@click.argument("settings_file", type=click.Path(dir_okay=False, path_type=Path))
def main(settings_file: Path) -> None:
    """Run the controller of one host with the settings in SETTINGS_FILE.

    It follows the platform's log and host list, holds this host's slices of budgets, and answers
    the routers of this host and its peers. On SIGTERM it settles its reservations and ends.
    """
    settings = settings_or_exit(settings_file, ControllerSettings)
    fleet_key = value_or_exit(settings_file, read_fleet_key(settings.fleet_key_file))

    async def run(stop: trio.Event) -> None:
        await Controller(settings, fleet_key).run(stop)

    run_process(run, settings)


if __name__ == "__main__":
    main()
