"""Checkpoints: the state of the manifest in the log, so that older records may expire.

The items go in parts into a stream of their own, which only a starting host reads. A record in the
manifest stream tells where they are. Writing one twice is harmless.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any

import msgspec
from result import Err, Ok, Result

from mulberrycleat.manifest.check import check_items
from mulberrycleat.manifest.fold import ManifestState, Verdict
from mulberrycleat.manifest.sections import KINDS, merge, plain_items
from mulberrycleat.settings import Fault

__all__ = [
    "PARTS_STREAM",
    "Checkpoint",
    "Part",
    "Snapshot",
    "decode_snapshot",
    "digest_of",
    "encode_snapshot",
    "parts_of",
    "snapshot_of",
    "state_of",
]

PARTS_STREAM = "manifest-parts"
ITEMS_PER_PART = 500
VERDICTS_IN_SNAPSHOT = 64


class Snapshot(msgspec.Struct, frozen=True):
    """A state without its items.

    Attributes
    ----------
    verdicts : dict
        The newest verdicts, for publishers that still wait for theirs.
    early : dict
        As in :class:`~mulberrycleat.manifest.ManifestState`.
    """

    version: int
    by: str
    verdicts: dict[str, Verdict]
    early: dict[str, int]


class Part(msgspec.Struct, frozen=True, tag="part"):
    """Some items of a checkpoint: section and plain data of each."""

    checkpoint: str
    index: int
    items: list[tuple[str, dict[str, Any]]]


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Tells that the state after all records below offset `next` stands in the parts' stream.

    Attributes
    ----------
    id : str
        Made by the writer; the parts carry it too.
    next : int
        Offset of the first record of the manifest stream that the state does not contain.
    first, last : int
        Offsets between which the parts stand.
    parts : int
        Number of parts.
    digest : str
        SHA-256 of the items of all parts in order.
    """

    id: str
    next: int
    first: int
    last: int
    parts: int
    digest: str
    snapshot: Snapshot


def snapshot_of(state: ManifestState) -> Snapshot:
    """Return a state without its items."""
    surplus = max(0, len(state.verdicts) - VERDICTS_IN_SNAPSHOT)
    verdicts = dict(islice(state.verdicts.items(), surplus, None))
    return Snapshot(state.version, state.by, verdicts, state.early)


def parts_of(state: ManifestState, checkpoint_id: str) -> Iterator[Part]:
    """Yield the items of a state in parts."""
    items = plain_items(state.sections)
    index = 0
    while batch := list(islice(items, ITEMS_PER_PART)):
        yield Part(checkpoint_id, index, batch)
        index += 1


def digest_of(parts: Iterable[Part]) -> str:
    """Return the SHA-256 of the items of `parts`, in hexadecimal."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(msgspec.json.encode(part.items, order="sorted"))
    return digest.hexdigest()


def state_of(
    snapshot: Snapshot, items: Iterable[tuple[str, dict[str, Any]]]
) -> Result[ManifestState, list[Fault]]:
    """Return the state of a snapshot and its items, or every fault in them."""
    plain: dict[str, list[dict[str, Any]]] = {}
    for section, item in items:
        plain.setdefault(section, []).append(item)
    try:
        typed = {name: msgspec.convert(plain[name], list[KINDS[name]]) for name in plain}
    except (msgspec.ValidationError, KeyError) as error:
        return Err([Fault("items", str(error))])
    empty = ManifestState()
    match check_items(empty.sections, typed, {}, {}):
        case Err(faults):
            return Err(faults)
        case Ok(sections):
            manifest = merge(empty.manifest, empty.sections, sections)
    return Ok(
        ManifestState(
            version=snapshot.version,
            by=snapshot.by,
            sections=sections,
            manifest=manifest,
            verdicts=dict(snapshot.verdicts),
            early=dict(snapshot.early),
        )
    )


def encode_snapshot(state: ManifestState) -> bytes:
    """Return a state as MessagePack, for a process that starts from nothing."""
    return msgspec.msgpack.encode((snapshot_of(state), list(plain_items(state.sections))))


def decode_snapshot(data: bytes) -> Result[ManifestState, list[Fault]]:
    """Return the state that :func:`encode_snapshot` encoded.

    >>> decode_snapshot(encode_snapshot(ManifestState(version=3))).ok_value.version
    3
    """
    snapshot, items = msgspec.msgpack.decode(
        data, type=tuple[Snapshot, list[tuple[str, dict[str, Any]]]]
    )
    return state_of(snapshot, items)
