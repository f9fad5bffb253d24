"""Fold of the manifest stream: which of the published manifests is in force."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
from result import Err, Ok

from mulberrycleat.manifest.check import check_manifest
from mulberrycleat.manifest.model import Manifest

__all__ = ["STREAM", "Accepted", "ManifestState", "Publish", "Refused", "Verdict"]

STREAM = "manifest"


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """A manifest offered to the fleet.

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


@dataclass(frozen=True, slots=True)
class Accepted:
    """The manifest took effect as `version`."""

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
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
    """The manifest in force and the verdicts on what was published.

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
    content: dict[str, Any] = field(default_factory=dict)
    manifest: Manifest = field(default_factory=Manifest)
    verdicts: dict[str, Verdict] = field(default_factory=dict)

    def apply(self, record: Publish) -> ManifestState:
        """Return the state after `record`. The first with the right base wins."""
        if record.id in self.verdicts:
            return self
        if record.base != self.version:
            reason = f"built on version {record.base}, but version {self.version} is in force"
            return self._with_verdict(record, Refused(reason, self.version, self.by))
        match check_manifest(record.content):
            case Err(faults):
                reason = "; ".join(str(fault) for fault in faults)
                return self._with_verdict(record, Refused(reason, self.version, self.by))
            case Ok(manifest):
                after = self._with_verdict(record, Accepted(self.version + 1))
                return replace(
                    after,
                    version=self.version + 1,
                    by=record.by,
                    content=record.content,
                    manifest=manifest,
                )

    def _with_verdict(self, record: Publish, verdict: Verdict) -> ManifestState:
        return replace(self, verdicts={**self.verdicts, record.id: verdict})
