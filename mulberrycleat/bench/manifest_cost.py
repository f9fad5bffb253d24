"""Bytes on TCP sockets, processor time and memory of processes, as the kernel counts them."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import time
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

__all__ = ["Cost", "Usage", "cost_between", "read_usage", "resident_mib"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MIB = 1024 * 1024
_PID = re.compile(r"pid=(\d+)")
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


class Usage(NamedTuple):
    """Totals of a set of processes at one time.

    Attributes
    ----------
    at : float
        Time of the reading, in seconds on the monotonic clock.
    processes : int
        Number of processes.
    sockets : dict
        Bytes sent and received on each open TCP socket, by its local and peer address; empty if
        ``ss`` is missing.
    cpu_s : float
        Processor time, in seconds.
    """

    at: float
    processes: int
    sockets: dict[tuple[str, str], int]
    cpu_s: float


class Cost(NamedTuple):
    """Mean cost of one process between two readings.

    Attributes
    ----------
    bytes_s : float or None
        Bytes sent and received per second; None if no socket was read.
    core_percent : float
        Share of one core, in percent.
    """

    bytes_s: float | None
    core_percent: float


def read_usage(pids: Iterable[int]) -> Usage:
    """Return the current totals of the processes `pids`."""
    pid_set = set(pids)
    return Usage(time.monotonic(), len(pid_set), _socket_bytes(pid_set), sum(map(_cpu_s, pid_set)))


def cost_between(before: Usage, after: Usage) -> Cost:
    """Return the mean cost of a process between two readings.

    Bytes on sockets that were closed between the readings are not counted.
    """
    elapsed_s = after.at - before.at
    share = elapsed_s * after.processes
    moved = sum(total - before.sockets.get(key, 0) for key, total in after.sockets.items())
    bytes_s = moved / share if after.sockets else None
    return Cost(bytes_s, 100 * (after.cpu_s - before.cpu_s) / share)


def resident_mib(pids: Iterable[int]) -> list[float]:
    """Return the resident memory of each process, in MiB."""
    pages = [int(Path(f"/proc/{pid}/statm").read_text().split()[1]) for pid in pids]
    return [count * os.sysconf("SC_PAGE_SIZE") / MIB for count in pages]


def _cpu_s(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _socket_bytes(pids: set[int]) -> dict[tuple[str, str], int]:
    if shutil.which("ss") is None:
        return {}
    done = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=False)
    found: dict[tuple[str, str], int] = {}
    key: tuple[str, str] | None = None
    for line in done.stdout.splitlines():
        if not line.startswith((" ", "\t")):
            pid = _PID.search(line)
            addresses = line.split()[3:5]
            key = (addresses[0], addresses[1]) if pid and int(pid.group(1)) in pids else None
        elif key is not None:
            found[key] = sum(map(int, _BYTES.findall(line)))
    return found
