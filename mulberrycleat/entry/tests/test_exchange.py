"""Forwarding of events on a host that was frozen for longer than the time limits."""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace
from typing import Any

import trio

from mulberrycleat.entry.call import Progress
from mulberrycleat.entry.exchange import (
    Exchange,
    ExchangeHooks,
    ForwardedResponse,
    Outcome,
    _send_within,
)
from mulberrycleat.entry.silence import ReplacedError, Silence
from mulberrycleat.testing import fixture
from mulberrycleat.testing.held_memory import count_large_objects, no_collections
from mulberrycleat.web import Responder
from mulberrycleat.web.upstream import AnswerHead, ExchangeError

PAUSE_S, FREEZE_S = 0.5, 1.0
LARGE_BODY_BYTES = 1_000_000


class FrozenConnection:
    """Returns an event after a freeze of the host, and the end of the stream after that.

    The first `on_time` events come before the freeze.
    """

    def __init__(self, on_time: int) -> None:
        self._on_time = on_time
        self._returned = 0

    def has_data(self) -> bool:
        """Whether data has arrived; never seen, since the freeze ends within a read."""
        return False

    async def read_chunk(self) -> bytes:
        """Return the next event."""
        if self._returned > self._on_time:
            return b""
        self._returned += 1
        with trio.CancelScope(shield=True):
            await trio.sleep(0.01 if self._returned <= self._on_time else FREEZE_S)
        return b"id: %d\ndata: x\n\n" % self._returned


@fixture
def sent() -> list[dict[str, Any]]:
    return []


async def forward_events(
    on_time: int, sent: list[dict[str, Any]], deadline_s: float
) -> tuple[Outcome | None, Progress, Responder]:
    """Forward a stream; return its outcome, None if its deadline has passed."""

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    async def replace(why: str) -> Outcome | None:
        raise AssertionError(f"the endpoint is taken for silent: {why}")

    responder, progress = Responder(send), Progress()
    call = SimpleNamespace(responder=responder, progress=progress)
    codec = SimpleNamespace(answer_headers=lambda head: [])
    hooks = ExchangeHooks(
        lambda: None,
        lambda: None,
        lambda facts: None,
        lambda: None,
        lambda: None,
        trio.lowlevel.checkpoint,
        replace,
    )
    exchange = Exchange(codec, None, hooks)
    silence = Silence(PAUSE_S, replace)
    head = AnswerHead(200, [(b"transfer-encoding", b"chunked")])
    connection = FrozenConnection(on_time)
    outcome = None
    with trio.move_on_after(deadline_s):
        outcome = await exchange._forward_events(call, connection, head, silence, PAUSE_S)
    return outcome, progress, responder


async def test_an_event_is_not_counted_when_it_was_not_forwarded(sent):
    outcome, progress, _ = await forward_events(3, sent, PAUSE_S)
    body = b"".join(message.get("body", b"") for message in sent)
    assert outcome is None
    assert body.count(b"id: ") == progress.delivered_events == progress.last_event_id == 3


async def test_an_answer_is_not_started_when_its_first_event_is_late(sent):
    outcome, progress, responder = await forward_events(0, sent, PAUSE_S)
    assert outcome is None
    assert not sent
    assert not responder.started
    assert progress.last_event_id is None


async def test_an_event_that_arrives_in_a_freeze_of_the_host_is_forwarded(sent):
    outcome, progress, _ = await forward_events(3, sent, 10.0)
    body = b"".join(message.get("body", b"") for message in sent)
    assert outcome == ForwardedResponse(200)
    assert body.count(b"id: ") == progress.delivered_events == progress.last_event_id == 4


async def test_the_body_of_a_request_whose_send_fails_is_freed():
    """A list of errors in a frame of their tracebacks kept the body until a collection."""

    async def send(body: bytes) -> None:
        await trio.sleep(0.1)
        raise ExchangeError("send: reset")

    async def replace(why: str) -> Outcome | None:
        raise AssertionError(f"the endpoint is taken for silent: {why}")

    with no_collections():
        try:
            connection = FrozenConnection(0)
            await _send_within(
                Silence(1.0, replace), connection, partial(send, bytes(LARGE_BODY_BYTES))
            )
        except ExchangeError:
            pass
        assert count_large_objects(LARGE_BODY_BYTES) == 0


async def test_the_answer_of_another_endpoint_counts_though_the_send_to_the_first_one_fails():
    """The send fails because the connection is closed when the other endpoint takes over."""
    closed = trio.Event()
    answered = ForwardedResponse(200)

    async def send() -> None:
        await closed.wait()
        raise ExchangeError("send: closed on this side")

    async def replace(why: str) -> Outcome | None:
        silence.note_replaced()
        closed.set()
        await trio.sleep(0.1)
        return answered

    silence = Silence(0.5, replace)
    outcome = None
    try:
        await _send_within(silence, FrozenConnection(0), send)
    except ReplacedError as replaced:
        outcome = replaced.outcome
    assert outcome == answered
