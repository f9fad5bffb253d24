"""Logging setup: one JSON object per line, or plain text."""

from __future__ import annotations

import logging
import sys
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from pathlib import Path
from typing import TYPE_CHECKING

from pythonjsonlogger.json import JsonFormatter

if TYPE_CHECKING:
    from mulberrycleat.settings.model import LogSettings

__all__ = ["add_log_fields", "configure_logging", "exception_origin", "log_fields"]

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_fields: ContextVar[dict[str, str] | None] = ContextVar("log_fields", default=None)


@contextmanager
def log_fields(**fields: str) -> Iterator[None]:
    """Add fields to every log record of this task and its child tasks inside the block.

    Inside a nested block, only the fields of the nested block are added.
    """
    token = _fields.set(dict(fields))
    try:
        yield
    finally:
        _fields.reset(token)


def add_log_fields(**fields: str) -> None:
    """Add fields to the innermost :func:`log_fields` block; outside of a block, do nothing.

    >>> with log_fields(request="r1"):
    ...     add_log_fields(account="huts")
    ...     sorted(_fields.get())
    ['account', 'request']
    """
    current = _fields.get()
    if current is not None:
        current.update(fields)


def exception_origin(error: BaseException) -> str:
    """Return the type and location of an exception.

    The message is left out, because it may contain a caller's text or key.


    >>> try:
    ...     int("a secret")
    ... except ValueError as error:
    ...     exception_origin(error).partition(" ")[0]
    'ValueError'
    """
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)
    location = (
        f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else "unknown location"
    )
    return f"{type(error).__name__} at {location}"


class ContextFilter(logging.Filter):
    """Adds the fields of :func:`log_fields` to log records that lack them."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields to `record` and let every record pass."""
        for name, value in (_fields.get() or {}).items():
            if not hasattr(record, name):
                setattr(record, name, value)
        return True


def configure_logging(settings: LogSettings, **static_fields: str) -> None:
    """Send log records to standard error.

    Parameters
    ----------
    settings : LogSettings
        Log level and format.
    **static_fields
        Fields added to every record, such as ``host`` and ``zone``.
    """
    handler = logging.StreamHandler(sys.stderr)
    if settings.format == "json":
        handler.setFormatter(
            JsonFormatter(
                "%(levelname)s %(name)s %(message)s",
                timestamp=True,
                static_fields=static_fields,
                rename_fields={"levelname": "level", "name": "logger"},
            )
        )
    else:
        handler.setFormatter(logging.Formatter(_TEXT_FORMAT))
    handler.addFilter(ContextFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
    for verbose_logger in ("httpcore", "hpack", "grpclib", "asyncio"):
        logging.getLogger(verbose_logger).setLevel(logging.WARNING)
