"""Conversion of plain data into frozen data classes, reporting every fault with its path.

``msgspec.convert`` stops at the first fault. :func:`convert_all` checks field by field, so that one
run reports all faults.
"""

from __future__ import annotations

import dataclasses
import functools
import re
import types
import typing
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = ["Fault", "convert_all", "line_of"]

T = TypeVar("T")

_MAX_VALUE_CHARS = 60


class Fault(NamedTuple):
    """One fault in a file.

    Attributes
    ----------
    path : str
        Path of the field, such as ``pools[2].price.fixed``; empty for a fault of the whole file.
    reason : str
        What is wrong with the field, or with the file.
    line : int
        Line number, counted from 1; 0 if it is unknown.
    """

    path: str
    reason: str
    line: int = 0

    def __str__(self) -> str:
        location = f"line {self.line}: " if self.line else ""
        return f"{location}{self.path or 'file'}: {self.reason}"


def convert_all(data: Any, kind: type[T]) -> Result[T, list[Fault]]:
    """Convert `data` to `kind`, or return all faults found.

    Parameters
    ----------
    data : mapping
        Parsed TOML or JSON.
    kind : type
        A frozen data class; its fields may be data classes, or tuples and mappings of them.

    Examples
    --------
    >>> @dataclasses.dataclass(frozen=True)
    ... class Point:
    ...     x: int
    ...     y: int = 0
    >>> convert_all({"x": 1}, Point).ok_value
    Point(x=1, y=0)
    >>> [str(fault) for fault in convert_all({"x": "a", "z": 1}, Point).err_value]
    ['z: unknown field', 'x: Expected `int`, got `str`']
    """
    faults = list(_faults(data, kind, ""))
    if faults:
        return Err(faults)
    try:
        return Ok(msgspec.convert(data, kind, strict=True))
    except msgspec.ValidationError as error:
        return Err([_fault_from_msgspec(error, "")])


def line_of(text: str, path: str) -> int:
    """Return the line number of the field `path` in a TOML text.

    If the text lacks the field, return the line of the last table or key that encloses it, or 0.

    >>> line_of('a = 1\\n[[pools]]\\nname = "x"\\n[[pools]]\\nname = "y"\\n', "pools[1].name")
    5
    """
    enclosing = 0
    for line_path, number in _toml_lines(text):
        if line_path == path:
            return number
        if path.startswith((line_path + ".", line_path + "[")):
            enclosing = number
    return enclosing


def _toml_lines(text: str) -> Iterator[tuple[str, int]]:
    """Yield path and line number of each table header and key, except keys in inline tables."""
    table = ""
    counts: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if header := re.match(r"\s*(\[\[?)\s*([\w.\-\"]+)\s*\]", line):
            name = header[2].replace('"', "")
            name = (
                _with_next_index(name, counts)
                if header[1] == "[["
                else _with_latest_indexes(name, counts)
            )
            table = name
            yield table, number
        elif key := re.match(r"\s*([\w\-\"]+)\s*=", line):
            name = key[1].replace('"', "")
            yield (f"{table}.{name}" if table else name), number


def _with_latest_indexes(name: str, counts: Mapping[str, int]) -> str:
    """Add the index of the latest element to each part of a dotted name that is an array."""
    path = ""
    for part in name.split("."):
        path = f"{path}.{part}" if path else part
        if path in counts:
            path = f"{path}[{counts[path]}]"
    return path


def _with_next_index(name: str, counts: dict[str, int]) -> str:
    """Return the path of a new element of an array of tables, and count the element."""
    parent, _, last = name.rpartition(".")
    path = f"{_with_latest_indexes(parent, counts)}.{last}" if parent else last
    counts[path] = counts.get(path, -1) + 1
    return f"{path}[{counts[path]}]"


def _faults(data: Any, kind: Any, path: str) -> Iterator[Fault]:
    """Yield the faults of the value `data` at `path`, which should have the type `kind`.

    A constraint on a tuple or mapping as a whole, such as its minimum length, is checked only if
    the items have no faults. Unions of several types are not checked here, but by the conversion
    at the end of :func:`convert_all`.
    """
    origin = typing.get_origin(kind)
    if origin is typing.Annotated and typing.get_origin(kind.__origin__) in (tuple, dict):
        inner = list(_faults(data, kind.__origin__, path))
        yield from inner or _conversion_faults(data, kind, path)
    elif dataclasses.is_dataclass(kind):
        yield from _dataclass_faults(data, kind, path)
    elif origin is tuple and isinstance(data, list):
        for index, item in enumerate(data):
            yield from _faults(item, typing.get_args(kind)[0], f"{path}[{index}]")
    elif origin is dict and isinstance(data, dict):
        for key, item in data.items():
            yield from _faults(item, typing.get_args(kind)[1], _join(path, key))
    elif origin in (typing.Union, types.UnionType) and data is not None:
        members = [arg for arg in typing.get_args(kind) if arg is not type(None)]
        yield from _faults(data, members[0] if len(members) == 1 else typing.Any, path)
    else:
        yield from _conversion_faults(data, kind, path)


def _conversion_faults(data: Any, kind: Any, path: str) -> Iterator[Fault]:
    try:
        msgspec.convert(data, kind, strict=True)
    except msgspec.ValidationError as error:
        fault = _fault_from_msgspec(error, path)
        description = _description(kind)
        reason = f"expected {description}, got {data!r:.{_MAX_VALUE_CHARS}}"
        yield fault._replace(reason=reason) if description else fault


def _description(kind: Any) -> str:
    """Return the description of a type's valid values for an error message, or an empty string."""
    if typing.get_origin(kind) is typing.Literal:
        return " or ".join(map(repr, typing.get_args(kind)))
    found = [meta.description for meta in getattr(kind, "__metadata__", ())]
    return next((description for description in found if description), "")


def _dataclass_faults(data: Any, kind: Any, path: str) -> Iterator[Fault]:
    if not isinstance(data, dict):
        yield Fault(path, f"expected a table, got {type(data).__name__}")
        return
    hints = _hints(kind)
    for key in data:
        if key not in hints:
            yield Fault(_join(path, key), "unknown field")
    for field in dataclasses.fields(kind):
        field_path = _join(path, field.name)
        if field.name in data:
            yield from _faults(data[field.name], hints[field.name], field_path)
        elif field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING:
            yield Fault(field_path, "missing")


@functools.cache
def _hints(kind: Any) -> dict[str, Any]:
    return typing.get_type_hints(kind, include_extras=True)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)


def _fault_from_msgspec(error: msgspec.ValidationError, path: str) -> Fault:
    reason, _, inner = str(error).partition(" - at `$")
    return Fault(path + inner.rstrip("`"), reason)
