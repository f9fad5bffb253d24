"""Controller of idempotency keys: intents and outcomes of requests, recorded in the log."""

from __future__ import annotations

import logging
import math
import random
from typing import Any

import msgspec
import trio
from result import Ok

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.messages import (
    AbandonRequest,
    Ack,
    AnswerRequest,
    BeginReply,
    BeginRequest,
    FinishRequest,
    RecallRequest,
)
from mulberrycleat.core import Holder, new_id
from mulberrycleat.eventlog import EventLog, Page, follow
from mulberrycleat.once import (
    KEY_WINDOW_S,
    STREAM,
    Abandon,
    Answer,
    Checkpoint,
    Intent,
    OnceHistory,
    OnceRecord,
    OnceState,
    Outcome,
    checkpoint_parts,
)

__all__ = ["OnceController"]

log = logging.getLogger(__name__)

BEGIN_TIMEOUT_S = 3.0
RETRY_EVERY_S = 0.2
OPEN_WAIT_S = 1.5
FINISH_WAIT_S = 0.5
REFUSE_FOR_S = 2.0
CHECKPOINT_EVERY_S = 3600.0
CHECKPOINT_JITTER = 0.5
MAX_BODY_BYTES = 65_536
MAX_KEYS = 40_000
MAX_ANSWER_KEYS = 20_000
MAX_PENDING = 200


