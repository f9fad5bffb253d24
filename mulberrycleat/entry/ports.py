"""Connections of an entry host to the outside."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mulberrycleat.entry.datagrams import DatagramPort, bind_datagrams
from mulberrycleat.entry.paths import Connect
from mulberrycleat.web import BaseHttpClient, HttpClient, serve_app
from mulberrycleat.web.tunnel import serve_pipes
from mulberrycleat.web.upstream import open_pipe

__all__ = ["EntryPorts"]

# Longest wait for a connection to another host, and for sent data to be acknowledged, in seconds.
PEER_CONNECTION_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Connections of the process to the outside; tests replace them.

    Attributes
    ----------
    peer_http : BaseHttpClient
        HTTP client for calls to other hosts.
    connect, connect_host : callable
        Open a connection to an endpoint, and to the address of another host's tunnels.
    serve_pipes : callable
        Serves the connections of other hosts to this host's tunnels; takes the arguments of
        :func:`~mulberrycleat.web.tunnel.serve_pipes`.
    serve_http : callable
        Serves an ASGI application; takes the arguments of :func:`~mulberrycleat.web.serve_app`.
    bind_datagrams : callable
        Opens the UDP port at an address for datagrams of other hosts.
    wall : callable
        Returns the time of day, in seconds.
    """

    peer_http: BaseHttpClient = field(
        default_factory=lambda: HttpClient(
            PEER_CONNECTION_TIMEOUT_S, unacknowledged_timeout_s=PEER_CONNECTION_TIMEOUT_S
        )
    )
    connect: Connect = open_pipe
    connect_host: Connect = open_pipe
    serve_pipes: Callable[..., Awaitable[None]] = serve_pipes
    serve_http: Callable[..., Awaitable[None]] = serve_app
    bind_datagrams: Callable[[str], DatagramPort] = bind_datagrams
    wall: Callable[[], float] = time.time
