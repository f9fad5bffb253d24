"""The whole path as separate processes."""

from __future__ import annotations

from click.testing import CliRunner

from mulberrycleat.demo.main import main


def test_demo_serves_both_workloads_from_first_manifest_to_bills():
    result = CliRunner().invoke(main, [], catch_exceptions=False)
    assert result.exit_code == 0, result.output
    assert "repeated in another zone: {'booking': 1" in result.output
    assert "step back: {'accepted': True, 'version': 3" in result.output
