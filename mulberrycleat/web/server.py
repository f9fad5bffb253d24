"""Serving of an ASGI application by hypercorn under trio."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

__all__ = ["serve_app", "stop_on_signal"]

log = logging.getLogger(__name__)

_KEEP_ALIVE_S = 30.0


async def serve_app(
    app: Any,
    address: str,
    stop: trio.Event,
    drain_timeout_s: float = 5.0,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` at ``ip:port`` until `stop` is set and the answers in flight have ended.

    Parameters
    ----------
    drain_timeout_s : float
        Longest wait for answers in flight after `stop`, in seconds.
    """
    config = Config()
    config.bind = [address]
    config.graceful_timeout = drain_timeout_s
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.errorlog = logging.getLogger("hypercorn.error")
    config.errorlog.setLevel(logging.WARNING)
    config.include_server_header = False
    await serve(app, config, shutdown_trigger=stop.wait, task_status=task_status)


async def stop_on_signal(on_stop: Callable[[], None], task_status: Any = None) -> None:
    """Call `on_stop` at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        if task_status is not None:
            task_status.started()
        async for number in signals:
            log.info("stop signal", extra={"signal": signal.Signals(number).name})
            on_stop()
            return
