"""Errors in the arguments of a command that only show once the log has been read."""

from __future__ import annotations

import contextlib
import io
from types import SimpleNamespace

import trio

from mulberrycleat.cli.session import EXIT_BAD_INPUT, BadInputError, Session


def run_failing(operation) -> tuple[int, str]:
    """Return the exit code and the error output of a session that runs `operation`."""
    session = Session.__new__(Session)
    session._settings = SimpleNamespace(platform=SimpleNamespace(log="127.0.0.1:1"))
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            session.run(operation)
    except SystemExit as ended:
        return ended.code, errors.getvalue()
    raise AssertionError("the session did not end the process")


def test_bad_input_ends_the_command_with_one_line_and_its_exit_code():
    async def refuse(event_log) -> None:
        raise BadInputError("version 7 is not in the log")

    async def refuse_in_nursery(event_log) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(refuse, event_log)

    for operation in (refuse, refuse_in_nursery):
        assert run_failing(operation) == (EXIT_BAD_INPUT, "version 7 is not in the log\n")
