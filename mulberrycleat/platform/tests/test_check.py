"""Checks of settings files and configurations on the command line."""

from __future__ import annotations

import json

from click.testing import CliRunner

from mulberrycleat.cli.main import main
from mulberrycleat.platform.check import check_config
from mulberrycleat.platform.tests.fixtures import CONFIG
from mulberrycleat.platform.tests.test_decoding import SETTINGS


def run(kind, text):
    """Run ``mulberrycleat check --as kind`` on a file that holds `text`."""
    runner = CliRunner()
    with runner.isolated_filesystem():
        with open("file", "w", encoding="utf-8") as file:
            file.write(text)
        return runner.invoke(main, ["check", "--as", kind, "file"])


def test_valid_files_pass_the_check():
    assert run("entry-host", SETTINGS).exit_code == 0
    assert run("routes", json.dumps(CONFIG)).exit_code == 0


def test_a_fault_of_the_settings_names_its_field():
    result = run("entry-host", SETTINGS.replace('"z-a"', "7"))
    assert result.exit_code == 2
    assert "zone" in result.output


def test_a_route_to_an_unknown_service_or_to_none_is_a_fault():
    routes = [{**CONFIG["routes"][1], "service": "nowhere"}]
    faults = check_config(json.dumps({**CONFIG, "routes": routes})).err_value
    assert str(faults[0]) == "routes.book: unknown service 'nowhere'"
    del routes[0]["service"]
    faults = check_config(json.dumps({**CONFIG, "routes": routes})).err_value
    assert str(faults[0]) == "routes.book: has no service to forward to"
