"""Fold of the manifest stream: which of the published manifests is in force."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import islice
from typing import Any

import msgspec
from result import Err, Ok, Result

from mulberrycleat.manifest.check import check_change, check_manifest
from mulberrycleat.manifest.model import Manifest
from mulberrycleat.manifest.sections import Sections, empty_sections, merge, split
from mulberrycleat.settings import Fault

__all__ = [
    "STREAM",
    "Accepted",
    "Change",
    "ManifestRecord",
    "ManifestState",
    "Publish",
    "Refused",
    "Verdict",
]

STREAM = "manifest"
VERDICTS_KEPT = 512


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """A whole manifest offered to the fleet.

    Attributes
    ----------
    id : str
        Made by the publisher before the first try; a repeat changes nothing.
    base : int
        The version that it builds on.
    by : str
        Who publishes, for the other operator's error.
    content : object
        The manifest as plain data.
    """

    id: str
    base: int
    by: str
    content: dict[str, Any]


class Change(msgspec.Struct, frozen=True, tag="change"):
    """What is to change in the manifest in force.

    Attributes
    ----------
    id, base, by
        As in :class:`Publish`.
    put : dict
        New and changed items as plain data, by section.
    remove : dict
        Keys of items to take away, by section.
    """

    id: str
    base: int
    by: str
    put: dict[str, list[dict[str, Any]]] = {}
    remove: dict[str, list[str]] = {}


ManifestRecord = Publish | Change


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The manifest took effect as `version`."""

    version: int


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The manifest did not take effect.

    Attributes
    ----------
    reason : str
        Why.
    version : int
        The version in force instead.
    by : str
        Who published that version.
    """

    reason: str
    version: int
    by: str


Verdict = Accepted | Refused


@dataclass(frozen=True, slots=True)
class ManifestState:
    """The manifest in force and the newest verdicts on what was published.

    A record with a base below the version in force is refused whatever its verdict was, and the
    version never falls; so a verdict on a record whose base is at or below the version may be
    forgotten without any repeat taking effect. The ids of records whose base was above it stay in
    `early` until the version has passed their base.

    Attributes
    ----------
    sections : mapping
        Items of the manifest by section and key.
    verdicts : dict
        Verdicts by record id, the last ``VERDICTS_KEPT`` of them.
    early : dict
        Bases by id of the records that named a base above the version in force.

    Examples
    --------
    >>> state = ManifestState().apply(Publish("p1", 0, "ann", {}))
    >>> state.version, state.verdicts["p1"]
    (1, Accepted(version=1))
    >>> state.apply(Publish("p2", 0, "bo", {})).verdicts["p2"].by
    'ann'
    """

    version: int = 0
    by: str = ""
    sections: Sections = field(default_factory=empty_sections)
    manifest: Manifest = field(default_factory=Manifest)
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    early: dict[str, int] = field(default_factory=dict)

    @property
    def content(self) -> dict[str, Any]:
        """The manifest in force as plain data."""
        return msgspec.to_builtins(self.manifest)

    def apply(self, record: ManifestRecord) -> ManifestState:
        """Return the state after `record`. The first with the right base wins."""
        if record.id in self.verdicts or record.id in self.early:
            return self
        if record.base != self.version:
            reason = f"built on version {record.base}, but version {self.version} is in force"
            return self._refused(record, reason)
        match self._sections_after(record):
            case Err(faults):
                return self._refused(record, "; ".join(str(fault) for fault in faults))
            case Ok(sections):
                return self._accepted(record, sections)

    def _sections_after(self, record: ManifestRecord) -> Result[Sections, list[Fault]]:
        match record:
            case Publish():
                return check_manifest(record.content).map(split)
            case Change():
                return check_change(self.sections, record.put, record.remove)

    def _accepted(self, record: ManifestRecord, sections: Sections) -> ManifestState:
        version = self.version + 1
        return replace(
            self,
            version=version,
            by=record.by,
            sections=sections,
            manifest=merge(self.manifest, self.sections, sections, _changed_keys(record)),
            verdicts=_bounded(self.verdicts, record.id, Accepted(version)),
            early={key: base for key, base in self.early.items() if base >= version},
        )

    def _refused(self, record: ManifestRecord, reason: str) -> ManifestState:
        verdict = Refused(reason, self.version, self.by)
        early = self.early
        if record.base > self.version:
            early = {**early, record.id: record.base}
        return replace(self, verdicts=_bounded(self.verdicts, record.id, verdict), early=early)


def _changed_keys(record: ManifestRecord) -> list[str] | None:
    """Return the hashes of the callers' keys that a change names; None for a whole manifest."""
    match record:
        case Publish():
            return None
        case Change():
            put = [key["sha256"] for key in record.put.get("keys", ())]
            return [*put, *record.remove.get("keys", ())]


def _bounded(verdicts: dict[str, Verdict], key: str, verdict: Verdict) -> dict[str, Verdict]:
    surplus = len(verdicts) + 1 - VERDICTS_KEPT
    kept = dict(islice(verdicts.items(), max(0, surplus), None))
    kept[key] = verdict
    return kept
