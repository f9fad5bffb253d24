"""The example manifests of the documentation are valid."""

from __future__ import annotations

from pathlib import Path

from mulberrycleat.manifest import parse_manifest

EXAMPLES = Path(__file__).parents[3] / "examples"


def test_example_manifests_are_valid():
    files = sorted(EXAMPLES.glob("manifest*.toml"))
    assert files
    for file in files:
        assert parse_manifest(file.read_text(encoding="utf-8")).is_ok(), file.name
