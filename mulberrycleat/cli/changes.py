"""Publishing: from a wanted manifest to a verdict, whatever answers are lost."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step
from mulberrycleat.eventlog import EventLog
from mulberrycleat.manifest import (
    STREAM,
    Accepted,
    Change,
    Checkpoint,
    ManifestRecord,
    ManifestState,
    Publish,
    Refused,
    StreamFold,
    Verdict,
    load_checkpoint,
    read_fold,
)
from mulberrycleat.manifest.sections import Difference

__all__ = ["Published", "current_state", "describe", "publish", "publish_difference"]

TRIES = 20
RETRY_EVERY_S = 0.3
NAMES_SHOWN = 5


class Published(NamedTuple):
    """The outcome of a publication.

    Attributes
    ----------
    id : str
        Id of the record, to repeat the publication with.
    won : tuple of str
        Of a refused one, what took effect after the version that it builds on.
    """

    id: str
    verdict: Verdict
    won: tuple[str, ...] = ()


class _Reader:
    """The manifest stream as the command line reads it."""

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._accepted: list[tuple[int, str]] = []
        self._fold = StreamFold(self._load, self._note)

    @property
    def state(self) -> ManifestState:
        """The manifest in force."""
        return self._fold.state

    async def read(self) -> Result[StreamFold, PeerError]:
        """Read on to the end of the stream."""
        return await read_fold(self._event_log, self._fold)

    def accepted_after(self, version: int) -> tuple[str, ...]:
        """Return what took effect after `version`, one sentence each."""
        return tuple(text for at, text in self._accepted if at > version)

    async def _load(self, checkpoint: Checkpoint) -> Result[ManifestState, PeerError]:
        return await load_checkpoint(self._event_log, checkpoint)

    def _note(self, record: ManifestRecord, state: ManifestState) -> None:
        what = f"version {state.version} by {record.by}: {_summary(record)}"
        self._accepted.append((state.version, what))


async def current_state(event_log: EventLog) -> Result[ManifestState, PeerError]:
    """Return the manifest in force according to the log."""
    reader = _Reader(event_log)
    return (await reader.read()).map(lambda fold: fold.state)


async def publish_difference(
    event_log: EventLog,
    make: Callable[[ManifestState], Difference],
    by: str,
    record_id: str,
    base: int | None = None,
) -> Result[Published, PeerError]:
    """Publish what `make` returns for the manifest in force.

    Parameters
    ----------
    record_id : str
        Made before the first try. A repeat with it returns the verdict of the first.
    base : int or None
        Version that the change builds on; by default the one in force.
    """
    reader = _Reader(event_log)
    outcome = await reader.read()
    if isinstance(outcome, Err):
        return outcome
    state = reader.state
    if record_id in state.verdicts:
        return Ok(Published(record_id, state.verdicts[record_id]))
    put, remove = make(state)
    built_on = state.version if base is None else base
    return await _append(event_log, reader, Change(record_id, built_on, by, put, remove))


async def publish(event_log: EventLog, record: ManifestRecord) -> Result[Published, PeerError]:
    """Publish a record as it is; safe to repeat with the same record."""
    return await _append(event_log, _Reader(event_log), record)


async def _append(
    event_log: EventLog, reader: _Reader, record: ManifestRecord
) -> Result[Published, PeerError]:
    error = PeerError(Step.APPEND, STREAM, "not tried")
    for _ in range(TRIES):
        outcome = await event_log.append(STREAM, (msgspec.to_builtins(record),))
        if isinstance(outcome, Err):
            error = outcome.err_value
        read = await reader.read()
        if isinstance(read, Ok) and record.id in reader.state.verdicts:
            return Ok(_published(reader, record))
        await trio.sleep(RETRY_EVERY_S)
    reason = f"{error.reason}; it may take effect yet, repeat with --id {record.id}"
    return Err(PeerError(error.step, error.peer, reason))


def _published(reader: _Reader, record: ManifestRecord) -> Published:
    verdict = reader.state.verdicts[record.id]
    won = reader.accepted_after(record.base) if isinstance(verdict, Refused) else ()
    return Published(record.id, verdict, won)


def describe(verdict: Verdict) -> str:
    """Return a verdict as a sentence."""
    match verdict:
        case Accepted(version):
            return f"accepted as version {version}"
        case Refused(reason, version, by):
            return f"refused: {reason} (version {version} by {by or 'nobody'})"


def _summary(record: ManifestRecord) -> str:
    match record:
        case Publish():
            return "a whole manifest"
        case Change(put=put, remove=remove):
            parts = [f"{section} {_names(items)}" for section, items in put.items()]
            parts += [f"without {section} {_short(keys)}" for section, keys in remove.items()]
            return "; ".join(parts) or "nothing changed"


def _names(items: list[dict]) -> str:
    return _short([str(i.get("name") or i.get("endpoint") or i.get("pool")) for i in items])


def _short(names: list[str]) -> str:
    more = f" and {len(names) - NAMES_SHOWN} more" if len(names) > NAMES_SHOWN else ""
    return ", ".join(names[:NAMES_SHOWN]) + more
