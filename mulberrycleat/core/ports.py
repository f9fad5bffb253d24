"""Interfaces of a process to its environment: clients, servers and the wall clock.

The defaults use real sockets and the system clock. Tests pass replacements that simulate the
network, so that all processes of a fleet run in one event loop.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mulberrycleat.rpc import RpcClient, serve_rpc
from mulberrycleat.web import BaseHttpClient, HttpClient, serve_app

__all__ = ["Ports"]


@dataclass(frozen=True, slots=True)
class Ports:
    """Clients, servers and the wall clock that a process uses.

    Attributes
    ----------
    http : BaseHttpClient
        HTTP client for requests to endpoints and the platform.
    connect_rpc : callable
        Creates the client of one controller from its ``ip:port`` and the fleet key.
    serve_http : callable
        Takes the arguments of :func:`~mulberrycleat.web.serve_app`.
    serve_rpc : callable
        Takes the arguments of :func:`~mulberrycleat.rpc.serve_rpc`.
    now : callable
        Returns Unix time in seconds. Durations are measured with ``trio.current_time`` instead.
    """

    http: BaseHttpClient = field(default_factory=HttpClient)
    connect_rpc: Callable[[str, str], RpcClient] = RpcClient
    serve_http: Callable[..., Awaitable[None]] = serve_app
    serve_rpc: Callable[..., Awaitable[None]] = serve_rpc
    now: Callable[[], float] = time.time
