"""Reading of settings files."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from result import Err, Ok, Result

from mulberrycleat.settings.check import Fault, convert_all, line_of

__all__ = ["load_settings", "load_settings_text", "read_fleet_key"]

T = TypeVar("T")


def load_settings(path: Path, kind: type[T]) -> Result[T, list[Fault]]:
    """Read a TOML file into the settings class `kind`, or return all faults found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault("", f"cannot read {path}: {error}")])
    return load_settings_text(text, kind)


def load_settings_text(text: str, kind: type[T]) -> Result[T, list[Fault]]:
    """Convert a TOML text into `kind`, or return all faults found, with their lines.

    Examples
    --------
    >>> from mulberrycleat.settings.model import LogSettings
    >>> load_settings_text('level = "debug"', LogSettings).ok_value.level
    'debug'
    >>> [str(f) for f in load_settings_text('levle = "debug"', LogSettings).err_value]
    ['line 1: levle: unknown field']
    """
    try:
        data: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Err([syntax_fault(text, error)])
    match convert_all(data, kind):
        case Err(faults):
            return Err([fault._replace(line=line_of(text, fault.path)) for fault in faults])
        case Ok(settings):
            return Ok(settings)


def syntax_fault(text: str, error: tomllib.TOMLDecodeError) -> Fault:
    """Return a TOML syntax error of `text` as a fault with its line.

    An error at the end of the text, for which tomllib gives no line, gets the last line.
    """
    reason, _, position = str(error).partition(" (at ")
    line = position.removeprefix("line ").partition(",")[0]
    return Fault("", reason, int(line) if line.isdigit() else len(text.splitlines()))


def read_fleet_key(path: str) -> Result[str, list[Fault]]:
    """Return the key that the fleet's processes share, read from the file at `path`.

    Whitespace around the key, such as the line end, is removed.
    """
    try:
        key = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError, ValueError) as error:
        return Err([Fault("fleet_key_file", str(error))])
    if not key:
        return Err([Fault("fleet_key_file", "the file is empty")])
    return Ok(key)
