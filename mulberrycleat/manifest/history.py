"""From the pages of the manifest stream to a state: over expired records, never backwards."""

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
    "Retained",
    "StreamFold",
    "load_checkpoint",
    "read_fold",
    "retained",
    "state_at",
    "write_checkpoint",
]

log = logging.getLogger(__name__)

APPEND_TRIES = 5


class Retained(NamedTuple):
    """Endpoints and pools by name, those that have left the manifest included."""

    endpoints: dict[str, Endpoint]
    pools: dict[str, Pool]


Load = Callable[[Checkpoint], Awaitable[Result[ManifestState, PeerError]]]
OnAccept = Callable[[ManifestRecord, ManifestState], None]


def _ignore(record: ManifestRecord, state: ManifestState) -> None:
    pass


class StreamFold:
    """Fold pages of the manifest stream.

    At the start, and after records expired unread, the fold waits for the end of the stream and
    goes on from a checkpoint; without one it goes on only if nothing has expired. The version never
    falls: a checkpoint below the version in force is passed over.

    Parameters
    ----------
    load : callable
        Returns the state of a checkpoint.
    on_accept : callable
        Gets each record that took effect and the state after it.
    from_oldest : bool
        Whether to go on from the oldest usable checkpoint rather than the newest.
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
        """The state in force."""
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
        """The newest checkpoint and when it was written (Unix seconds)."""
        return self._checkpoint

    def adopt(self, state: ManifestState, offset: int) -> bool:
        """Take over the state that a peer folded from all records below `offset`, if newer."""
        if offset <= self._next and self._complete or state.version < self._state.version:
            return False
        self._state, self._next, self._complete = state, offset, True
        self._pending = [entry for entry in self._pending if entry.offset >= offset]
        self._apply_pending()
        return True

    async def take(self, page: Page) -> None:
        """Take in the next page; entries already contained are passed over."""
        if page.earliest > self._next and self._complete:
            log.warning("records expired unread", extra={"from": self._next, "to": page.earliest})
            self._complete = False
        fresh = [entry for entry in page.entries if entry.offset >= self._next]
        self._pending.extend(fresh)
        self._next = max(self._next, page.next)
        if not self._complete and page.next >= page.end:
            await self._resume(page.earliest)
        if self._complete:
            self._apply_pending()

    async def _resume(self, earliest: int) -> None:
        found = [
            record
            for record in map(_decoded, self._pending)
            if isinstance(record, Checkpoint) and record.next >= earliest
        ]
        for checkpoint in found if self._from_oldest else reversed(found):
            match await self._load(checkpoint):
                case Ok(state):
                    self._go_on(checkpoint, state)
                    return
                case Err(error):
                    log.warning("checkpoint passed over", extra={"why": str(error)})
        self._complete = earliest == 0
        if not self._complete:
            log.error("no checkpoint in the log; waiting for a host to write one")

    def _go_on(self, checkpoint: Checkpoint, state: ManifestState) -> None:
        if state.version >= self._state.version:
            self._state = state
        else:
            log.error("checkpoint is older", extra={"version": state.version})
        self._pending = [e for e in self._pending if e.offset >= checkpoint.next]
        self._complete = True

    def _apply_pending(self) -> None:
        pending, self._pending = self._pending, []
        for entry in pending:
            match _decoded(entry):
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
    """Read the parts of a checkpoint and return its state."""
    parts: dict[int, Part] = {}
    offset = checkpoint.first
    while checkpoint.parts and offset <= checkpoint.last:
        match await event_log.read(PARTS_STREAM, offset):
            case Err(error):
                return Err(error)
            case Ok(page):
                for entry in page.entries:
                    part = _part(entry)
                    if part is not None and part.checkpoint == checkpoint.id:
                        parts.setdefault(part.index, part)
                if page.next >= page.end:
                    break
                offset = page.next
    ordered = [parts[index] for index in sorted(parts)]
    if len(ordered) != checkpoint.parts or digest_of(ordered) != checkpoint.digest:
        return Err(PeerError(Step.READ, PARTS_STREAM, f"checkpoint {checkpoint.id} is not whole"))
    items = (item for part in ordered for item in part.items)
    return state_of(checkpoint.snapshot, items).map_err(
        lambda faults: PeerError(Step.READ, PARTS_STREAM, "; ".join(map(str, faults)))
    )


async def write_checkpoint(
    event_log: EventLog, state: ManifestState, offset: int
) -> Result[Checkpoint, PeerError]:
    """Write a state that contains every record below `offset`."""
    checkpoint_id = new_id()
    parts = list(parts_of(state, checkpoint_id))
    offsets: list[int] = []
    for part in parts:
        match await _append(event_log, PARTS_STREAM, part):
            case Ok(at):
                offsets.append(at)
            case Err(error):
                return Err(error)
    first, last = (offsets[0], offsets[-1]) if offsets else (0, 0)
    record = Checkpoint(
        checkpoint_id, offset, first, last, len(parts), digest_of(parts), snapshot_of(state)
    )
    outcome = await _append(event_log, STREAM, record)
    return outcome.map(lambda _: record)


async def read_fold(event_log: EventLog, fold: StreamFold) -> Result[StreamFold, PeerError]:
    """Read what the stream holds beyond `fold` into it."""
    while True:
        match await event_log.read(STREAM, fold.next):
            case Err(error):
                return Err(error)
            case Ok(page):
                await fold.take(page)
                if page.next >= page.end:
                    break
    if not fold.complete:
        reason = "records expired and no checkpoint is in the log"
        return Err(PeerError(Step.READ, STREAM, reason))
    return Ok(fold)


async def state_at(event_log: EventLog, version: int) -> Result[ManifestState | None, PeerError]:
    """Return the state as of an earlier version, or None when the log no longer holds it."""
    found: dict[int, ManifestState] = {}

    def note(record: ManifestRecord, state: ManifestState) -> None:
        if state.version == version:
            found[version] = state

    async def load(checkpoint: Checkpoint) -> Result[ManifestState, PeerError]:
        outcome = await load_checkpoint(event_log, checkpoint)
        if isinstance(outcome, Ok) and outcome.ok_value.version == version:
            found[version] = outcome.ok_value
        return outcome

    outcome = await read_fold(event_log, StreamFold(load, note, from_oldest=True))
    return outcome.map(lambda _: found.get(version))


async def retained(event_log: EventLog) -> Result[Retained, PeerError]:
    """Return the endpoints and pools of every version that the log still tells, newest last."""
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
    return outcome.map(lambda _: Retained(endpoints, pools))


async def _append(event_log: EventLog, stream: str, record: Any) -> Result[int, PeerError]:
    outcome: Result[int, PeerError] = Err(PeerError(Step.APPEND, stream, "not tried"))
    for _ in range(APPEND_TRIES):
        outcome = await event_log.append(stream, (msgspec.to_builtins(record),))
        if isinstance(outcome, Ok):
            break
    return outcome


def _decoded(entry: Entry) -> ManifestRecord | Checkpoint | None:
    try:
        return msgspec.convert(entry.data, ManifestRecord | Checkpoint)
    except msgspec.ValidationError as error:
        log.warning("record passed over", extra={"offset": entry.offset, "why": str(error)})
        return None


def _part(entry: Entry) -> Part | None:
    try:
        return msgspec.convert(entry.data, Part)
    except msgspec.ValidationError:
        return None
