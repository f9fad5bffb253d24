"""Publication of manifests: the same record is appended again until its verdict is known.

The verdict is read from the stream, so lost answers to appends do not matter.
"""

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

MAX_ATTEMPTS = 20
RETRY_EVERY_S = 0.3
MAX_NAMES_SHOWN = 5


class Published(NamedTuple):
    """Outcome of a publication.

    Attributes
    ----------
    id : str
        Id of the record; a retry of the publication uses the same id.
    verdict : Accepted or Refused
        Result for the record in the manifest stream.
    won : tuple of str
        If the record was refused, descriptions of the changes that took effect after its base
        version.
    """

    id: str
    verdict: Verdict
    won: tuple[str, ...] = ()


class _ManifestReader:
    """Reads the manifest stream and keeps a description of each accepted record."""

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._accepted: list[tuple[int, str]] = []
        self._fold = StreamFold(self._load, self._add_accepted)

    @property
    def state(self) -> ManifestState:
        """The active manifest as read so far."""
        return self._fold.state

    async def read(self) -> Result[StreamFold, PeerError]:
        """Read the rest of the stream."""
        return await read_fold(self._event_log, self._fold)

    def accepted_after(self, version: int) -> tuple[str, ...]:
        """Return descriptions of the records that took effect after `version`."""
        return tuple(text for at, text in self._accepted if at > version)

    async def _load(self, checkpoint: Checkpoint) -> Result[ManifestState, PeerError]:
        return await load_checkpoint(self._event_log, checkpoint)

    def _add_accepted(self, record: ManifestRecord, state: ManifestState) -> None:
        text = f"version {state.version} by {record.by}: {_summary(record)}"
        self._accepted.append((state.version, text))


async def current_state(event_log: EventLog) -> Result[ManifestState, PeerError]:
    """Return the active manifest according to the log."""
    reader = _ManifestReader(event_log)
    return (await reader.read()).map(lambda fold: fold.state)


async def publish_difference(
    event_log: EventLog,
    make_difference: Callable[[ManifestState], Difference],
    by: str,
    record_id: str,
    base: int | None = None,
) -> Result[Published, PeerError]:
    """Publish the difference that `make_difference` returns for the active manifest.

    Parameters
    ----------
    make_difference : callable
        Returns the changes to publish, given the active manifest.
    by : str
        Name of the operator who publishes.
    record_id : str
        Id of the record, created before the first attempt. A retry with the same id returns the
        verdict of the first attempt.
    base : int or None
        Version that the change builds on; by default the active one.
    """
    reader = _ManifestReader(event_log)
    outcome = await reader.read()
    if isinstance(outcome, Err):
        return outcome
    state = reader.state
    if record_id in state.verdicts:
        return Ok(Published(record_id, state.verdicts[record_id]))
    put, remove = make_difference(state)
    base_version = state.version if base is None else base
    return await _append(event_log, reader, Change(record_id, base_version, by, put, remove))


async def publish(event_log: EventLog, record: ManifestRecord) -> Result[Published, PeerError]:
    """Append `record` and return its verdict; safe to retry with the same record."""
    return await _append(event_log, _ManifestReader(event_log), record)


async def _append(
    event_log: EventLog, reader: _ManifestReader, record: ManifestRecord
) -> Result[Published, PeerError]:
    error = PeerError(Step.APPEND, STREAM, "appended, but the verdict could not be read")
    for _ in range(MAX_ATTEMPTS):
        outcome = await event_log.append(STREAM, (msgspec.to_builtins(record),))
        if isinstance(outcome, Err):
            error = outcome.err_value
        read = await reader.read()
        if isinstance(read, Ok) and record.id in reader.state.verdicts:
            return Ok(_published(reader, record))
        await trio.sleep(RETRY_EVERY_S)
    reason = f"{error.reason}; the record may still take effect, retry with --id {record.id}"
    return Err(PeerError(error.step, error.peer, reason))


def _published(reader: _ManifestReader, record: ManifestRecord) -> Published:
    verdict = reader.state.verdicts[record.id]
    won = reader.accepted_after(record.base) if isinstance(verdict, Refused) else ()
    return Published(record.id, verdict, won)


def describe(verdict: Verdict) -> str:
    """Return a verdict as text for the operator."""
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
            parts = [f"{section} {_item_names(items)}" for section, items in put.items()]
            parts += [f"without {section} {_join_names(keys)}" for section, keys in remove.items()]
            return "; ".join(parts) or "nothing changed"


def _item_names(items: list[dict]) -> str:
    return _join_names([str(i.get("name") or i.get("endpoint") or i.get("pool")) for i in items])


def _join_names(names: list[str]) -> str:
    more = f" and {len(names) - MAX_NAMES_SHOWN} more" if len(names) > MAX_NAMES_SHOWN else ""
    return ", ".join(names[:MAX_NAMES_SHOWN]) + more
