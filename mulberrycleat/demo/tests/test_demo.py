"""The demo, whose fleet runs as separate processes, from the first manifest to the bills."""

from __future__ import annotations

from pathlib import Path

from click.testing import CliRunner

from mulberrycleat.demo.main import main


def test_demo_prints_results_of_each_step_and_writes_the_burn_chart():
    result = CliRunner().invoke(main, [], catch_exceptions=False)
    assert result.exit_code == 0, result.output
    assert "repeated in another zone: {'booking': 1" in result.output
    assert "step back: {'accepted': True, 'version': 3" in result.output
    assert "of the error budget left" in result.output
    assert "as a picture: .demo/burn.svg" in result.output
    assert "</svg>" in Path(".demo/burn.svg").read_text(encoding="utf-8")
