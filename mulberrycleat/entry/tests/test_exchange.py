"""One exchange with an endpoint, on a host that stood still."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import trio

from mulberrycleat.entry.call import Progress
from mulberrycleat.entry.exchange import Broken, Exchange
from mulberrycleat.testing import fixture
from mulberrycleat.web import Responder

PAUSE_S = 0.5


class LateConnection:
    """Gives an event when the pause that is allowed has passed, as after a freeze of the host."""

    def __init__(self, on_time: int) -> None:
        self._on_time = on_time
        self._given = 0

    async def chunk(self) -> bytes:
        """Return the next event."""
        self._given += 1
        with trio.CancelScope(shield=True):
            await trio.sleep(0.01 if self._given <= self._on_time else 2 * PAUSE_S)
        return b"id: %d\ndata: x\n\n" % self._given


@fixture
def sent() -> list[dict[str, Any]]:
    return []


async def pass_events(on_time: int, sent: list[dict[str, Any]]) -> tuple[Any, Progress, Responder]:
    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    responder, progress = Responder(send), Progress()
    call = SimpleNamespace(responder=responder, progress=progress)
    dialect = SimpleNamespace(answer_headers=lambda head: [])
    exchange = Exchange(dialect, None, lambda: None, lambda facts: None)
    first = trio.CancelScope(deadline=trio.current_time() + PAUSE_S)
    head, connection = SimpleNamespace(status=200), LateConnection(on_time)
    outcome = await exchange._pass_events(call, connection, head, first, PAUSE_S)
    return outcome, progress, responder


async def test_an_event_that_was_not_passed_on_does_not_count_as_passed_on(sent):
    outcome, progress, _ = await pass_events(3, sent)
    body = b"".join(message.get("body", b"") for message in sent)
    assert isinstance(outcome, Broken)
    assert body.count(b"id: ") == progress.delivered_events == progress.last_event_id == 3


async def test_an_answer_that_was_not_begun_does_not_count_as_begun(sent):
    outcome, progress, responder = await pass_events(0, sent)
    assert isinstance(outcome, Broken)
    assert not sent
    assert not responder.started
    assert progress.last_event_id is None
