"""Messages to the server and cancellation."""

from __future__ import annotations

import trio

from mulberrycleat.web import Responder


async def test_a_message_that_has_begun_is_not_cut_off():
    passed = []

    async def slow_send(message):
        await trio.sleep(1.0)
        passed.append(message["type"])

    responder = Responder(slow_send)
    with trio.move_on_after(0.5):
        await responder.start(200, ())
        await responder.write(b"never begun")
    assert passed == ["http.response.start"]
    assert responder.started
