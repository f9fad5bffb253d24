"""Serve an ASGI application with hypercorn under trio."""

from __future__ import annotations

import logging
import signal
import socket
from collections.abc import Callable
from typing import Any

import trio
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import wrap_app

from mulberrycleat.web.accept import accept_connections
from mulberrycleat.web.connections import CallerConnection, ServerConfig
from mulberrycleat.web.stream import DirectStream

__all__ = ["listen", "serve_app", "stop_on_signal"]

log = logging.getLogger(__name__)

# An idle connection is closed after this time, in seconds, unless `on_config` changes it.
_KEEP_ALIVE_S = 30.0
_SEND_TIMEOUT_S = 30.0
_BACKLOG = 1024


async def serve_app(
    app: Any,
    address: str,
    stop: trio.Event,
    drain_timeout_s: float = 5.0,
    send_timeout_s: float = _SEND_TIMEOUT_S,
    on_config: Callable[[ServerConfig], None] = lambda config: None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve `app` at ``ip:port`` until `stop` is set and the requests in flight have ended.

    Parameters
    ----------
    drain_timeout_s : float
        Longest wait for requests in flight after `stop` is set, in seconds.
    send_timeout_s : float
        A connection is closed after the other side accepts no data for this long, in seconds.
        Without this limit, a caller that does not read would keep a stream open, and the process
        running at its shutdown, for ever.
    on_config : callable
        Called with hypercorn's settings before the start. Later changes to these settings apply to
        new connections and to idle timeouts. They also hold the counts of the connections.
    """
    config = ServerConfig()
    config.graceful_timeout = drain_timeout_s
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.errorlog = logging.getLogger("hypercorn.error")
    config.errorlog.setLevel(logging.WARNING)
    config.include_server_header = False
    on_config(config)
    state: LifespanState = {}
    wrapped = wrap_app(app, config.wsgi_max_body_size, "asgi")
    lifespan = Lifespan(wrapped, config, state)
    with listen(address, send_timeout_s) as listener:
        async with trio.open_nursery() as nursery:
            await nursery.start(lifespan.handle_lifespan)
            await lifespan.wait_for_startup()
            task_status.started()
            await _serve_connections(wrapped, config, listener, stop, state)
            await lifespan.wait_for_shutdown()
            nursery.cancel_scope.cancel()


async def _serve_connections(
    app: AppWrapper,
    config: ServerConfig,
    listener: socket.socket,
    stop: trio.Event,
    state: LifespanState,
) -> None:
    """Serve until `stop` is set, then close the connections, within the graceful timeout.

    Hypercorn's ``terminated`` is never set: it would close a connection behind an answer, whatever
    has been received on it.
    """
    context = WorkerContext(None)
    open_connections: set[CallerConnection] = set()

    async def serve_connection(stream: DirectStream) -> None:
        config.counts.count_accepted()
        connection = CallerConnection(app, config, context, ConnectionState(state), stream)
        open_connections.add(connection)
        if stop.is_set():
            connection.stop()
        try:
            await connection.run()
        finally:
            open_connections.remove(connection)

    async with trio.open_nursery() as serving:
        with listener:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(accept_connections, listener, serve_connection, serving)
                await stop.wait()
                # From now on, hypercorn tells with each answer that it is the last on its
                # connection.
                config.keep_alive_max_requests = 0
                for connection in open_connections:
                    connection.stop()
                accepting.cancel_scope.cancel()
        serving.cancel_scope.deadline = trio.current_time() + config.graceful_timeout


def listen(address: str, send_timeout_s: float) -> socket.socket:
    """Return a listening socket whose connections inherit the send timeout (TCP_USER_TIMEOUT)."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        timeout_ms = round(send_timeout_s * 1000)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def stop_on_signal(on_stop: Callable[[], None], task_status: Any = None) -> None:
    """Wait for the first SIGTERM or SIGINT and call `on_stop`."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        if task_status is not None:
            task_status.started()
        async for number in signals:
            log.info("stop signal", extra={"signal": signal.Signals(number).name})
            on_stop()
            return
