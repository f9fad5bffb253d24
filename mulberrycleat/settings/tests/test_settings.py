"""Loading a settings file reports all its faults at once, each with its path and line."""

from __future__ import annotations

from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from mulberrycleat.settings import (
    ControllerSettings,
    RouterSettings,
    convert_all,
    load_settings_text,
)
from mulberrycleat.settings.reference import reference
from mulberrycleat.testing.fuzzing import fuzz

FAULTY = """
listen = "10.0.0.256:80"
drain_timeout_s = nan
settle_evry_s = 1
peers = ["10.0.0.2:80",
    "10.0.0.3:70000", 7]
[host]
name = "two words"
zone = 3
[platform]
log = "10.0.0.9:80"
hosts = "nowhere"
timeout_s = -1
[platform.more]
x = 1
[log]
level = "loud"
colour = true
"""


def found(text: str, kind: type) -> list[tuple[str, int]]:
    """Return path and line of each fault that loading `text` reports."""
    return [(fault.path, fault.line) for fault in load_settings_text(text, kind).err_value]


def test_all_faults_are_reported_with_path_and_line():
    assert sorted(found(FAULTY, ControllerSettings)) == [
        ("drain_timeout_s", 3),
        ("fleet_key_file", 0),
        ("host.name", 8),
        ("host.zone", 9),
        ("listen", 2),
        ("log.colour", 18),
        ("log.level", 17),
        ("peers[1]", 5),
        ("peers[2]", 5),
        ("platform.hosts", 12),
        ("platform.more", 14),
        ("platform.timeout_s", 13),
        ("settle_evry_s", 4),
    ]


def test_fault_states_expected_and_actual_value():
    faults = load_settings_text('listen = "10.0.0.1"\n[log]\nformat = "xml"', RouterSettings)
    reasons = {fault.path: fault.reason for fault in faults.err_value}
    assert reasons["listen"] == "expected an ip:port, got '10.0.0.1'"
    assert reasons["log.format"] == "expected 'json' or 'text', got 'xml'"


def test_syntax_fault_has_a_line():
    assert found('a = 1\nb == 2\n"', RouterSettings) == [("", 2)]
    assert found("a = 1\nb", RouterSettings) == [("", 2)]


def test_empty_list_of_controllers_is_a_fault():
    assert ("controllers", 1) in found("controllers = []", RouterSettings)


def test_patterns_reject_trailing_line_ends():
    assert ("host.name", 2) in found('[host]\nname = "a\\n"', RouterSettings)


FRAGMENTS = st.sampled_from(
    ["listen", "host", "name", "zone", "peers", "=", "[", "]", "[[", "{", "}", '"10.0.0.1:80"']
    + ["-1", "1e400", "nan", "true", "\n", "\n", ".", '"', "#", "1979-05-27", "\x00", "é", "''"]
)


@fuzz(150)
@given(st.lists(FRAGMENTS, max_size=30).map(" ".join) | st.text(max_size=80))
def test_arbitrary_text_gives_faults_and_does_not_raise(text):
    outcome = load_settings_text(text, ControllerSettings)
    assert outcome.is_err() and outcome.err_value


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["host", "name", "log", "level", "peers"]), inner),
    max_leaves=8,
)


@fuzz(150)
@given(st.dictionaries(st.sampled_from(["host", "listen", "peers", "log", "platform"]), VALUES))
def test_arbitrary_values_give_faults_and_do_not_raise(data):
    assert convert_all(data, ControllerSettings).is_err()


def test_settings_page_is_up_to_date():
    page = Path(__file__).parents[3] / "docs" / "settings.md"
    command = "python -m mulberrycleat.settings.reference > docs/settings.md"
    assert page.read_text(encoding="utf-8") == reference() + "\n", f"run {command}"
