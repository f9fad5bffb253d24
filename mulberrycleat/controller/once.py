"""Controller of non-idempotent requests: intents and outcomes over the log."""

from __future__ import annotations

import logging
from typing import Any

import msgspec
import trio
from result import Ok

from mulberrycleat.controller.changes import Changes
from mulberrycleat.controller.messages import (
    AbandonRequest,
    Ack,
    BeginReply,
    BeginRequest,
    FinishRequest,
    RecallRequest,
)
from mulberrycleat.core import Holder
from mulberrycleat.eventlog import EventLog, Page, follow
from mulberrycleat.once import STREAM, Abandon, Intent, OnceRecord, OnceState, Outcome

__all__ = ["OnceController"]

log = logging.getLogger(__name__)

BEGIN_TIMEOUT_S = 3.0
RETRY_EVERY_S = 0.2
OPEN_WAIT_S = 1.5


class OnceController:
    """Decide which host dispatches the request with a given key.

    Parameters
    ----------
    holder : Holder
        This incarnation of the host.
    event_log : EventLog
        The platform's log.
    """

    def __init__(self, holder: Holder, event_log: EventLog) -> None:
        self._holder = str(holder)
        self._event_log = event_log
        self._state = OnceState()
        self._changes = Changes()
        self._unwritten: list[OnceRecord] = []

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream and write what is still unwritten, for ever."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._follow)
            task_status.started()
            nursery.start_soon(self._write_regularly)

    async def recall(self, request: RecallRequest) -> BeginReply:
        """Return what is known of a key without claiming it."""
        known = self._known(request.key, request.digest)
        if known is not None and known.state == "open":
            await self._changes.wait_until(lambda: self._settled(request.key), OPEN_WAIT_S)
        return self._known(request.key, request.digest) or BeginReply("unknown")

    async def begin(self, request: BeginRequest) -> BeginReply:
        """Claim a key; only ``won`` allows the dispatch."""
        if known := self._known(request.key, request.digest, request.id):
            return known
        intent = Intent(request.id, request.key, request.digest, self._holder)
        with trio.move_on_after(BEGIN_TIMEOUT_S):
            while not self._state.seen(intent.id):
                await self._append_and_wait(intent)
        if not self._state.seen(intent.id):
            self._unwritten.append(Abandon(intent.id, intent.key))
            return BeginReply("unavailable")
        return self._known(request.key, request.digest, request.id) or BeginReply("unavailable")

    async def finish(self, request: FinishRequest) -> Ack:
        """Record an answer; it is written again until the log confirms it."""
        self._unwritten.append(
            Outcome(request.id, request.key, request.status, request.content_type, request.body)
        )
        await self.flush()
        return Ack()

    async def abandon(self, request: AbandonRequest) -> Ack:
        """Record that a claimed dispatch never happened."""
        self._unwritten.append(Abandon(request.id, request.key))
        await self.flush()
        return Ack()

    async def flush(self) -> bool:
        """Write what is unwritten; return whether all of it was confirmed."""
        records = tuple(self._unwritten)
        if not records:
            return True
        match await self._append(*records):
            case Ok(_):
                del self._unwritten[: len(records)]
                return True
            case _:
                return False

    async def _follow(self, task_status: trio.TaskStatus) -> None:
        await follow(self._event_log, STREAM, self._on_page, task_status=task_status)

    async def _on_page(self, page: Page) -> None:
        for entry in page.entries:
            try:
                self._state.apply(msgspec.convert(entry.data, OnceRecord))
            except msgspec.ValidationError as error:
                log.warning("record passed over", extra={"offset": entry.offset, "why": str(error)})
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

    def _settled(self, key: str) -> bool:
        found = self._state.find(key)
        return found is None or found.outcome is not None

    def _known(self, key: str, digest: str, intent_id: str = "") -> BeginReply | None:
        found = self._state.find(key)
        if found is None:
            return None
        if found.intent.digest != digest:
            return BeginReply("mismatch")
        if found.outcome is not None:
            outcome = found.outcome
            return BeginReply("done", outcome.status, outcome.content_type, outcome.body)
        return BeginReply("won" if found.intent.id == intent_id else "open")
