"""The checks never raise, whatever the input, and every fault states its path."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from mulberrycleat.manifest import check_manifest, parse_manifest
from mulberrycleat.testing.fuzzing import fuzz
from mulberrycleat.testing.layout import FleetPlan, Layout

VALID = Layout(FleetPlan(), (f"10.0.0.1:{port}" for port in range(1, 100)), "fleet.key").manifest()

ARBITRARY_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "keys", "sha256", "pool", "price"]), inner),
    max_leaves=6,
)
SECTIONS = st.sampled_from([*VALID, "plans", "owners", "extra"])
TOKENS = st.sampled_from(
    ["[[pools]]", "[[accounts]]", "[[accounts.keys]]", "name", "=", '"a"', "{", "}", "[", "]"]
    + ["\n", "\n", '"', "kind", "1", "-1", "nan", "\x00", "é", ",", ":", "null", '{"pools":']
)


@fuzz(150)
@given(st.dictionaries(SECTIONS, ARBITRARY_VALUES, min_size=1))
def test_check_never_raises(changes):
    outcome = check_manifest({**VALID, **changes})
    if outcome.is_err():
        assert outcome.err_value


@fuzz(150)
@given(SECTIONS, st.integers(0, 3), st.text(max_size=8), ARBITRARY_VALUES)
def test_fault_of_a_single_invalid_field_states_its_path(section, index, field, value):
    changed = json.loads(json.dumps(VALID))
    items = changed.get(section)
    if not items:
        return
    index %= len(items)
    items[index][field or "name"] = value
    outcome = check_manifest(changed)
    if outcome.is_err():
        assert all(fault.path for fault in outcome.err_value)


@fuzz(150)
@given(st.lists(TOKENS, max_size=30).map(" ".join) | st.text(max_size=80))
def test_parser_never_raises(text):
    outcome = parse_manifest(text)
    assert outcome.is_ok() or outcome.err_value
