"""Collection of intervals from routers, and from files that retain them longer than routers do."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.burn.merge import latest_intervals
from mulberrycleat.burn.model import INTERVALS_PATH, Interval
from mulberrycleat.core import PeerError, Step
from mulberrycleat.rpc import KEY_HEADER
from mulberrycleat.web import BaseHttpClient

__all__ = ["Collected", "add_to_file", "collect", "read_file"]


class _IntervalsReply(msgspec.Struct):
    intervals: list[Interval]


class Collected(NamedTuple):
    """Intervals of the routers that answered, and the errors of those that did not."""

    intervals: list[Interval]
    errors: list[PeerError]


async def collect(http: BaseHttpClient, routers: Iterable[str], fleet_key: str) -> Collected:
    """Fetch the intervals that each router retains, from all routers concurrently."""
    found = Collected([], [])

    async def fetch(address: str) -> None:
        match await _fetch(http, address, fleet_key):
            case Ok(intervals):
                found.intervals.extend(intervals)
            case Err(error):
                found.errors.append(error)

    async with trio.open_nursery() as nursery:
        for address in routers:
            nursery.start_soon(fetch, address)
    return found


def read_file(path: Path) -> list[Interval]:
    """Return the intervals of a file with one JSON object per line.

    Raises
    ------
    msgspec.DecodeError
        If a line is not a valid interval.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Interval) for line in lines if line.strip()]


def add_to_file(path: Path, intervals: Iterable[Interval]) -> int:
    """Merge intervals into a file and return how many intervals the file then contains.

    Each interval is stored once, in its latest version. The file is replaced atomically.
    """
    stored = read_file(path) if path.exists() else []
    merged = latest_intervals([*stored, *intervals])
    temporary = path.with_suffix(".new")
    temporary.write_bytes(b"".join(msgspec.json.encode(interval) + b"\n" for interval in merged))
    temporary.replace(path)
    return len(merged)


async def _fetch(
    http: BaseHttpClient, address: str, fleet_key: str
) -> Result[list[Interval], PeerError]:
    url = f"http://{address}{INTERVALS_PATH}"
    match await http.send_json("GET", url, headers={KEY_HEADER: fleet_key}):
        case Err(error):
            return Err(error)
        case Ok(answer):
            try:
                return Ok(msgspec.convert(answer, _IntervalsReply).intervals)
            except msgspec.ValidationError as error:
                return Err(PeerError(Step.CALL, address, str(error)))
