"""The capacity page's tables come from the kept measurements."""

from __future__ import annotations

from mulberrycleat.bench.capacity import DATA, PAGE, page_text, read_slopes
from mulberrycleat.bench.capacity_rows import all_rows


def test_page_holds_the_tables_that_the_kept_measurements_give():
    page = PAGE.read_text(encoding="utf-8")
    assert page == page_text(page, read_slopes(DATA)), "run: bin/bench capacity --write"


def test_row_without_its_slope_is_not_measured():
    rows = [row for part in all_rows({}).values() for row in part]
    assert any(row.value is None for row in rows)


def test_row_is_worked_out_from_slopes():
    rows = all_rows({"slopes.ledger_bytes_per_budget": 1000.0})["controller"]
    whole = next(row for row in rows if row.what == "ledger in memory, all budgets")
    assert whole.value == 230.0
    assert whole.is_over
