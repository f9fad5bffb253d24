"""Controller of the manifest: follows its stream and keeps the version in force."""

from __future__ import annotations

import logging

import msgspec
import trio

from mulberrycleat.controller.changes import Changes
from mulberrycleat.eventlog import EventLog, Page, follow
from mulberrycleat.manifest import STREAM, ManifestState, Publish

__all__ = ["ManifestController"]

log = logging.getLogger(__name__)


class ManifestController:
    """Keep the manifest in force.

    Parameters
    ----------
    event_log : EventLog
        The platform's log.
    changes : Changes
        Notified when another version takes effect.
    """

    def __init__(self, event_log: EventLog, changes: Changes) -> None:
        self._event_log = event_log
        self._changes = changes
        self._state = ManifestState()
        self._encoded = b"{}"

    @property
    def state(self) -> ManifestState:
        """The fold of the stream."""
        return self._state

    @property
    def encoded(self) -> bytes:
        """The manifest in force as JSON."""
        return self._encoded

    async def run(self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream for ever."""
        await follow(self._event_log, STREAM, self._on_page, task_status=task_status)

    async def _on_page(self, page: Page) -> None:
        before = self._state.version
        for entry in page.entries:
            try:
                record = msgspec.convert(entry.data, Publish)
            except msgspec.ValidationError as error:
                log.warning("record passed over", extra={"offset": entry.offset, "why": str(error)})
                continue
            self._state = self._state.apply(record)
        if self._state.version != before:
            self._encoded = msgspec.json.encode(self._state.content)
            log.info("manifest in force", extra={"version": self._state.version})
            self._changes.notify()
