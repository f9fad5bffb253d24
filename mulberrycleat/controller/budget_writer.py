"""Writing of a holder's records to the ledger stream, one settlement at a time."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import msgspec
import trio
from result import Err

from mulberrycleat.budget import STREAM, Join, LedgerRecord, SliceManager
from mulberrycleat.budget.restore import LedgerReader
from mulberrycleat.controller.changes import Changes
from mulberrycleat.core import Holder
from mulberrycleat.eventlog import EventLog
from mulberrycleat.settings import ControllerSettings

__all__ = ["LedgerWriter"]

log = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 3.0
RETRY_EVERY_S = 0.2
CHECKPOINT_JITTER = 0.5


class LedgerWriter:
    """Write a holder's records to the ledger stream.

    Parameters
    ----------
    settings : ControllerSettings
        Times between settlements and between checkpoints.
    event_log : EventLog
        The platform's log.
    changes : Changes
        Notified when records of the ledger stream have been read.
    """

    def __init__(self, settings: ControllerSettings, event_log: EventLog, changes: Changes) -> None:
        self._settings = settings
        self._event_log = event_log
        self._changes = changes
        self._write_requested = trio.Event()
        self._writing = trio.Lock()

    def request_write(self) -> None:
        """Have the next settlement written at once instead of at its regular time."""
        self._write_requested.set()

    async def wait_until_due(self) -> None:
        """Wait until the next settlement is due or requested."""
        with trio.move_on_after(self._settings.settle_every_s):
            await self._write_requested.wait()
        self._write_requested = trio.Event()

    async def append(self, *records: LedgerRecord) -> bool:
        """Append records; return whether the log confirmed them."""
        match await self._event_log.append(STREAM, tuple(map(msgspec.to_builtins, records))):
            case Err(error):
                log.warning(
                    "append to the ledger failed", extra={"step": "append", "peer": error.peer}
                )
                return False
        return True

    async def join(self, manager: SliceManager, holder: Holder) -> None:
        """Open the holder's account in the ledger; retry until the ledger state includes it."""
        while manager.holder not in manager.ledger.holders:
            if await self.append(Join(manager.holder, holder.zone)):
                await self._wait(lambda: manager.holder in manager.ledger.holders)
            else:
                await trio.sleep(RETRY_EVERY_S)

    async def settle(self, manager: SliceManager) -> bool:
        """Write the holder's next settlement, if any; return whether its outcome is known.

        Waits for the ledger state to include it for up to ``CONFIRM_TIMEOUT_S`` seconds. Also
        returns True for a fenced holder, whose settlements the ledger ignores.
        """
        async with self._writing:
            record = manager.next_record()
            if record is None:
                return True
            if not await self.append(record):
                await trio.sleep(RETRY_EVERY_S)
            return await self._wait(lambda: manager.is_confirmed(record))

    async def write_checkpoints(self, reader: LedgerReader) -> None:
        """Write checkpoints until cancelled.

        A checkpoint is written when no host has written one for ``checkpoint_every_s`` seconds
        and a random addition of up to ``CHECKPOINT_JITTER`` times as much.
        """
        while True:
            seen = reader.checkpoints
            jitter = random.uniform(1.0, 1.0 + CHECKPOINT_JITTER)
            await trio.sleep(self._settings.checkpoint_every_s * jitter)
            if reader.complete and reader.checkpoints == seen:
                await self.append(reader.ledger.checkpoint(reader.next))

    async def _wait(self, condition: Callable[[], bool]) -> bool:
        return await self._changes.wait_until(condition, CONFIRM_TIMEOUT_S)
