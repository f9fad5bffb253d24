"""Common parts of all commands: settings, key, log, options, exit codes."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

import click
import trio_asyncio

from mulberrycleat.core.logs import configure_logging
from mulberrycleat.core.process import settings_or_exit, value_or_exit
from mulberrycleat.eventlog import HttpEventLog
from mulberrycleat.settings import OperatorSettings, read_fleet_key
from mulberrycleat.web import HttpClient

__all__ = [
    "EXIT_BAD_INPUT",
    "EXIT_NOT_CONFIRMED",
    "EXIT_REFUSED",
    "EXIT_UNAVAILABLE",
    "BadInputError",
    "Session",
    "fail",
    "json_option",
    "read_text",
    "settings_option",
    "timeout_option",
    "wait_option",
]

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3
EXIT_NOT_CONFIRMED = 4

settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="MULBERRYCLEAT_SETTINGS",
    default="operator.toml",
    show_default=True,
    help="Settings file of the operator, with the addresses of log, controllers and routers.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
wait_option = click.option(
    "--wait", is_flag=True, help="Wait until every host has activated the version."
)
timeout_option = click.option(
    "--timeout",
    "timeout_s",
    type=float,
    default=30.0,
    show_default=True,
    help="Maximum wait for the hosts, in seconds.",
)


class BadInputError(Exception):
    """The command's arguments don't fit the state of the log; it ends with ``EXIT_BAD_INPUT``."""


class Session:
    """One run of a command, with the operator's settings, the fleet key and the log.

    Faulty settings or an unreadable fleet key end the process with status 2.
    """

    def __init__(self, settings_file: Path) -> None:
        self._settings = settings_or_exit(settings_file, OperatorSettings)
        self._fleet_key = value_or_exit(
            settings_file, read_fleet_key(self._settings.fleet_key_file)
        )
        configure_logging(self._settings.log)

    @property
    def settings(self) -> OperatorSettings:
        """The operator's settings."""
        return self._settings

    @property
    def fleet_key(self) -> str:
        """Key for calls between the fleet's processes."""
        return self._fleet_key

    def run(self, operation: Callable[[HttpEventLog], Awaitable[Any]]) -> Any:
        """Run `operation` with the log in a new trio-asyncio loop and return its result.

        A :class:`BadInputError` ends the process with ``EXIT_BAD_INPUT``.
        """

        async def start() -> Any:
            client = HttpClient()
            try:
                return await operation(HttpEventLog(self._settings.platform, client))
            finally:
                await client.aclose()

        try:
            return trio_asyncio.run(start)
        except BaseExceptionGroup as group:
            error = _only_bad_input(group)
            if error is None:
                raise
            fail(EXIT_BAD_INPUT, str(error))
        except BadInputError as error:
            fail(EXIT_BAD_INPUT, str(error))


def _only_bad_input(group: BaseExceptionGroup) -> BadInputError | None:
    """Return the error if a group consists of one :class:`BadInputError`, however nested."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error if isinstance(error, BadInputError) else None


def read_text(file: Path) -> str:
    """Return the text of a file, or exit with ``EXIT_BAD_INPUT`` if it cannot be read."""
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(EXIT_BAD_INPUT, f"{file}: {error}")


def fail(code: int, reason: str) -> NoReturn:
    """Print `reason` to standard error and exit with `code`."""
    click.echo(reason, err=True)
    sys.exit(code)
