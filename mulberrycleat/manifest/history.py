"""Folding of the manifest stream into a state, and checkpoints that replace expired records."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result

from mulberrycleat.core import PeerError, Step, new_id
from mulberrycleat.eventlog import Entry, EventLog, Page
from mulberrycleat.manifest.checkpoint import (
    PARTS_STREAM,
    Checkpoint,
    Part,
    digest_of,
    parts_of,
    snapshot_of,
    state_of,
)
from mulberrycleat.manifest.fold import STREAM, ManifestRecord, ManifestState
from mulberrycleat.manifest.model import Endpoint, Pool

__all__ = [
    "HistoricalItems",
    "StreamFold",
    "load_checkpoint",
    "read_fold",
    "read_historical_items",
    "state_at",
    "write_checkpoint",
]

log = logging.getLogger(__name__)

APPEND_ATTEMPTS = 5


class HistoricalItems(NamedTuple):
    """Endpoints and pools by name, including those no longer in the manifest."""

    endpoints: dict[str, Endpoint]
    pools: dict[str, Pool]


Load = Callable[[Checkpoint], Awaitable[Result[ManifestState, PeerError]]]
OnAccept = Callable[[ManifestRecord, ManifestState], None]


def _ignore(record: ManifestRecord, state: ManifestState) -> None:
    pass


class StreamFold:
    """Fold of the manifest stream, applied page by page.

    At the start, and after records expired before they were read, the fold reads to the end of the
    stream and continues from a checkpoint. Without a checkpoint it continues only if no record has
    expired. The version never decreases: a checkpoint below the active version is ignored.

    Parameters
    ----------
    load : callable
        Loads the state of a checkpoint.
    on_accept : callable
        Called with each record that took effect and the state after it.
    from_oldest : bool
        Whether to continue from the oldest usable checkpoint instead of the newest.
    """

    def __init__(
        self, load: Load, on_accept: OnAccept = _ignore, from_oldest: bool = False
    ) -> None:
        self._load = load
        self._on_accept = on_accept
        self._from_oldest = from_oldest
        self._state = ManifestState()
        self._next = 0
        self._complete = False
        self._pending: list[Entry] = []
        self._checkpoint: tuple[float, Checkpoint] | None = None

    @property
    def state(self) -> ManifestState:
        """The active state."""
        return self._state

    @property
    def next(self) -> int:
        """Offset of the first record that the state does not contain."""
        return self._next

    @property
    def complete(self) -> bool:
        """Whether the state contains every record below ``next``."""
        return self._complete

    @property
    def checkpoint(self) -> tuple[float, Checkpoint] | None:
        """Time (Unix seconds) at which the newest checkpoint was written, and the checkpoint."""
        return self._checkpoint

    def adopt(self, state: ManifestState, offset: int) -> bool:
        """Replace the state by that of a peer, folded from all records below `offset`, if newer.

        Return whether the state was replaced.
        """
        if offset <= self._next and self._complete or state.version < self._state.version:
            return False
        self._state, self._next, self._complete = state, offset, True
        self._pending = [entry for entry in self._pending if entry.offset >= offset]
        self._apply_pending()
        return True

    async def apply_page(self, page: Page) -> None:
        """Fold the next page; entries that the state already contains are ignored."""
        if page.earliest > self._next and self._complete:
            log.warning(
                "records expired before they were read",
                extra={"from": self._next, "to": page.earliest},
            )
            self._complete = False
        unread = [entry for entry in page.entries if entry.offset >= self._next]
        self._pending.extend(unread)
        self._next = max(self._next, page.next)
        if not self._complete and page.next >= page.end:
            await self._resume_from_checkpoint(page.earliest)
        if self._complete:
            self._apply_pending()

    async def _resume_from_checkpoint(self, earliest: int) -> None:
        found = [
            record
            for record in map(_decode, self._pending)
            if isinstance(record, Checkpoint) and record.next >= earliest
        ]
        for checkpoint in found if self._from_oldest else reversed(found):
            match await self._load(checkpoint):
                case Ok(state):
                    self._continue_from(checkpoint, state)
                    return
                case Err(error):
                    log.warning("checkpoint could not be loaded", extra={"why": str(error)})
        self._complete = earliest == 0
        if not self._complete:
            log.error("no usable checkpoint in the log; waiting for a host to write one")

    def _continue_from(self, checkpoint: Checkpoint, state: ManifestState) -> None:
        if state.version >= self._state.version:
            self._state = state
        else:
            log.error(
                "checkpoint ignored: older than the active version",
                extra={"version": state.version},
            )
        self._pending = [e for e in self._pending if e.offset >= checkpoint.next]
        self._complete = True

    def _apply_pending(self) -> None:
        pending, self._pending = self._pending, []
        for entry in pending:
            match _decode(entry):
                case Checkpoint() as checkpoint:
                    self._checkpoint = (entry.at, checkpoint)
                case None:
                    pass
                case record:
                    self._apply(record)

    def _apply(self, record: ManifestRecord) -> None:
        after = self._state.apply(record)
        accepted = after.version != self._state.version
        self._state = after
        if accepted:
            self._on_accept(record, after)


async def load_checkpoint(
    event_log: EventLog, checkpoint: Checkpoint
) -> Result[ManifestState, PeerError]:
    """Read the parts of a checkpoint and return its state, or an error if any is missing."""
    parts: dict[int, Part] = {}
    offset = checkpoint.first
    while checkpoint.parts and offset <= checkpoint.last:
        match await event_log.read(PARTS_STREAM, offset):
            case Err(error):
                return Err(error)
            case Ok(page):
                for entry in page.entries:
                    part = _decode_part(entry)
                    if part is not None and part.checkpoint == checkpoint.id:
                        parts.setdefault(part.index, part)
                if page.next >= page.end:
                    break
                offset = page.next
    ordered = [parts[index] for index in sorted(parts)]
    if len(ordered) != checkpoint.parts or digest_of(ordered) != checkpoint.digest:
        return Err(
            PeerError(
                Step.READ, PARTS_STREAM, f"checkpoint {checkpoint.id} is incomplete or damaged"
            )
        )
    items = (item for part in ordered for item in part.items)
    return state_of(checkpoint.snapshot, items).map_err(
        lambda faults: PeerError(Step.READ, PARTS_STREAM, "; ".join(map(str, faults)))
    )


async def write_checkpoint(
    event_log: EventLog, state: ManifestState, offset: int
) -> Result[Checkpoint, PeerError]:
    """Write a checkpoint of `state`, which contains every record below `offset`."""
    checkpoint_id = new_id()
    parts = list(parts_of(state, checkpoint_id))
    offsets: list[int] = []
    for part in parts:
        match await _append_with_retries(event_log, PARTS_STREAM, part):
            case Ok(at):
                offsets.append(at)
            case Err(error):
                return Err(error)
    first, last = (offsets[0], offsets[-1]) if offsets else (0, 0)
    record = Checkpoint(
        checkpoint_id, offset, first, last, len(parts), digest_of(parts), snapshot_of(state)
    )
    outcome = await _append_with_retries(event_log, STREAM, record)
    return outcome.map(lambda _: record)


async def read_fold(event_log: EventLog, fold: StreamFold) -> Result[StreamFold, PeerError]:
    """Read the stream to its end into `fold`, or return an error if records are missing."""
    while True:
        match await event_log.read(STREAM, fold.next):
            case Err(error):
                return Err(error)
            case Ok(page):
                await fold.apply_page(page)
                if page.next >= page.end:
                    break
    if not fold.complete:
        reason = "records expired and no checkpoint is in the log"
        return Err(PeerError(Step.READ, STREAM, reason))
    return Ok(fold)


async def state_at(event_log: EventLog, version: int) -> Result[ManifestState | None, PeerError]:
    """Return the state of an earlier version, or None if the log no longer contains it."""
    found: dict[int, ManifestState] = {}

    def keep_if_match(record: ManifestRecord, state: ManifestState) -> None:
        if state.version == version:
            found[version] = state

    async def load(checkpoint: Checkpoint) -> Result[ManifestState, PeerError]:
        outcome = await load_checkpoint(event_log, checkpoint)
        if isinstance(outcome, Ok) and outcome.ok_value.version == version:
            found[version] = outcome.ok_value
        return outcome

    outcome = await read_fold(event_log, StreamFold(load, keep_if_match, from_oldest=True))
    return outcome.map(lambda _: found.get(version))


async def read_historical_items(event_log: EventLog) -> Result[HistoricalItems, PeerError]:
    """Return the endpoints and pools of all versions that the log still contains.

    If an item differs between versions, its newest form is returned.
    """
    endpoints: dict[str, Endpoint] = {}
    pools: dict[str, Pool] = {}

    def collect(state: ManifestState) -> None:
        endpoints.update(state.sections["endpoints"])
        pools.update(state.sections["pools"])

    async def load(checkpoint: Checkpoint) -> Result[ManifestState, PeerError]:
        outcome = await load_checkpoint(event_log, checkpoint)
        if isinstance(outcome, Ok):
            collect(outcome.ok_value)
        return outcome

    fold = StreamFold(load, lambda record, state: collect(state), from_oldest=True)
    outcome = await read_fold(event_log, fold)
    return outcome.map(lambda _: HistoricalItems(endpoints, pools))


async def _append_with_retries(
    event_log: EventLog, stream: str, record: Any
) -> Result[int, PeerError]:
    outcome: Result[int, PeerError] = Err(PeerError(Step.APPEND, stream, "not attempted"))
    for _ in range(APPEND_ATTEMPTS):
        outcome = await event_log.append(stream, (msgspec.to_builtins(record),))
        if isinstance(outcome, Ok):
            break
    return outcome


def _decode(entry: Entry) -> ManifestRecord | Checkpoint | None:
    try:
        return msgspec.convert(entry.data, ManifestRecord | Checkpoint)
    except msgspec.ValidationError as error:
        log.warning("invalid record ignored", extra={"offset": entry.offset, "why": str(error)})
        return None


def _decode_part(entry: Entry) -> Part | None:
    try:
        return msgspec.convert(entry.data, Part)
    except msgspec.ValidationError:
        return None
