"""Tests that the tables of the capacity page are computed from the stored measurements."""

from __future__ import annotations

from mulberrycleat.bench.capacity import DATA, PAGE, read_slopes, render_page
from mulberrycleat.bench.capacity_rows import all_rows


def test_page_tables_match_the_stored_measurements():
    page = PAGE.read_text(encoding="utf-8")
    assert page == render_page(page, read_slopes(DATA)), "run: bin/bench capacity --write"


def test_row_with_a_missing_slope_has_no_value():
    rows = [row for part in all_rows({}).values() for row in part]
    assert any(row.value is None for row in rows)


def test_row_value_is_computed_from_slopes():
    rows = all_rows({"slopes.ledger_bytes_per_budget": 1000.0})["controller"]
    ledger_row = next(row for row in rows if row.what == "ledger in memory, all budgets")
    assert ledger_row.value == 230.0
    assert ledger_row.is_over
