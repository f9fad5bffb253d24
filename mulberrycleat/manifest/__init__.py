"""Manifests: their form, their checks, and which one is in force."""

from mulberrycleat.manifest.check import check_manifest, parse_manifest
from mulberrycleat.manifest.fold import STREAM, Accepted, ManifestState, Publish, Refused, Verdict
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

__all__ = [
    "STREAM",
    "Accepted",
    "Account",
    "Budget",
    "Endpoint",
    "Key",
    "Manifest",
    "ManifestState",
    "Objective",
    "Plan",
    "Pool",
    "Price",
    "Publish",
    "Refused",
    "Verdict",
    "check_manifest",
    "parse_manifest",
]
