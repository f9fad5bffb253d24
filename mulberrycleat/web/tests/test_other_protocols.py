"""Callers that ask for another protocol than HTTP/1.1 on a connection, over real sockets.

Guards against protocols that the HTTP library would speak, and whose requests no bound counts.
"""

from __future__ import annotations

import trio

from mulberrycleat.web import Reply, Request, Responder, Route
from mulberrycleat.web.tests.test_bad_callers import exchange, head, run_with_app

# Longest wait for an answer in HTTP/1.1, in seconds.
PATIENCE_S = 2.0

UPGRADES = (
    ("connection: upgrade, http2-settings", "upgrade: h2c", "http2-settings: AAMAAABkAAQAAP__"),
    (
        "connection: Upgrade",
        "upgrade: websocket",
        "sec-websocket-key: dGhlIHNhbXBsZQ==",
        "sec-websocket-version: 13",
    ),
    ("connection: upgrade", "upgrade: tls/1.2"),
)


async def greet(request: Request, responder: Responder) -> Reply:
    return Reply(200, b"hello")


async def ask(address: str, request: bytes) -> bytes:
    """Return the begin of the answer, empty if none comes in HTTP/1.1."""
    with trio.move_on_after(PATIENCE_S):
        return await exchange(address, request)
    return b""


def test_a_connection_in_http2_is_refused():
    answers = []

    async def client(address: str) -> None:
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
        answers.append(await ask(address, preface))
        answers.append(await ask(address, head("GET", "/")))

    run_with_app((Route("GET", "/", greet),), client)
    assert answers[0].startswith(b"HTTP/1.1 505 ")
    assert b"connection: close" in answers[0].lower()
    assert answers[1].startswith(b"HTTP/1.1 200 ")


def test_an_upgrade_is_ignored():
    """HTTP lets a server answer in the protocol of the request."""
    answers = []

    async def client(address: str) -> None:
        for headers in UPGRADES:
            answers.append(await ask(address, head("GET", "/", *headers)))

    run_with_app((Route("GET", "/", greet),), client)
    assert all(answer.startswith(b"HTTP/1.1 200 ") for answer in answers), answers