class OnceController:
    """Decide which host dispatches the request that has a given idempotency key.

    Parameters
    ----------
    holder : Holder
        This incarnation of the host.
    event_log : EventLog
        The platform's log.
    checkpoint_every_s : float
        Time between two checkpoints, in seconds; well below the log's retention.
    window_s : float
        How long keys are remembered, in seconds.
    """

    def __init__(
        self,
        holder: Holder,
        event_log: EventLog,
        checkpoint_every_s: float = CHECKPOINT_EVERY_S,
        window_s: float = KEY_WINDOW_S,
    ) -> None:
        self._holder = str(holder)
        self._event_log = event_log
        self._checkpoint_every_s = checkpoint_every_s
        self._checkpointed = trio.Event()
        self._history = OnceHistory(window_s)
        self._changes = Changes()
        self._pending: list[OnceRecord] = []
        self._writing = trio.Lock()
        self._refused_until = -math.inf

    @property
    def history(self) -> OnceHistory:
        """The state built from the stream, and its age."""
        return self._history

    @property
    def _state(self) -> OnceState:
        return self._history.state

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream and write pending records until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow)
            task_status.started()
            nursery.start_soon(self._write_regularly)
            nursery.start_soon(self._checkpoint_regularly)

    async def recall(self, request: RecallRequest) -> BeginReply:
        """Return the recorded state of a key without claiming it.

        Waits for the outcome of a dispatch that has begun, for up to ``OPEN_WAIT_S`` seconds.
        """
        if not self._history.complete:
            return BeginReply("unavailable")
        known = self._find_reply(request.key, request.digest)
        if known is not None and known.state == "open":
            await self._changes.wait_until(lambda: self._is_decided(request.key), OPEN_WAIT_S)
        return self._find_reply(request.key, request.digest) or BeginReply("unknown")

    async def begin(self, request: BeginRequest) -> BeginReply:
        """Claim a key; the caller may dispatch the request only if the reply's state is ``won``."""
        if not self._history.complete or len(self._state) >= MAX_KEYS:
            return BeginReply("unavailable")
        if trio.current_time() < self._refused_until:
            return BeginReply("unavailable")
        if known := self._find_reply(request.key, request.digest, request.id):
            return known
        intent = Intent(request.id, request.key, request.digest, self._holder)
        with trio.move_on_after(BEGIN_TIMEOUT_S):
            while not self._state.seen(intent.id):
                await self._append_and_wait(intent)
        if not self._state.seen(intent.id) or not self._history.complete:
            self._pending.append(Abandon(intent.id, intent.key))
            self._refused_until = trio.current_time() + REFUSE_FOR_S
            return BeginReply("unavailable")
        if known := self._find_reply(request.key, request.digest, request.id):
            return known
        too_old = self._state.has_invalid_time(request.key, self._history.last_at)
        return BeginReply("expired" if too_old else "unavailable")

    async def finish(self, request: FinishRequest) -> Ack:
        """Record an answer; the write is retried until the log confirms it.

        Waits for the log for at most ``FINISH_WAIT_S`` seconds: the caller waits for the reply.
        """
        kept = len(request.body) <= MAX_BODY_BYTES
        body = request.body if kept else b""
        status, content_type = request.status, request.content_type
        outcome = Outcome(request.id, request.key, status, content_type, body, kept)
        self._pending.append(outcome)
        with trio.move_on_after(FINISH_WAIT_S):
            await self.flush()
        return Ack()

    async def keep_answer(self, request: AnswerRequest) -> Ack:
        """Record the answer of an idempotent request with the next write.

        The answer is dropped while ``MAX_PENDING`` records or more wait to be written, or
        ``MAX_ANSWER_KEYS`` keys or more are known.
        """
        if len(self._pending) < MAX_PENDING and len(self._state) < MAX_ANSWER_KEYS:
            fields = msgspec.structs.asdict(request)
            self._pending.append(Answer(holder=self._holder, **fields))
        return Ack()

    async def abandon(self, request: AbandonRequest) -> Ack:
        """Record that a claimed request was never dispatched."""
        self._pending.append(Abandon(request.id, request.key))
        with trio.move_on_after(FINISH_WAIT_S):
            await self.flush()
        return Ack()

    async def flush(self) -> bool:
        """Write pending records; return whether the log confirmed all of them."""
        async with self._writing:
            records = tuple(self._pending)
            if not records:
                return True
            written = isinstance(await self._append(*records), Ok)
            if written:
                del self._pending[: len(records)]
            return written

    async def _follow(self, task_status: trio.TaskStatus) -> None:
        await follow(self._event_log, STREAM, self._on_page, task_status=task_status)

    async def _on_page(self, page: Page) -> None:
        self._history.check_page(page)
        for entry in page.entries:
            try:
                record = msgspec.convert(entry.data, OnceRecord)
            except msgspec.ValidationError as error:
                log.warning(
                    "invalid record of an idempotency key skipped",
                    extra={"offset": entry.offset, "why": str(error)},
                )
                continue
            self._history.apply(entry, record)
            if isinstance(record, Checkpoint):
                self._signal_checkpoint()
        if page.entries:
            self._changes.notify()

    async def _append_and_wait(self, intent: Intent) -> None:
        match await self._append(intent):
            case Ok(_):
                await self._changes.wait_until(lambda: self._state.seen(intent.id), BEGIN_TIMEOUT_S)
            case _:
                await trio.sleep(RETRY_EVERY_S)

    async def _append(self, *records: OnceRecord) -> Any:
        return await self._event_log.append(STREAM, tuple(map(msgspec.to_builtins, records)))

    async def _write_regularly(self) -> None:
        while True:
            await trio.sleep(RETRY_EVERY_S)
            await self.flush()

    async def _checkpoint_regularly(self) -> None:
        """Write a checkpoint when no host has written one for some time.

        A host whose history lacks the expired start of the stream writes a checkpoint only when no
        checkpoint has appeared for a whole window: then no other host knows more, and all earlier
        keys are past their window.
        """
        last = trio.current_time()
        while True:
            jitter = random.uniform(1, 1 + CHECKPOINT_JITTER)
            with trio.move_on_after(self._checkpoint_every_s * jitter):
                await self._checkpointed.wait()
                last = trio.current_time()
                continue
            no_other_writer = trio.current_time() - last > self._history.window_s
            if self._history.complete or no_other_writer:
                for part in checkpoint_parts(self._history, new_id()):
                    await self._append(part)

    def _signal_checkpoint(self) -> None:
        event, self._checkpointed = self._checkpointed, trio.Event()
        event.set()

    def _is_decided(self, key: str) -> bool:
        found = self._state.find(key)
        return found is None or found.outcome is not None

    def _find_reply(self, key: str, digest: str, intent_id: str = "") -> BeginReply | None:
        found = self._state.find(key)
        if found is None:
            return None
        if found.intent.digest != digest:
            return BeginReply("mismatch")
        if found.outcome is not None:
            outcome = found.outcome
            status, content_type = outcome.status, outcome.content_type
            return BeginReply("done", status, content_type, outcome.body, outcome.kept)
        return BeginReply("won" if found.intent.id == intent_id else "open")
