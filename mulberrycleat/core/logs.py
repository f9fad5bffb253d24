"""Set-up of logging: one JSON object a line, or plain text."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from mulberrycleat.settings.model import LogSettings

__all__ = ["configure_logging"]

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(settings: LogSettings, **fixed: str) -> None:
    """Send log records to standard error.

    Parameters
    ----------
    settings : LogSettings
        Level and format.
    **fixed
        Fields that every record carries, such as ``host`` and ``zone``.
    """
    handler = logging.StreamHandler(sys.stderr)
    if settings.format == "json":
        handler.setFormatter(
            JsonFormatter(
                "%(levelname)s %(name)s %(message)s",
                timestamp=True,
                static_fields=fixed,
                rename_fields={"levelname": "level", "name": "logger"},
            )
        )
    else:
        handler.setFormatter(logging.Formatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
    for noisy in ("httpcore", "hpack", "grpclib", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
