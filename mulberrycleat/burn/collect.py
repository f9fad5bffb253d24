"""Reading of intervals: from routers, and from files that keep them longer than a host does."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.burn.merge import newest
from mulberrycleat.burn.model import INTERVALS_PATH, Interval
from mulberrycleat.core import PeerError, Step
from mulberrycleat.rpc import KEY_HEADER
from mulberrycleat.web import BaseHttpClient

__all__ = ["Collected", "add_to_file", "collect", "read_file"]


class _Answer(msgspec.Struct):
    intervals: list[Interval]


class Collected(NamedTuple):
    """Intervals of the routers that answered, and why others did not."""

    intervals: list[Interval]
    errors: list[PeerError]


async def collect(http: BaseHttpClient, routers: Iterable[str], fleet_key: str) -> Collected:
    """Ask every router for the intervals that it keeps."""
    found = Collected([], [])

    async def ask(address: str) -> None:
        match await _ask(http, address, fleet_key):
            case Ok(intervals):
                found.intervals.extend(intervals)
            case Err(error):
                found.errors.append(error)

    async with trio.open_nursery() as nursery:
        for address in routers:
            nursery.start_soon(ask, address)
    return found


def read_file(path: Path) -> list[Interval]:
    """Return the intervals of a file, one JSON object a line; raises ``msgspec.DecodeError``."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Interval) for line in lines if line.strip()]


def add_to_file(path: Path, intervals: Iterable[Interval]) -> int:
    """Add intervals to a file, each once in its latest form; return how many it holds."""
    known = read_file(path) if path.exists() else []
    merged = newest([*known, *intervals])
    scratch = path.with_suffix(".new")
    scratch.write_bytes(b"".join(msgspec.json.encode(one) + b"\n" for one in merged))
    scratch.replace(path)
    return len(merged)


async def _ask(
    http: BaseHttpClient, address: str, fleet_key: str
) -> Result[list[Interval], PeerError]:
    url = f"http://{address}{INTERVALS_PATH}"
    match await http.send_json("GET", url, headers={KEY_HEADER: fleet_key}):
        case Err(error):
            return Err(error)
        case Ok(answer):
            try:
                return Ok(msgspec.convert(answer, _Answer).intervals)
            except msgspec.ValidationError as error:
                return Err(PeerError(Step.CALL, address, str(error)))
