"""``bin/bench capacity``: tables of docs/CAPACITY.md, computed from measured slopes.

A slope is the cost of one unit of state or work. The last line that a measurement prints is stored
in ``docs/data/NAME.json``. The tables are computed from those files alone, so that the page can't
deviate from them.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import click

from mulberrycleat.bench.capacity_rows import Row, all_rows

__all__ = ["command", "render_page", "read_slopes"]

DATA = Path("docs/data")
PAGE = Path("docs/CAPACITY.md")
NOT_MEASURED = "not measured"
TABLE_HEAD = """| Role | What | Arithmetic | Result | Bound | Mechanism |
| --- | --- | --- | --- | --- | --- |"""


class Section(NamedTuple):
    """Table of the page: its name in the markers of the page, and its rows."""

    name: str
    rows: tuple[Row, ...]


@click.command()
@click.option("--write", is_flag=True, help="Write the tables to docs/CAPACITY.md.")
def command(write: bool) -> None:
    """Compute state, messages, processor time and memory at the design size."""
    slopes = read_slopes(DATA)
    text = render_page(PAGE.read_text(encoding="utf-8"), slopes)
    if write:
        PAGE.write_text(text, encoding="utf-8")
    for name, rows in all_rows(slopes).items():
        click.echo(f"{name}\n{_format_table(rows)}\n")
    rows = [row for part in all_rows(slopes).values() for row in part]
    rows_over_bound = [f"{row.role}: {row.what}" for row in rows if row.is_over]
    missing_count = sum(row.value is None for row in rows)
    click.echo(
        json.dumps(
            {"rows": len(rows), "over_bound": rows_over_bound, "not_measured": missing_count}
        )
    )


def read_slopes(directory: Path) -> dict[str, float]:
    """Return the numbers in the files ``NAME.json`` of a directory, by ``NAME.field``."""
    found: dict[str, float] = {}
    for path in sorted(directory.glob("*.json")):
        for field, value in json.loads(path.read_text(encoding="utf-8")).items():
            if isinstance(value, int | float):
                found[f"{path.stem}.{field}"] = float(value)
    return found


def render_page(page: str, slopes: Mapping[str, float]) -> str:
    """Return `page` with the tables between its markers recomputed from `slopes`."""
    for name, rows in all_rows(slopes).items():
        begin_marker, end = f"<!-- table {name} -->", "<!-- end -->"
        pattern = re.compile(re.escape(begin_marker) + r".*?" + re.escape(end), re.DOTALL)
        page = pattern.sub(
            lambda _, b=begin_marker, r=rows, e=end: f"{b}\n{_format_table(r)}\n{e}", page
        )
    return page


def _format_table(rows: tuple[Row, ...]) -> str:
    return "\n".join([TABLE_HEAD, *map(_format_row, rows)])


def _format_row(row: Row) -> str:
    result = NOT_MEASURED if row.value is None else f"{row.value:,.4g} {row.unit}"
    bound = "" if row.bound is None else f"{row.bound:g} {row.unit}"
    over_mark = " **over**" if row.is_over else ""
    cells = (row.role, row.what, row.arithmetic, result + over_mark, bound, row.mechanism)
    return "| " + " | ".join(cells) + " |"
