"""The reference of all settings, made from the data classes: ``docs/settings.md``."""

from __future__ import annotations

import dataclasses
import inspect
import re
import typing
from collections.abc import Iterator
from typing import Any

from mulberrycleat.settings.model import ControllerSettings, OperatorSettings, RouterSettings
from mulberrycleat.standin.settings import StandinSettings

__all__ = ["reference"]

HEAD = """# Settings

Each process reads one TOML file, checks it whole and names every fault with its path and line; it
starts only when there is none. `mulberrycleat check FILE --as router` (or `controller`, `operator`,
`standin`) does the same without starting anything. A field without a default must be given. Tables
such as `host` stand under their name: `[host]`.

This page is made by `python -m mulberrycleat.settings.reference > docs/settings.md`; a test keeps
it true.
"""
FILES = (
    ("router", RouterSettings),
    ("controller", ControllerSettings),
    ("operator", OperatorSettings),
    ("stand-in (tests only)", StandinSettings),
)


def reference() -> str:
    """Return the page."""
    parts = [HEAD]
    for title, kind in FILES:
        parts.append(f"\n## {title[0].upper()}{title[1:]}\n\n{_summary(kind)}\n")
        parts.extend(_tables(kind, ""))
    return "\n".join(parts)


def _tables(kind: type, prefix: str) -> Iterator[str]:
    """Yield the table of a class, then those of the tables inside of it."""
    hints = typing.get_type_hints(kind, include_extras=True)
    meanings = _meanings(kind)
    rows = ["| Field | Type | Default | Meaning |", "| --- | --- | --- | --- |"]
    inner: list[tuple[str, Any]] = []
    for field in dataclasses.fields(kind):
        hint = hints[field.name]
        if dataclasses.is_dataclass(hint):
            inner.append((f"{prefix}{field.name}.", hint))
            continue
        written, meaning = meanings.get(field.name, ("", ""))
        row = (f"`{prefix}{field.name}`", _type(hint, written), _default(field), meaning)
        rows.append(f"| {' | '.join(row)} |")
    yield "\n".join(rows)
    for path, hint in inner:
        default = next(f for f in dataclasses.fields(kind) if f.name == path.split(".")[-2])
        note = "" if _is_required(default) else f" Defaults: {_inner_default(default)}."
        yield f"\n`[{path.rstrip('.')}]`: {_summary(hint)}{note}\n"
        yield from _tables(hint, path)


def _summary(kind: type) -> str:
    return inspect.getdoc(kind).split("\n\n")[0].replace("``", "`")


def _meanings(kind: type) -> dict[str, tuple[str, str]]:
    """Return type and meaning of each attribute that the doc comment names."""
    body = inspect.getdoc(kind).partition("Attributes\n----------\n")[2]
    found: dict[str, tuple[str, str]] = {}
    for block in re.split(r"\n(?=\S)", body):
        head, _, text = block.partition("\n")
        names, _, written = head.partition(" : ")
        meaning = " ".join(text.split()).replace("``", "`")
        found |= {name.strip(): (written, meaning) for name in names.split(",")}
    return found


def _type(hint: Any, written: str) -> str:
    for meta in getattr(hint, "__metadata__", ()):
        if meta.description:
            return meta.description
    if typing.get_origin(hint) is typing.Literal:
        return " or ".join(f"`{value}`" for value in typing.get_args(hint))
    return written


def _is_required(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _default(field: dataclasses.Field) -> str:
    if _is_required(field):
        return "required"
    if field.default is dataclasses.MISSING:
        return f"`{field.default_factory()}`"
    value = field.default
    return "none" if value in ("", ()) else f"`{value}`"


def _inner_default(field: dataclasses.Field) -> str:
    values = dataclasses.asdict(field.default_factory())
    return ", ".join(f"{name} `{value}`" for name, value in values.items())


if __name__ == "__main__":
    print(reference(), end="\n")
