"""``bin/bench capacity``: the tables of docs/CAPACITY.md, worked out from measured slopes.

The last line that a measurement printed is kept in ``docs/data/NAME.json``. The tables come from
those files alone, so that the page cannot drift from them.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple

import click

from mulberrycleat.bench.capacity_rows import Row, all_rows

__all__ = ["command", "page_text", "read_slopes"]

DATA = Path("docs/data")
PAGE = Path("docs/CAPACITY.md")
NOT_MEASURED = "not measured"
HEAD = """| Role | What | Arithmetic | Result | Bound | Mechanism |
| --- | --- | --- | --- | --- | --- |"""


class Section(NamedTuple):
    """A table of the page: its name in the page's markers and its rows."""

    name: str
    rows: tuple[Row, ...]


@click.command()
@click.option("--write", is_flag=True, help="Put the tables into docs/CAPACITY.md.")
def command(write: bool) -> None:
    """Work out state, messages, processor time and memory at the size designed for."""
    slopes = read_slopes(DATA)
    text = page_text(PAGE.read_text(encoding="utf-8"), slopes)
    if write:
        PAGE.write_text(text, encoding="utf-8")
    for name, rows in all_rows(slopes).items():
        click.echo(f"{name}\n{_table(rows)}\n")
    rows = [row for part in all_rows(slopes).values() for row in part]
    over = [f"{row.role}: {row.what}" for row in rows if row.is_over]
    missing = sum(row.value is None for row in rows)
    click.echo(json.dumps({"rows": len(rows), "over_bound": over, "not_measured": missing}))


def read_slopes(directory: Path) -> dict[str, float]:
    """Return every number of the kept results, by ``NAME.field``."""
    found: dict[str, float] = {}
    for path in sorted(directory.glob("*.json")):
        for field, value in json.loads(path.read_text(encoding="utf-8")).items():
            if isinstance(value, int | float):
                found[f"{path.stem}.{field}"] = float(value)
    return found


def page_text(page: str, slopes: Mapping[str, float]) -> str:
    """Return `page` with the tables between its markers worked out anew."""
    for name, rows in all_rows(slopes).items():
        begin, end = f"<!-- table {name} -->", "<!-- end -->"
        pattern = re.compile(re.escape(begin) + r".*?" + re.escape(end), re.DOTALL)
        page = pattern.sub(lambda _, b=begin, r=rows, e=end: f"{b}\n{_table(r)}\n{e}", page)
    return page


def _table(rows: tuple[Row, ...]) -> str:
    return "\n".join([HEAD, *map(_line, rows)])


def _line(row: Row) -> str:
    result = NOT_MEASURED if row.value is None else f"{row.value:,.4g} {row.unit}"
    bound = "" if row.bound is None else f"{row.bound:g} {row.unit}"
    mark = " **over**" if row.is_over else ""
    cells = (row.role, row.what, row.arithmetic, result + mark, bound, row.mechanism)
    return "| " + " | ".join(cells) + " |"
