"""HTTP servers for callers and peers, and HTTP clients for endpoints, peers and the platform."""

from mulberrycleat.web.asgi import App, Reply, Request, Responder, Route, json_reply
from mulberrycleat.web.client import (
    HTTPCORE_ERRORS,
    BaseHttpClient,
    HttpAnswer,
    HttpClient,
    StreamedAnswer,
    peer_error,
)
from mulberrycleat.web.server import serve_app, stop_on_signal

__all__ = [
    "HTTPCORE_ERRORS",
    "App",
    "BaseHttpClient",
    "HttpAnswer",
    "HttpClient",
    "Reply",
    "Request",
    "Responder",
    "Route",
    "StreamedAnswer",
    "json_reply",
    "peer_error",
    "serve_app",
    "stop_on_signal",
]
