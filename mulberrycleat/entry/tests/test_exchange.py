"""Forwarding of events on a host that was frozen for longer than the allowed pause."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import trio

from mulberrycleat.entry.call import Progress
from mulberrycleat.entry.exchange import Exchange, ExchangeFailed
from mulberrycleat.testing import fixture
from mulberrycleat.web import Responder

PAUSE_S = 0.5


class LateConnection:
    """Returns an event after the allowed pause has expired, as after a freeze of the host.

    The first `on_time` events come in time.
    """

    def __init__(self, on_time: int) -> None:
        self._on_time = on_time
        self._returned = 0

    async def read_chunk(self) -> bytes:
        """Return the next event."""
        self._returned += 1
        with trio.CancelScope(shield=True):
            await trio.sleep(0.01 if self._returned <= self._on_time else 2 * PAUSE_S)
        return b"id: %d\ndata: x\n\n" % self._returned


@fixture
def sent() -> list[dict[str, Any]]:
    return []


async def forward_events(
    on_time: int, sent: list[dict[str, Any]]
) -> tuple[Any, Progress, Responder]:
    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    responder, progress = Responder(send), Progress()
    call = SimpleNamespace(responder=responder, progress=progress)
    codec = SimpleNamespace(answer_headers=lambda head: [])
    exchange = Exchange(
        codec, None, lambda: None, lambda facts: None, lambda: None, trio.lowlevel.checkpoint
    )
    first = trio.CancelScope(deadline=trio.current_time() + PAUSE_S)
    head, connection = SimpleNamespace(status=200), LateConnection(on_time)
    outcome = await exchange._forward_events(call, connection, head, first, PAUSE_S)
    return outcome, progress, responder


async def test_an_event_is_not_counted_when_it_was_not_forwarded(sent):
    outcome, progress, _ = await forward_events(3, sent)
    body = b"".join(message.get("body", b"") for message in sent)
    assert isinstance(outcome, ExchangeFailed)
    assert body.count(b"id: ") == progress.delivered_events == progress.last_event_id == 3


async def test_an_answer_is_not_started_when_its_first_event_is_late(sent):
    outcome, progress, responder = await forward_events(0, sent)
    assert isinstance(outcome, ExchangeFailed)
    assert not sent
    assert not responder.started
    assert progress.last_event_id is None
