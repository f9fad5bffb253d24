"""Manifests: their data model, their validation, and which version is active."""

from mulberrycleat.manifest.check import check_change, check_manifest, parse_manifest
from mulberrycleat.manifest.checkpoint import (
    PARTS_STREAM,
    Checkpoint,
    Part,
    decode_snapshot,
    encode_snapshot,
)
from mulberrycleat.manifest.fold import (
    STREAM,
    Accepted,
    Change,
    ManifestRecord,
    ManifestState,
    Publish,
    Refused,
    Verdict,
)
from mulberrycleat.manifest.history import (
    StreamFold,
    load_checkpoint,
    read_fold,
    state_at,
    write_checkpoint,
)
from mulberrycleat.manifest.model import (
    Account,
    Budget,
    Endpoint,
    Key,
    Manifest,
    Objective,
    Plan,
    Pool,
    Price,
)
from mulberrycleat.manifest.sections import difference, to_sections

__all__ = [
    "PARTS_STREAM",
    "STREAM",
    "Accepted",
    "Account",
    "Budget",
    "Change",
    "Checkpoint",
    "Endpoint",
    "Key",
    "Manifest",
    "ManifestRecord",
    "ManifestState",
    "Objective",
    "Part",
    "Plan",
    "Pool",
    "Price",
    "Publish",
    "Refused",
    "StreamFold",
    "Verdict",
    "check_change",
    "check_manifest",
    "decode_snapshot",
    "difference",
    "encode_snapshot",
    "load_checkpoint",
    "parse_manifest",
    "read_fold",
    "state_at",
    "to_sections",
    "write_checkpoint",
]
